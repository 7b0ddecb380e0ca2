#ifndef ST_SESSION_H
#define ST_SESSION_H

#include "execute.h"
#include "slots.h"
#include "wire.h"

typedef struct st_session st_session_t;
typedef struct st_session_transport st_session_transport_t;

/* What a session needs of its connection. */
typedef struct st_session_transport_ops {
	/* Sends what stands in the session's output. */
	void (*flush)(st_session_transport_t *transport);
	/* Returns non-zero while more output may be produced. */
	int (*has_room)(st_session_transport_t *transport);
	/* The session takes messages again. */
	void (*resume)(st_session_transport_t *transport);
	/* The peer broke the protocol, ended the session or memory is short. */
	void (*close)(st_session_transport_t *transport);
} st_session_transport_ops_t;

struct st_session_transport {
	const st_session_transport_ops_t *ops;
};

typedef enum st_busy {
	ST_IDLE,
	/* A statement waits for or occupies a slot. */
	ST_EXECUTING,
	/* Rows wait for room in the output. */
	ST_STREAMING,
} st_busy_t;

/* The state of one client of the wire protocol after its start. */
struct st_session {
	st_session_transport_t *transport;
	struct evbuffer *out;
	st_txn_t txn;
	int in_block;
	int block_failed;
	int read_only;
	/* After an error, extended messages are skipped up to a Sync. */
	int skipping;
	st_busy_t busy;
	st_job_t job;
	unsigned service_ms;
	/* A simple query is under way; `rest` is what remains of it. */
	int simple;
	kb_str_t rest;
	/* Text of the current statement or simple query. */
	st_text_t text;
	int has_statement;
	st_statement_t statement;
	/* Owns the values of `params`. */
	st_text_t bound;
	st_params_t params;
	st_result_t result;
	/* The point of a commit directly before, if its term is not 0. */
	kb_point_t committed;
	/* The answer under way belongs to a table statement or a commit. */
	int carries_data;
};

/* Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_session_init(st_session_t *session,
			    st_session_transport_t *transport,
			    st_engine_t *engine, st_slots_t *slots,
			    struct evbuffer *out, unsigned service_ms);
void st_session_finish(st_session_t *session);

/* Takes a message; only to be called while the session is not busy. */
void st_session_message(st_session_t *session, char type, st_reader_t *body);

/* Continues a row stream once the output has room. */
void st_session_writable(st_session_t *session);

#endif

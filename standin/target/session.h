#ifndef ST_SESSION_H
#define ST_SESSION_H

#include "execute.h"
#include "slots.h"
#include "wire.h"

typedef struct st_session st_session_t;
typedef struct st_session_transport st_session_transport_t;

/* The operations of the connection that a session uses. */
typedef struct st_session_transport_ops {
	/* Sends the session's output. */
	void (*flush)(st_session_transport_t *transport);
	/* Returns non-zero while the output is below its high watermark. */
	int (*has_room)(st_session_transport_t *transport);
	/* The session can handle the next message. */
	void (*resume)(st_session_transport_t *transport);
	/* Closes after a protocol error, a Terminate or a lack of memory. */
	void (*close)(st_session_transport_t *transport);
} st_session_transport_ops_t;

struct st_session_transport {
	const st_session_transport_ops_t *ops;
};

typedef enum st_busy {
	ST_IDLE,
	/* A statement is queued for a slot or occupies one. */
	ST_EXECUTING,
	/* Rows are pending because the output is full. */
	ST_STREAMING,
} st_busy_t;

/* A session of the wire protocol, after start-up. */
struct st_session {
	st_session_transport_t *transport;
	struct evbuffer *out;
	st_txn_t txn;
	int in_block;
	int block_failed;
	int read_only;
	/* After an error, messages are skipped until Sync. */
	int skipping;
	st_busy_t busy;
	st_job_t job;
	unsigned service_ms;
	/* A simple query is in progress; `rest` is its unparsed text. */
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
	/* Point of the commit directly before; term 0 if there is none. */
	kb_point_t committed;
	/* The current response is for a table statement or a commit. */
	int carries_data;
};

/* Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_session_init(st_session_t *session,
			    st_session_transport_t *transport,
			    st_engine_t *engine, st_slots_t *slots,
			    struct evbuffer *out, unsigned service_ms);
void st_session_finish(st_session_t *session);

/* Handles a message; must not be called while the session is busy. */
void st_session_message(st_session_t *session, char type, st_reader_t *body);

/* Resumes a row stream once the output has room. */
void st_session_writable(st_session_t *session);

#endif

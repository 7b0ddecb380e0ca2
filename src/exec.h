#ifndef KB_EXEC_H
#define KB_EXEC_H

#include "conn.h"
#include "gen/kumquat_rpc.h"
#include "point.h"

KB_BEGIN_DECLS

#define KB_EXEC_DIGEST_BYTES 32
#define KB_EXEC_DETAIL_MAX_BYTES 256

typedef struct kb_exec kb_exec_t;

typedef enum kb_exec_phase {
	KB_EXEC_IDLE,
	KB_EXEC_READ,
	KB_EXEC_WRITE,
	KB_EXEC_KEYED_STATEMENT,
	KB_EXEC_KEYED_COMMIT,
	KB_EXEC_BEGIN,
	KB_EXEC_STATEMENT,
	KB_EXEC_COMMIT,
	KB_EXEC_KEYED_TRANSACTION,
	KB_EXEC_LOOKUP,
	KB_EXEC_ROLLBACK,
} kb_exec_phase_t;

/* Events that an execution reports to its owner. */
typedef struct kb_exec_events {
	/*
	 * The execution has ended; its result fields are valid.
	 * `in_transaction` is set if the connection is inside a transaction.
	 */
	void (*finished)(kb_exec_t *exec, int in_transaction);
} kb_exec_events_t;

/*
 * Runs one request on a connection that no other request uses meanwhile. A
 * write with an idempotency key inserts a record of the key, runs the
 * statement and stores the answer in one transaction, so that a second
 * submission finds the record and returns the stored answer.
 */
struct kb_exec {
	const kb_exec_events_t *events;
	void *owner;
	kb_conn_t *conn;
	const kbx_execute_args *args;
	/* Digest of the statements of the transaction so far. */
	unsigned char digest[KB_EXEC_DIGEST_BYTES];
	kb_exec_phase_t phase;
	/* Index in the batch of the statement that failed, or -1. */
	int failed_index;
	char sqlstate[KB_SQLSTATE_BYTES + 1];
	json_t *body;
	/* COMMIT was answered. */
	int committed;

	kb_result_t result;
	char detail[KB_EXEC_DETAIL_MAX_BYTES];
	/* Position of the commit, for a write that committed or was replayed.
	 */
	kb_point_t point;
	int replayed;
	/* JSON text of columns, rows and affected; may be NULL. */
	char *answer;
};

/* Initializes `exec`; the digest is that of an empty transaction. */
void kb_exec_init(kb_exec_t *exec, const kb_exec_events_t *events, void *owner);

/* Frees the answer of the last request. */
void kb_exec_finish(kb_exec_t *exec);

/*
 * Starts `args` on `conn`; both stay valid until finished() is called, which
 * may happen before the return.
 */
void kb_exec_start(kb_exec_t *exec, kb_conn_t *conn,
		   const kbx_execute_args *args);

/* To be called with the events of the connection while the request runs. */
void kb_exec_on_answer(kb_exec_t *exec, size_t index,
		       const kb_answer_t *answer);
void kb_exec_on_batch_end(kb_exec_t *exec, int in_transaction);
void kb_exec_on_lost(kb_exec_t *exec);

KB_END_DECLS

#endif

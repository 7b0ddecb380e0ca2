#ifndef KB_POOL_CONN_H
#define KB_POOL_CONN_H

#include "link_pool.h"

KB_BEGIN_DECLS

enum {
	/* Objective of opening a connection; a live target needs 12 ms. */
	POOL_OPEN_TIMEOUT_MS = 1000,
	/* Least silence after which an answer is held lost. */
	POOL_ANSWER_TIMEOUT_MIN_MS = 250,
	/* Silence in mean statement times after which it is held lost. */
	POOL_ANSWER_TIMEOUT_FACTOR = 10,
	/* Time for which a connection waits for an answer given up on. */
	POOL_ABANDONED_TIMEOUT_MS = 1000,
	/* Connections that nobody has used for this time are closed. */
	POOL_IDLE_TIMEOUT_S = 30,
	/* Pause after the target refused a statement or a connection. */
	POOL_OVERLOADED_DELAY_MS = 5,
	POOL_OPEN_RETRY_DELAY_MS = 100,
	/* Attempts at a statement that has not run. */
	POOL_ATTEMPTS_MAX = 4,
	/* Statements that may wait. */
	POOL_JOBS_MAX = 1024,
	/* Mean time of a statement before any was measured. */
	POOL_INITIAL_SERVICE_TIME_MS = 10,
	/* Statements sent beyond the slots, to cover the way there. */
	POOL_EXTRA_SENDS = 1,
	/* A long way never lets more than this many be sent for a slot. */
	POOL_PIPELINED_PER_SLOT_MAX = 3,
};

/* A statement that waits or runs. */
struct kb_pool_job {
	kb_pool_job_t *next;
	const kbs_run_args *args;
	kb_run_done_fn_t *done;
	void *ctx;
	uint64_t number;
	kb_time_t deadline;
	kb_time_t objective;
	unsigned attempts;
	/* Transaction that it belongs to, or 0 if none is open yet. */
	uint64_t transaction;
	/* Set once its own text was sent. */
	int offered;
};

typedef enum kb_pool_conn_state {
	KB_POOL_CONN_OPENING,
	KB_POOL_CONN_IDLE,
	/* An order of the job waits for its answer. */
	KB_POOL_CONN_BUSY,
	/* Open transaction between two statements. */
	KB_POOL_CONN_PINNED,
	/* Waits for an answer that nobody waits for. */
	KB_POOL_CONN_ABANDONED,
	/* It is no longer one of the pool's. */
	KB_POOL_CONN_CLOSED,
} kb_pool_conn_state_t;

/*
 * A connection of a pool. Whoever is told of an answer or a sign may close any
 * connection of the pool, also the one that the news came from: its memory,
 * and `next`, stay until the next kb_link_pool_tick().
 */
struct kb_pool_conn {
	kb_pool_conn_t *next;
	kb_pool_conn_t *next_closed;
	kb_link_pool_t *pool;
	kb_link_t *link;
	kb_pool_conn_state_t state;
	/* Values and prepared shapes that the connection has. */
	kb_session_values_t values;
	kb_session_values_t shapes;
	/* Transaction that holds it, or 0. */
	uint64_t transaction;
	int begun;
	kb_pool_job_t *job;
	kb_link_command_kind_t sent_kind;
	kb_time_t sent_at;
	/* Since when it is in its state. */
	kb_time_t since;
	kb_time_t idle_limit;
	/* It no longer counts as using a slot. */
	int silent;
	/* Value or shape that the order sent sets. */
	const kbs_value *setting;
};

/* Begins to open a connection. Returns KB_ERR_NO_MEMORY. */
kb_result_t kb_pool_conn_open(kb_link_pool_t *pool);

/* Closes a connection unless it is closed; its job must have been ended. */
void kb_pool_conn_close(kb_pool_conn_t *conn);

/* Frees what was closed. No call about one of them may be in progress. */
void kb_pool_conn_free_closed(kb_link_pool_t *pool);

/* Gives `job` to a connection that is idle or pinned by its transaction. */
void kb_pool_conn_start(kb_pool_conn_t *conn, kb_pool_job_t *job);

/* Gives up what is too late. Returns when to look again. */
kb_time_t kb_pool_conn_tick(kb_pool_conn_t *conn, kb_time_t now);

/* Ends the job of a connection that is about to be closed. */
void kb_pool_conn_fail_job(kb_pool_conn_t *conn, kb_result_t result,
		       const char *message);

/* Ends an open transaction: rolls back and keeps the connection. */
void kb_pool_conn_roll_back(kb_pool_conn_t *conn);

/* Whether it uses a slot of the target. */
int kb_pool_conn_uses_slot(const kb_pool_conn_t *conn);

/* Ends `job` with `result` and frees it. */
void kb_pool_job_end(kb_link_pool_t *pool, kb_pool_job_t *job,
		     kbs_run_res *res);
void kb_pool_job_refuse(kb_link_pool_t *pool, kb_pool_job_t *job,
			kb_result_t result, const char *message);

/* Lets a job that has not run wait again. */
void kb_pool_job_requeue(kb_link_pool_t *pool, kb_pool_job_t *job);

/* Sends what can be sent. */
void kb_link_pool_dispatch(kb_link_pool_t *pool);

/* Silence after which an answer is held lost. */
kb_time_t kb_link_pool_answer_timeout(const kb_link_pool_t *pool);

KB_END_DECLS

#endif

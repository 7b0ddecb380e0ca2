#ifndef KB_POOL_CONN_H
#define KB_POOL_CONN_H

#include "pool_team.h"

KB_BEGIN_DECLS

enum {
	/* Timeout of opening a connection; a reachable target needs 12 ms. */
	POOL_OPEN_TIMEOUT_MS = 1000,
	/* Lower bound of the answer timeout. */
	POOL_ANSWER_TIMEOUT_MIN_MS = 250,
	/* Answer timeout as a multiple of the mean service time. */
	POOL_ANSWER_TIMEOUT_FACTOR = 10,
	/* An abandoned connection is closed if its answer takes longer. */
	POOL_ABANDONED_TIMEOUT_MS = 1000,
	/* Idle connections are closed after this time. */
	POOL_IDLE_TIMEOUT_S = 30,
	/* Delay after the target rejected a statement as overloaded. */
	POOL_OVERLOADED_DELAY_MS = 5,
	/* Delay after a connection failed to open. */
	POOL_OPEN_RETRY_DELAY_MS = 100,
	/* Added if the target was full and the pool has connections. */
	POOL_FULL_RETRY_DELAY_MS = 400,
	/* A pool with teams takes a full target's limit as known this long. */
	POOL_FULL_LIMIT_MS = 2000,
	/* Attempts to send a statement that has not run. */
	POOL_ATTEMPTS_MAX = 4,
	/* Largest number of queued statements. */
	POOL_JOBS_MAX = 1024,
	/* Assumed mean service time until statements have run. */
	POOL_INITIAL_SERVICE_TIME_MS = 10,
	/* Statements sent beyond the slots, to cover network latency. */
	POOL_EXTRA_SENDS = 1,
	/* Further statements sent per slot on slow networks, at most. */
	POOL_PIPELINED_PER_SLOT_MAX = 3,
};

/* A queued or running statement. */
struct kb_pool_job {
	kb_pool_job_t *prev;
	kb_pool_job_t *next;
	/* List of its team that it is queued in, or NULL. */
	kb_pool_list_t *list;
	kb_pool_job_t *list_prev;
	kb_pool_job_t *list_next;
	const kbs_run_args *args;
	kb_run_done_fn_t *done;
	void *ctx;
	uint64_t number;
	kb_time_t deadline;
	kb_time_t objective;
	kb_pool_team_t *team;
	unsigned attempts;
	/* Its kind when it was queued. */
	int queued_kind;
	/* Open transaction that it belongs to, or 0. */
	uint64_t transaction;
	/* Set once the statement itself was sent, not only preparations. */
	int sent;
};

typedef enum kb_pool_conn_state {
	KB_POOL_CONN_OPENING,
	KB_POOL_CONN_IDLE,
	/* A command of the job is unanswered. */
	KB_POOL_CONN_BUSY,
	/* Held by an open transaction between two statements. */
	KB_POOL_CONN_PINNED,
	/* A command is unanswered whose result is not needed any more. */
	KB_POOL_CONN_ABANDONED,
	/* Removed from the pool, not freed yet. */
	KB_POOL_CONN_CLOSED,
} kb_pool_conn_state_t;

/*
 * A connection of a pool. The callbacks of a pool may close any of its
 * connections, also the one that the event came from. A closed connection's
 * memory, and `next`, stay valid until the next kb_link_pool_tick().
 */
struct kb_pool_conn {
	kb_pool_conn_t *next;
	kb_pool_conn_t *next_closed;
	kb_link_pool_t *pool;
	/* Team that it was opened for. */
	kb_pool_team_t *team;
	kb_link_t *link;
	kb_pool_conn_state_t state;
	/* Session values and prepared statements of the connection. */
	kb_session_values_t values;
	kb_session_values_t shapes;
	/* Id of the open transaction that holds it, or 0, and its hash entry.
	 */
	uint64_t transaction;
	UT_hash_handle hh;
	/* Counted among the transactions of its team. */
	int counted;
	/* Service time that its team was charged when it became busy. */
	kb_time_t charged;
	kb_time_t busy_since;
	/* BEGIN has run, and the transaction has not ended at the target. */
	int in_transaction;
	kb_pool_job_t *job;
	kb_link_command_kind_t sent_kind;
	kb_time_t sent_at;
	kb_pace_mark_t pace_mark;
	/* Time of the last change of state. */
	kb_time_t since;
	kb_time_t idle_timeout;
	/* Not counted against the slots: its answer is late or not needed. */
	int slot_released;
	/* Session value that the command sent sets, or NULL. */
	const kbs_value *value_sent;
};

/* Begins to open a connection of a team. Returns KB_ERR_NO_MEMORY. */
kb_result_t kb_pool_conn_open(kb_link_pool_t *pool, kb_pool_team_t *team);

/* Closes a connection; no effect if closed. Its job must have ended before. */
void kb_pool_conn_close(kb_pool_conn_t *conn);

/* Frees the closed connections. None may be in use by a call in progress. */
void kb_pool_conn_free_closed(kb_link_pool_t *pool);

/* Starts `job` on a connection that is idle or pinned by its transaction. */
void kb_pool_conn_start(kb_pool_conn_t *conn, kb_pool_job_t *job);

/* Handles the timeouts of a connection. Returns when to call again. */
kb_time_t kb_pool_conn_tick(kb_pool_conn_t *conn, kb_time_t now);

/* Ends the job of a connection, if any, with `result`. */
void kb_pool_conn_fail_job(kb_pool_conn_t *conn, kb_result_t result,
			   const char *message);

/* Rolls back an open transaction and keeps the connection. */
void kb_pool_conn_roll_back(kb_pool_conn_t *conn);

/* Whether a connection counts against the target's slots. */
int kb_pool_conn_uses_slot(const kb_pool_conn_t *conn);

/* Calls `done` with `res` and frees `job`. */
void kb_pool_job_end(kb_link_pool_t *pool, kb_pool_job_t *job,
		     kbs_run_res *res);

/* Ends `job` with `result` and a message, and frees it. */
void kb_pool_job_refuse(kb_link_pool_t *pool, kb_pool_job_t *job,
			kb_result_t result, const char *message);

/* Sends the queued jobs that can be sent, and opens missing connections. */
void kb_link_pool_dispatch(kb_link_pool_t *pool);

/* Returns the answer timeout, which follows the mean service time. */
kb_time_t kb_link_pool_answer_timeout(const kb_link_pool_t *pool);

KB_END_DECLS

#endif

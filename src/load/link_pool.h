#ifndef KB_LINK_POOL_H
#define KB_LINK_POOL_H

#include "link.h"
#include "pace.h"
#include "return_pace.h"
#include "session_values.h"
#include "stride.h"
#include "team_share.h"

KB_BEGIN_DECLS

/* Called with the result of a statement; `res` is valid until the return. */
typedef void kb_run_done_fn_t(void *ctx, const kbs_run_res *res);

typedef struct kb_link_pool kb_link_pool_t;
typedef struct kb_pool_conn kb_pool_conn_t;
typedef struct kb_pool_job kb_pool_job_t;
typedef struct kb_pool_team kb_pool_team_t;

enum {
	/*
	 * Classes of queued statements: priorities, with one more for open
	 * transactions, which count as one class higher.
	 */
	KB_POOL_CLASSES = 10,
	/* The classes by rank, and all late statements. */
	KB_POOL_RANKS,
};

/* Events from which the state of a target is derived. */
typedef enum kb_target_event {
	/* The target answered; the point is the end of its log. */
	KB_TARGET_EVENT_ANSWERED,
	/* A connection was refused or lost. */
	KB_TARGET_EVENT_CONNECTION_LOST,
	/* An answer or the opening of a connection timed out. */
	KB_TARGET_EVENT_TIMED_OUT,
	/* The target rejected a write because it is read-only. */
	KB_TARGET_EVENT_READ_ONLY,
} kb_target_event_t;

typedef struct kb_link_pool_ops {
	/* Whether the lease allows sending and reporting success at `now`. */
	int (*may_serve)(void *ctx, kb_time_t now);
	/* Reports an event of the target; may close connections or unbind. */
	void (*on_target_event)(void *ctx, kb_target_event_t event,
				kb_point_t point);
} kb_link_pool_ops_t;

typedef struct kb_link_pool_counters {
	uint64_t opened;
	uint64_t open_failed;
	uint64_t lost;
	uint64_t statements;
	/* Statements that the target rejected as overloaded. */
	uint64_t rejected;
	/* Statements that may be in flight now. */
	uint64_t allowed;
	uint64_t refused;
	uint64_t expired;
	uint64_t timeouts;
	uint64_t resets;
	/* Idle connections closed for one of another team. */
	uint64_t displaced;
	/* Transactions that had to wait for others of their team to end. */
	uint64_t held_back;
} kb_link_pool_counters_t;

/*
 * The connections, slots and queue of one target. All statements of a
 * transaction run on one connection, which no other caller uses until the
 * transaction has ended. A connection only runs statements of the team that it
 * was opened for.
 */
struct kb_link_pool {
	const kb_link_pool_ops_t *ops;
	void *ctx;
	kb_link_connector_t *connector;
	kb_clock_t *clock;
	kb_link_place_t place;
	/* Statements that the target runs concurrently. */
	unsigned slots;
	/* Largest number of connections. */
	unsigned limit;
	/* If set, only statements of open transactions are sent. */
	int paused;
	kb_pool_conn_t *conns;
	/* Closed connections that calls in progress may still refer to. */
	kb_pool_conn_t *closed;
	unsigned conn_count;
	/* Open transactions: a hash table of the connections they hold. */
	kb_pool_conn_t *transactions;
	/* Hash table of the teams, and how many have a name. */
	kb_pool_team_t *teams;
	unsigned named_teams;
	kb_team_share_t share;
	kb_stride_clock_t team_clock;
	kb_stride_t classes[KB_POOL_RANKS];
	kb_stride_clock_t class_clock;
	kb_pool_job_t *jobs;
	unsigned job_count;
	/* Moving average of the time from sending a statement to its reply. */
	kb_time_t service_time;
	/* The same for commands that need no slot: the network round trip. */
	kb_time_t round_trip;
	/* Finds how many statements the target can have in flight. */
	kb_pace_t pace;
	/* Only statements of open transactions may be sent now. */
	int pace_holds;
	/* Statements in flight when the present one is sent. */
	unsigned pace_ahead;
	/* What was last logged about the pace, and when to log again. */
	int pace_reduced;
	kb_time_t pace_report_at;
	/* Times before which no job is started and no connection opened. */
	kb_time_t send_blocked_until;
	kb_time_t open_blocked_until;
	/* The last attempt found no free connection at the target. */
	int target_full;
	/* Connections that it left to this pool, assumed until a time. */
	unsigned full_limit;
	kb_time_t full_until;
	uint64_t next_transaction;
	uint64_t next_job;
	int dispatching;
	/* Time from which a waiting team is logged. */
	kb_time_t next_report;
	kb_link_pool_counters_t counters;
	/* When refused callers are to return. */
	kb_return_pace_t returns;
};

/*
 * Initializes an empty pool. Its transaction ids are counted from `nonce`, a
 * random number that keeps them different from those of other pools.
 */
void kb_link_pool_init(kb_link_pool_t *pool, const kb_link_pool_ops_t *ops,
		       void *ctx, kb_link_connector_t *connector,
		       kb_clock_t *clock, uint64_t nonce);

/* Ends every statement and closes every connection. */
void kb_link_pool_finish(kb_link_pool_t *pool);

/*
 * Binds the pool to a target. Connections to another target are closed:
 * statements that were sent there end, queued ones go to the new target.
 */
void kb_link_pool_bind(kb_link_pool_t *pool, const kb_link_place_t *place,
		       unsigned slots, unsigned limit);

/*
 * Runs a statement. `args` must stay valid until `done`, which may be called
 * before the return.
 */
void kb_link_pool_run(kb_link_pool_t *pool, const kbs_run_args *args,
		      kb_run_done_fn_t *done, void *ctx);

/* Handles timeouts and sends queued statements. Returns when to call again. */
kb_time_t kb_link_pool_tick(kb_link_pool_t *pool);

/* Rolls back every open transaction. */
void kb_link_pool_abort_transactions(kb_link_pool_t *pool);

/* Ends every queued statement with `result`; none of them has run. */
void kb_link_pool_refuse_waiting(kb_link_pool_t *pool, kb_result_t result,
				 const char *message);

/* Closes the idle connections. */
void kb_link_pool_close_idle(kb_link_pool_t *pool);

/* Returns the number of unanswered statements and open transactions. */
unsigned kb_link_pool_active(const kb_link_pool_t *pool);

/* Fills in the load, by which callers choose a target for reads. */
void kb_link_pool_load(const kb_link_pool_t *pool, kbs_load *load);

KB_END_DECLS

#endif

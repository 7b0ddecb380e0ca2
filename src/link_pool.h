#ifndef KB_LINK_POOL_H
#define KB_LINK_POOL_H

#include "link.h"
#include "session_values.h"

KB_BEGIN_DECLS

/* Receives the end of a statement; `res` lives until the return. */
typedef void kb_run_done_fn_t(void *ctx, const kbs_run_res *res);

typedef struct kb_link_pool kb_link_pool_t;
typedef struct kb_pool_conn kb_pool_conn_t;
typedef struct kb_pool_job kb_pool_job_t;

/* What a connection tells of its target. */
typedef enum kb_target_sign {
	/* It answered; the point is the end of its log. */
	KB_SIGN_ANSWERED,
	/* A connection was refused or lost. */
	KB_SIGN_LOST,
	/* It has been silent for longer than answers take. */
	KB_SIGN_SILENT,
	/* It takes no writes. */
	KB_SIGN_READ_ONLY,
} kb_target_sign_t;

typedef struct kb_link_pool_ops {
	/* Whether statements may be sent, and successes told, at `now`. */
	int (*may_serve)(void *ctx, kb_time_t now);
	void (*sign)(void *ctx, kb_target_sign_t sign, kb_point_t point);
} kb_link_pool_ops_t;

typedef struct kb_link_pool_counters {
	uint64_t opened;
	uint64_t open_failed;
	uint64_t lost;
	uint64_t statements;
	uint64_t refused;
	uint64_t expired;
	uint64_t silent;
	uint64_t resets;
} kb_link_pool_counters_t;

/*
 * The connections, slots and queue of one target. Statements of a transaction
 * run on one connection, which no other caller uses until it has ended.
 */
struct kb_link_pool {
	const kb_link_pool_ops_t *ops;
	void *ctx;
	kb_link_connector_t *linker;
	kb_clock_t *clock;
	kb_link_place_t place;
	/* Statements that the target runs at the same time. */
	unsigned slots;
	/* Connections that this pool may hold. */
	unsigned limit;
	/* Nothing but open transactions goes on. */
	int paused;
	kb_pool_conn_t *conns;
	/* Closed connections that calls in progress may still look at. */
	kb_pool_conn_t *closed;
	unsigned conn_count;
	kb_pool_job_t *jobs;
	unsigned job_count;
	/* Mean time of a statement at the target. */
	kb_time_t service;
	/* Mean time of an order that needs no slot: the way there and back. */
	kb_time_t round_trip;
	/* Nothing is sent or opened before these times. */
	kb_time_t send_blocked_until;
	kb_time_t open_blocked_until;
	uint64_t next_transaction;
	uint64_t next_job;
	int dispatching;
	kb_link_pool_counters_t counters;
};

/* Initializes an empty pool; `nonce` makes its transactions unique. */
void kb_link_pool_init(kb_link_pool_t *pool, const kb_link_pool_ops_t *ops,
		       void *ctx, kb_link_connector_t *linker,
		       kb_clock_t *clock, uint64_t nonce);

/* Ends every statement and closes every connection. */
void kb_link_pool_finish(kb_link_pool_t *pool);

/*
 * Binds the pool to a target. Connections to another one are closed; what
 * runs there ends, what waits goes on at the new target.
 */
void kb_link_pool_bind(kb_link_pool_t *pool, const kb_link_place_t *place,
		       unsigned slots, unsigned limit);

/*
 * Runs a statement. `args` must live until `done`, which may be called
 * before the return.
 */
void kb_link_pool_run(kb_link_pool_t *pool, const kbs_run_args *args,
		      kb_run_done_fn_t *done, void *ctx);

/* Carries out what is due. Returns the time of the next call. */
kb_time_t kb_link_pool_tick(kb_link_pool_t *pool);

/* Rolls back every open transaction. */
void kb_link_pool_abort_transactions(kb_link_pool_t *pool);

/* Refuses every statement that waits; none of them has run. */
void kb_link_pool_refuse_waiting(kb_link_pool_t *pool, kb_result_t result,
				 const char *message);

/* Closes the connections that nobody uses. */
void kb_link_pool_close_idle(kb_link_pool_t *pool);

/* Statements sent and not answered, open transactions counted too. */
unsigned kb_link_pool_active(const kb_link_pool_t *pool);

/* Fills in what callers use to place reads. */
void kb_link_pool_load(const kb_link_pool_t *pool, kbs_load *load);

KB_END_DECLS

#endif

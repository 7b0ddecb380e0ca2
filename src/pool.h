#ifndef KB_POOL_H
#define KB_POOL_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/*
 * The connections of one target, on the host that is its gate. Decides when
 * to open, use, roll back and close them; the owner does the I/O. A
 * connection serves one transaction at a time and returns to the idle ones
 * only outside a transaction with every answer consumed.
 */

#define KB_POOL_MAX_CONNECTIONS 128

/* Connections that hosts keep free for probes, fences and promotions. */
#define KB_POOL_CONTROL_RESERVE 2

typedef enum kb_connection_state {
	/* Not in use; neither open nor counted by the target. */
	KB_CONNECTION_FREE,
	KB_CONNECTION_CONNECTING,
	KB_CONNECTION_IDLE,
	/* A statement runs on it. */
	KB_CONNECTION_BUSY,
	/* Held by an open transaction between two statements. */
	KB_CONNECTION_PINNED,
	/* Being closed; the target may still count it. */
	KB_CONNECTION_CLOSING,
	KB_CONNECTION_STATES,
} kb_connection_state_t;

/* What is known of a connection when its statement has ended. */
typedef enum kb_connection_flags {
	/* Outside a transaction, every answer consumed. */
	KB_CONNECTION_CLEAN = 0,
	KB_CONNECTION_IN_TRANSACTION = 1 << 0,
	/* Part of an answer has not been read. */
	KB_CONNECTION_ANSWER_PENDING = 1 << 1,
	KB_CONNECTION_BROKEN = 1 << 2,
} kb_connection_flags_t;

typedef struct kb_pool kb_pool_t;

/* One connection. */
typedef struct kb_pool_connection {
	/* For the owner. */
	void *handle;
	/* Private. */
	kb_connection_state_t state;
	/* Time of the last change of state. */
	kb_time_t since;
	/* Set while the pool's own rollback runs on it. */
	int rolling_back;
} kb_pool_connection_t;

/* A request for a connection; zero it and embed it in its owner. */
typedef struct kb_pool_waiter {
	/* Private. */
	struct kb_pool_waiter *prev;
	struct kb_pool_waiter *next;
	int queued;
} kb_pool_waiter_t;

/* Orders to the owner. Each may be given from within any call below. */
typedef struct kb_pool_ops {
	/* Connect; report kb_pool_connected() or kb_pool_closed(). */
	void (*open)(kb_pool_t *pool, kb_pool_connection_t *connection);
	/* Send ROLLBACK; report with kb_pool_release(). */
	void (*rollback)(kb_pool_t *pool, kb_pool_connection_t *connection);
	/* Close, also while connecting; report kb_pool_closed(). */
	void (*close)(kb_pool_t *pool, kb_pool_connection_t *connection);
	/*
	 * A pinned connection was unused for too long and will be rolled
	 * back: its transaction must not use it again.
	 */
	void (*expire)(kb_pool_t *pool, kb_pool_connection_t *connection,
		       kb_time_t now);
	/* `connection` is the waiter's and busy. */
	void (*grant)(kb_pool_t *pool, kb_pool_waiter_t *waiter,
		      kb_pool_connection_t *connection, kb_time_t now);
	/* The waiter gets none; no byte of its request was sent. */
	void (*refuse)(kb_pool_t *pool, kb_pool_waiter_t *waiter,
		       kb_result_t result, kb_time_t now);
} kb_pool_ops_t;

typedef struct kb_pool_settings {
	/* Connections that may exist at a time. */
	unsigned limit;
	/* Idle connections that are kept however long they are unused. */
	unsigned min_idle;
	/* Time after which another idle connection is closed. */
	kb_time_t idle_timeout;
	/* Time that a transaction may hold a connection unused. */
	kb_time_t pinned_timeout;
	/* Time that connecting, and a rollback by the pool, may take. */
	kb_time_t control_timeout;
	/* First and longest pause after failing to connect. */
	kb_time_t backoff_min;
	kb_time_t backoff_max;
	/* Makes the pauses of different hosts differ. */
	uint64_t seed;
} kb_pool_settings_t;

struct kb_pool {
	const kb_pool_ops_t *ops;
	kb_pool_settings_t settings;
	kb_pool_connection_t connections[KB_POOL_MAX_CONNECTIONS];
	unsigned counts[KB_CONNECTION_STATES];
	kb_pool_waiter_t *first_waiter;
	kb_pool_waiter_t *last_waiter;
	unsigned waiting;
	/* Attempts to connect that failed in a row. */
	unsigned failures;
	/* Time before which no attempt to connect is made. */
	kb_time_t retry_at;
	int dispatching;
};

/*
 * Returns how many connections one gate may open at a target that accepts
 * `connections`, so that two hosts that both believe to be the gate stay
 * within them together and `control_reserve` remains.
 */
unsigned kb_pool_usable(unsigned connections, unsigned control_reserve);

/* Fills in defaults for a target that accepts `connections`. */
void kb_pool_default_settings(kb_pool_settings_t *settings,
			      unsigned connections, uint64_t seed);

void kb_pool_init(kb_pool_t *pool, const kb_pool_ops_t *ops,
		  const kb_pool_settings_t *settings);

/*
 * Changes the limit. Idle connections beyond it are closed at once, others
 * when they come back; 0 is right for a host that stops being the gate.
 */
void kb_pool_set_limit(kb_pool_t *pool, unsigned limit, kb_time_t now);

/*
 * Asks for a connection. The answer comes through `grant`, or `refuse` with
 * KB_ERR_UNREACHABLE if the target cannot be reached and KB_ERR_NOT_GATE if
 * the limit is 0; either may come from within this call.
 */
void kb_pool_acquire(kb_pool_t *pool, kb_pool_waiter_t *waiter, kb_time_t now);

/* Withdraws a waiter; KB_ERR_NOT_FOUND if it was answered before. */
kb_result_t kb_pool_cancel(kb_pool_t *pool, kb_pool_waiter_t *waiter);

/* A connection is open. */
void kb_pool_connected(kb_pool_t *pool, kb_pool_connection_t *connection,
		       kb_time_t now);

/* A connection does not exist: it failed to open, was closed or was lost. */
void kb_pool_closed(kb_pool_t *pool, kb_pool_connection_t *connection,
		    kb_time_t now);

/*
 * The user is done with a busy or pinned connection, whose `flags` are a
 * combination of kb_connection_flags_t. It becomes idle only if clean and is
 * closed otherwise; a pinned one is rolled back first.
 */
void kb_pool_release(kb_pool_t *pool, kb_pool_connection_t *connection,
		     unsigned flags, kb_time_t now);

/*
 * The statement of an open transaction has ended on a busy connection, which
 * the transaction keeps. Returns KB_ERR_ROLLED_BACK, and takes the connection
 * back, if `flags` says that no transaction is open, and KB_ERR_CLOSED if it
 * is broken or an answer is pending.
 */
kb_result_t kb_pool_pin(kb_pool_t *pool, kb_pool_connection_t *connection,
			unsigned flags, kb_time_t now);

/*
 * The next statement of the transaction begins. Returns KB_ERR_CLOSED if the
 * connection is not pinned.
 */
kb_result_t kb_pool_resume(kb_pool_t *pool, kb_pool_connection_t *connection,
			   kb_time_t now);

/*
 * The caller has vanished. A pinned connection is rolled back, a busy one is
 * closed, which makes the target roll back.
 */
void kb_pool_abandon(kb_pool_t *pool, kb_pool_connection_t *connection,
		     kb_time_t now);

/*
 * Acts on what has expired and opens connections after a pause; returns when
 * to call again.
 */
kb_time_t kb_pool_tick(kb_pool_t *pool, kb_time_t now);

/* Returns how many connections the target may count as ours. */
unsigned kb_pool_open_count(const kb_pool_t *pool);

KB_END_DECLS

#endif

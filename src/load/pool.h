#ifndef KB_POOL_H
#define KB_POOL_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/*
 * Connection pool of one target, on the host that is its gate. It decides when
 * to open, use, roll back and close connections; the owner does the I/O. A
 * connection serves one transaction at a time and becomes idle only outside a
 * transaction and with every answer consumed.
 */

#define KB_POOL_MAX_CONNECTIONS 128

/* Connections reserved for probes, fences and promotions. */
#define KB_POOL_CONTROL_RESERVE 2

typedef enum kb_connection_state {
	/* Unused entry: no connection exists. */
	KB_CONNECTION_FREE,
	KB_CONNECTION_CONNECTING,
	KB_CONNECTION_IDLE,
	/* A statement runs on it. */
	KB_CONNECTION_BUSY,
	/* Held by an open transaction between two statements. */
	KB_CONNECTION_PINNED,
	/* Being closed; it may still count against the target's limit. */
	KB_CONNECTION_CLOSING,
	KB_CONNECTION_STATES,
} kb_connection_state_t;

/* State of a connection when its statement has ended. */
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
	/* Free for use by the owner. */
	void *handle;
	/* Private. */
	kb_connection_state_t state;
	/* Time of the last change of state. */
	kb_time_t since;
	/* Set while the pool's own rollback runs on it. */
	int rolling_back;
} kb_pool_connection_t;

/* A request for a connection, embedded in its owner and zeroed before use. */
typedef struct kb_pool_waiter {
	/* Private. */
	struct kb_pool_waiter *prev;
	struct kb_pool_waiter *next;
	int queued;
} kb_pool_waiter_t;

/* Callbacks to the owner. Each may be called from within any function below. */
typedef struct kb_pool_ops {
	/* Connects, then calls kb_pool_connected() or kb_pool_closed(). */
	void (*open)(kb_pool_t *pool, kb_pool_connection_t *connection);
	/* Sends ROLLBACK, then calls kb_pool_release(). */
	void (*rollback)(kb_pool_t *pool, kb_pool_connection_t *connection);
	/* Closes, also while connecting, then calls kb_pool_closed(). */
	void (*close)(kb_pool_t *pool, kb_pool_connection_t *connection);
	/*
	 * A pinned connection exceeded its idle timeout and is rolled back;
	 * its transaction must not use it again.
	 */
	void (*expire)(kb_pool_t *pool, kb_pool_connection_t *connection,
		       kb_time_t now);
	/* Gives `connection`, which is busy now, to the waiter. */
	void (*grant)(kb_pool_t *pool, kb_pool_waiter_t *waiter,
		      kb_pool_connection_t *connection, kb_time_t now);
	/* The waiter gets no connection; nothing of its request was sent. */
	void (*refuse)(kb_pool_t *pool, kb_pool_waiter_t *waiter,
		       kb_result_t result, kb_time_t now);
} kb_pool_ops_t;

typedef struct kb_pool_settings {
	/* Largest number of connections. */
	unsigned limit;
	/* Idle connections that are exempt from the idle timeout. */
	unsigned min_idle;
	/* Idle connections beyond min_idle are closed after this time. */
	kb_time_t idle_timeout;
	/* Idle timeout of an open transaction between two statements. */
	kb_time_t pinned_timeout;
	/* Timeout of connecting and of the pool's own rollback. */
	kb_time_t control_timeout;
	/* First and longest delay after a failure to connect. */
	kb_time_t backoff_min;
	kb_time_t backoff_max;
	/* Seed of the jitter; should differ between hosts. */
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
	/* Consecutive failures to connect. */
	unsigned failures;
	/* No connection is opened before this time. */
	kb_time_t retry_at;
	int dispatching;
};

/*
 * Returns how many connections a gate may open to a target that accepts
 * `connections`. It is half of those beyond `control_reserve`, since two hosts
 * may act as the gate at the same time during a change.
 */
unsigned kb_pool_connection_limit(unsigned connections,
				  unsigned control_reserve);

/* Fills in defaults for a target that accepts `connections`. */
void kb_pool_default_settings(kb_pool_settings_t *settings,
			      unsigned connections, uint64_t seed);

void kb_pool_init(kb_pool_t *pool, const kb_pool_ops_t *ops,
		  const kb_pool_settings_t *settings);

/*
 * Changes the limit. Idle connections beyond it are closed at once, others
 * when they are released. A host that stops being the gate sets it to 0.
 */
void kb_pool_set_limit(kb_pool_t *pool, unsigned limit, kb_time_t now);

/*
 * Requests a connection. The pool calls `grant`, or `refuse` with
 * KB_ERR_UNREACHABLE if the target cannot be reached or KB_ERR_NOT_GATE if the
 * limit is 0; either may be called from within this function.
 */
void kb_pool_acquire(kb_pool_t *pool, kb_pool_waiter_t *waiter, kb_time_t now);

/* Removes a waiter. Returns KB_ERR_NOT_FOUND if it is not queued any more. */
kb_result_t kb_pool_cancel(kb_pool_t *pool, kb_pool_waiter_t *waiter);

/* Reports that a connection is open. */
void kb_pool_connected(kb_pool_t *pool, kb_pool_connection_t *connection,
		       kb_time_t now);

/* Reports that a connection failed to open, was closed or was lost. */
void kb_pool_closed(kb_pool_t *pool, kb_pool_connection_t *connection,
		    kb_time_t now);

/*
 * Releases a busy or pinned connection; `flags` is a combination of
 * kb_connection_flags_t. A clean connection becomes idle, a pinned one after a
 * rollback; any other is closed.
 */
void kb_pool_release(kb_pool_t *pool, kb_pool_connection_t *connection,
		     unsigned flags, kb_time_t now);

/*
 * Pins a busy connection to its transaction after a statement has ended.
 * Otherwise releases it and returns KB_ERR_ROLLED_BACK if `flags` shows that no
 * transaction is open, or KB_ERR_CLOSED if the connection is broken or an
 * answer is pending.
 */
kb_result_t kb_pool_pin(kb_pool_t *pool, kb_pool_connection_t *connection,
			unsigned flags, kb_time_t now);

/*
 * Makes a pinned connection busy for the next statement of its transaction.
 * Returns KB_ERR_CLOSED if the connection is not pinned.
 */
kb_result_t kb_pool_resume(kb_pool_t *pool, kb_pool_connection_t *connection,
			   kb_time_t now);

/*
 * Ends the transaction of a caller that has disconnected. A pinned connection
 * is rolled back; a busy one is closed, which makes the target roll back.
 */
void kb_pool_abandon(kb_pool_t *pool, kb_pool_connection_t *connection,
		     kb_time_t now);

/*
 * Handles timeouts and opens connections after a backoff. Returns when to call
 * again.
 */
kb_time_t kb_pool_tick(kb_pool_t *pool, kb_time_t now);

/* Returns the number of connections that exist, those being closed included. */
unsigned kb_pool_open_count(const kb_pool_t *pool);

KB_END_DECLS

#endif

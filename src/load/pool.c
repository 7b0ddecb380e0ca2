#include "pool.h"

#include <string.h>
#include <xxhash.h>

enum {
	IDLE_TIMEOUT_MS = 60000,
	PINNED_TIMEOUT_MS = 10000,
	CONTROL_TIMEOUT_MS = 1000,
	BACKOFF_MIN_MS = 20,
	BACKOFF_MAX_MS = 2000,
	MIN_IDLE_CONNECTIONS = 1,
	/* Keeps the shift in range; backoff_max limits the delay itself. */
	BACKOFF_MAX_DOUBLINGS = 16,
};

unsigned kb_pool_connection_limit(unsigned connections,
				  unsigned control_reserve)
{
	if (connections <= control_reserve)
		return 0;
	return (connections - control_reserve) / 2;
}

void kb_pool_default_settings(kb_pool_settings_t *settings,
			      unsigned connections, uint64_t seed)
{
	*settings = (kb_pool_settings_t){
		.limit = kb_pool_connection_limit(connections,
						  KB_POOL_CONTROL_RESERVE),
		.min_idle = MIN_IDLE_CONNECTIONS,
		.idle_timeout = IDLE_TIMEOUT_MS * KB_NS_PER_MS,
		.pinned_timeout = PINNED_TIMEOUT_MS * KB_NS_PER_MS,
		.control_timeout = CONTROL_TIMEOUT_MS * KB_NS_PER_MS,
		.backoff_min = BACKOFF_MIN_MS * KB_NS_PER_MS,
		.backoff_max = BACKOFF_MAX_MS * KB_NS_PER_MS,
		.seed = seed,
	};
}

void kb_pool_init(kb_pool_t *pool, const kb_pool_ops_t *ops,
		  const kb_pool_settings_t *settings)
{
	memset(pool, 0, sizeof(*pool));
	pool->ops = ops;
	pool->settings = *settings;
	pool->counts[KB_CONNECTION_FREE] = KB_POOL_MAX_CONNECTIONS;
}

unsigned kb_pool_open_count(const kb_pool_t *pool)
{
	return KB_POOL_MAX_CONNECTIONS - pool->counts[KB_CONNECTION_FREE];
}

static unsigned limit_of(const kb_pool_t *pool)
{
	unsigned limit = pool->settings.limit;

	return limit < KB_POOL_MAX_CONNECTIONS ? limit
					       : KB_POOL_MAX_CONNECTIONS;
}

static void set_state(kb_pool_t *pool, kb_pool_connection_t *connection,
		      kb_connection_state_t state, kb_time_t now)
{
	pool->counts[connection->state]--;
	pool->counts[state]++;
	connection->state = state;
	connection->since = now;
}

static void close_connection(kb_pool_t *pool, kb_pool_connection_t *connection,
			     kb_time_t now)
{
	connection->rolling_back = 0;
	set_state(pool, connection, KB_CONNECTION_CLOSING, now);
	pool->ops->close(pool, connection);
}

static kb_pool_connection_t *find_state(kb_pool_t *pool,
					kb_connection_state_t state)
{
	kb_pool_connection_t *found = NULL;

	for (size_t i = 0; pool->counts[state] && i < KB_POOL_MAX_CONNECTIONS;
	     i++) {
		kb_pool_connection_t *connection = &pool->connections[i];

		/* The most recently used one, so that others can expire. */
		if (connection->state == state &&
		    (!found || connection->since > found->since))
			found = connection;
	}
	return found;
}

static void add_waiter(kb_pool_t *pool, kb_pool_waiter_t *waiter)
{
	waiter->queued = 1;
	waiter->next = NULL;
	waiter->prev = pool->last_waiter;
	if (pool->last_waiter)
		pool->last_waiter->next = waiter;
	else
		pool->first_waiter = waiter;
	pool->last_waiter = waiter;
	pool->waiting++;
}

static void remove_waiter(kb_pool_t *pool, kb_pool_waiter_t *waiter)
{
	if (waiter->prev)
		waiter->prev->next = waiter->next;
	else
		pool->first_waiter = waiter->next;
	if (waiter->next)
		waiter->next->prev = waiter->prev;
	else
		pool->last_waiter = waiter->prev;
	waiter->prev = waiter->next = NULL;
	waiter->queued = 0;
	pool->waiting--;
}

static void grant_idle(kb_pool_t *pool, kb_time_t now)
{
	while (pool->waiting && pool->counts[KB_CONNECTION_IDLE]) {
		kb_pool_waiter_t *waiter = pool->first_waiter;
		kb_pool_connection_t *connection =
			find_state(pool, KB_CONNECTION_IDLE);

		remove_waiter(pool, waiter);
		set_state(pool, connection, KB_CONNECTION_BUSY, now);
		pool->ops->grant(pool, waiter, connection, now);
	}
}

static void open_connections(kb_pool_t *pool, kb_time_t now)
{
	while (pool->waiting > pool->counts[KB_CONNECTION_CONNECTING] &&
	       kb_pool_open_count(pool) < limit_of(pool) &&
	       now >= pool->retry_at) {
		kb_pool_connection_t *connection =
			find_state(pool, KB_CONNECTION_FREE);

		set_state(pool, connection, KB_CONNECTION_CONNECTING, now);
		pool->ops->open(pool, connection);
	}
}

/* Returns why waiters must be refused, or KB_OK if they can still be served. */
static kb_result_t refusal_reason(const kb_pool_t *pool, kb_time_t now)
{
	if (!pool->settings.limit)
		return KB_ERR_NOT_GATE;
	if (pool->failures && !kb_pool_open_count(pool) && now < pool->retry_at)
		return KB_ERR_UNREACHABLE;
	return KB_OK;
}

static void dispatch(kb_pool_t *pool, kb_time_t now)
{
	kb_result_t result;

	if (pool->dispatching)
		return;
	pool->dispatching = 1;
	do {
		grant_idle(pool, now);
		open_connections(pool, now);
	} while (pool->waiting && pool->counts[KB_CONNECTION_IDLE]);
	result = refusal_reason(pool, now);
	for (unsigned left = pool->waiting; result && left; left--) {
		kb_pool_waiter_t *waiter = pool->first_waiter;

		if (!waiter)
			break;

		remove_waiter(pool, waiter);
		pool->ops->refuse(pool, waiter, result, now);
	}
	pool->dispatching = 0;
}

static void close_excess(kb_pool_t *pool, kb_time_t now)
{
	while (pool->counts[KB_CONNECTION_IDLE] &&
	       kb_pool_open_count(pool) - pool->counts[KB_CONNECTION_CLOSING] >
		       limit_of(pool))
		close_connection(pool, find_state(pool, KB_CONNECTION_IDLE),
				 now);
}

void kb_pool_set_limit(kb_pool_t *pool, unsigned limit, kb_time_t now)
{
	pool->settings.limit = limit;
	close_excess(pool, now);
	dispatch(pool, now);
}

void kb_pool_acquire(kb_pool_t *pool, kb_pool_waiter_t *waiter, kb_time_t now)
{
	add_waiter(pool, waiter);
	dispatch(pool, now);
}

kb_result_t kb_pool_cancel(kb_pool_t *pool, kb_pool_waiter_t *waiter)
{
	if (!waiter->queued)
		return KB_ERR_NOT_FOUND;
	remove_waiter(pool, waiter);
	return KB_OK;
}

static void make_idle(kb_pool_t *pool, kb_pool_connection_t *connection,
		      kb_time_t now)
{
	connection->rolling_back = 0;
	set_state(pool, connection, KB_CONNECTION_IDLE, now);
	close_excess(pool, now);
	dispatch(pool, now);
}

void kb_pool_connected(kb_pool_t *pool, kb_pool_connection_t *connection,
		       kb_time_t now)
{
	if (connection->state != KB_CONNECTION_CONNECTING)
		return;
	pool->failures = 0;
	pool->retry_at = 0;
	make_idle(pool, connection, now);
}

/* Exponential backoff; a hash adds jitter over the upper half of the delay. */
static kb_time_t backoff(const kb_pool_t *pool)
{
	unsigned doublings = pool->failures - 1;
	kb_time_t pause = pool->settings.backoff_min;
	uint64_t spread = XXH64(&pool->failures, sizeof(pool->failures),
				pool->settings.seed);

	if (doublings > BACKOFF_MAX_DOUBLINGS)
		doublings = BACKOFF_MAX_DOUBLINGS;
	pause *= INT64_C(1) << doublings;
	if (pause > pool->settings.backoff_max)
		pause = pool->settings.backoff_max;
	return pause - (kb_time_t)(spread % (uint64_t)(pause / 2 + 1));
}

/* Failures of concurrent attempts count as one. */
static void connect_failed(kb_pool_t *pool, kb_time_t now)
{
	if (now < pool->retry_at)
		return;
	pool->failures++;
	pool->retry_at = now + backoff(pool);
}

void kb_pool_closed(kb_pool_t *pool, kb_pool_connection_t *connection,
		    kb_time_t now)
{
	if (connection->state == KB_CONNECTION_CONNECTING)
		connect_failed(pool, now);
	connection->rolling_back = 0;
	connection->handle = NULL;
	set_state(pool, connection, KB_CONNECTION_FREE, now);
	dispatch(pool, now);
}

static int is_in_use(const kb_pool_connection_t *connection)
{
	return connection->state == KB_CONNECTION_BUSY ||
	       connection->state == KB_CONNECTION_PINNED;
}

void kb_pool_release(kb_pool_t *pool, kb_pool_connection_t *connection,
		     unsigned flags, kb_time_t now)
{
	if (connection->state == KB_CONNECTION_PINNED &&
	    flags == KB_CONNECTION_CLEAN)
		kb_pool_abandon(pool, connection, now);
	else if (is_in_use(connection) && flags == KB_CONNECTION_CLEAN)
		make_idle(pool, connection, now);
	else if (is_in_use(connection))
		close_connection(pool, connection, now);
}

kb_result_t kb_pool_pin(kb_pool_t *pool, kb_pool_connection_t *connection,
			unsigned flags, kb_time_t now)
{
	if (connection->state != KB_CONNECTION_BUSY || connection->rolling_back)
		return KB_ERR_CLOSED;
	if (flags == KB_CONNECTION_IN_TRANSACTION) {
		set_state(pool, connection, KB_CONNECTION_PINNED, now);
		return KB_OK;
	}
	kb_pool_release(pool, connection, flags, now);
	return flags == KB_CONNECTION_CLEAN ? KB_ERR_ROLLED_BACK
					    : KB_ERR_CLOSED;
}

kb_result_t kb_pool_resume(kb_pool_t *pool, kb_pool_connection_t *connection,
			   kb_time_t now)
{
	if (connection->state != KB_CONNECTION_PINNED)
		return KB_ERR_CLOSED;
	set_state(pool, connection, KB_CONNECTION_BUSY, now);
	return KB_OK;
}

void kb_pool_abandon(kb_pool_t *pool, kb_pool_connection_t *connection,
		     kb_time_t now)
{
	if (connection->state == KB_CONNECTION_BUSY &&
	    !connection->rolling_back)
		close_connection(pool, connection, now);
	if (connection->state != KB_CONNECTION_PINNED)
		return;
	set_state(pool, connection, KB_CONNECTION_BUSY, now);
	connection->rolling_back = 1;
	pool->ops->rollback(pool, connection);
}

/* Returns when the connection expires in its present state. */
static kb_time_t expiry(const kb_pool_t *pool,
			const kb_pool_connection_t *connection)
{
	const kb_pool_settings_t *settings = &pool->settings;

	switch (connection->state) {
	case KB_CONNECTION_CONNECTING:
		return connection->since + settings->control_timeout;
	case KB_CONNECTION_PINNED:
		return connection->since + settings->pinned_timeout;
	case KB_CONNECTION_IDLE:
		if (pool->counts[KB_CONNECTION_IDLE] <= settings->min_idle)
			return KB_TIME_NEVER;
		return connection->since + settings->idle_timeout;
	case KB_CONNECTION_BUSY:
		if (!connection->rolling_back)
			return KB_TIME_NEVER;
		return connection->since + settings->control_timeout;
	default:
		return KB_TIME_NEVER;
	}
}

static void expire(kb_pool_t *pool, kb_pool_connection_t *connection,
		   kb_time_t now)
{
	if (connection->state == KB_CONNECTION_PINNED) {
		pool->ops->expire(pool, connection, now);
		kb_pool_abandon(pool, connection, now);
		return;
	}
	if (connection->state == KB_CONNECTION_CONNECTING)
		connect_failed(pool, now);
	close_connection(pool, connection, now);
}

kb_time_t kb_pool_tick(kb_pool_t *pool, kb_time_t now)
{
	kb_time_t next = KB_TIME_NEVER;

	for (size_t i = 0; i < KB_POOL_MAX_CONNECTIONS; i++) {
		kb_pool_connection_t *connection = &pool->connections[i];

		if (expiry(pool, connection) <= now)
			expire(pool, connection, now);
		if (expiry(pool, connection) < next)
			next = expiry(pool, connection);
	}
	dispatch(pool, now);
	if (pool->waiting && pool->retry_at > now && pool->retry_at < next)
		next = pool->retry_at;
	return next;
}

#include "pool_pace.h"

#include "log.h"
#include "pool_conn.h"

enum {
	/* Shortest time between two log lines on the pace of a target. */
	REPORT_INTERVAL_MS = 5000,
};

static kb_time_t now_of(const kb_link_pool_t *pool)
{
	return kb_clock_monotonic(pool->clock);
}

/* Logs that a target gets less than its limit, and when it gets all again. */
static void report(kb_link_pool_t *pool)
{
	const kb_pace_t *pace = &pool->pace;
	kb_time_t now = now_of(pool);
	int reduced =
		pace->state == KB_PACE_PROBING || pace->state == KB_PACE_HELD;

	if (reduced == pool->pace_reduced || pace->state == KB_PACE_DOWN ||
	    pace->state == KB_PACE_RISING || now < pool->pace_report_at)
		return;
	pool->pace_reduced = reduced;
	pool->pace_report_at = now + REPORT_INTERVAL_MS * KB_NS_PER_MS;
	if (reduced)
		kb_log(KB_EVENT_TARGET_PACE_CUT,
		       "target=%s state=%s in_flight=%u slots=%u",
		       pool->place.target.data, kb_pace_state_name(pace->state),
		       pace->window, pool->slots);
	else
		kb_log(KB_EVENT_TARGET_PACE_FULL, "target=%s slots=%u",
		       pool->place.target.data, pool->slots);
}

void kb_pool_pace_hold(kb_link_pool_t *pool, unsigned in_flight, unsigned limit,
		       kb_time_t now)
{
	if (!pool->pace.enabled)
		return;
	pool->counters.allowed = kb_pace_limit(&pool->pace, limit, now);
	pool->pace_holds = in_flight >= pool->counters.allowed;
	pool->pace_ahead = in_flight;
}

void kb_pool_pace_on_sent(kb_pool_conn_t *conn)
{
	conn->pace_mark =
		kb_pace_on_sent(&conn->pool->pace, conn->pool->pace_ahead);
}

void kb_pool_pace_on_reply(kb_pool_conn_t *conn, kb_result_t result)
{
	kb_link_pool_t *pool = conn->pool;
	kb_time_t now = now_of(pool);

	if (result == KB_ERR_OVERLOADED) {
		pool->counters.rejected++;
		kb_pace_on_rejected(&pool->pace, &conn->pace_mark, now);
	} else {
		kb_pace_on_answered(&pool->pace, &conn->pace_mark,
				    now - conn->sent_at, result, now);
	}
	report(pool);
}

void kb_pool_pace_on_silent(kb_pool_conn_t *conn)
{
	kb_pace_on_silent(&conn->pool->pace, &conn->pace_mark);
	report(conn->pool);
}

void kb_pool_pace_on_lost(kb_link_pool_t *pool)
{
	unsigned established = 0;

	for (const kb_pool_conn_t *conn = pool->conns; conn; conn = conn->next)
		established += conn->state != KB_POOL_CONN_OPENING;
	kb_pace_on_lost(&pool->pace, established);
}

#include "pool_report.h"

#include "log.h"
#include "pool_queue.h"

/* Whether a team has a queue of which nothing has started for long. */
static int is_stuck(const kb_pool_team_t *team, kb_time_t now)
{
	return (team->use.waiting || team->use.begins) &&
	       now - team->use.waiting_since >=
		       POOL_REPORT_WAIT_MS * KB_NS_PER_MS;
}

void kb_pool_report(kb_link_pool_t *pool, kb_time_t now)
{
	const kb_pool_team_t *longest = NULL;
	unsigned stuck = 0;

	if (!pool->named_teams || now < pool->next_report)
		return;
	for (const kb_pool_team_t *team = pool->teams; team;
	     team = team->hh.next) {
		if (!is_stuck(team, now))
			continue;
		stuck++;
		if (!longest ||
		    team->use.waiting_since < longest->use.waiting_since)
			longest = team;
	}
	if (!longest)
		return;
	pool->next_report = now + POOL_REPORT_INTERVAL_MS * KB_NS_PER_MS;
	kb_log(KB_EVENT_TEAM_WAITS,
	       "target=%s team=%s waited_ms=%lld teams=%u own=%u "
	       "transactions=%u connections=%u limit=%u opening=%u",
	       pool->place.target.data, longest->name.data,
	       (long long)((now - longest->use.waiting_since) / KB_NS_PER_MS),
	       stuck, kb_team_use_conns(&longest->use),
	       longest->use.transactions, pool->share.conns, pool->limit,
	       pool->share.opening);
}

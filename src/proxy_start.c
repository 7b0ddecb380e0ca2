#include "proxy_internal.h"

#include "load/start_wait.h"

int kb_proxy_takes_sessions(const kb_proxy_t *proxy)
{
	return !kb_start_wait_holds_sessions(proxy->databases.version != 0,
					     proxy->started_at,
					     kb_clock_monotonic(proxy->clock));
}

void kb_proxy_start_tick(kb_proxy_t *proxy, kb_time_t now)
{
	kb_start_phases_t *phases = &proxy->start;

	if (phases->took[KB_START_FIRST_SERVED])
		return;
	if (proxy->discovery.complete)
		kb_start_phases_reach(phases, KB_START_HOST_LIST, now);
	if (proxy->mirror.revision)
		kb_start_phases_reach(phases, KB_START_STORE_COPY, now);
	if (proxy->databases.version)
		kb_start_phases_reach(phases, KB_START_CONFIGURATION, now);
	if (kb_proxy_is_ready(proxy))
		kb_start_phases_reach(phases, KB_START_READY, now);
	if (proxy->stats.results[KB_OK])
		kb_start_phases_reach(phases, KB_START_FIRST_SERVED, now);
}

void kb_proxy_start_group_tick(kb_proxy_group_t *group, kb_time_t now)
{
	const kb_start_phases_t *phases = &group->proxy->start;

	if (group->lease.role != KB_LEASE_SERVING)
		return;
	kb_start_phases_reach_group(phases, &group->start, &group->name,
				    KB_START_GROUP_LEASE, now);
	if (kb_monitor_is_serving(&group->monitor))
		kb_start_phases_reach_group(phases, &group->start, &group->name,
					    KB_START_GROUP_PRIMARY, now);
}

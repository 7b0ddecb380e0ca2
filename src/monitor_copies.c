#include "monitor_internal.h"

#include "log.h"

#include <inttypes.h>
#include <stdio.h>

enum {
	/* Longest list of targets in a log line, in bytes. */
	LIST_MAX_BYTES = 512,
};

void kb_monitor_add_copies(kb_monitor_t *monitor,
			   const kb_target_names_t *names,
			   const kb_departures_t *departures, kb_time_t now)
{
	kb_copies_add(&monitor->copies, names, now);
	kb_copies_add_departures(&monitor->copies, departures);
}

/* Lists the copies that have not reported their position. */
static void list_unanswered(kb_monitor_t *monitor, char *list, size_t size)
{
	size_t used = 0;

	list[0] = 0;
	for (size_t i = 0; i < monitor->copies.count; i++) {
		const kb_name_t *name = &monitor->copies.copies[i].target;
		const kb_monitor_probe_t *probe =
			kb_monitor_find_probe(monitor, kb_name_str(name));

		if ((probe && probe->answered_at > monitor->state_since) ||
		    used + name->len + 2 > size)
			continue;
		used += (size_t)snprintf(list + used, size - used, "%s%s",
					 used ? "," : "", name->data);
	}
}

int kb_monitor_is_complete(kb_monitor_t *monitor,
			   const kb_monitor_probe_t *best, size_t unanswered,
			   kb_time_t now)
{
	char list[LIST_MAX_BYTES];

	unanswered += kb_copies_missing(&monitor->copies);
	if ((unanswered <= 1 && !monitor->copies.departures.truncated) ||
	    (monitor->newest.term &&
	     kb_point_compare(best->report.received, monitor->newest) >= 0)) {
		monitor->blocked = 0;
		return 1;
	}
	if (monitor->blocked && now - monitor->blocked_logged_at <
					KB_MONITOR_LOG_INTERVAL_S * KB_NS_PER_S)
		return 0;
	monitor->blocked = 1;
	monitor->blocked_logged_at = now;
	list_unanswered(monitor, list, sizeof(list));
	kb_log(KB_EVENT_PROMOTION_BLOCKED,
	       "group=%s best=%s received=%" PRIu64 ".%" PRIu64
	       " newest=%" PRIu64 ".%" PRIu64 " unanswered=%s",
	       monitor->group.data, best->target.data,
	       best->report.received.term, best->report.received.position,
	       monitor->newest.term, monitor->newest.position, list);
	return 0;
}

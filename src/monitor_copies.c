#include "monitor_internal.h"

#include "log.h"

#include <inttypes.h>
#include <stdio.h>

enum {
	/* Longest list of targets in a log line, in bytes. */
	LIST_MAX_BYTES = 512,
	/* Interval at which replicas are asked whether they have caught up. */
	CATCH_UP_INTERVAL_MS = 500,
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

/* Whether a replica that stays has reached the point. */
static int has_caught_up(kb_monitor_t *monitor, const kb_target_entry_t *entry)
{
	const kb_monitor_probe_t *probe = kb_monitor_find_probe(
		monitor, kb_name_str(&entry->place.target));

	return probe && !entry->leaving &&
	       !kb_name_is(&monitor->primary.place.target,
			   kb_name_str(&probe->target)) &&
	       probe->answered_at > monitor->catch_up_since &&
	       probe->asked_at >= monitor->catch_up_since &&
	       probe->report.term == monitor->term &&
	       kb_point_compare(probe->report.received,
				monitor->catch_up_point) >= 0;
}

void kb_monitor_tick_departed(kb_monitor_t *monitor,
			      const kb_target_list_t *targets, kb_time_t now)
{
	kb_time_t after = now - CATCH_UP_INTERVAL_MS * KB_NS_PER_MS;
	size_t answered;

	if (!monitor->durable || monitor->state != KB_MONITOR_SERVING ||
	    !kb_copies_have_departed(&monitor->copies)) {
		monitor->catch_up_since = 0;
		return;
	}
	if (!monitor->catch_up_since) {
		monitor->catch_up_since = now;
		monitor->catch_up_point = monitor->newest;
	}
	if (after < monitor->catch_up_since)
		after = monitor->catch_up_since;
	kb_monitor_probe_all(monitor, targets, after, now, &answered);
	for (const kb_target_entry_t *entry = kb_target_list_first(
		     targets, kb_name_str(&monitor->group));
	     entry; entry = kb_target_list_next(entry)) {
		if (!has_caught_up(monitor, entry))
			continue;
		kb_copies_supersede(&monitor->copies, monitor->catch_up_since);
		/* Others may have departed since. */
		monitor->catch_up_since = 0;
		return;
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

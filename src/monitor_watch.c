#include "monitor_internal.h"

#include "log.h"

#include <inttypes.h>

enum {
	/* A target without an answer for this time is silent. */
	SILENT_MS = KB_MONITOR_PROBE_TIMEOUT_MS + 150,
};

static int has_bound_primary(const kb_monitor_t *monitor)
{
	return kb_monitor_is_serving(monitor) ||
	       monitor->state == KB_MONITOR_SWITCHOVER;
}

/* Targets whose orders may replace the primary. */
typedef struct watched_targets {
	size_t count;
	const kb_name_t *names[KB_ORDER_TARGETS_MAX + KB_TARGET_NAMES_MAX];
} watched_targets_t;

static void add_watched(const kb_monitor_t *monitor, watched_targets_t *watched,
			const kb_name_t *target)
{
	kb_str_t name = kb_name_str(target);

	if (kb_name_is(&monitor->primary.place.target, name))
		return;
	for (size_t i = 0; i < watched->count; i++)
		if (kb_name_is(watched->names[i], name))
			return;
	watched->names[watched->count++] = target;
}

static watched_targets_t watched_targets(const kb_monitor_t *monitor)
{
	watched_targets_t watched = { 0 };

	if (!has_bound_primary(monitor))
		return watched;
	for (size_t i = 0; i < monitor->open_orders.count; i++)
		add_watched(monitor, &watched,
			    &monitor->open_orders.orders[i].target);
	for (size_t i = 0; i < monitor->possible.count; i++)
		add_watched(monitor, &watched, &monitor->possible.names[i]);
	return watched;
}

int kb_monitor_is_watching(const kb_monitor_t *monitor)
{
	return watched_targets(monitor).count != 0;
}

/* Whether the target did not lead a later term at a time after `since`. */
static int is_ruled_out(kb_monitor_t *monitor, const kb_name_t *target,
			kb_time_t since, kb_point_t point)
{
	const kb_monitor_probe_t *probe =
		kb_monitor_find_probe(monitor, kb_name_str(target));

	if (!probe || probe->asked_at <= since)
		return 0;
	if (probe->failed_at > probe->answered_at)
		return probe->refused && !monitor->durable;
	return probe->report.term <= monitor->term &&
	       (!monitor->durable ||
		kb_point_compare(probe->report.received, point) >= 0);
}

int kb_monitor_confirms(kb_monitor_t *monitor, kb_time_t since,
			kb_point_t point)
{
	watched_targets_t watched = watched_targets(monitor);

	if (!has_bound_primary(monitor))
		return 0;
	for (size_t i = 0; i < watched.count; i++)
		if (!is_ruled_out(monitor, watched.names[i], since, point))
			return 0;
	return 1;
}

int kb_monitor_is_unconfirmed(kb_monitor_t *monitor, kb_time_t now)
{
	return kb_monitor_is_watching(monitor) &&
	       !kb_monitor_confirms(monitor, now - SILENT_MS * KB_NS_PER_MS,
				    (kb_point_t){ 0 });
}

void kb_monitor_give_up_primary(kb_monitor_t *monitor, kb_time_t now)
{
	monitor->has_primary = 0;
	monitor->order_state = KB_ORDER_OPEN;
	monitor->gap_start = now;
	kb_monitor_set_state(monitor, KB_MONITOR_FINDING, now);
	monitor->ops->abort(monitor->ctx);
	monitor->ops->bind(monitor->ctx, NULL);
}

void kb_monitor_check_term(kb_monitor_t *monitor,
			   const kb_monitor_probe_t *probe, kb_time_t now)
{
	if (!has_bound_primary(monitor) || probe->report.term <= monitor->term)
		return;
	kb_log(KB_EVENT_LATER_TERM,
	       "group=%s primary=%s term=%" PRIu64 " target=%s later=%" PRIu64
	       " leads=%d",
	       monitor->group.data, monitor->primary.place.target.data,
	       monitor->term, probe->target.data, probe->report.term,
	       probe->report.is_primary);
	kb_monitor_give_up_primary(monitor, now);
}

/* Logs the beginning and the end of a watch. */
static void log_watch(kb_monitor_t *monitor, const watched_targets_t *watched,
		      kb_time_t now)
{
	int is_silent = kb_monitor_is_unconfirmed(monitor, now);
	int state = (watched->count != 0) + is_silent;

	if (state == monitor->watch_logged)
		return;
	monitor->watch_logged = state;
	kb_log(KB_EVENT_ORDERS_WATCHED,
	       "group=%s primary=%s term=%" PRIu64
	       " targets=%zu first=%s silent=%d unknown=%d",
	       monitor->group.data, monitor->primary.place.target.data,
	       monitor->term, watched->count,
	       watched->count ? watched->names[0]->data : "", is_silent,
	       kb_monitor_expects_orders(monitor));
}

void kb_monitor_tick_watch(kb_monitor_t *monitor,
			   const kb_target_list_t *targets, kb_time_t now)
{
	watched_targets_t watched = watched_targets(monitor);

	if (!has_bound_primary(monitor))
		return;
	for (size_t i = 0; i < watched.count; i++) {
		kb_str_t target = kb_name_str(watched.names[i]);
		kb_monitor_probe_t *probe =
			kb_monitor_find_probe(monitor, target);

		if (probe)
			kb_monitor_send_probe(
				monitor, probe,
				kb_target_list_find(targets, target), now);
	}
	log_watch(monitor, &watched, now);
	kb_monitor_settle_orders(monitor);
}

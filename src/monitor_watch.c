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

/* Whether the target of an open order may replace the primary. */
static int is_watched(const kb_monitor_t *monitor, const kb_open_order_t *order)
{
	return !kb_name_is(&monitor->primary.place.target,
			   kb_name_str(&order->target));
}

int kb_monitor_is_watching(const kb_monitor_t *monitor)
{
	if (!has_bound_primary(monitor))
		return 0;
	for (size_t i = 0; i < monitor->open_orders.count; i++)
		if (is_watched(monitor, &monitor->open_orders.orders[i]))
			return 1;
	return 0;
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
	if (!has_bound_primary(monitor))
		return 0;
	for (size_t i = 0; i < monitor->open_orders.count; i++) {
		const kb_open_order_t *order = &monitor->open_orders.orders[i];

		if (is_watched(monitor, order) &&
		    !is_ruled_out(monitor, &order->target, since, point))
			return 0;
	}
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
static void log_watch(kb_monitor_t *monitor, kb_time_t now)
{
	int is_silent = kb_monitor_is_unconfirmed(monitor, now);
	int state = kb_monitor_is_watching(monitor) + is_silent;
	const kb_open_orders_t *orders = &monitor->open_orders;

	if (state == monitor->watch_logged)
		return;
	monitor->watch_logged = state;
	kb_log(KB_EVENT_ORDERS_WATCHED,
	       "group=%s primary=%s term=%" PRIu64
	       " targets=%zu first=%s silent=%d",
	       monitor->group.data, monitor->primary.place.target.data,
	       monitor->term, orders->count,
	       orders->count ? orders->orders[0].target.data : "", is_silent);
}

void kb_monitor_tick_watch(kb_monitor_t *monitor,
			   const kb_target_list_t *targets, kb_time_t now)
{
	if (!has_bound_primary(monitor))
		return;
	for (size_t i = 0; i < monitor->open_orders.count; i++) {
		const kb_open_order_t *order = &monitor->open_orders.orders[i];
		kb_monitor_probe_t *probe = kb_monitor_find_probe(
			monitor, kb_name_str(&order->target));

		if (is_watched(monitor, order) && probe)
			kb_monitor_send_probe(
				monitor, probe,
				kb_target_list_find(
					targets, kb_name_str(&order->target)),
				now);
	}
	log_watch(monitor, now);
	kb_monitor_settle_orders(monitor);
}

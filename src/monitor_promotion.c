#include "monitor_internal.h"

#include "log.h"

#include <inttypes.h>

int kb_monitor_prepare_release(kb_monitor_t *monitor, kb_time_t now)
{
	monitor->releasing = 1;
	return now >= monitor->promotion_open_until;
}

void kb_monitor_begin_promotion(kb_monitor_t *monitor, kb_time_t now)
{
	monitor->promotee.len = 0;
	monitor->promotion_sent = 0;
	if (!monitor->gap_start)
		monitor->gap_start = now;
	for (size_t i = 0; i < monitor->probe_count; i++)
		monitor->probes[i].rejected = 0;
	kb_monitor_set_state(monitor, KB_MONITOR_PROMOTING, now);
	monitor->ops->abort(monitor->ctx);
	monitor->ops->bind(monitor->ctx, NULL);
}

void kb_monitor_promote_target(kb_monitor_t *monitor, const kb_name_t *target,
			       kb_time_t now)
{
	kb_monitor_begin_promotion(monitor, now);
	monitor->promotee = *target;
	monitor->promotee_since = now;
}

/*
 * Returns the replica with the newest log among those that have answered since
 * `after` and may be promoted, or NULL.
 */
static kb_monitor_probe_t *newest_replica(kb_monitor_t *monitor,
					  const kb_target_list_t *targets,
					  kb_time_t after)
{
	uint64_t highest = kb_monitor_highest_term(monitor);
	kb_monitor_probe_t *best = NULL;

	for (size_t i = 0; i < monitor->probe_count; i++) {
		kb_monitor_probe_t *probe = &monitor->probes[i];
		const kb_target_entry_t *entry = kb_target_list_find(
			targets, kb_name_str(&probe->target));
		int is_former = monitor->has_primary &&
				kb_name_is(&monitor->primary.place.target,
					   kb_name_str(&probe->target));

		/* To promote the present primary would change nothing. */
		int is_leader = probe->report.is_primary &&
				probe->report.term >= highest;

		if (probe->rejected || probe->answered_at <= after ||
		    is_former || is_leader || !entry || entry->leaving ||
		    !kb_monitor_may_promote(monitor, probe))
			continue;
		if (!best || kb_point_compare(probe->report.received,
					      best->report.received) > 0)
			best = probe;
	}
	return best;
}

/*
 * Whether a target that cannot be promoted, as it is leaving or its promotion
 * was refused, has reported a newer log than `best`.
 */
static int newer_log_exists(const kb_monitor_t *monitor,
			    const kb_monitor_probe_t *best)
{
	for (size_t i = 0; i < monitor->probe_count; i++) {
		const kb_monitor_probe_t *probe = &monitor->probes[i];

		if (probe->answered_at > monitor->state_since &&
		    kb_point_compare(probe->report.received,
				     best->report.received) > 0)
			return 1;
	}
	return 0;
}

/*
 * Serves the target whose promotion has taken effect, once its term is
 * recorded.
 */
static void finish_promotion(kb_monitor_t *monitor,
			     const kb_target_list_t *targets,
			     const kb_monitor_probe_t *probe, kb_time_t now)
{
	if (!kb_monitor_record_term(monitor, &probe->target,
				    probe->report.term))
		return;
	if (monitor->has_primary) {
		monitor->former_primary = monitor->primary.place.target;
		monitor->former_primary_since = now;
		monitor->step_down_sent_at = 0;
	}
	kb_log(KB_EVENT_PRIMARY_PROMOTED,
	       "group=%s primary=%s term=%" PRIu64 " planned=%d",
	       monitor->group.data, probe->target.data, probe->report.term,
	       monitor->planned);
	kb_monitor_begin_serving(
		monitor,
		kb_target_list_find(targets, kb_name_str(&probe->target)),
		&probe->report, now);
}

/*
 * Returns a target that leads a later term than the former primary, as an
 * earlier promotion has taken effect since, or NULL.
 */
static const kb_monitor_probe_t *find_successor(kb_monitor_t *monitor)
{
	for (size_t i = 0; i < monitor->probe_count; i++) {
		const kb_monitor_probe_t *probe = &monitor->probes[i];

		if (probe->answered_at > monitor->state_since &&
		    probe->report.is_primary &&
		    (monitor->has_primary ? probe->report.term > monitor->term
					  : monitor->order.target.len != 0) &&
		    kb_monitor_may_serve(monitor, &probe->target,
					 probe->report.term))
			return probe;
	}
	return NULL;
}

static void order_target(kb_monitor_t *monitor, const kb_target_list_t *targets,
			 const kb_name_t *target, kb_time_t now)
{
	monitor->promotee = *target;
	monitor->promotee_since = now;
	kb_monitor_send_order(monitor, targets, now);
}

static void tick_polling(kb_monitor_t *monitor, const kb_target_list_t *targets,
			 kb_time_t now)
{
	const kb_monitor_probe_t *successor;
	const kb_monitor_probe_t *best;
	size_t answered;
	size_t missing = kb_monitor_probe_all(
		monitor, targets, monitor->state_since, now, &answered);
	kb_time_t spent = now - monitor->state_since;
	int has_all = missing <= (monitor->has_primary ? 1u : 0u);

	if (!has_all && spent < KB_MONITOR_POLL_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	successor = find_successor(monitor);
	if (successor) {
		finish_promotion(monitor, targets, successor, now);
		return;
	}
	switch (kb_monitor_order_step(monitor, targets, monitor->state_since,
				      now)) {
	case KB_ORDER_STEP_WAIT:
		return;
	case KB_ORDER_STEP_REPEAT:
		order_target(monitor, targets, &monitor->order.target, now);
		return;
	default:
		break;
	}
	best = newest_replica(monitor, targets, monitor->state_since);
	kb_monitor_check_logs(monitor, best, missing, now);
	if (!best && kb_monitor_find_probe(
			     monitor, kb_name_str(&monitor->earlier_order))) {
		/* The platform tells whether it may still take effect. */
		order_target(monitor, targets, &monitor->earlier_order, now);
		return;
	}
	if (!best || (monitor->durable && newer_log_exists(monitor, best))) {
		if (spent >= KB_MONITOR_PROMOTION_TIMEOUT_MS * KB_NS_PER_MS) {
			kb_monitor_set_state(monitor, KB_MONITOR_FINDING, now);
			monitor->has_primary = 0;
		}
		return;
	}
	if (monitor->durable &&
	    !kb_monitor_is_complete(monitor, best, missing, now))
		return;
	order_target(monitor, targets, &best->target, now);
}

void kb_monitor_tick_promoting(kb_monitor_t *monitor,
			       const kb_target_list_t *targets, kb_time_t now)
{
	kb_monitor_probe_t *probe;

	if (!monitor->promotion_sent) {
		if (monitor->promotee.len)
			kb_monitor_send_order(monitor, targets, now);
		else
			tick_polling(monitor, targets, now);
		return;
	}
	if (now - monitor->promotee_since >
	    KB_MONITOR_PROMOTION_TIMEOUT_MS * KB_NS_PER_MS) {
		if (monitor->order_state == KB_ORDER_SENT)
			monitor->order_state = KB_ORDER_OPEN;
		monitor->promotion_sent = 0;
		monitor->promotee.len = 0;
		monitor->state_since = now;
		return;
	}
	kb_monitor_record_acceptance(monitor);
	/* Without its entry it cannot be probed, but may be promoted. */
	probe = kb_monitor_find_probe(monitor, kb_name_str(&monitor->promotee));
	if (!probe)
		return;
	if (probe->answered_at > monitor->promotee_since &&
	    probe->report.is_primary && probe->report.term >= monitor->term &&
	    probe->report.term > monitor->promotee_term) {
		finish_promotion(monitor, targets, probe, now);
		return;
	}
	kb_monitor_send_probe(
		monitor, probe,
		kb_target_list_find(targets, kb_name_str(&probe->target)), now);
}

void kb_monitor_tick_switchover(kb_monitor_t *monitor,
				const kb_target_list_t *targets, kb_time_t now)
{
	kb_time_t spent = now - monitor->state_since;
	int is_overdue =
		spent >= KB_MONITOR_SWITCHOVER_TIMEOUT_MS * KB_NS_PER_MS;
	kb_time_t recent =
		now - KB_MONITOR_SWITCHOVER_MAX_LAG_MS * KB_NS_PER_MS;
	kb_monitor_probe_t *best;
	size_t answered;

	kb_monitor_probe_all(monitor, targets,
			     now - KB_MONITOR_PROBE_INTERVAL_MS * KB_NS_PER_MS,
			     now, &answered);
	/* Positions reported before the switchover may be out of date. */
	if (recent < monitor->state_since)
		recent = monitor->state_since;
	best = newest_replica(monitor, targets, recent);
	if (!monitor->promotee.len) {
		/* Statements continue until the lag of a replica is small. */
		kb_monitor_set_paused(monitor, 0);
		if (best &&
		    (is_overdue ||
		     best->report.lag <=
			     KB_MONITOR_SWITCHOVER_MAX_LAG_MS * KB_NS_PER_MS)) {
			monitor->promotee = best->target;
			monitor->promotee_since = now;
			monitor->gap_start = now;
			kb_monitor_set_paused(monitor, 1);
		}
		return;
	}
	spent = now - monitor->promotee_since;
	if (monitor->ops->active_count(monitor->ctx)) {
		if (spent >= KB_MONITOR_DRAIN_TIMEOUT_MS * KB_NS_PER_MS)
			monitor->ops->abort(monitor->ctx);
		if (spent < 2 * KB_MONITOR_DRAIN_TIMEOUT_MS * KB_NS_PER_MS)
			return;
	}
	if (best &&
	    (kb_point_compare(best->report.received, monitor->newest) >= 0 ||
	     (is_overdue && !monitor->durable &&
	      spent >= 2 * KB_MONITOR_DRAIN_TIMEOUT_MS * KB_NS_PER_MS))) {
		monitor->planned = 1;
		kb_monitor_promote_target(monitor, &best->target, now);
		kb_monitor_send_order(monitor, targets, now);
		return;
	}
	if (spent >= 2 * KB_MONITOR_DRAIN_TIMEOUT_MS * KB_NS_PER_MS &&
	    (!is_overdue || monitor->durable)) {
		/* It did not catch up: resume statements and try again. */
		monitor->promotee.len = 0;
		kb_monitor_set_paused(monitor, 0);
	}
}

void kb_monitor_tick_step_down(kb_monitor_t *monitor,
			       const kb_target_list_t *targets, kb_time_t now)
{
	const kb_target_entry_t *entry;

	if (!monitor->former_primary.len ||
	    now - monitor->step_down_sent_at < KB_NS_PER_S)
		return;
	entry = kb_target_list_find(targets,
				    kb_name_str(&monitor->former_primary));
	if (!entry || now - monitor->former_primary_since >
			      KB_MONITOR_STEP_DOWN_S * KB_NS_PER_S) {
		monitor->former_primary.len = 0;
		return;
	}
	monitor->step_down_sent_at = now;
	monitor->ops->step_down(monitor->ctx, entry, monitor->term);
}

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

/*
 * Returns the replica with the newest log among those that have answered since
 * `after` and may be promoted, or NULL.
 */
static kb_monitor_probe_t *newest_replica(kb_monitor_t *monitor,
					  const kb_target_list_t *targets,
					  kb_time_t after)
{
	kb_monitor_probe_t *best = NULL;

	for (size_t i = 0; i < monitor->probe_count; i++) {
		kb_monitor_probe_t *probe = &monitor->probes[i];
		const kb_target_entry_t *entry = kb_target_list_find(
			targets, kb_name_str(&probe->target));
		int is_former = monitor->has_primary &&
				kb_name_is(&monitor->primary.place.target,
					   kb_name_str(&probe->target));

		if (probe->rejected || probe->answered_at <= after ||
		    is_former || !entry || entry->leaving)
			continue;
		if (!best || kb_point_compare(probe->report.received,
					      best->report.received) > 0)
			best = probe;
	}
	return best;
}

/* Requests the promotion of a target, if the lease lasts long enough. */
static void send_promotion(kb_monitor_t *monitor,
			   const kb_target_list_t *targets,
			   kb_monitor_probe_t *probe, kb_time_t now)
{
	const kb_target_entry_t *entry =
		kb_target_list_find(targets, kb_name_str(&probe->target));

	if (monitor->releasing ||
	    monitor->ops->lease_left(monitor->ctx) <
		    KB_MONITOR_MIN_LEASE_LEFT_MS * KB_NS_PER_MS)
		return;
	monitor->promotee = probe->target;
	monitor->promotion_sent = 1;
	monitor->promotee_since = now;
	monitor->promotion_open_until =
		now + KB_MONITOR_PROMOTION_TIMEOUT_MS * KB_NS_PER_MS;
	monitor->promotion_term = monitor->term;
	for (size_t i = 0; i < monitor->probe_count; i++)
		if (monitor->probes[i].report.term > monitor->promotion_term)
			monitor->promotion_term =
				monitor->probes[i].report.term;
	monitor->promotions++;
	kb_log(KB_EVENT_PROMOTE_SENT,
	       "group=%s target=%s received=%" PRIu64 ".%" PRIu64
	       " newest=%" PRIu64 ".%" PRIu64 " planned=%d",
	       monitor->group.data, probe->target.data,
	       probe->report.received.term, probe->report.received.position,
	       monitor->newest.term, monitor->newest.position,
	       monitor->planned);
	monitor->ops->promote(monitor->ctx, entry);
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

/* Serves the target whose promotion has taken effect. */
static void finish_promotion(kb_monitor_t *monitor,
			     const kb_target_list_t *targets,
			     const kb_monitor_probe_t *probe, kb_time_t now)
{
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

/* Whether the target that was last ordered to lead does so by now. */
static int took_effect_late(const kb_monitor_t *monitor,
			    const kb_monitor_probe_t *probe)
{
	return probe && probe->answered_at > monitor->state_since &&
	       probe->report.is_primary &&
	       probe->report.term > monitor->promotion_term;
}

static void tick_polling(kb_monitor_t *monitor, const kb_target_list_t *targets,
			 kb_time_t now)
{
	kb_monitor_probe_t *best;
	size_t answered;
	size_t missing = kb_monitor_probe_all(
		monitor, targets, monitor->state_since, now, &answered);
	kb_time_t spent = now - monitor->state_since;
	int has_all = missing <= (monitor->has_primary ? 1u : 0u);

	if (!has_all && spent < KB_MONITOR_POLL_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	best = kb_monitor_find_probe(monitor, kb_name_str(&monitor->promotee));
	if (took_effect_late(monitor, best)) {
		finish_promotion(monitor, targets, best, now);
		return;
	}
	best = newest_replica(monitor, targets, monitor->state_since);
	if (!best || (monitor->durable && newer_log_exists(monitor, best))) {
		if (spent >= KB_MONITOR_PROMOTION_TIMEOUT_MS * KB_NS_PER_MS) {
			kb_monitor_set_state(monitor, KB_MONITOR_FINDING, now);
			monitor->has_primary = 0;
		}
		return;
	}
	if (monitor->durable && !has_all &&
	    (!monitor->newest.term ||
	     kb_point_compare(best->report.received, monitor->newest) < 0))
		return;
	send_promotion(monitor, targets, best, now);
}

void kb_monitor_tick_promoting(kb_monitor_t *monitor,
			       const kb_target_list_t *targets, kb_time_t now)
{
	kb_monitor_probe_t *probe;

	if (!monitor->promotion_sent) {
		tick_polling(monitor, targets, now);
		return;
	}
	probe = kb_monitor_find_probe(monitor, kb_name_str(&monitor->promotee));
	if (!probe || probe->rejected ||
	    now - monitor->promotee_since >
		    KB_MONITOR_PROMOTION_TIMEOUT_MS * KB_NS_PER_MS) {
		monitor->promotion_sent = 0;
		monitor->state_since = now;
		return;
	}
	if (probe->answered_at > monitor->promotee_since &&
	    probe->report.is_primary && probe->report.term >= monitor->term) {
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
		monitor->promotee.len = 0;
		kb_monitor_begin_promotion(monitor, now);
		send_promotion(monitor, targets, best, now);
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

void kb_monitor_on_promoted(kb_monitor_t *monitor, kb_str_t target,
			    kb_result_t result, kb_time_t now)
{
	kb_monitor_probe_t *probe = kb_monitor_find_probe(monitor, target);

	if (!probe || monitor->state != KB_MONITOR_PROMOTING ||
	    !kb_name_is(&monitor->promotee, target))
		return;
	if (result == KB_ERR_CONFLICT) {
		probe->rejected = 1;
		monitor->promotion_open_until = 0;
	} else if (result == KB_ERR_OVERLOADED ||
		   result == KB_ERR_UNREACHABLE) {
		/* The promotion was not done: choose a target again at once. */
		monitor->promotee_since =
			now - KB_MONITOR_PROMOTION_TIMEOUT_MS * KB_NS_PER_MS;
		monitor->promotion_open_until = 0;
	}
	if (result)
		kb_log(KB_EVENT_PROMOTION_FAILED,
		       "group=%s target=%s result=%s", monitor->group.data,
		       monitor->promotee.data, kb_result_name(result));
}

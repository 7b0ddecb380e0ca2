#include "monitor_internal.h"

#include "log.h"

#include <inttypes.h>

void kb_monitor_begin_promotion(kb_monitor_t *lead, kb_time_t now)
{
	lead->chosen.len = 0;
	lead->ordered = 0;
	if (!lead->lost_at)
		lead->lost_at = now;
	for (size_t i = 0; i < lead->probe_count; i++)
		lead->probes[i].rejected = 0;
	kb_monitor_set_state(lead, KB_MONITOR_PROMOTING, now);
	lead->ops->abort(lead->ctx);
	lead->ops->bind(lead->ctx, NULL);
}

/*
 * Returns the replica with the newest log among those that have answered since
 * `after` and may be promoted, or NULL.
 */
static kb_monitor_probe_t *newest_replica(kb_monitor_t *lead,
					  const kb_target_list_t *targets,
					  kb_time_t after)
{
	kb_monitor_probe_t *best = NULL;

	for (size_t i = 0; i < lead->probe_count; i++) {
		kb_monitor_probe_t *probe = &lead->probes[i];
		const kb_target_entry_t *entry = kb_target_list_find(
			targets, kb_name_str(&probe->target));
		int is_old = lead->has_primary &&
			     kb_name_is(&lead->primary.place.target,
					kb_name_str(&probe->target));

		if (probe->rejected || probe->answered_at <= after || is_old ||
		    !entry || entry->leaving)
			continue;
		if (!best || kb_point_compare(probe->report.received,
					      best->report.received) > 0)
			best = probe;
	}
	return best;
}

/* Requests the promotion of a target, if the lease lasts long enough. */
static void order(kb_monitor_t *lead, const kb_target_list_t *targets,
		  kb_monitor_probe_t *probe, kb_time_t now)
{
	const kb_target_entry_t *entry =
		kb_target_list_find(targets, kb_name_str(&probe->target));

	if (lead->ops->hold_left(lead->ctx) <
	    KB_MONITOR_MIN_LEASE_LEFT_MS * KB_NS_PER_MS)
		return;
	lead->chosen = probe->target;
	lead->ordered = 1;
	lead->ordered_at = now;
	lead->promotions++;
	kb_log(KB_EVENT_PROMOTE_SENT,
	       "group=%s target=%s received=%" PRIu64 ".%" PRIu64
	       " newest=%" PRIu64 ".%" PRIu64 " planned=%d",
	       lead->group.data, probe->target.data,
	       probe->report.received.term, probe->report.received.position,
	       lead->newest.term, lead->newest.position, lead->planned);
	lead->ops->promote(lead->ctx, entry);
}

static void tick_polling(kb_monitor_t *lead, const kb_target_list_t *targets,
			 kb_time_t now)
{
	kb_monitor_probe_t *best;
	size_t answered;
	size_t missing = kb_monitor_probe_all(lead, targets, lead->since, now,
					      &answered);
	kb_time_t spent = now - lead->since;
	int has_all = missing <= (lead->has_primary ? 1u : 0u);

	if (!has_all && spent < KB_MONITOR_POLL_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	best = newest_replica(lead, targets, lead->since);
	if (!best) {
		if (spent >= KB_MONITOR_PROMOTION_TIMEOUT_MS * KB_NS_PER_MS) {
			kb_monitor_set_state(lead, KB_MONITOR_FINDING, now);
			lead->has_primary = 0;
		}
		return;
	}
	if (lead->durable && !has_all &&
	    (!lead->newest.term ||
	     kb_point_compare(best->report.received, lead->newest) < 0))
		return;
	order(lead, targets, best, now);
}

void kb_monitor_tick_promoting(kb_monitor_t *lead,
			       const kb_target_list_t *targets, kb_time_t now)
{
	kb_monitor_probe_t *probe;

	if (!lead->ordered) {
		tick_polling(lead, targets, now);
		return;
	}
	probe = kb_monitor_find_probe(lead, kb_name_str(&lead->chosen));
	if (!probe || probe->rejected ||
	    now - lead->ordered_at >
		    KB_MONITOR_PROMOTION_TIMEOUT_MS * KB_NS_PER_MS) {
		lead->ordered = 0;
		lead->since = now;
		return;
	}
	if (probe->answered_at > lead->ordered_at && probe->report.is_primary &&
	    probe->report.term >= lead->term) {
		if (lead->has_primary) {
			lead->replaced = lead->primary.place.target;
			lead->replaced_at = now;
			lead->stepped_at = 0;
		}
		kb_log(KB_EVENT_PRIMARY_PROMOTED,
		       "group=%s primary=%s term=%" PRIu64 " planned=%d",
		       lead->group.data, probe->target.data, probe->report.term,
		       lead->planned);
		kb_monitor_begin_serving(
			lead,
			kb_target_list_find(targets,
					    kb_name_str(&probe->target)),
			&probe->report, now);
		return;
	}
	kb_monitor_send_probe(
		lead, probe,
		kb_target_list_find(targets, kb_name_str(&probe->target)), now);
}

void kb_monitor_tick_switchover(kb_monitor_t *lead,
				const kb_target_list_t *targets, kb_time_t now)
{
	kb_time_t spent = now - lead->since;
	int must = spent >= KB_MONITOR_SWITCHOVER_TIMEOUT_MS * KB_NS_PER_MS;
	kb_time_t recent =
		now - KB_MONITOR_SWITCHOVER_MAX_LAG_MS * KB_NS_PER_MS;
	kb_monitor_probe_t *best;
	size_t answered;

	kb_monitor_probe_all(lead, targets,
			     now - KB_MONITOR_PROBE_INTERVAL_MS * KB_NS_PER_MS,
			     now, &answered);
	/* Positions reported before the switchover may be out of date. */
	if (recent < lead->since)
		recent = lead->since;
	best = newest_replica(lead, targets, recent);
	if (!lead->chosen.len) {
		/* Statements continue until the lag of a replica is small. */
		kb_monitor_set_paused(lead, 0);
		if (best && (must || best->report.lag <=
					     KB_MONITOR_SWITCHOVER_MAX_LAG_MS *
						     KB_NS_PER_MS)) {
			lead->chosen = best->target;
			lead->ordered_at = now;
			lead->lost_at = now;
			kb_monitor_set_paused(lead, 1);
		}
		return;
	}
	spent = now - lead->ordered_at;
	if (lead->ops->active(lead->ctx)) {
		if (spent >= KB_MONITOR_DRAIN_TIMEOUT_MS * KB_NS_PER_MS)
			lead->ops->abort(lead->ctx);
		if (spent < 2 * KB_MONITOR_DRAIN_TIMEOUT_MS * KB_NS_PER_MS)
			return;
	}
	if (best &&
	    (kb_point_compare(best->report.received, lead->newest) >= 0 ||
	     (must &&
	      spent >= 2 * KB_MONITOR_DRAIN_TIMEOUT_MS * KB_NS_PER_MS))) {
		lead->planned = 1;
		lead->chosen.len = 0;
		kb_monitor_begin_promotion(lead, now);
		order(lead, targets, best, now);
		return;
	}
	if (spent >= 2 * KB_MONITOR_DRAIN_TIMEOUT_MS * KB_NS_PER_MS && !must) {
		/* It did not catch up: resume statements and try again. */
		lead->chosen.len = 0;
		kb_monitor_set_paused(lead, 0);
	}
}

void kb_monitor_tick_step_down(kb_monitor_t *lead,
			       const kb_target_list_t *targets, kb_time_t now)
{
	const kb_target_entry_t *entry;

	if (!lead->replaced.len || now - lead->stepped_at < KB_NS_PER_S)
		return;
	entry = kb_target_list_find(targets, kb_name_str(&lead->replaced));
	if (!entry ||
	    now - lead->replaced_at > KB_MONITOR_STEP_DOWN_S * KB_NS_PER_S) {
		lead->replaced.len = 0;
		return;
	}
	lead->stepped_at = now;
	lead->ops->step_down(lead->ctx, entry, lead->term);
}

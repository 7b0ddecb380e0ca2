#include "monitor_internal.h"

#include "log.h"

#include <inttypes.h>

static const char *const state_names[] = {
	[KB_MONITOR_IDLE] = "idle",
	[KB_MONITOR_FINDING] = "finding",
	[KB_MONITOR_SERVING] = "serving",
	[KB_MONITOR_SUSPECTING] = "doubting",
	[KB_MONITOR_SWITCHOVER] = "replacing",
	[KB_MONITOR_PROMOTING] = "promoting",
};

void kb_monitor_init(kb_monitor_t *lead, const kb_monitor_ops_t *ops, void *ctx,
		     const kb_name_t *group)
{
	memset(lead, 0, sizeof(*lead));
	lead->ops = ops;
	lead->ctx = ctx;
	lead->group = *group;
}

void kb_monitor_set_paused(kb_monitor_t *lead, int paused)
{
	if (lead->paused == paused)
		return;
	lead->paused = paused;
	lead->ops->pause(lead->ctx, paused);
}

void kb_monitor_set_state(kb_monitor_t *lead, kb_monitor_state_t state,
			  kb_time_t now)
{
	if (lead->state == state)
		return;
	kb_log(KB_EVENT_LEAD_STATE,
	       "group=%s from=%s to=%s primary=%s term=%" PRIu64
	       " newest=%" PRIu64 ".%" PRIu64 " ms=%" PRId64,
	       lead->group.data, state_names[lead->state], state_names[state],
	       lead->has_primary ? lead->primary.place.target.data : "",
	       lead->term, lead->newest.term, lead->newest.position,
	       (now - lead->since) / KB_NS_PER_MS);
	lead->state = state;
	lead->since = now;
	lead->inquired = 0;
	kb_monitor_set_paused(lead, state != KB_MONITOR_SERVING &&
					    state != KB_MONITOR_SUSPECTING);
}

int kb_monitor_is_serving(const kb_monitor_t *lead)
{
	return lead->state == KB_MONITOR_SERVING ||
	       lead->state == KB_MONITOR_SUSPECTING;
}

void kb_monitor_set_active(kb_monitor_t *lead, int holds, kb_time_t now)
{
	if (holds == (lead->state != KB_MONITOR_IDLE))
		return;
	lead->has_primary = 0;
	lead->term = 0;
	lead->newest = (kb_point_t){ 0 };
	lead->probe_count = 0;
	lead->chosen.len = 0;
	lead->replaced.len = 0;
	lead->planned = 0;
	lead->lost_at = now;
	kb_monitor_set_state(lead, holds ? KB_MONITOR_FINDING : KB_MONITOR_IDLE,
			     now);
	lead->ops->bind(lead->ctx, NULL);
}

kb_monitor_probe_t *kb_monitor_find_probe(kb_monitor_t *lead, kb_str_t target)
{
	for (size_t i = 0; i < lead->probe_count; i++)
		if (kb_name_is(&lead->probes[i].target, target))
			return &lead->probes[i];
	return NULL;
}

/* Keeps one probe state for each target of the group. */
static void follow_targets(kb_monitor_t *lead, const kb_target_list_t *targets)
{
	size_t kept = 0;

	for (size_t i = 0; i < lead->probe_count; i++)
		if (kb_target_list_find(targets,
					kb_name_str(&lead->probes[i].target)))
			lead->probes[kept++] = lead->probes[i];
	lead->probe_count = kept;
	for (size_t i = 0; i < targets->count; i++) {
		const kb_target_entry_t *entry = &targets->entries[i];
		kb_monitor_probe_t *probe;

		if (!kb_name_is(&entry->place.group,
				kb_name_str(&lead->group)) ||
		    kb_monitor_find_probe(lead,
					  kb_name_str(&entry->place.target)) ||
		    lead->probe_count == KB_MONITOR_TARGETS_MAX)
			continue;
		probe = &lead->probes[lead->probe_count++];
		memset(probe, 0, sizeof(*probe));
		probe->target = entry->place.target;
	}
}

void kb_monitor_send_probe(kb_monitor_t *lead, kb_monitor_probe_t *probe,
			   const kb_target_entry_t *entry, kb_time_t now)
{
	if (probe->waiting &&
	    now - probe->sent_at < KB_MONITOR_PROBE_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	if (probe->waiting) {
		probe->failed_at = now;
		probe->refused = 0;
	}
	if (now - probe->sent_at < KB_MONITOR_PROBE_INTERVAL_MS * KB_NS_PER_MS)
		return;
	probe->waiting = 1;
	probe->sent_at = now;
	lead->ops->probe(lead->ctx, entry);
}

/* The entry of a target; the last known one of the primary if it is gone. */
static const kb_target_entry_t *entry_of(const kb_monitor_t *lead,
					 const kb_target_list_t *targets,
					 const kb_name_t *target)
{
	const kb_target_entry_t *entry =
		kb_target_list_find(targets, kb_name_str(target));

	if (!entry && lead->has_primary &&
	    kb_name_is(&lead->primary.place.target, kb_name_str(target)))
		entry = &lead->primary;
	return entry;
}

size_t kb_monitor_probe_all(kb_monitor_t *lead, const kb_target_list_t *targets,
			    kb_time_t after, kb_time_t now, size_t *answered)
{
	size_t missing = 0;

	*answered = 0;
	for (size_t i = 0; i < lead->probe_count; i++) {
		kb_monitor_probe_t *probe = &lead->probes[i];

		if (probe->answered_at > after) {
			++*answered;
			continue;
		}
		missing++;
		kb_monitor_send_probe(
			lead, probe,
			kb_target_list_find(targets,
					    kb_name_str(&probe->target)),
			now);
	}
	return missing;
}

void kb_monitor_begin_serving(kb_monitor_t *lead,
			      const kb_target_entry_t *primary,
			      const kb_target_report_t *report, kb_time_t now)
{
	lead->primary = *primary;
	lead->has_primary = 1;
	lead->term = report->term;
	lead->newest = report->received;
	lead->chosen.len = 0;
	lead->planned = 0;
	lead->ops->bind(lead->ctx, primary);
	kb_log(KB_EVENT_PRIMARY_SERVES,
	       "group=%s primary=%s term=%" PRIu64 " position=%" PRIu64
	       " gap_ms=%" PRId64,
	       lead->group.data, primary->place.target.data, report->term,
	       report->received.position,
	       lead->lost_at ? (now - lead->lost_at) / KB_NS_PER_MS : 0);
	lead->lost_at = 0;
	kb_monitor_set_state(lead, KB_MONITOR_SERVING, now);
}

static void tick_finding(kb_monitor_t *lead, const kb_target_list_t *targets,
			 kb_time_t now)
{
	const kb_monitor_probe_t *best = NULL;
	uint64_t highest = 0;
	size_t answered;
	size_t missing = kb_monitor_probe_all(lead, targets, lead->since, now,
					      &answered);
	kb_time_t spent = now - lead->since;

	for (size_t i = 0; i < lead->probe_count; i++) {
		const kb_monitor_probe_t *probe = &lead->probes[i];

		if (probe->answered_at <= lead->since)
			continue;
		if (probe->report.term > highest)
			highest = probe->report.term;
		if (probe->report.is_primary &&
		    (!best || probe->report.term > best->report.term))
			best = probe;
	}
	if (best && best->report.term >= highest &&
	    best->report.term >= lead->term &&
	    (!missing || spent >= KB_MONITOR_FIND_TIMEOUT_MS * KB_NS_PER_MS)) {
		kb_monitor_begin_serving(
			lead,
			kb_target_list_find(targets,
					    kb_name_str(&best->target)),
			&best->report, now);
		return;
	}
	if (answered &&
	    spent >= KB_MONITOR_NO_PRIMARY_TIMEOUT_MS * KB_NS_PER_MS &&
	    (!missing || spent >= KB_MONITOR_SILENT_TIMEOUT_MS * KB_NS_PER_MS))
		kb_monitor_begin_promotion(lead, now);
}

static void tick_doubting(kb_monitor_t *lead, const kb_target_list_t *targets,
			  kb_time_t now)
{
	kb_monitor_probe_t *probe = kb_monitor_find_probe(
		lead, kb_name_str(&lead->primary.place.target));
	kb_time_t spent = now - lead->since;
	kb_time_t limit;

	if (!probe) {
		/* Without an entry it cannot be probed: only time decides. */
		if (spent >= KB_MONITOR_SILENT_TIMEOUT_MS * KB_NS_PER_MS)
			kb_monitor_begin_promotion(lead, now);
		return;
	}
	kb_monitor_send_probe(
		lead, probe,
		entry_of(lead, targets, &lead->primary.place.target), now);
	if (probe->failed_at <= lead->since)
		return;
	kb_monitor_set_paused(lead, 1);
	if (!lead->inquired) {
		lead->inquired = 1;
		lead->ops->inquire(lead->ctx, &lead->primary);
	}
	limit = probe->refused ? KB_MONITOR_REFUSED_TIMEOUT_MS
			       : KB_MONITOR_SILENT_TIMEOUT_MS;
	if (spent >= limit * KB_NS_PER_MS) {
		kb_log(KB_EVENT_PRIMARY_LOST,
		       "group=%s primary=%s term=%" PRIu64
		       " refused=%d silent_ms=%" PRId64,
		       lead->group.data, lead->primary.place.target.data,
		       lead->term, probe->refused, spent / KB_NS_PER_MS);
		kb_monitor_begin_promotion(lead, now);
	}
}

static void follow_primary(kb_monitor_t *lead, const kb_target_list_t *targets)
{
	const kb_target_entry_t *entry = kb_target_list_find(
		targets, kb_name_str(&lead->primary.place.target));

	if (!entry)
		return;
	/* It may have been restarted under its id, without its former data. */
	lead->primary = *entry;
}

void kb_monitor_tick(kb_monitor_t *lead, const kb_target_list_t *targets,
		     kb_time_t now)
{
	if (lead->state == KB_MONITOR_IDLE)
		return;
	follow_targets(lead, targets);
	if (lead->has_primary)
		follow_primary(lead, targets);
	switch (lead->state) {
	case KB_MONITOR_FINDING:
		tick_finding(lead, targets, now);
		break;
	case KB_MONITOR_SERVING:
		if (lead->primary.leaving) {
			lead->chosen.len = 0;
			kb_monitor_set_state(lead, KB_MONITOR_SWITCHOVER, now);
			kb_monitor_tick_switchover(lead, targets, now);
		}
		break;
	case KB_MONITOR_SUSPECTING:
		tick_doubting(lead, targets, now);
		break;
	case KB_MONITOR_SWITCHOVER:
		kb_monitor_tick_switchover(lead, targets, now);
		break;
	case KB_MONITOR_PROMOTING:
		kb_monitor_tick_promoting(lead, targets, now);
		break;
	default:
		break;
	}
	kb_monitor_tick_step_down(lead, targets, now);
}

void kb_monitor_on_probe(kb_monitor_t *lead, kb_str_t target,
			 kb_result_t result, const kb_target_report_t *report,
			 kb_time_t now)
{
	kb_monitor_probe_t *probe = kb_monitor_find_probe(lead, target);
	int is_primary = lead->has_primary &&
			 kb_name_is(&lead->primary.place.target, target);

	if (!probe)
		return;
	probe->waiting = 0;
	if (result && result != KB_ERR_OVERLOADED) {
		probe->failed_at = now;
		probe->refused = result == KB_ERR_UNREACHABLE;
		return;
	}
	if (!result) {
		probe->answered_at = now;
		probe->report = *report;
	}
	if (lead->state != KB_MONITOR_SUSPECTING || !is_primary)
		return;
	if (!result && !report->is_primary) {
		lead->lost_at = lead->lost_at ? lead->lost_at : now;
		kb_monitor_set_state(lead, KB_MONITOR_FINDING, now);
		return;
	}
	kb_monitor_set_state(lead, KB_MONITOR_SERVING, now);
	kb_monitor_set_paused(lead, 0);
}

void kb_monitor_on_promoted(kb_monitor_t *lead, kb_str_t target,
			    kb_result_t result, kb_time_t now)
{
	kb_monitor_probe_t *probe = kb_monitor_find_probe(lead, target);

	if (!probe || lead->state != KB_MONITOR_PROMOTING ||
	    !kb_name_is(&lead->chosen, target))
		return;
	if (result == KB_ERR_CONFLICT)
		probe->rejected = 1;
	else if (result == KB_ERR_OVERLOADED || result == KB_ERR_UNREACHABLE)
		/* The promotion was not done: choose a target again at once. */
		lead->ordered_at =
			now - KB_MONITOR_PROMOTION_TIMEOUT_MS * KB_NS_PER_MS;
	if (result)
		kb_log(KB_EVENT_PROMOTION_FAILED,
		       "group=%s target=%s result=%s", lead->group.data,
		       lead->chosen.data, kb_result_name(result));
}

void kb_monitor_on_reachable(kb_monitor_t *lead, kb_str_t target,
			     const kb_name_t *host, uint64_t term)
{
	if (lead->state != KB_MONITOR_SUSPECTING || !lead->has_primary ||
	    !kb_name_is(&lead->primary.place.target, target) ||
	    term < lead->term)
		return;
	kb_log(KB_EVENT_GROUP_CUT_OFF, "group=%s primary=%s reached_by=%s",
	       lead->group.data, lead->primary.place.target.data, host->data);
	lead->ops->hand_over(lead->ctx, host);
}

void kb_monitor_on_answer(kb_monitor_t *lead, kb_point_t point)
{
	if (kb_point_compare(point, lead->newest) > 0)
		lead->newest = point;
}

void kb_monitor_on_connection_error(kb_monitor_t *lead, int read_only,
				    kb_time_t now)
{
	kb_monitor_probe_t *probe;

	if (lead->state != KB_MONITOR_SERVING)
		return;
	if (read_only) {
		lead->lost_at = now;
		kb_monitor_set_state(lead, KB_MONITOR_FINDING, now);
		return;
	}
	probe = kb_monitor_find_probe(lead,
				      kb_name_str(&lead->primary.place.target));
	if (probe)
		probe->failed_at = 0;
	kb_monitor_set_state(lead, KB_MONITOR_SUSPECTING, now);
}

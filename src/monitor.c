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

void kb_monitor_init(kb_monitor_t *monitor, const kb_monitor_ops_t *ops,
		     void *ctx, const kb_name_t *group)
{
	memset(monitor, 0, sizeof(*monitor));
	monitor->ops = ops;
	monitor->ctx = ctx;
	monitor->group = *group;
}

void kb_monitor_set_paused(kb_monitor_t *monitor, int paused)
{
	if (monitor->paused == paused)
		return;
	monitor->paused = paused;
	monitor->ops->pause(monitor->ctx, paused);
}

void kb_monitor_set_state(kb_monitor_t *monitor, kb_monitor_state_t state,
			  kb_time_t now)
{
	if (monitor->state == state)
		return;
	kb_log(KB_EVENT_LEAD_STATE,
	       "group=%s from=%s to=%s primary=%s term=%" PRIu64
	       " newest=%" PRIu64 ".%" PRIu64 " ms=%" PRId64,
	       monitor->group.data, state_names[monitor->state],
	       state_names[state],
	       monitor->has_primary ? monitor->primary.place.target.data : "",
	       monitor->term, monitor->newest.term, monitor->newest.position,
	       (now - monitor->state_since) / KB_NS_PER_MS);
	monitor->state = state;
	monitor->state_since = now;
	monitor->reachability_queried = 0;
	kb_monitor_set_paused(monitor, state != KB_MONITOR_SERVING &&
					       state != KB_MONITOR_SUSPECTING);
}

int kb_monitor_is_serving(const kb_monitor_t *monitor)
{
	return monitor->state == KB_MONITOR_SERVING ||
	       monitor->state == KB_MONITOR_SUSPECTING;
}

int kb_monitor_set_active(kb_monitor_t *monitor, int64_t token, kb_time_t now)
{
	if (token == monitor->token)
		return 0;
	kb_monitor_set_state(monitor, KB_MONITOR_IDLE, now);
	monitor->token = token;
	monitor->has_primary = 0;
	monitor->term = 0;
	monitor->newest = (kb_point_t){ 0 };
	monitor->probe_count = 0;
	monitor->copies.count = 0;
	monitor->copies.departures = (kb_departures_t){ 0 };
	monitor->blocked = 0;
	monitor->promotee.len = 0;
	monitor->former_primary.len = 0;
	monitor->planned = 0;
	monitor->releasing = 0;
	monitor->order_state = KB_ORDER_OPEN;
	monitor->earlier_order = monitor->order.earlier;
	monitor->served_term = kb_monitor_order_served_term(&monitor->order);
	monitor->term_missing_since = 0;
	monitor->inherited = 1;
	kb_open_orders_add_all(&monitor->open_orders,
			       &monitor->order.unanswered, now);
	kb_monitor_end_expectation(monitor);
	monitor->watch_logged = 0;
	monitor->announcing = 0;
	monitor->unused_logged_at = 0;
	monitor->gap_start = now;
	if (token)
		kb_monitor_set_state(monitor, KB_MONITOR_FINDING, now);
	monitor->ops->bind(monitor->ctx, NULL);
	return token != 0;
}

void kb_monitor_require_term(kb_monitor_t *monitor, uint64_t term)
{
	if (monitor->state == KB_MONITOR_FINDING && term > monitor->term)
		monitor->term = term;
	if (term > monitor->served_term)
		monitor->served_term = term;
}

/* The entry of a target; the last known one of the primary if it is gone. */
static const kb_target_entry_t *find_entry(const kb_monitor_t *monitor,
					   const kb_target_list_t *targets,
					   const kb_name_t *target)
{
	const kb_target_entry_t *entry =
		kb_target_list_find(targets, kb_name_str(target));

	if (!entry && monitor->has_primary &&
	    kb_name_is(&monitor->primary.place.target, kb_name_str(target)))
		entry = &monitor->primary;
	return entry;
}

void kb_monitor_begin_serving(kb_monitor_t *monitor,
			      const kb_target_entry_t *primary,
			      const kb_target_report_t *report, kb_time_t now)
{
	monitor->primary = *primary;
	monitor->has_primary = 1;
	monitor->term = report->term;
	monitor->served_term = report->term;
	monitor->term_missing_since = 0;
	monitor->newest = report->received;
	monitor->promotee.len = 0;
	monitor->promotion_open_until = 0;
	monitor->order_state = KB_ORDER_NONE;
	monitor->earlier_order.len = 0;
	monitor->planned = 0;
	monitor->blocked = 0;
	monitor->ops->bind(monitor->ctx, primary);
	kb_log(KB_EVENT_PRIMARY_SERVES,
	       "group=%s primary=%s term=%" PRIu64 " position=%" PRIu64
	       " gap_ms=%" PRId64,
	       monitor->group.data, primary->place.target.data, report->term,
	       report->received.position,
	       monitor->gap_start ? (now - monitor->gap_start) / KB_NS_PER_MS
				  : 0);
	monitor->gap_start = 0;
	kb_monitor_set_state(monitor, KB_MONITOR_SERVING, now);
}

/* Returns the primary of the highest term that has answered, or NULL. */
static const kb_monitor_probe_t *find_primary(const kb_monitor_t *monitor)
{
	const kb_monitor_probe_t *best = NULL;

	for (size_t i = 0; i < monitor->probe_count; i++) {
		const kb_monitor_probe_t *probe = &monitor->probes[i];

		if (probe->answered_at > monitor->state_since &&
		    probe->report.is_primary &&
		    (!best || probe->report.term > best->report.term))
			best = probe;
	}
	return best;
}

static void log_unused(kb_monitor_t *monitor, const kb_monitor_probe_t *primary,
		       kb_time_t now)
{
	if (monitor->unused_logged_at &&
	    now - monitor->unused_logged_at <
		    KB_MONITOR_LOG_INTERVAL_S * KB_NS_PER_S)
		return;
	monitor->unused_logged_at = now;
	kb_log(KB_EVENT_PRIMARY_NOT_USED,
	       "group=%s primary=%s term=%" PRIu64 " known_term=%" PRIu64
	       " ordered=%s ordered_after=%" PRIu64 " number=%" PRIu64,
	       monitor->group.data, primary->target.data, primary->report.term,
	       kb_monitor_highest_term(monitor), monitor->order.target.data,
	       monitor->order.term, monitor->order.number);
}

static void tick_finding(kb_monitor_t *monitor, const kb_target_list_t *targets,
			 kb_time_t now)
{
	const kb_monitor_probe_t *ordered = kb_monitor_find_probe(
		monitor, kb_name_str(&monitor->order.target));
	size_t answered;
	size_t missing = kb_monitor_probe_all(
		monitor, targets, monitor->state_since, now, &answered);
	const kb_monitor_probe_t *primary = find_primary(monitor);
	kb_time_t spent = now - monitor->state_since;
	int is_complete =
		!missing || spent >= KB_MONITOR_FIND_TIMEOUT_MS * KB_NS_PER_MS;

	if (primary && kb_monitor_may_serve(monitor, &primary->target,
					    primary->report.term)) {
		if (!is_complete)
			return;
		if (!kb_monitor_has_witness(monitor, &primary->target))
			log_unused(monitor, primary, now);
		else if (kb_monitor_record_term(monitor, &primary->target,
						primary->report.term))
			kb_monitor_begin_serving(
				monitor,
				kb_target_list_find(
					targets, kb_name_str(&primary->target)),
				&primary->report, now);
		return;
	}
	if (primary && is_complete)
		log_unused(monitor, primary, now);
	if (!kb_monitor_is_order_over(monitor) &&
	    (primary ||
	     (ordered && ordered->answered_at > monitor->state_since))) {
		if (is_complete)
			kb_monitor_resolve_order(monitor, targets, now);
		return;
	}
	if (answered &&
	    spent >= KB_MONITOR_NO_PRIMARY_TIMEOUT_MS * KB_NS_PER_MS &&
	    (!missing || spent >= KB_MONITOR_SILENT_TIMEOUT_MS * KB_NS_PER_MS))
		kb_monitor_begin_promotion(monitor, now);
}

static void tick_suspecting(kb_monitor_t *monitor,
			    const kb_target_list_t *targets, kb_time_t now)
{
	kb_monitor_probe_t *probe = kb_monitor_find_probe(
		monitor, kb_name_str(&monitor->primary.place.target));
	kb_time_t spent = now - monitor->state_since;
	kb_time_t timeout;

	if (!probe) {
		/* Without an entry it cannot be probed: only time decides. */
		if (spent >= KB_MONITOR_SILENT_TIMEOUT_MS * KB_NS_PER_MS)
			kb_monitor_begin_promotion(monitor, now);
		return;
	}
	kb_monitor_send_probe(
		monitor, probe,
		find_entry(monitor, targets, &monitor->primary.place.target),
		now);
	if (probe->failed_at <= monitor->state_since)
		return;
	kb_monitor_set_paused(monitor, 1);
	if (!monitor->reachability_queried) {
		monitor->reachability_queried = 1;
		monitor->ops->query_reachability(monitor->ctx,
						 &monitor->primary);
	}
	timeout = probe->refused ? KB_MONITOR_REFUSED_TIMEOUT_MS
				 : KB_MONITOR_SILENT_TIMEOUT_MS;
	if (spent >= timeout * KB_NS_PER_MS) {
		kb_log(KB_EVENT_PRIMARY_LOST,
		       "group=%s primary=%s term=%" PRIu64
		       " refused=%d silent_ms=%" PRId64,
		       monitor->group.data, monitor->primary.place.target.data,
		       monitor->term, probe->refused, spent / KB_NS_PER_MS);
		kb_monitor_begin_promotion(monitor, now);
	}
}

static void refresh_primary(kb_monitor_t *monitor,
			    const kb_target_list_t *targets)
{
	const kb_target_entry_t *entry = kb_target_list_find(
		targets, kb_name_str(&monitor->primary.place.target));

	if (!entry)
		return;
	/* It may have been restarted under its id, without its former data. */
	monitor->primary = *entry;
}

void kb_monitor_tick(kb_monitor_t *monitor, const kb_target_list_t *targets,
		     kb_time_t now)
{
	if (monitor->state == KB_MONITOR_IDLE)
		return;
	kb_open_orders_expire(&monitor->open_orders, now);
	kb_monitor_tick_expectation(monitor, targets, now);
	kb_monitor_sync_probes(monitor, targets);
	kb_copies_sync(&monitor->copies, targets, kb_name_str(&monitor->group),
		       now);
	if (monitor->has_primary)
		refresh_primary(monitor, targets);
	switch (monitor->state) {
	case KB_MONITOR_FINDING:
		tick_finding(monitor, targets, now);
		break;
	case KB_MONITOR_SERVING:
		if (monitor->primary.leaving) {
			monitor->promotee.len = 0;
			kb_monitor_set_state(monitor, KB_MONITOR_SWITCHOVER,
					     now);
			kb_monitor_tick_switchover(monitor, targets, now);
		}
		break;
	case KB_MONITOR_SUSPECTING:
		tick_suspecting(monitor, targets, now);
		break;
	case KB_MONITOR_SWITCHOVER:
		kb_monitor_tick_switchover(monitor, targets, now);
		break;
	case KB_MONITOR_PROMOTING:
		kb_monitor_tick_promoting(monitor, targets, now);
		break;
	default:
		break;
	}
	kb_monitor_tick_step_down(monitor, targets, now);
	kb_monitor_tick_watch(monitor, targets, now);
}

void kb_monitor_on_probe(kb_monitor_t *monitor, kb_str_t target,
			 kb_result_t result, const kb_target_report_t *report,
			 kb_time_t asked_at, kb_time_t now)
{
	kb_monitor_probe_t *probe = kb_monitor_find_probe(monitor, target);
	int is_primary = monitor->has_primary &&
			 kb_name_is(&monitor->primary.place.target, target);

	if (!probe)
		return;
	probe->waiting = 0;
	if (result && result != KB_ERR_OVERLOADED) {
		probe->failed_at = now;
		probe->refused = result == KB_ERR_UNREACHABLE;
		probe->asked_at = asked_at;
		return;
	}
	if (!result) {
		probe->answered_at = now;
		probe->report = *report;
		probe->asked_at = asked_at;
		kb_monitor_check_term(monitor, probe, now);
	}
	if (monitor->state != KB_MONITOR_SUSPECTING || !is_primary)
		return;
	if (!result && !report->is_primary) {
		monitor->gap_start =
			monitor->gap_start ? monitor->gap_start : now;
		kb_monitor_set_state(monitor, KB_MONITOR_FINDING, now);
		return;
	}
	kb_monitor_set_state(monitor, KB_MONITOR_SERVING, now);
	kb_monitor_set_paused(monitor, 0);
}

void kb_monitor_on_reachable(kb_monitor_t *monitor, kb_str_t target,
			     const kb_name_t *host, uint64_t term)
{
	if (monitor->state != KB_MONITOR_SUSPECTING || !monitor->has_primary ||
	    !kb_name_is(&monitor->primary.place.target, target) ||
	    term < monitor->term)
		return;
	kb_log(KB_EVENT_GROUP_CUT_OFF, "group=%s primary=%s reached_by=%s",
	       monitor->group.data, monitor->primary.place.target.data,
	       host->data);
	monitor->ops->hand_over(monitor->ctx, host);
}

void kb_monitor_on_answer(kb_monitor_t *monitor, kb_point_t point)
{
	if (kb_point_compare(point, monitor->newest) > 0)
		monitor->newest = point;
}

void kb_monitor_on_connection_error(kb_monitor_t *monitor, int read_only,
				    kb_time_t now)
{
	kb_monitor_probe_t *probe;

	if (monitor->state != KB_MONITOR_SERVING)
		return;
	if (read_only) {
		monitor->gap_start = now;
		kb_monitor_set_state(monitor, KB_MONITOR_FINDING, now);
		return;
	}
	probe = kb_monitor_find_probe(
		monitor, kb_name_str(&monitor->primary.place.target));
	if (probe)
		probe->failed_at = 0;
	kb_monitor_set_state(monitor, KB_MONITOR_SUSPECTING, now);
}

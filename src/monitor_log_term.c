#include "monitor_internal.h"

#include "log.h"

#include <inttypes.h>

uint64_t kb_monitor_order_served_term(const kb_promotion_order_t *order)
{
	return order->served_term ? order->served_term : order->term;
}

static uint64_t log_term(const kb_monitor_probe_t *probe)
{
	const kb_target_report_t *report = &probe->report;

	/* A replica follows a term before its first commit. */
	return report->received.term > report->term ? report->received.term
						    : report->term;
}

int kb_monitor_may_promote(const kb_monitor_t *monitor,
			   const kb_monitor_probe_t *probe)
{
	return log_term(probe) >= monitor->served_term;
}

/* Returns the newest log of all that have answered, or NULL. */
static const kb_monitor_probe_t *newest_log(const kb_monitor_t *monitor)
{
	const kb_monitor_probe_t *best = NULL;

	for (size_t i = 0; i < monitor->probe_count; i++) {
		const kb_monitor_probe_t *probe = &monitor->probes[i];

		if (probe->answered_at > monitor->state_since &&
		    (!best || log_term(probe) > log_term(best)))
			best = probe;
	}
	return best;
}

/*
 * Whether each target that may have the term has answered: those with an entry,
 * those that this host has known, and the one that was ordered last.
 */
static int have_all_answered(kb_monitor_t *monitor, size_t missing)
{
	const kb_monitor_probe_t *ordered = kb_monitor_find_probe(
		monitor, kb_name_str(&monitor->order.target));

	return !missing && !kb_copies_missing(&monitor->copies) && ordered &&
	       ordered->answered_at > monitor->state_since;
}

void kb_monitor_check_logs(kb_monitor_t *monitor,
			   const kb_monitor_probe_t *best, size_t missing,
			   kb_time_t now)
{
	const kb_monitor_probe_t *newest = newest_log(monitor);
	kb_time_t waited;
	int is_lost;

	if (best || (newest && log_term(newest) >= monitor->served_term)) {
		if (monitor->term_missing_since)
			monitor->blocked = 0;
		monitor->term_missing_since = 0;
		return;
	}
	/* Without an answer it stays as it was. */
	if (!newest)
		return;
	if (!monitor->term_missing_since)
		monitor->term_missing_since = now;
	monitor->blocked = 1;
	waited = now - monitor->term_missing_since;
	is_lost = have_all_answered(monitor, missing) ||
		  waited >= KB_MONITOR_TERM_MISSING_MAX_S * KB_NS_PER_S;
	if (!is_lost && monitor->term_missing_logged_at &&
	    now - monitor->term_missing_logged_at <
		    KB_MONITOR_LOG_INTERVAL_S * KB_NS_PER_S)
		return;
	monitor->term_missing_logged_at = now;
	kb_log(KB_EVENT_LOG_TERM_MISSING,
	       "group=%s served_term=%" PRIu64 " newest=%s term=%" PRIu64
	       " received=%" PRIu64 ".%" PRIu64
	       " primary=%d lost=%d ms=%" PRId64,
	       monitor->group.data, monitor->served_term, newest->target.data,
	       newest->report.term, newest->report.received.term,
	       newest->report.received.position, newest->report.is_primary,
	       is_lost, waited / KB_NS_PER_MS);
	/* The accepted order had no effect, or all logs of its term are gone.
	 */
	if (is_lost)
		monitor->served_term = log_term(newest);
}

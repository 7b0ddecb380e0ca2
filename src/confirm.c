#include "confirm.h"

void kb_confirm_params_init(kb_confirm_params_t *params)
{
	params->window = KB_CONFIRM_WINDOW_MS * KB_NS_PER_MS;
#ifdef KB_DEFECTS
	params->defect = KB_DEFECT_NONE;
#endif
}

void kb_confirm_init(kb_confirm_t *confirm, kb_watch_t *watch,
		     const kb_confirm_params_t *params)
{
	memset(confirm, 0, sizeof(*confirm));
	confirm->watch = watch;
	confirm->params = *params;
}

static void end_entry(kb_confirm_t *confirm, kb_confirm_entry_t *entry,
		      kb_result_t result)
{
	kb_confirm_remove(confirm, entry);
	entry->ops->done(entry, result);
}

void kb_confirm_finish(kb_confirm_t *confirm)
{
	while (confirm->first)
		end_entry(confirm, confirm->first, KB_ERR_UNKNOWN);
}

static kb_time_t next_deadline(const kb_confirm_t *confirm)
{
	kb_time_t wake = KB_TIME_NEVER;

	for (const kb_confirm_entry_t *entry = confirm->first; entry;
	     entry = entry->next)
		if (entry->deadline < wake)
			wake = entry->deadline;
	return wake;
}

uint64_t kb_confirm_last_probe_id(const kb_confirm_t *confirm)
{
	return confirm->watch->last_probe_id;
}

kb_time_t kb_confirm_add(kb_confirm_t *confirm, kb_time_t now,
			 kb_confirm_entry_t *entry)
{
	return kb_confirm_add_since(confirm, now, entry,
				    kb_confirm_last_probe_id(confirm));
}

kb_time_t kb_confirm_add_since(kb_confirm_t *confirm, kb_time_t now,
			       kb_confirm_entry_t *entry,
			       uint64_t last_probe_id)
{
	kb_time_t wake;

	entry->after_probe_id = last_probe_id;
	entry->next = NULL;
	entry->previous = confirm->last;
	if (confirm->last)
		confirm->last->next = entry;
	else
		confirm->first = entry;
	confirm->last = entry;
	confirm->count++;
	wake = kb_watch_request_probes(confirm->watch, now);
	return entry->deadline < wake ? entry->deadline : wake;
}

void kb_confirm_remove(kb_confirm_t *confirm, kb_confirm_entry_t *entry)
{
	if (entry->previous)
		entry->previous->next = entry->next;
	else
		confirm->first = entry->next;
	if (entry->next)
		entry->next->previous = entry->previous;
	else
		confirm->last = entry->previous;
	if (confirm->cursor == entry)
		confirm->cursor = entry->next;
	entry->next = entry->previous = NULL;
	confirm->count--;
	if (!confirm->first)
		kb_watch_clear_requests(confirm->watch);
}

/* Returns non-zero if the newest report of `target` counts for `entry`. */
static int is_fresh(const kb_confirm_t *confirm, kb_time_t now,
		    const kb_confirm_entry_t *entry,
		    const kb_watch_target_t *target)
{
	kb_time_t window = confirm->params.window;

	if (!target->has_report || !target->report_probe.id)
		return 0;
	if (window && now - target->report_probe.sent > window)
		return 0;
	return target->report_probe.id > entry->after_probe_id ||
	       KB_HAS_DEFECT(&confirm->params, STALE_PROBE);
}

static int has_position(const kb_confirm_t *confirm,
			const kb_confirm_entry_t *entry,
			const kb_report_t *report)
{
	kb_point_t point = { entry->term, entry->position };

	if (!entry->position)
		return 1;
	if (KB_HAS_DEFECT(&confirm->params, IGNORE_TERM))
		return report->received >= entry->position;
	return kb_report_last(report).term == entry->term &&
	       kb_history_contains(&report->history, report->received, point);
}

/* Returns KB_OK, KB_ERR_UNKNOWN, or KB_ERR_TIMEOUT while undecided. */
static kb_result_t evaluate(const kb_confirm_t *confirm, kb_time_t now,
			    const kb_confirm_entry_t *entry)
{
	const kb_watch_t *watch = confirm->watch;
	size_t agreed = 0, newer = 0, primary_agreed = 0;

	for (size_t i = 0; i < watch->group.target_count; i++) {
		const kb_watch_target_t *target = &watch->targets[i];
		const kb_report_t *report = &target->report;

		if (target->has_report && report->term > entry->term) {
			newer++;
			if (i == entry->target)
				return KB_ERR_UNKNOWN;
		}
		if (!is_fresh(confirm, now, entry, target) ||
		    report->term != entry->term ||
		    !has_position(confirm, entry, report))
			continue;
		/* A term has only one primary, so its index need not match. */
		if (report->role == KB_ROLE_PRIMARY)
			primary_agreed = 1;
		agreed++;
	}
	if (primary_agreed && agreed >= kb_group_majority(&watch->group))
		return KB_OK;
	if (newer >= kb_group_majority(&watch->group) || now >= entry->deadline)
		return KB_ERR_UNKNOWN;
	return KB_ERR_TIMEOUT;
}

kb_time_t kb_confirm_on_timer(kb_confirm_t *confirm, kb_time_t now)
{
	confirm->cursor = confirm->first;
	while (confirm->cursor) {
		kb_confirm_entry_t *entry = confirm->cursor;
		kb_result_t result = evaluate(confirm, now, entry);

		confirm->cursor = entry->next;
		if (result != KB_ERR_TIMEOUT)
			end_entry(confirm, entry, result);
	}
	return next_deadline(confirm);
}

#include "repoint.h"

void kb_repoint_init(kb_repoint_t *repoint)
{
	memset(repoint, 0, sizeof(*repoint));
	repoint->stall = KB_REPOINT_STALL_MS * KB_NS_PER_MS;
	repoint->repeat = KB_REPOINT_REPEAT_MS * KB_NS_PER_MS;
}

void kb_repoint_finish(kb_repoint_t *repoint)
{
	memset(repoint->sent_term, 0, sizeof(repoint->sent_term));
}

/* Returns non-zero if target `index` is to be sent a command to follow now. */
static int is_due(const kb_repoint_t *repoint, kb_time_t now,
		  const kb_watch_t *watch, size_t index, kb_time_t delay)
{
	const kb_watch_target_t *target = &watch->targets[index];
	int ordered = repoint->sent_term[index] == watch->term;
	int joined = target->report.term == watch->term &&
		     kb_report_last(&target->report).term == watch->term;

	if (!target->has_report || target->report.term > watch->term ||
	    target->behind_since == KB_TIME_NEVER)
		return 0;
	if (ordered && now - repoint->sent_at[index] < repoint->repeat)
		return 0;
	if (joined || ordered)
		delay += repoint->stall;
	return now - target->behind_since >= delay;
}

size_t kb_repoint_next(kb_repoint_t *repoint, kb_time_t now,
		       const kb_watch_t *watch, kb_time_t delay)
{
	size_t primary = kb_watch_primary(watch);

	if (primary == KB_NO_TARGET)
		return KB_NO_TARGET;
	for (size_t i = 0; i < watch->group.target_count; i++) {
		if (i == primary || !is_due(repoint, now, watch, i, delay))
			continue;
		repoint->sent_at[i] = now;
		repoint->sent_term[i] = watch->term;
		return i;
	}
	return KB_NO_TARGET;
}

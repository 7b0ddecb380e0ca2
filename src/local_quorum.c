#include "local_quorum.h"

/* Round trips that a prompt answer may be late by. */
enum { LATE_ROUND_TRIPS = 4 };

/* Returns non-zero if `target` can be expected to confirm without delay. */
static int is_prompt(const kb_watch_t *watch, kb_time_t now,
		     const kb_watch_target_t *target)
{
	kb_time_t limit =
		watch->params.poll_interval + LATE_ROUND_TRIPS * target->rtt;

	return target->rtt && target->report.term == watch->term &&
	       (target->unanswered_since == KB_TIME_NEVER ||
		now - target->unanswered_since < limit) &&
	       (target->behind_since == KB_TIME_NEVER ||
		now - target->behind_since < limit);
}

int kb_local_quorum_excludes(const kb_watch_t *watch, kb_time_t now,
			     const kb_watch_target_t *target)
{
	size_t nearer = 1;

	if (watch->primary == KB_NO_TARGET ||
	    target == &watch->targets[watch->primary])
		return 0;
	for (size_t i = 0; i < watch->group.target_count; i++) {
		const kb_watch_target_t *other = &watch->targets[i];

		nearer += i != watch->primary && 2 * other->rtt < target->rtt &&
			  is_prompt(watch, now, other);
	}
	return nearer >= kb_group_majority(&watch->group);
}

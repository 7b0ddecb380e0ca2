#include "target_belief.h"

enum {
	/* A single failure may be that of one connection or statement. */
	SILENT_FAILURES = 2,
};

void kb_target_belief_on_event(kb_target_belief_t *belief,
			       kb_target_event_t event, kb_point_t position,
			       kb_time_t now)
{
	if (event == KB_TARGET_EVENT_READ_ONLY)
		return;
	if (event != KB_TARGET_EVENT_ANSWERED) {
		belief->failures++;
		return;
	}
	belief->failures = 0;
	belief->answered_at = now;
	if (!position.term && !position.position)
		return;
	belief->position = position;
	belief->position_at = now;
}

int kb_target_belief_is_silent(const kb_target_belief_t *belief, kb_time_t now)
{
	return belief->failures >= SILENT_FAILURES &&
	       now - belief->answered_at >=
		       KB_TARGET_SILENCE_MIN_MS * KB_NS_PER_MS;
}

kb_target_verdict_t kb_target_belief_judge(kb_target_belief_t *belief,
					   kb_point_t include, kb_time_t now)
{
	if (kb_target_belief_is_silent(belief, now)) {
		if (now - belief->trial_at <
		    KB_TARGET_TRIAL_INTERVAL_MS * KB_NS_PER_MS)
			return KB_TARGET_SILENT;
		belief->trial_at = now;
		return KB_TARGET_SEND;
	}
	if (belief->position_at &&
	    now - belief->position_at <
		    KB_TARGET_POSITION_AGE_MS * KB_NS_PER_MS &&
	    kb_point_compare(belief->position, include) < 0)
		return KB_TARGET_LAGS;
	return KB_TARGET_SEND;
}

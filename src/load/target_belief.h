#ifndef KB_TARGET_BELIEF_H
#define KB_TARGET_BELIEF_H

#include "link_pool.h"

KB_BEGIN_DECLS

enum {
	/*
	 * Without an answer for this time repeated failures are silence. A
	 * single statement may run for longer while others are answered.
	 */
	KB_TARGET_SILENCE_MIN_MS = 250,
	/* While a target is silent one statement in this time is let through.
	 */
	KB_TARGET_TRIAL_INTERVAL_MS = 250,
	/* A log that lacked a point lacks it still for this time. */
	KB_TARGET_POSITION_AGE_MS = 50,
};

/* What may be done with a statement for a target. */
typedef enum kb_target_verdict {
	KB_TARGET_SEND,
	/* The target does not answer this host. */
	KB_TARGET_SILENT,
	/* Its log lacks the point that the statement asks for. */
	KB_TARGET_LAGS,
} kb_target_verdict_t;

/*
 * What the gate of a target knows from its own connections. A statement that
 * the target is known to refuse is refused at once, without a message to it; a
 * statement for a target that is silent does not wait for a connection until
 * its deadline.
 */
typedef struct kb_target_belief {
	/* Last answer, and failures since then. */
	kb_time_t answered_at;
	unsigned failures;
	/* The last statement that was let through to a silent target. */
	kb_time_t trial_at;
	/* End of its log as last reported, and when. */
	kb_point_t position;
	kb_time_t position_at;
} kb_target_belief_t;

void kb_target_belief_on_event(kb_target_belief_t *belief,
			       kb_target_event_t event, kb_point_t position,
			       kb_time_t now);

/* Whether the target has failed repeatedly, and not answered for a while. */
int kb_target_belief_is_silent(const kb_target_belief_t *belief, kb_time_t now);

/*
 * Judges a statement that is not part of an open transaction. `include` is the
 * point that the target's log must contain, or zero.
 */
kb_target_verdict_t kb_target_belief_judge(kb_target_belief_t *belief,
					   kb_point_t include, kb_time_t now);

KB_END_DECLS

#endif

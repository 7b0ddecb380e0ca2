#ifndef KB_PROMOTION_PLAN_H
#define KB_PROMOTION_PLAN_H

#include "detector.h"

KB_BEGIN_DECLS

/* What one attempt at a promotion is to do. */
typedef struct kb_promotion_plan {
	kb_cause_t cause;
	/* Higher than any term that the promoter has seen or used. */
	uint64_t term;
	size_t target_count;
	/* Bit i: target i is worth waiting for. */
	unsigned reachable;
	/* Bit i: target i is chosen only if the rest is no majority. */
	unsigned avoided;
	/* Chosen among equals, or KB_NO_TARGET. */
	size_t preferred;
} kb_promotion_plan_t;

/* Plans an attempt in `term` from what `watch` and `detector` know. */
void kb_promotion_plan_init(kb_promotion_plan_t *plan, kb_time_t now,
			    const kb_watch_t *watch,
			    const kb_detector_t *detector, kb_cause_t cause,
			    uint64_t term);

/*
 * Returns non-zero if the primary is marked as leaving and a majority of
 * active targets is at most `lag` entries behind it.
 */
int kb_promotion_plan_can_switch_over(kb_time_t now, const kb_watch_t *watch,
				      const kb_detector_t *detector,
				      uint64_t lag);

KB_END_DECLS

#endif

#include "promotion_plan.h"

static size_t preferred_target(const kb_watch_t *watch, kb_cause_t cause)
{
	const kb_target_spec_t *targets = watch->group.targets;

	if (watch->primary == KB_NO_TARGET || cause == KB_CAUSE_TERM_AHEAD)
		return watch->primary;
	for (size_t i = 0; i < watch->group.target_count; i++) {
		const kb_name_t *region = &targets[watch->primary].region;

		if (i != watch->primary &&
		    targets[i].state == KB_ADMIN_STATE_ACTIVE &&
		    kb_name_is(&targets[i].region, kb_name_str(region)))
			return i;
	}
	return KB_NO_TARGET;
}

void kb_promotion_plan_init(kb_promotion_plan_t *plan, kb_time_t now,
			    const kb_watch_t *watch,
			    const kb_detector_t *detector, kb_cause_t cause,
			    uint64_t term)
{
	memset(plan, 0, sizeof(*plan));
	plan->cause = cause;
	plan->term = term;
	plan->target_count = watch->group.target_count;
	plan->preferred = preferred_target(watch, cause);
	for (size_t i = 0; i < plan->target_count; i++) {
		if (kb_detector_is_reachable(detector, now, &watch->targets[i]))
			plan->reachable |= 1u << i;
		if (watch->group.targets[i].state == KB_ADMIN_STATE_LEAVING ||
		    (cause == KB_CAUSE_REPLICATION && i == watch->primary))
			plan->avoided |= 1u << i;
	}
}

static int may_succeed(kb_time_t now, const kb_watch_t *watch,
		       const kb_detector_t *detector, size_t index,
		       uint64_t lag)
{
	const kb_watch_target_t *primary = &watch->targets[watch->primary];
	const kb_watch_target_t *target = &watch->targets[index];
	kb_point_t end = kb_report_last(&primary->report);
	kb_point_t last = kb_report_last(&target->report);

	return watch->group.targets[index].state == KB_ADMIN_STATE_ACTIVE &&
	       kb_detector_is_reachable(detector, now, target) &&
	       last.term == end.term && last.position + lag >= end.position;
}

int kb_promotion_plan_can_switch_over(kb_time_t now, const kb_watch_t *watch,
				      const kb_detector_t *detector,
				      uint64_t lag)
{
	size_t primary = kb_watch_primary(watch), successors = 0;

	if (primary == KB_NO_TARGET ||
	    watch->group.targets[primary].state != KB_ADMIN_STATE_LEAVING)
		return 0;
	for (size_t i = 0; i < watch->group.target_count; i++)
		successors += may_succeed(now, watch, detector, i, lag);
	return successors >= kb_group_majority(&watch->group);
}

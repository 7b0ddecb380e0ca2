#include "route_plan.h"

/* Size of an answer that is expected of a read. */
#define EXPECTED_ANSWER_BYTES 2048
#define EXPECTED_BULK_ANSWER_BYTES (256 * 1024)

static kb_route_locality_t place_of(const kb_target_spec_t *target,
				    const kb_host_t *self)
{
	if (kb_name_is(&target->data_centre, kb_name_str(&self->data_centre)))
		return KB_ROUTE_SAME_DATA_CENTRE;
	if (kb_name_is(&target->region, kb_name_str(&self->region)))
		return KB_ROUTE_SAME_REGION;
	return KB_ROUTE_OTHER_REGION;
}

static void plan_read(kb_route_plan_t *plan, const kb_call_t *call,
		      const kb_group_spec_t *spec, const kb_group_hint_t *hint,
		      const kb_host_t *self, kb_time_t now)
{
	kb_route_candidate_t candidates[KB_GROUP_MAX_TARGETS];
	kb_route_settings_t settings;
	kb_route_requirements_t need = {
		.max_age = call->read_kind.max_age,
		.point = { call->args.include.term,
			   call->args.include.position },
		.class_index = call->class_index,
		.bulk = call->bulk,
		.answer_bytes = call->bulk ? EXPECTED_BULK_ANSWER_BYTES
					   : EXPECTED_ANSWER_BYTES,
		.deadline = call->deadline,
	};

	for (size_t i = 0; i < spec->target_count; i++)
		candidates[i] = (kb_route_candidate_t){
			.target = i,
			.hint = &hint->targets[i],
			.place = place_of(&spec->targets[i], self),
			.slots = spec->targets[i].slots,
			.leaving = spec->targets[i].state ==
				   KB_ADMIN_STATE_LEAVING,
		};
	kb_route_default_settings(&settings);
	kb_route_init(&plan->route, &settings, &hint->load.policy, &need,
		      candidates, spec->target_count, now);
}

void kb_route_plan_make(kb_route_plan_t *plan, const kb_call_t *call,
			const kb_group_spec_t *spec,
			const kb_group_hint_t *hint, const kb_host_t *self,
			kb_time_t now)
{
	memset(plan, 0, sizeof(*plan));
	plan->made = 1;
	plan->is_read = call->args.action == KBX_ACTION_READ;
	plan->primary = hint->primary < spec->target_count ? hint->primary : 0;
	if (plan->is_read)
		plan_read(plan, call, spec, hint, self, now);
}

kb_result_t kb_route_plan_target(kb_route_plan_t *plan, kb_time_t now,
				 size_t *target)
{
	if (plan->is_read)
		return kb_route_next(&plan->route, now, target);
	*target = plan->primary;
	return KB_OK;
}

int kb_route_plan_failed(kb_route_plan_t *plan, kb_result_t result)
{
	/* A read may be repeated wherever its first attempt ended. */
	if (kb_result_outcome(result) == KB_OUTCOME_UNKNOWN)
		result = KB_ERR_UNREACHABLE;
	if (plan->is_read && kb_route_failed(&plan->route, result))
		return 1;
	plan->made = 0;
	return 0;
}

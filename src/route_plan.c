#include "route_plan.h"

/* Preference of a target; lower is better. */
static int distance(const kb_target_spec_t *target, const kb_host_t *self)
{
	if (kb_name_is(&target->data_centre, kb_name_str(&self->data_centre)))
		return 0;
	if (kb_name_is(&target->region, kb_name_str(&self->region)))
		return 1;
	return 2;
}

static int is_better(const kb_group_spec_t *spec, const kb_group_hint_t *hint,
		     const kb_host_t *self, size_t a, size_t b)
{
	int da = distance(&spec->targets[a], self);
	int db = distance(&spec->targets[b], self);

	if (da != db)
		return da < db;
	return hint->targets[a].outstanding < hint->targets[b].outstanding;
}

static void plan_replicas(kb_route_plan_t *plan, const kb_group_spec_t *spec,
			  const kb_group_hint_t *hint, const kb_host_t *self,
			  size_t primary)
{
	for (size_t i = 0; i < spec->target_count; i++) {
		size_t at = plan->count;

		if (i == primary || spec->targets[i].state == KB_STATE_LEAVING)
			continue;
		while (at &&
		       is_better(spec, hint, self, i, plan->targets[at - 1])) {
			plan->targets[at] = plan->targets[at - 1];
			at--;
		}
		plan->targets[at] = i;
		plan->count++;
	}
}

void kb_route_plan_make(kb_route_plan_t *plan, const kb_call_t *call,
			const kb_group_spec_t *spec,
			const kb_group_hint_t *hint, const kb_host_t *self,
			kb_time_t now)
{
	size_t primary = hint->primary < spec->target_count ? hint->primary : 0;

	(void)now;
	memset(plan, 0, sizeof(*plan));
	if (call->args.action == KBX_ACTION_READ && call->read_kind.max_age)
		plan_replicas(plan, spec, hint, self, primary);
	plan->targets[plan->count++] = primary;
}

size_t kb_route_plan_target(const kb_route_plan_t *plan)
{
	return plan->targets[plan->next];
}

int kb_route_plan_next(kb_route_plan_t *plan)
{
	plan->next++;
	return plan->next < plan->count;
}

int kb_route_plan_is_spent(const kb_route_plan_t *plan)
{
	return plan->next >= plan->count;
}

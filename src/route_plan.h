#ifndef KB_ROUTE_PLAN_H
#define KB_ROUTE_PLAN_H

#include "call.h"
#include "group_hint.h"
#include "hosts.h"
#include "route.h"

KB_BEGIN_DECLS

/* The targets to try for one call: one for a write, several for a read. */
typedef struct kb_route_plan {
	int made;
	int is_read;
	size_t primary;
	kb_route_t route;
} kb_route_plan_t;

/* Fills in the plan of `call` as seen from host `self`. */
void kb_route_plan_make(kb_route_plan_t *plan, const kb_call_t *call,
			const kb_group_spec_t *spec,
			const kb_group_hint_t *hint, const kb_host_t *self,
			kb_time_t now);

/*
 * Sets `*target` to the target to try now, or returns the result with which to
 * refuse the call.
 */
kb_result_t kb_route_plan_target(kb_route_plan_t *plan, kb_time_t now,
				 size_t *target);

/*
 * Records the result of a failed attempt. Returns non-zero if another target is
 * to be tried at once; otherwise a new plan has to be made.
 */
int kb_route_plan_failed(kb_route_plan_t *plan, kb_result_t result);

KB_END_DECLS

#endif

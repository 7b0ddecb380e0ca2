#ifndef KB_ROUTE_PLAN_H
#define KB_ROUTE_PLAN_H

#include "call.h"
#include "group_hint.h"
#include "hosts.h"

KB_BEGIN_DECLS

/* The targets to try for one call, best first. */
typedef struct kb_route_plan {
	size_t targets[KB_GROUP_MAX_TARGETS];
	size_t count;
	size_t next;
} kb_route_plan_t;

/* Fills in the plan of `call` as seen from host `self`. */
void kb_route_plan_make(kb_route_plan_t *plan, const kb_call_t *call,
			const kb_group_spec_t *spec,
			const kb_group_hint_t *hint, const kb_host_t *self,
			kb_time_t now);

/* Returns the target to try now. */
size_t kb_route_plan_target(const kb_route_plan_t *plan);

/* Moves on; returns zero if there is no other target. */
int kb_route_plan_next(kb_route_plan_t *plan);

/* Returns non-zero if a plan has to be made. */
int kb_route_plan_is_spent(const kb_route_plan_t *plan);

KB_END_DECLS

#endif

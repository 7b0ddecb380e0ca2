#ifndef KB_ROUTER_JOB_H
#define KB_ROUTER_JOB_H

#include "route_plan.h"
#include "router.h"

KB_BEGIN_DECLS

/* One call on its way. */
typedef struct kb_router_job {
	kb_router_t *router;
	struct kb_router_job *next, *prev;
	kb_call_t *call;
	kb_group_hint_t *hint;
	struct event *timer;
	/* Continues after a wait. */
	void (*resume)(struct kb_router_job *job);
	kb_route_plan_t plan;
	size_t target;
	kb_host_t *host;
	/* An earlier attempt may have run. */
	int maybe_ran;
	unsigned delay_ms;
	/* The call to another host. */
	kb_span_t span;
} kb_router_job_t;

/* Adds the job to its router. */
void kb_router_job_link(kb_router_job_t *job);

/*
 * Ends the call of the job with `res` and frees the job. A refusal becomes
 * unknown if an earlier attempt may have run.
 */
void kb_router_job_end(kb_router_job_t *job, const kbx_execute_res *res);

/* Ends it with a result and nothing else. */
void kb_router_job_fail(kb_router_job_t *job, kb_result_t result,
			const char *detail);

/* Returns the time until the deadline. */
kb_time_t kb_router_job_time_left(const kb_router_job_t *job);

/*
 * Calls `resume` after `wait`. Returns 0, doing nothing, if the deadline comes
 * first or memory is short.
 */
int kb_router_job_wait(kb_router_job_t *job, kb_time_t wait);

KB_END_DECLS

#endif

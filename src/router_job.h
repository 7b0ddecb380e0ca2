#ifndef KB_ROUTER_JOB_H
#define KB_ROUTER_JOB_H

#include "route_plan.h"
#include "router.h"

KB_BEGIN_DECLS

/* A call that is being routed. */
typedef struct kb_router_job {
	kb_router_t *router;
	struct kb_router_job *next, *prev;
	kb_call_t *call;
	kb_group_hint_t *hint;
	struct event *timer;
	/* Called after a wait. */
	void (*resume)(struct kb_router_job *job);
	kb_route_plan_t plan;
	size_t target;
	kb_host_t *host;
	/* An earlier attempt may have run. */
	int maybe_ran;
	unsigned delay_ms;
	/* Span of the call to another host. */
	kb_span_t span;
} kb_router_job_t;

/* Adds the job to its router. */
void kb_router_job_link(kb_router_job_t *job);

/*
 * Ends the call of the job with `res` and frees the job. A result that means
 * not run becomes KB_ERR_UNKNOWN if an earlier attempt may have run. The
 * exception is KB_ERR_KEY_REUSED, as the key's record belongs to another
 * request then.
 */
void kb_router_job_end(kb_router_job_t *job, const kbx_execute_res *res);

/* Ends the call with a result and a message only. */
void kb_router_job_fail(kb_router_job_t *job, kb_result_t result,
			const char *detail);

/* Returns the time until the deadline. */
kb_time_t kb_router_job_time_left(const kb_router_job_t *job);

/*
 * Calls `resume` after `wait`. Returns 0 and does nothing if the deadline is
 * earlier or there is not enough memory.
 */
int kb_router_job_wait(kb_router_job_t *job, kb_time_t wait);

KB_END_DECLS

#endif

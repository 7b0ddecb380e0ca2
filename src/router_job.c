#include "router_job.h"

#include <event2/event.h>
#include <stdlib.h>

void kb_router_job_link(kb_router_job_t *job)
{
	kb_router_t *router = job->router;

	job->next = router->jobs;
	if (router->jobs)
		router->jobs->prev = job;
	router->jobs = job;
	router->active++;
}

static void job_unlink(kb_router_job_t *job)
{
	if (job->prev)
		job->prev->next = job->next;
	else
		job->router->jobs = job->next;
	if (job->next)
		job->next->prev = job->prev;
	job->router->active--;
}

void kb_router_job_end(kb_router_job_t *job, const kbx_execute_res *res)
{
	kb_router_t *router = job->router;
	kb_call_t *call = job->call;
	kbx_execute_res out = *res;

	if (job->maybe_ran && out.result &&
	    kb_result_outcome(out.result) == KB_OUTCOME_NOT_RUN &&
	    out.result != KB_ERR_KEY_REUSED) {
		out.result = KB_ERR_UNKNOWN;
		out.message = "an earlier attempt may have run";
	}
	if (!out.result && call->args.action == KBX_ACTION_READ) {
		if (job->target == job->hint->primary)
			router->counters.primary_reads++;
		else
			router->counters.replica_reads++;
	}
	if (job->host)
		call->gate_host = job->host->name;
	if (job->timer)
		event_free(job->timer);
	job_unlink(job);
	free(job);
	call->done(call, &out);
}

void kb_router_job_fail(kb_router_job_t *job, kb_result_t result,
			const char *detail)
{
	kbx_execute_res res;

	memset(&res, 0, sizeof(res));
	res.result = result;
	res.message = (char *)detail;
	res.transaction = "";
	kb_router_job_end(job, &res);
}

kb_time_t kb_router_job_time_left(const kb_router_job_t *job)
{
	return job->call->deadline - kb_clock_monotonic(job->router->clock);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	kb_router_job_t *job = arg;

	(void)fd;
	(void)what;
	job->resume(job);
}

int kb_router_job_wait(kb_router_job_t *job, kb_time_t wait)
{
	struct timeval delay = {
		.tv_sec = wait / KB_NS_PER_S,
		.tv_usec = wait % KB_NS_PER_S / KB_NS_PER_US,
	};

	if (kb_router_job_time_left(job) <= wait)
		return 0;
	if (!job->timer)
		job->timer = evtimer_new(job->router->loop, on_timer, job);
	return job->timer && !evtimer_add(job->timer, &delay);
}

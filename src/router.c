#include "router.h"

#include "route_plan.h"

#include <event2/event.h>
#include <stdlib.h>

enum {
	RETRY_DELAY_MS = 20,
	/* Time beyond the deadline that a forwarded call may take. */
	FORWARD_MARGIN_MS = 500,
};

/* One call on its way. */
typedef struct job {
	kb_router_t *router;
	kb_call_t *call;
	kb_group_hint_t *hint;
	struct event *timer;
	kb_route_plan_t plan;
	size_t target;
	kb_host_t *host;
	/* An earlier attempt may have run. */
	int maybe_ran;
} job_t;

static void job_try(job_t *job);

void kb_router_init(kb_router_t *router, const kb_router_ops_t *ops,
		    struct event_base *loop, kb_clock_t *clock,
		    kb_hosts_t *hosts, const kb_catalog_t *catalog)
{
	memset(router, 0, sizeof(*router));
	router->ops = ops;
	router->loop = loop;
	router->clock = clock;
	router->hosts = hosts;
	router->catalog = catalog;
	kb_hint_table_init(&router->hints);
}

void kb_router_finish(kb_router_t *router)
{
	kb_hint_table_finish(&router->hints);
}

static void job_end(job_t *job, const kbx_execute_res *res)
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
	free(job);
	router->active--;
	call->done(call, &out);
}

static void job_fail(job_t *job, kb_result_t result, const char *detail)
{
	kbx_execute_res res;

	memset(&res, 0, sizeof(res));
	res.result = result;
	res.message = (char *)detail;
	res.transaction = "";
	job_end(job, &res);
}

static kb_time_t time_left(const job_t *job)
{
	return job->call->deadline - kb_clock_monotonic(job->router->clock);
}

static int ends_transaction(const kb_call_t *call)
{
	return call->args.action == KBX_ACTION_STATEMENT ||
	       call->args.action == KBX_ACTION_COMMIT ||
	       call->args.action == KBX_ACTION_ROLLBACK;
}

/* Whether the call may be sent once more after `result`. */
static int may_retry(const job_t *job, kb_result_t result)
{
	const kb_call_t *call = job->call;

	if (ends_transaction(call))
		return 0;
	switch (result) {
	case KB_ERR_NO_PRIMARY:
	case KB_ERR_NOT_FRESH:
	case KB_ERR_NOT_GATE:
	case KB_ERR_UNREACHABLE:
	case KB_ERR_DRAINING:
	case KB_ERR_ROLLED_BACK:
		return 1;
	case KB_ERR_OVERLOADED:
		return call->args.action == KBX_ACTION_READ;
	case KB_ERR_UNKNOWN:
	case KB_ERR_CLOSED:
	case KB_ERR_TIMEOUT:
		return call->args.action == KBX_ACTION_READ ||
		       call->args.key[0];
	default:
		return 0;
	}
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	job_try(arg);
}

static int retry_later(job_t *job)
{
	struct timeval delay = { 0, RETRY_DELAY_MS * 1000 };

	if (time_left(job) < RETRY_DELAY_MS * KB_NS_PER_MS)
		return 0;
	if (!job->timer)
		job->timer = evtimer_new(job->router->loop, on_retry, job);
	return job->timer && !evtimer_add(job->timer, &delay);
}

static void take_result(job_t *job, const kbx_execute_res *res)
{
	kb_router_t *router = job->router;
	kb_result_t result = (kb_result_t)res->result;
	const kb_group_spec_t *spec = kb_catalog_group(
		router->catalog, kb_str_from(job->call->args.group));

	if (spec) {
		kb_group_hint_update(job->hint, spec, &res->view,
				     kb_clock_monotonic(router->clock));
		if (result == KB_ERR_NO_PRIMARY)
			kb_group_hint_not_primary(job->hint, spec, job->target);
	}
	if (result && kb_result_outcome(result) == KB_OUTCOME_UNKNOWN &&
	    job->call->args.action != KBX_ACTION_READ)
		job->maybe_ran = 1;
	if (!result || !spec || !may_retry(job, result)) {
		job_end(job, res);
		return;
	}
	router->counters.retries++;
	if (kb_route_plan_next(&job->plan)) {
		job_try(job);
		return;
	}
	if (!retry_later(job))
		job_end(job, res);
}

static void on_local(void *ctx, const kbx_execute_res *res)
{
	job_t *job = ctx;

	job->hint->targets[job->target].outstanding--;
	take_result(job, res);
}

static void on_forwarded(void *ctx, kb_result_t result, void *res)
{
	job_t *job = ctx;
	kbx_execute_res failed;

	job->hint->targets[job->target].outstanding--;
	if (!result) {
		take_result(job, res);
		return;
	}
	job->router->ops->call_failed(job->router, job->host);
	memset(&failed, 0, sizeof(failed));
	failed.result = result;
	if (kb_result_outcome(result) == KB_OUTCOME_UNKNOWN &&
	    result != KB_ERR_VERSION)
		failed.result = KB_ERR_UNKNOWN;
	failed.message = (char *)kb_strerror(result);
	failed.transaction = "";
	take_result(job, &failed);
}

static void forward(job_t *job)
{
	kb_rpc_call_t call = {
		.procedure = KUMQUAT_EXECUTE,
		.encode = (xdrproc_t)xdr_kbx_execute_args,
		.args = &job->call->args,
		.decode = (xdrproc_t)xdr_kbx_execute_res,
		.res_size = sizeof(kbx_execute_res),
		.timeout = time_left(job) + FORWARD_MARGIN_MS * KB_NS_PER_MS,
		.done = on_forwarded,
		.ctx = job,
	};
	kbx_execute_res failed;
	kb_result_t result;

	job->router->counters.forwarded++;
	job->hint->targets[job->target].outstanding++;
	result = kb_rpc_peer_call(&job->host->peer, &call);
	if (!result)
		return;
	job->hint->targets[job->target].outstanding--;
	memset(&failed, 0, sizeof(failed));
	failed.result = result;
	failed.message = (char *)kb_strerror(result);
	failed.transaction = "";
	take_result(job, &failed);
}

static void send_to(job_t *job, kb_host_t *host)
{
	job->host = host;
	job->call->args.deadline_us = time_left(job) / KB_NS_PER_US;
	if (host->self) {
		job->router->counters.local++;
		job->hint->targets[job->target].outstanding++;
		job->router->ops->execute(job->router, &job->call->args,
					  on_local, job);
		return;
	}
	forward(job);
}

static void job_try(job_t *job)
{
	kb_router_t *router = job->router;
	kb_call_t *call = job->call;
	const kb_group_spec_t *spec = kb_catalog_group(
		router->catalog, kb_str_from(call->args.group));
	kb_host_t *host;

	if (!spec) {
		job_fail(job, KB_ERR_NOT_FOUND, "the group does not exist");
		return;
	}
	if (time_left(job) <= 0) {
		job_fail(job, KB_ERR_DEADLINE, "the deadline has passed");
		return;
	}
	if (ends_transaction(call)) {
		job->target = kb_group_find_target(
			spec, kb_str_from(call->args.target));
		host = kb_hosts_find(router->hosts,
				     kb_name_str(&call->gate_host));
		if (job->target == spec->target_count || !host) {
			job_fail(job, KB_ERR_NOT_FOUND,
				 "the transaction does not exist");
			return;
		}
		send_to(job, host);
		return;
	}
	if (kb_route_plan_is_spent(&job->plan))
		kb_route_plan_make(&job->plan, call, spec, job->hint,
				   router->hosts->self,
				   kb_clock_monotonic(router->clock));
	job->target = kb_route_plan_target(&job->plan);
	host = router->ops->gate_host(router, &spec->targets[job->target]);
	if (kb_call_set(&call->args.target,
			kb_name_str(&spec->targets[job->target].name))) {
		job_fail(job, KB_ERR_NO_MEMORY, "out of memory");
		return;
	}
	if (!host) {
		kbx_execute_res res;

		memset(&res, 0, sizeof(res));
		res.result = KB_ERR_UNREACHABLE;
		res.message = "the target has no gate";
		res.transaction = "";
		take_result(job, &res);
		return;
	}
	send_to(job, host);
}

void kb_router_submit(kb_router_t *router, kb_call_t *call)
{
	job_t *job = calloc(1, sizeof(*job));

	if (job)
		job->hint = kb_hint_table_get(&router->hints,
					      kb_str_from(call->args.group));
	if (!job || !job->hint) {
		free(job);
		kb_call_fail(call, KB_ERR_NO_MEMORY, "out of memory");
		return;
	}
	job->router = router;
	job->call = call;
	router->active++;
	job_try(job);
}

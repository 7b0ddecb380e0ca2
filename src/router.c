#include "router.h"

#include "route_retry.h"
#include "router_job.h"

#include <event2/event.h>
#include <stdlib.h>

enum {
	RETRY_DELAY_MIN_MS = 20,
	RETRY_DELAY_MAX_MS = 160,
	RETRY_BURST = 200,
	/* Minimum wait for the budget of the link between regions. */
	LINK_WAIT_MIN_MS = 5,
	REQUEST_OVERHEAD_BYTES = 256,
	/* Time that a forwarded call may take beyond its deadline. */
	FORWARD_MARGIN_MS = 500,
};

/* Retries for each successful request, beyond the burst. */
#define RETRY_SHARE 0.2
/* Burst and reserve of the link, as divisors of its rate per second. */
#define LINK_BURST_DIVISOR 4
#define LINK_RESERVE_DIVISOR 8

typedef struct kb_router_job job_t;

static void try_job(job_t *job);

void kb_router_init(kb_router_t *router, const kb_router_ops_t *ops,
		    struct event_base *loop, kb_clock_t *clock,
		    kb_hosts_t *hosts, const kb_catalog_t *catalog,
		    uint64_t link_bytes_per_s)
{
	kb_bandwidth_limiter_settings_t link = {
		.bytes_per_s = link_bytes_per_s,
		.burst_bytes = link_bytes_per_s / LINK_BURST_DIVISOR,
		.reserve_bytes = link_bytes_per_s / LINK_RESERVE_DIVISOR,
	};

	memset(router, 0, sizeof(*router));
	router->ops = ops;
	router->loop = loop;
	router->clock = clock;
	router->hosts = hosts;
	router->catalog = catalog;
	kb_hint_table_init(&router->hints);
	kb_retry_budget_init(&router->budget, RETRY_SHARE, RETRY_BURST);
	kb_bandwidth_limiter_init(&router->link, &link,
				  kb_clock_monotonic(clock));
}

void kb_router_finish(kb_router_t *router)
{
	while (router->jobs)
		kb_router_job_fail(router->jobs, KB_ERR_DRAINING,
				   "the host stops");
	kb_hint_table_finish(&router->hints);
}

static int retry_later(job_t *job, kb_result_t result)
{
	unsigned delay = job->delay_ms ? job->delay_ms : RETRY_DELAY_MIN_MS;

	if (kb_route_retry_needs_budget(result) &&
	    !kb_retry_budget_spend(&job->router->budget))
		return 0;
	job->delay_ms = delay < RETRY_DELAY_MAX_MS ? delay * 2 : delay;
	return kb_router_job_wait(job, delay * KB_NS_PER_MS);
}

static void count_started(job_t *job)
{
	kb_route_policy_t *policy = &job->hint->load.policy;

	policy->ops->started(policy, job->target, job->call->class_index);
}

static void count_ended(job_t *job, const kbx_execute_res *res)
{
	kb_route_policy_t *policy = &job->hint->load.policy;
	kb_time_t service = res && !res->result && res->service_us > 0
				    ? res->service_us * KB_NS_PER_US
				    : -1;

	policy->ops->ended(policy, job->target, job->call->class_index,
			   service);
}

/* Charges the link budget for a call to another region. */
static void charge_link(job_t *job, const kbx_execute_res *res)
{
	kb_router_t *router = job->router;
	uint64_t bytes = REQUEST_OVERHEAD_BYTES + res->answer.answer_len;

	if (kb_name_is(&job->host->region,
		       kb_name_str(&router->hosts->self->region)))
		return;
	router->counters.region_bytes += bytes;
	kb_bandwidth_limiter_charge(&router->link, bytes,
				    kb_clock_monotonic(router->clock));
}

static void handle_result(job_t *job, const kbx_execute_res *res)
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
	if (!result)
		kb_retry_budget_succeeded(&router->budget);
	if (!result || !spec || !kb_route_retry_allowed(job->call, result)) {
		kb_router_job_end(job, res);
		return;
	}
	router->counters.retries++;
	if (kb_route_plan_failed(&job->plan, result)) {
		try_job(job);
		return;
	}
	if (!retry_later(job, result))
		kb_router_job_end(job, res);
}

static void on_local(void *ctx, const kbx_execute_res *res)
{
	job_t *job = ctx;

	count_ended(job, res);
	handle_result(job, res);
}

static void on_forwarded(void *ctx, kb_result_t result, void *res)
{
	job_t *job = ctx;
	kbx_execute_res failed;

	count_ended(job, result ? NULL : res);
	kb_trace_end(job->router->trace, &job->span, result,
		     job->call->args.group, job->host->name.data);
	if (!result) {
		charge_link(job, res);
		handle_result(job, res);
		return;
	}
	job->router->ops->call_failed(job->router, job->host);
	memset(&failed, 0, sizeof(failed));
	failed.result = result;
	if (result == KB_ERR_VERSION)
		failed.result = KB_ERR_UNREACHABLE;
	else if (kb_result_outcome(result) == KB_OUTCOME_UNKNOWN)
		failed.result = KB_ERR_UNKNOWN;
	failed.message = (char *)kb_strerror(result);
	failed.transaction = "";
	handle_result(job, &failed);
}

/* Sets the parent span of the gate's spans. */
static void set_traceparent(job_t *job, const kb_trace_context_t *context)
{
	char text[KB_TRACEPARENT_BYTES + 1];

	if (!context->sampled)
		return;
	kb_trace_context_format(context, text);
	kb_call_set(&job->call->args.traceparent, kb_str_from(text));
}

static void forward(job_t *job)
{
	kb_rpc_call_t call = {
		.procedure = KUMQUAT_EXECUTE,
		.encode = (xdrproc_t)xdr_kbx_execute_args,
		.args = &job->call->args,
		.decode = (xdrproc_t)xdr_kbx_execute_res,
		.res_size = sizeof(kbx_execute_res),
		.timeout = kb_router_job_time_left(job) +
			   FORWARD_MARGIN_MS * KB_NS_PER_MS,
		.done = on_forwarded,
		.ctx = job,
	};
	kbx_execute_res failed;
	kb_result_t result;

	job->router->counters.forwarded++;
	count_started(job);
	kb_trace_begin(job->router->trace, &job->span, KB_SPAN_FORWARD,
		       &job->call->trace);
	set_traceparent(job, &job->span.context);
	result = kb_rpc_peer_call(&job->host->peer, &call);
	if (!result)
		return;
	kb_trace_end(job->router->trace, &job->span, result,
		     job->call->args.group, job->host->name.data);
	count_ended(job, NULL);
	memset(&failed, 0, sizeof(failed));
	failed.result = result;
	failed.message = (char *)kb_strerror(result);
	failed.transaction = "";
	handle_result(job, &failed);
}

static void send_to(job_t *job, kb_host_t *host)
{
	job->host = host;
	job->call->args.deadline_us =
		kb_router_job_time_left(job) / KB_NS_PER_US;
	if (host->self) {
		job->router->counters.local++;
		count_started(job);
		set_traceparent(job, &job->call->trace);
		job->router->ops->execute(job->router, &job->call->args,
					  on_local, job);
		return;
	}
	forward(job);
}

/* Sends a call of a transaction to the gate at which it is open. */
static void try_transaction(job_t *job, const kb_group_spec_t *spec)
{
	kb_call_t *call = job->call;
	kb_host_t *host = kb_hosts_find(job->router->hosts,
					kb_name_str(&call->gate_host));

	job->target =
		kb_group_find_target(spec, kb_str_from(call->args.target));
	if (job->target == spec->target_count || !host)
		kb_router_job_fail(job,
				   call->args.action == KBX_ACTION_COMMIT
					   ? KB_ERR_UNKNOWN
					   : KB_ERR_NOT_FOUND,
				   "the transaction is not open");
	else
		send_to(job, host);
}

/*
 * Delays the call if the budget of the link between regions is used up. Returns
 * non-zero if the call was delayed or has failed.
 */
static int wait_for_link(job_t *job, const kb_host_t *host)
{
	kb_router_t *router = job->router;
	kb_time_t wait;

	if (kb_name_is(&host->region,
		       kb_name_str(&router->hosts->self->region)))
		return 0;
	wait = kb_bandwidth_limiter_wait(&router->link, job->call->bulk,
					 kb_clock_monotonic(router->clock));
	if (!wait)
		return 0;
	if (wait < LINK_WAIT_MIN_MS * KB_NS_PER_MS)
		wait = LINK_WAIT_MIN_MS * KB_NS_PER_MS;
	router->counters.region_waits++;
	if (wait == KB_TIME_NEVER || !kb_router_job_wait(job, wait))
		kb_router_job_fail(job, KB_ERR_OVERLOADED,
				   "the link between regions has no room");
	return 1;
}

static void try_target(job_t *job, const kb_group_spec_t *spec)
{
	kb_router_t *router = job->router;
	kb_call_t *call = job->call;
	const kb_target_spec_t *target = &spec->targets[job->target];
	kb_host_t *host = router->ops->gate_host(router, spec, job->target);
	kbx_execute_res res;

	if (kb_call_set(&call->args.target, kb_name_str(&target->name))) {
		kb_router_job_fail(job, KB_ERR_NO_MEMORY, "out of memory");
		return;
	}
	if (host) {
		if (!wait_for_link(job, host))
			send_to(job, host);
		return;
	}
	memset(&res, 0, sizeof(res));
	res.result = KB_ERR_UNREACHABLE;
	res.message = "the target has no gate";
	res.transaction = "";
	handle_result(job, &res);
}

static void try_job(job_t *job)
{
	kb_router_t *router = job->router;
	kb_call_t *call = job->call;
	kb_time_t now = kb_clock_monotonic(router->clock);
	const kb_group_spec_t *spec = kb_catalog_group(
		router->catalog, kb_str_from(call->args.group));
	kb_result_t result;

	if (!spec) {
		kb_router_job_fail(job, KB_ERR_NOT_FOUND,
				   "the group does not exist");
		return;
	}
	if (kb_router_job_time_left(job) <= 0) {
		kb_router_job_fail(job, KB_ERR_DEADLINE,
				   "the deadline has passed");
		return;
	}
	if (kb_route_retry_in_transaction(call)) {
		try_transaction(job, spec);
		return;
	}
	if (!job->plan.made)
		kb_route_plan_make(&job->plan, call, spec, job->hint,
				   router->hosts->self, now);
	result = kb_route_plan_target(&job->plan, now, &job->target);
	if (result)
		kb_router_job_fail(job, result, kb_strerror(result));
	else
		try_target(job, spec);
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
	job->resume = try_job;
	call->class_index = kb_catalog_class_index(
		router->catalog, kb_str_from(call->args.traffic_class));
	if (call->class_index >= KB_ROUTE_MAX_CLASSES)
		call->class_index = KB_ROUTE_MAX_CLASSES - 1;
	kb_router_job_link(job);
	try_job(job);
}

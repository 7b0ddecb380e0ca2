#include "router.h"

#include "route_plan.h"

#include <event2/event.h>
#include <stdlib.h>

enum {
	RETRY_DELAY_MIN_MS = 20,
	RETRY_DELAY_MAX_MS = 160,
	RETRY_BURST = 200,
	/* Least pause before the link between regions is asked again. */
	LINK_WAIT_MIN_MS = 5,
	REQUEST_OVERHEAD_BYTES = 256,
	/* Time beyond the deadline that a forwarded call may take. */
	FORWARD_MARGIN_MS = 500,
};

/* Retries for each successful request, beyond the burst. */
#define RETRY_SHARE 0.2
/* Parts of a second of the link's rate in its burst and its reserve. */
#define LINK_BURST_PART 4
#define LINK_RESERVE_PART 8

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
	unsigned delay_ms;
} job_t;

static void job_try(job_t *job);

void kb_router_init(kb_router_t *router, const kb_router_ops_t *ops,
		    struct event_base *loop, kb_clock_t *clock,
		    kb_hosts_t *hosts, const kb_catalog_t *catalog,
		    uint64_t link_bytes_per_s)
{
	kb_link_budget_settings_t link = {
		.bytes_per_s = link_bytes_per_s,
		.burst_bytes = link_bytes_per_s / LINK_BURST_PART,
		.reserve_bytes = link_bytes_per_s / LINK_RESERVE_PART,
	};

	memset(router, 0, sizeof(*router));
	router->ops = ops;
	router->loop = loop;
	router->clock = clock;
	router->hosts = hosts;
	router->catalog = catalog;
	kb_hint_table_init(&router->hints);
	kb_retry_budget_init(&router->budget, RETRY_SHARE, RETRY_BURST);
	kb_link_budget_init(&router->link, &link, kb_clock_monotonic(clock));
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

static int try_after(job_t *job, kb_time_t wait)
{
	struct timeval delay = {
		.tv_sec = wait / KB_NS_PER_S,
		.tv_usec = wait % KB_NS_PER_S / KB_NS_PER_US,
	};

	if (time_left(job) <= wait)
		return 0;
	if (!job->timer)
		job->timer = evtimer_new(job->router->loop, on_retry, job);
	return job->timer && !evtimer_add(job->timer, &delay);
}

/* Waits for a change of state cost the fleet little and need no budget. */
static int needs_budget(kb_result_t result)
{
	return result != KB_ERR_NO_PRIMARY && result != KB_ERR_NOT_FRESH &&
	       result != KB_ERR_NOT_GATE && result != KB_ERR_DRAINING &&
	       result != KB_ERR_UNREACHABLE;
}

static int retry_later(job_t *job, kb_result_t result)
{
	unsigned delay = job->delay_ms ? job->delay_ms : RETRY_DELAY_MIN_MS;

	if (needs_budget(result) &&
	    !kb_retry_budget_spend(&job->router->budget, result))
		return 0;
	job->delay_ms = delay < RETRY_DELAY_MAX_MS ? delay * 2 : delay;
	return try_after(job, delay * KB_NS_PER_MS);
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

/* Charges an exchange with another region. */
static void charge_link(job_t *job, const kbx_execute_res *res)
{
	kb_router_t *router = job->router;
	uint64_t bytes = REQUEST_OVERHEAD_BYTES + res->answer.answer_len;

	if (kb_name_is(&job->host->region,
		       kb_name_str(&router->hosts->self->region)))
		return;
	router->counters.region_bytes += bytes;
	kb_link_budget_charge(&router->link, bytes,
			      kb_clock_monotonic(router->clock));
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
	if (!result)
		kb_retry_budget_succeeded(&router->budget);
	if (!result || !spec || !may_retry(job, result)) {
		job_end(job, res);
		return;
	}
	router->counters.retries++;
	if (kb_route_plan_failed(&job->plan, result)) {
		job_try(job);
		return;
	}
	if (!retry_later(job, result))
		job_end(job, res);
}

static void on_local(void *ctx, const kbx_execute_res *res)
{
	job_t *job = ctx;

	count_ended(job, res);
	take_result(job, res);
}

static void on_forwarded(void *ctx, kb_result_t result, void *res)
{
	job_t *job = ctx;
	kbx_execute_res failed;

	count_ended(job, result ? NULL : res);
	if (!result) {
		charge_link(job, res);
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
	count_started(job);
	result = kb_rpc_peer_call(&job->host->peer, &call);
	if (!result)
		return;
	count_ended(job, NULL);
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
		count_started(job);
		job->router->ops->execute(job->router, &job->call->args,
					  on_local, job);
		return;
	}
	forward(job);
}

/* Sends a call of a transaction to the gate that holds it. */
static void try_transaction(job_t *job, const kb_group_spec_t *spec)
{
	kb_call_t *call = job->call;
	kb_host_t *host = kb_hosts_find(job->router->hosts,
					kb_name_str(&call->gate_host));

	job->target =
		kb_group_find_target(spec, kb_str_from(call->args.target));
	if (job->target == spec->target_count || !host)
		job_fail(job,
			 call->args.action == KBX_ACTION_COMMIT
				 ? KB_ERR_UNKNOWN
				 : KB_ERR_NOT_FOUND,
			 "the transaction is not open");
	else
		send_to(job, host);
}

/* Holds the call back while the link between regions has no room for it. */
static int wait_for_link(job_t *job, const kb_host_t *host)
{
	kb_router_t *router = job->router;
	kb_time_t wait;

	if (kb_name_is(&host->region,
		       kb_name_str(&router->hosts->self->region)))
		return 0;
	wait = kb_link_budget_wait(&router->link, job->call->bulk,
				   kb_clock_monotonic(router->clock));
	if (!wait)
		return 0;
	if (wait < LINK_WAIT_MIN_MS * KB_NS_PER_MS)
		wait = LINK_WAIT_MIN_MS * KB_NS_PER_MS;
	router->counters.region_waits++;
	if (wait == KB_TIME_NEVER || !try_after(job, wait))
		job_fail(job, KB_ERR_OVERLOADED,
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
		job_fail(job, KB_ERR_NO_MEMORY, "out of memory");
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
	take_result(job, &res);
}

static void job_try(job_t *job)
{
	kb_router_t *router = job->router;
	kb_call_t *call = job->call;
	kb_time_t now = kb_clock_monotonic(router->clock);
	const kb_group_spec_t *spec = kb_catalog_group(
		router->catalog, kb_str_from(call->args.group));
	kb_result_t result;

	if (!spec) {
		job_fail(job, KB_ERR_NOT_FOUND, "the group does not exist");
		return;
	}
	if (time_left(job) <= 0) {
		job_fail(job, KB_ERR_DEADLINE, "the deadline has passed");
		return;
	}
	if (ends_transaction(call)) {
		try_transaction(job, spec);
		return;
	}
	if (!job->plan.made)
		kb_route_plan_make(&job->plan, call, spec, job->hint,
				   router->hosts->self, now);
	result = kb_route_plan_target(&job->plan, now, &job->target);
	if (result)
		job_fail(job, result, kb_strerror(result));
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
	call->class_index = kb_catalog_class_index(
		router->catalog, kb_str_from(call->args.traffic_class));
	if (call->class_index >= KB_ROUTE_MAX_CLASSES)
		call->class_index = KB_ROUTE_MAX_CLASSES - 1;
	router->active++;
	job_try(job);
}

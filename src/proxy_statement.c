#include "proxy_statement.h"

#include "load/start_wait.h"
#include "log.h"

#include <stdlib.h>

enum {
	/* Pause between attempts of a read that waits for replicas. */
	READ_RETRY_INTERVAL_MS = 30,
	/* Added to the timeout of a call for the transit of the answer. */
	CALL_TIMEOUT_MARGIN_MS = 200,
	/* Another host can be tried after this time. */
	OTHER_HOST_RETRY_AFTER_MS = 10,
};

/* One attempt at a statement. */
typedef struct attempt {
	kb_proxy_session_t *session;
	uint64_t number;
	kb_name_t group;
	kb_name_t host;
	kb_name_t target;
	kb_time_t sent_at;
	kbs_kind kind;
} attempt_t;

kb_proxy_group_t *kb_proxy_session_group(const kb_proxy_session_t *session)
{
	return kb_proxy_group_find(session->proxy,
				   kb_text_str(session->caller.args.group));
}

static void on_rolled_back(void *ctx, kb_result_t result, void *res)
{
	(void)ctx;
	(void)result;
	(void)res;
}

static void on_rolled_back_local(void *ctx, const kbs_run_res *res)
{
	(void)ctx;
	(void)res;
}

void kb_proxy_roll_back_at(kb_proxy_t *proxy, const kb_name_t *group,
			   const kb_name_t *gate, const kb_name_t *target,
			   uint64_t transaction)
{
	kb_host_t *host = kb_hosts_find(&proxy->hosts, kb_name_str(gate));
	kbs_run_args args = {
		.group = kb_text_view(kb_name_str(group)),
		.target = kb_text_view(kb_name_str(target)),
		.kind = KBS_ROLLBACK,
		.transactional = TRUE,
		.transaction = transaction,
	};
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_RPC_RUN,
		.encode = (xdrproc_t)xdr_kbs_run_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_kbs_run_res,
		.res_size = sizeof(kbs_run_res),
		.timeout = KB_NS_PER_S,
		.done = on_rolled_back,
	};

	if (!host)
		return;
	/* If the call is lost, the transaction ends at its idle timeout. */
	if (host->self)
		kb_proxy_run_local(proxy, &args, on_rolled_back_local, NULL);
	else
		kb_rpc_peer_call(&host->peer, &rpc);
}

/* Stores the load, position and watermark of an answer, even a late one. */
static void record_result(kb_proxy_t *proxy, const attempt_t *attempt,
			  const kbs_run_res *res, kb_result_t result)
{
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_proxy_group_t *group =
		kb_proxy_group_find(proxy, kb_name_str(&attempt->group));
	kb_proxy_load_t *load;

	if (!attempt->target.len) {
		if (group && res) {
			kb_proxy_group_add_watermark(group, &res->stamp,
						     attempt->sent_at);
			if (res->load.slots) {
				group->load = res->load;
				group->load_at = now;
			}
		}
		return;
	}
	load = kb_proxy_load_get(proxy, kb_name_str(&attempt->target));
	if (!load)
		return;
	if (load->outstanding)
		load->outstanding--;
	if (res && res->load.slots) {
		load->load = res->load;
		load->at = now;
	}
	if (res && (res->point.term || res->point.position)) {
		load->position = kb_point_from(res->point);
		load->position_at = now;
	}
	if (result == KB_ERR_NOT_FRESH)
		return;
	if (result && result != KB_ERR_STATEMENT &&
	    result != KB_ERR_NO_STATEMENT)
		load->failed_at = now;
}

static void end_attempt(attempt_t *attempt, kb_result_t failure,
			const kbs_run_res *res)
{
	kb_proxy_session_t *session = attempt->session;
	kb_proxy_t *proxy = session->proxy;
	attempt_t ended = *attempt;
	kb_result_t result = res ? (kb_result_t)res->result : failure;

	free(attempt);
	session->outstanding--;
	record_result(proxy, &ended, res, result);
	if (session->number != ended.number || session->closed) {
		/* The result is not used: roll back what the attempt opened. */
		if (res && res->transaction && ended.kind != KBS_COMMIT)
			kb_proxy_roll_back_at(proxy, &ended.group, &ended.host,
					      &ended.target, res->transaction);
		if (session->closed && !session->outstanding)
			kb_proxy_session_free(session);
		return;
	}
	if (!res)
		result = kb_proxy_statement_call_result(session, failure);
	kb_proxy_statement_on_result(session, res, result);
}

static void on_ran_local(void *ctx, const kbs_run_res *res)
{
	end_attempt(ctx, KB_OK, res);
}

static void on_ran_remote(void *ctx, kb_result_t result, void *res)
{
	attempt_t *attempt = ctx;
	kb_proxy_t *proxy = attempt->session->proxy;
	kb_host_t *host;

	if (result) {
		host = kb_hosts_find(&proxy->hosts,
				     kb_name_str(&attempt->host));
		if (host)
			kb_proxy_host_failed(proxy, host, result);
	}
	end_attempt(attempt, result, res);
}

static void send_attempt(kb_proxy_session_t *session, kb_host_t *host)
{
	kb_proxy_t *proxy = session->proxy;
	kbs_run_args *args = &session->caller.args;
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_time_t left = session->deadline - now;
	attempt_t *attempt = calloc(1, sizeof(*attempt));
	kb_proxy_load_t *load = NULL;
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_RPC_RUN,
		.encode = (xdrproc_t)xdr_kbs_run_args,
		.args = args,
		.decode = (xdrproc_t)xdr_kbs_run_res,
		.res_size = sizeof(kbs_run_res),
		.timeout = left + CALL_TIMEOUT_MARGIN_MS * KB_NS_PER_MS,
		.done = on_ran_remote,
		.ctx = attempt,
	};
	kb_result_t result;

	if (!attempt) {
		kb_proxy_statement_finish(session, NULL, KB_ERR_OVERLOADED,
					  "memory is short");
		return;
	}
	session->gate = host->name;
	session->attempts++;
	proxy->stats.attempts++;
	args->target = kb_text_view(kb_name_str(&session->target));
	args->include = kb_point_to(session->selector.include);
	args->time_left_us = left / KB_NS_PER_US;
	args->objective_left_us = (session->caller.database.objective -
				   session->spent - (now - session->began_at)) /
				  KB_NS_PER_US;
	args->idle_limit_us = proxy->databases.txn_idle_timeout / KB_NS_PER_US;
	attempt->session = session;
	attempt->number = session->number;
	attempt->group = session->caller.database.group;
	attempt->host = host->name;
	attempt->target = session->target;
	attempt->sent_at = now;
	attempt->kind = args->kind;
	if (session->target.len)
		load = kb_proxy_load_get(proxy, kb_name_str(&session->target));
	if (load)
		load->outstanding++;
	session->outstanding++;
	if (host->self) {
		kb_proxy_run_local(proxy, args, on_ran_local, attempt);
		return;
	}
	proxy->stats.host_calls++;
	result = kb_rpc_peer_call(&host->peer, &rpc);
	if (result) {
		kb_proxy_host_failed(proxy, host, result);
		end_attempt(attempt, KB_ERR_UNREACHABLE, NULL);
	}
}

/* Another host may serve what this one cannot bring to its holder. */
static void refuse_cut_off(kb_proxy_session_t *session)
{
	kbs_run_res res = {
		.result = KB_ERR_NO_PRIMARY,
		.message = kb_text_view(
			KB_STR("the hosts that hold the group are silent")),
		.retry_us =
			OTHER_HOST_RETRY_AFTER_MS * KB_NS_PER_MS / KB_NS_PER_US,
	};

	session->proxy->stats.cut_off++;
	kb_proxy_statement_finish(session, &res, KB_ERR_NO_PRIMARY, "");
}

/* Sends the statement to the host that holds the group. */
static void try_primary(kb_proxy_session_t *session)
{
	kb_proxy_group_t *group = kb_proxy_session_group(session);
	kb_time_t now = kb_clock_monotonic(session->proxy->clock);
	kb_host_t *host = NULL;

	session->path = KB_PROXY_PATH_PRIMARY;
	session->target.len = 0;
	session->target.data[0] = 0;
	session->selector.include = (kb_point_t){ 0 };
	if (group && kb_proxy_group_is_cut_off(group, now)) {
		refuse_cut_off(session);
		return;
	}
	if (session->holder_hint.len)
		host = kb_hosts_find(&session->proxy->hosts,
				     kb_name_str(&session->holder_hint));
	else if (group && group->lease.known)
		host = kb_hosts_find(&session->proxy->hosts,
				     kb_name_str(&group->lease.record.holder));
	/* Watermark requests will detect a holder that returns. */
	if (host && !host->self && !kb_proxy_host_usable(host, now) &&
	    kb_proxy_statement_is_unservable(session, now))
		kb_proxy_statement_finish(
			session, NULL, KB_ERR_NO_PRIMARY,
			"no host that holds the group is reached");
	else if (host &&
		 !(group && kb_proxy_group_should_hold(group, host, now)))
		send_attempt(session, host);
	else
		kb_proxy_statement_on_result(session, NULL, KB_ERR_NO_PRIMARY);
}

static int waits_for_first_watermark(const kb_proxy_session_t *session,
				     const kb_proxy_group_t *group)
{
	return kb_start_wait_holds_read(
		kb_watermarks_newest(&group->watermarks), session->began_at,
		session->deadline - session->began_at,
		kb_clock_monotonic(session->proxy->clock));
}

static void try_read(kb_proxy_session_t *session)
{
	kb_proxy_t *proxy = session->proxy;
	kb_proxy_group_t *group = kb_proxy_session_group(session);
	const kb_target_entry_t *target = NULL;
	kb_host_t *host = NULL;

	if (group)
		target = kb_replica_selector_next(&session->selector, proxy,
						  group);
	if (target)
		host = kb_proxy_gate_host(proxy, target,
					  kb_clock_monotonic(proxy->clock));
	if (!target && group &&
	    (waits_for_first_watermark(session, group) ||
	     kb_replica_selector_should_wait(
		     &session->selector, group, &session->caller.database,
		     kb_clock_monotonic(proxy->clock)))) {
		session->path = KB_PROXY_PATH_REPLICA;
		kb_proxy_session_set_retry(
			session, kb_clock_monotonic(proxy->clock) +
					 READ_RETRY_INTERVAL_MS * KB_NS_PER_MS);
		return;
	}
	if (!target || !host) {
		try_primary(session);
		return;
	}
	session->path = KB_PROXY_PATH_REPLICA;
	session->target = target->place.target;
	send_attempt(session, host);
}

void kb_proxy_statement_try(kb_proxy_session_t *session)
{
	const kbs_run_args *args = &session->caller.args;
	kb_host_t *host;

	if (args->transaction) {
		host = kb_hosts_find(&session->proxy->hosts,
				     kb_name_str(&session->gate));
		if (host)
			send_attempt(session, host);
		else
			kb_proxy_statement_on_result(session, NULL,
						     KB_ERR_ROLLED_BACK);
	} else if (kb_caller_session_needs_primary(&session->caller)) {
		try_primary(session);
	} else {
		try_read(session);
	}
}

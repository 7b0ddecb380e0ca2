#include "proxy_internal.h"

#include "grant_wire.h"
#include "log.h"
#include "rpc_frame.h"

#include <stdlib.h>

static void serve_ping(void *ctx, kb_rpc_request_t *request, void *args)
{
	char nothing = 0;

	(void)ctx;
	(void)args;
	kb_rpc_server_reply(request, &nothing);
}

void kb_proxy_run_local(kb_proxy_t *proxy, kbs_run_args *args,
			kb_run_done_fn_t *done, void *ctx)
{
	kb_str_t target = kb_text_str(args->target);
	const kb_target_entry_t *entry;
	kb_proxy_group_t *group;
	kbs_run_res res = { 0 };

	if (target.len) {
		entry = kb_target_list_find(&proxy->targets, target);
		if (entry) {
			kb_proxy_gate_run(proxy, entry, args, done, ctx);
			return;
		}
		res.result = args->transaction ? KB_ERR_ROLLED_BACK
					       : KB_ERR_WRONG_TARGET;
		done(ctx, &res);
		return;
	}
	group = kb_proxy_group_find(proxy, kb_text_str(args->group));
	if (group && group->lease.role == KB_LEASE_SERVING) {
		kb_proxy_primary_run(group, args, done, ctx);
		return;
	}
	if (group && kb_proxy_group_hold_run(group, args, done, ctx))
		return;
	res.result = args->transaction ? KB_ERR_ROLLED_BACK : KB_ERR_NOT_GATE;
	if (group)
		res.holder =
			kb_text_view(kb_name_str(&group->lease.record.holder));
	done(ctx, &res);
}

/* A statement received from another host. */
typedef struct run_request {
	kb_proxy_t *proxy;
	kb_rpc_request_t *request;
	const kbs_run_args *args;
} run_request_t;

static void on_ran(void *ctx, const kbs_run_res *res)
{
	run_request_t run = *(run_request_t *)ctx;
	kb_proxy_group_t *group =
		kb_proxy_group_find(run.proxy, kb_text_str(run.args->group));
	kbs_run_res reply = *res;

	free(ctx);
	if (group && !run.args->target.kbs_text_len)
		kb_proxy_group_local_watermark(group, &reply.stamp);
	kb_rpc_server_reply(run.request, &reply);
}

static void serve_run(void *ctx, kb_rpc_request_t *request, void *args)
{
	run_request_t *run = calloc(1, sizeof(*run));
	kbs_run_res res = { .result = KB_ERR_OVERLOADED };

	if (!run) {
		kb_rpc_server_reply(request, &res);
		return;
	}
	run->proxy = ctx;
	run->request = request;
	run->args = args;
	kb_proxy_run_local(ctx, args, on_ran, run);
}

static void serve_feed(void *ctx, kb_rpc_request_t *request, void *args)
{
	kb_proxy_t *proxy = ctx;

	kb_sync_feed_add(&proxy->feed, request, args,
			 kb_clock_monotonic(proxy->clock));
}

static void serve_grant(void *ctx, kb_rpc_request_t *request, void *raw)
{
	kb_proxy_t *proxy = ctx;
	const kb_grant_args_t *request_args = raw;
	const kbs_grant_args *args = &request_args->base;
	kb_proxy_group_t *group =
		kb_proxy_group_get(proxy, kb_text_str(args->group));
	kb_grant_res_t answer = { 0 };
	kbs_grant_res *res = &answer.base;
	kb_proxy_order_view_t order;
	kb_name_t holder;

	if (group && !kb_name_set(&holder, kb_text_str(args->holder)))
		res->granted =
			kb_lease_grant(&group->lease, &holder,
				       (int64_t)args->revision, args->serving,
				       kb_clock_monotonic(proxy->clock))
				? TRUE
				: FALSE;
	if (res->granted) {
		kb_proxy_learn_order(group, args->order);
		if (request_args->informed)
			group->lease.knowledge.informed = 1;
		answer.informed = group->lease.knowledge.informed;
	}
	if (group)
		res->order = kb_proxy_order_view(group, (int64_t)args->revision,
						 &order);
	if (res->granted)
		res->quiet_us = kb_lease_exclusive_time(
					&group->lease,
					kb_clock_monotonic(proxy->clock)) /
				KB_NS_PER_US;
	res->store_age_us = (kb_clock_monotonic(proxy->clock) -
			     proxy->registration.reached_at) /
			    KB_NS_PER_US;
	kb_rpc_server_reply(request, &answer);
}

static void serve_recheck(void *ctx, kb_rpc_request_t *request, void *raw)
{
	kb_proxy_t *proxy = ctx;
	const kbs_look_args *args = raw;
	kb_proxy_group_t *group =
		kb_proxy_group_get(proxy, kb_text_str(args->group));
	kbs_look_res res = { .taken = group ? TRUE : FALSE };

	if (group)
		kb_lease_refresh(&group->lease,
				 kb_clock_monotonic(proxy->clock));
	kb_rpc_server_reply(request, &res);
}

static void serve_last_grant(void *ctx, kb_rpc_request_t *request, void *raw)
{
	kb_proxy_t *proxy = ctx;
	const kbs_granted_args *args = raw;
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_proxy_group_t *group =
		kb_proxy_group_find(proxy, kb_text_str(args->group));
	kbs_granted_res res = { 0 };
	kb_time_t since;

	if (group &&
	    kb_lease_last_grant(&group->lease, group->lease.revision, &since)) {
		res.known = TRUE;
		res.revision = (uint64_t)group->lease.revision;
		res.age_us = (now - since) / KB_NS_PER_US;
	}
	kb_rpc_server_reply(request, &res);
}

static void serve_holder_age(void *ctx, kb_rpc_request_t *request, void *raw)
{
	kb_proxy_t *proxy = ctx;
	const kbs_heard_args *args = raw;
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_proxy_group_t *group =
		kb_proxy_group_find(proxy, kb_text_str(args->group));
	kbs_heard_res res = { .age_us = -1 };

	if (group && kb_name_is(&group->lease.record.holder,
				kb_text_str(args->holder))) {
		if (kb_name_is(&proxy->self.name, kb_text_str(args->holder)))
			res.age_us =
				kb_lease_is_live(&group->lease, now) ? 0 : -1;
		else
			res.age_us = (now - group->lease.holder_seen_at) /
				     KB_NS_PER_US;
	}
	kb_rpc_server_reply(request, &res);
}

static void serve_watermark(void *ctx, kb_rpc_request_t *request, void *raw)
{
	const kbs_stamp_args *args = raw;
	kb_proxy_group_t *group =
		kb_proxy_group_find(ctx, kb_text_str(args->group));
	kbs_stamp_res res = { 0 };

	if (group)
		kb_proxy_group_serve_watermark(
			group, request,
			kb_clock_monotonic(group->proxy->clock));
	else
		kb_rpc_server_reply(request, &res);
}

static void serve_reach(void *ctx, kb_rpc_request_t *request, void *raw)
{
	const kbs_reach_args *args = raw;

	kb_proxy_probe_reach(kb_proxy_group_find(ctx, kb_text_str(args->group)),
			     request, args);
}

kb_result_t kb_proxy_serve(kb_proxy_t *proxy)
{
	const kb_rpc_procedure_t procedures[] = {
		{ KB_PROXY_RPC_PING, kb_rpc_frame_xdr_empty, sizeof(char),
		  kb_rpc_frame_xdr_empty, serve_ping, proxy },
		{ KB_PROXY_RPC_RUN, (xdrproc_t)xdr_kbs_run_args,
		  sizeof(kbs_run_args), (xdrproc_t)xdr_kbs_run_res, serve_run,
		  proxy },
		{ KB_PROXY_RPC_FEED, (xdrproc_t)xdr_kbs_sync_args,
		  sizeof(kbs_sync_args), (xdrproc_t)xdr_kbs_feed_res,
		  serve_feed, proxy },
		{ KB_PROXY_RPC_GRANT, (xdrproc_t)kb_grant_wire_args,
		  sizeof(kb_grant_args_t), (xdrproc_t)kb_grant_wire_res,
		  serve_grant, proxy },
		{ KB_PROXY_RPC_HOLDER_AGE, (xdrproc_t)xdr_kbs_heard_args,
		  sizeof(kbs_heard_args), (xdrproc_t)xdr_kbs_heard_res,
		  serve_holder_age, proxy },
		{ KB_PROXY_RPC_RECHECK, (xdrproc_t)xdr_kbs_look_args,
		  sizeof(kbs_look_args), (xdrproc_t)xdr_kbs_look_res,
		  serve_recheck, proxy },
		{ KB_PROXY_RPC_LAST_GRANT, (xdrproc_t)xdr_kbs_granted_args,
		  sizeof(kbs_granted_args), (xdrproc_t)xdr_kbs_granted_res,
		  serve_last_grant, proxy },
		{ KB_PROXY_RPC_WATERMARK, (xdrproc_t)xdr_kbs_stamp_args,
		  sizeof(kbs_stamp_args), (xdrproc_t)xdr_kbs_stamp_res,
		  serve_watermark, proxy },
		{ KB_PROXY_RPC_LOAN, (xdrproc_t)xdr_kbs_loan_args,
		  sizeof(kbs_loan_args), (xdrproc_t)xdr_kbs_loan_res,
		  kb_proxy_loans_serve, proxy },
		{ KB_PROXY_RPC_REACH, (xdrproc_t)xdr_kbs_reach_args,
		  sizeof(kbs_reach_args), (xdrproc_t)xdr_kbs_reach_res,
		  serve_reach, proxy },
	};
	struct sockaddr_storage address;
	socklen_t len;
	kb_result_t result;

	result = kb_endpoint_resolve(&proxy->self.endpoint, &address, &len);
	if (!result)
		result = kb_rpc_server_init(&proxy->server, proxy->setup.loop,
					    (struct sockaddr *)&address, len);
	if (result) {
		kb_log(KB_EVENT_LISTEN_FAILED, "key=listen.hosts");
		return result;
	}
	proxy->has_server = 1;
	for (size_t i = 0; i < sizeof(procedures) / sizeof(procedures[0]); i++)
		if (kb_rpc_server_add(&proxy->server, &procedures[i]))
			return KB_ERR_NO_MEMORY;
	return KB_OK;
}

#include "proxy_internal.h"

#include "lease_order.h"

#include <stdlib.h>

enum {
	/* Connections to the primary left to probes and to other hosts. */
	RESERVED_CONNECTIONS = 3,
	/* The holder of the group may always use this many. */
	POOL_CONNECTIONS_MIN = 2,
	/* Number of hosts that are asked whether they reach a primary. */
	REACH_HOSTS_MAX = 4,
};

static void monitor_probe(void *ctx, const kb_target_entry_t *target)
{
	kb_proxy_group_t *group = ctx;
	kb_proxy_probe_t *probe = kb_proxy_probe_get(group, target);

	if (!probe)
		return;
	probe->for_monitor = 1;
	kb_target_probe_send(&probe->probe, KB_LINK_COMMAND_STATUS, 0);
}

static void monitor_step_down(void *ctx, const kb_target_entry_t *target,
			      uint64_t term)
{
	kb_proxy_probe_t *probe = kb_proxy_probe_get(ctx, target);

	if (probe)
		kb_target_probe_send(&probe->probe, KB_LINK_COMMAND_STEP_DOWN,
				     term);
}

static int monitor_announce(void *ctx, const kb_promotion_order_t *next)
{
	kb_proxy_group_t *group = ctx;

	return kb_lease_announce_order(&group->lease, next,
				       kb_clock_monotonic(group->proxy->clock));
}

typedef struct promote_call {
	kb_proxy_group_t *group;
	kb_name_t target;
} promote_call_t;

static void on_promoted(void *ctx, kb_result_t result)
{
	promote_call_t call = *(promote_call_t *)ctx;

	free(ctx);
	kb_monitor_on_promoted(&call.group->monitor, kb_name_str(&call.target),
			       result,
			       kb_clock_monotonic(call.group->proxy->clock));
}

static void monitor_promote(void *ctx, const kb_target_entry_t *target)
{
	kb_proxy_group_t *group = ctx;
	kb_platform_adapter_t *platform = group->proxy->setup.platform;
	promote_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		return;
	call->group = group;
	call->target = target->place.target;
	if (platform->ops->promote(platform, &target->place,
				   kb_name_str(&group->proxy->self.name),
				   group->lease.token, on_promoted, call))
		free(call);
}

typedef struct reach_call {
	kb_proxy_group_t *group;
	kb_name_t host;
	kb_name_t target;
} reach_call_t;

static void on_reached(void *ctx, kb_result_t result, void *res)
{
	reach_call_t call = *(reach_call_t *)ctx;
	const kbs_reach_res *reach = res;

	free(ctx);
	if (!result && reach->reached && reach->primary)
		kb_monitor_on_reachable(&call.group->monitor,
					kb_name_str(&call.target), &call.host,
					reach->term);
}

static void monitor_request_reachability(void *ctx,
					 const kb_target_entry_t *target)
{
	kb_proxy_group_t *group = ctx;
	kb_proxy_t *proxy = group->proxy;
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_lease_ranking_t ranking;
	size_t asked = 0;

	kb_proxy_group_rank(group, &ranking);
	for (size_t i = 0; i < ranking.count && asked < REACH_HOSTS_MAX; i++) {
		kb_host_t *host = kb_hosts_find(&proxy->hosts,
						kb_name_str(&ranking.hosts[i]));
		reach_call_t *call;
		kbs_reach_args args = {
			.group = kb_text_view(kb_name_str(&group->name)),
			.target = kb_text_view(
				kb_name_str(&target->place.target)),
		};
		kb_rpc_call_t rpc = {
			.procedure = KB_PROXY_RPC_REACH,
			.encode = (xdrproc_t)xdr_kbs_reach_args,
			.args = &args,
			.decode = (xdrproc_t)xdr_kbs_reach_res,
			.res_size = sizeof(kbs_reach_res),
			.timeout = KB_PROXY_CALL_TIMEOUT_MS * KB_NS_PER_MS,
			.done = on_reached,
		};

		if (!host || host->self || !kb_proxy_host_usable(host, now))
			continue;
		call = calloc(1, sizeof(*call));
		if (!call)
			continue;
		call->group = group;
		call->host = host->name;
		call->target = target->place.target;
		rpc.ctx = call;
		asked++;
		kb_proxy_host_call(proxy, host, &rpc);
	}
}

static void monitor_hand_over(void *ctx, const kb_name_t *host)
{
	kb_proxy_group_t *group = ctx;

	kb_lease_release(&group->lease, host,
			 kb_clock_monotonic(group->proxy->clock));
}

static void monitor_bind(void *ctx, const kb_target_entry_t *primary)
{
	static const kb_link_place_t no_place;
	kb_proxy_group_t *group = ctx;
	unsigned limit = POOL_CONNECTIONS_MIN;

	if (!primary) {
		kb_link_pool_bind(&group->pool, &no_place, 1, 0);
		return;
	}
	if (group->connections > RESERVED_CONNECTIONS + limit)
		limit = group->connections - RESERVED_CONNECTIONS;
	kb_link_pool_bind(&group->pool, &primary->place, primary->slots, limit);
}

static void monitor_pause(void *ctx, int paused)
{
	kb_proxy_group_t *group = ctx;

	group->pool.paused = paused;
}

static void monitor_abort(void *ctx)
{
	kb_proxy_group_t *group = ctx;

	kb_link_pool_abort_transactions(&group->pool);
}

static unsigned monitor_active(void *ctx)
{
	kb_proxy_group_t *group = ctx;

	return kb_link_pool_active(&group->pool);
}

static kb_time_t monitor_lease_left(void *ctx)
{
	kb_proxy_group_t *group = ctx;
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);

	if (group->lease.role != KB_LEASE_SERVING)
		return 0;
	return kb_lease_valid_until(&group->lease) - now;
}

const kb_monitor_ops_t kb_proxy_monitor_ops = {
	.probe = monitor_probe,
	.step_down = monitor_step_down,
	.announce = monitor_announce,
	.promote = monitor_promote,
	.query_reachability = monitor_request_reachability,
	.hand_over = monitor_hand_over,
	.bind = monitor_bind,
	.pause = monitor_pause,
	.abort = monitor_abort,
	.active_count = monitor_active,
	.lease_left = monitor_lease_left,
};

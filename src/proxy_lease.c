#include "proxy_internal.h"

#include "grant_wire.h"
#include "lease_order.h"
#include "lease_record.h"
#include "log.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

void kb_proxy_lease_key(const kb_proxy_group_t *group, char *key)
{
	snprintf(key, KB_PROXY_LEASE_KEY_MAX_BYTES, "%s%s",
		 KB_PROXY_LEASE_KEY_PREFIX, group->name.data);
}

/* Lets a host that is about to serve a group take the next step at once. */
static void wake_if_starting(kb_proxy_group_t *group)
{
	if (group->lease.role == KB_LEASE_WAITING ||
	    group->monitor.state == KB_MONITOR_FINDING ||
	    group->monitor.state == KB_MONITOR_PROMOTING)
		kb_proxy_wake(group->proxy);
}

/* A call to the store for the lease record of a group. */
typedef struct lease_call {
	kb_proxy_group_t *group;
	kb_time_t sent_at;
	uint64_t number;
} lease_call_t;

static lease_call_t *new_lease_call(kb_proxy_group_t *group)
{
	lease_call_t *call = calloc(1, sizeof(*call));

	if (call)
		call->group = group;
	return call;
}

static void on_lease_read(void *ctx, kb_result_t result,
			  const kb_store_range_t *range)
{
	lease_call_t call = *(lease_call_t *)ctx;
	kb_time_t now = kb_clock_monotonic(call.group->proxy->clock);
	kb_lease_record_t record;
	const kb_lease_record_t *found = NULL;
	int64_t revision = range ? range->revision : 0;

	free(ctx);
	if (!result && range && range->count) {
		revision = range->entries[0].revision;
		found = &record;
		result =
			kb_lease_record_parse(&record, range->entries[0].value);
		if (result)
			kb_log(KB_EVENT_STORE_ENTRY_MALFORMED,
			       "group=%s revision=%" PRId64,
			       call.group->name.data, revision);
	}
	kb_lease_on_read(&call.group->lease, call.sent_at, result, found,
			 revision, now);
	wake_if_starting(call.group);
}

static void lease_read(void *ctx, kb_lease_t *lease, kb_time_t sent_at)
{
	kb_proxy_group_t *group = ctx;
	kb_store_t *store = group->proxy->setup.store;
	lease_call_t *call = new_lease_call(group);
	char key[KB_PROXY_LEASE_KEY_MAX_BYTES];
	kb_store_keys_t keys;

	(void)lease;
	if (!call)
		return;
	call->sent_at = sent_at;
	kb_proxy_lease_key(group, key);
	keys = (kb_store_keys_t){ .key = kb_str_from(key) };
	if (store->ops->get(store, &keys, on_lease_read, call))
		free(call);
}

static void on_lease_written(void *ctx, kb_result_t result,
			     const kb_store_written_t *written)
{
	lease_call_t call = *(lease_call_t *)ctx;
	kb_time_t now = kb_clock_monotonic(call.group->proxy->clock);

	free(ctx);
	kb_log(KB_EVENT_HOLD_STATE,
	       "group=%s write=%" PRIu64 " result=%s revision=%" PRId64,
	       call.group->name.data, call.number, kb_result_name(result),
	       written ? written->revision : 0);
	kb_lease_on_written(&call.group->lease, call.number, result,
			    written ? written->revision : 0, now);
	wake_if_starting(call.group);
}

static void lease_write(void *ctx, kb_lease_t *lease,
			const kb_lease_record_t *record, int64_t expected,
			uint64_t number)
{
	kb_proxy_group_t *group = ctx;
	kb_store_t *store = group->proxy->setup.store;
	lease_call_t *call = new_lease_call(group);
	char *text = kb_lease_record_format(record);
	char key[KB_PROXY_LEASE_KEY_MAX_BYTES];
	kb_store_write_t write;

	(void)lease;
	kb_proxy_lease_key(group, key);
	write = (kb_store_write_t){ .key = kb_str_from(key),
				    .value = kb_str_from(text),
				    .expected = expected };
	if (call)
		call->number = number;
	if (!call || !text ||
	    store->ops->put(store, &write, on_lease_written, call))
		free(call);
	free(text);
}

typedef struct grant_call {
	kb_proxy_group_t *group;
	kb_name_t voter;
	kb_time_t sent_at;
} grant_call_t;

static void on_granted(void *ctx, kb_result_t result, void *res)
{
	grant_call_t call = *(grant_call_t *)ctx;
	const kb_grant_res_t *reply = res;

	free(ctx);
	if (!result) {
		kb_proxy_learn_order(call.group, reply->base.order);
		kb_lease_on_voter_store_age(
			&call.group->lease, &call.voter,
			reply->base.store_age_us * KB_NS_PER_US,
			kb_clock_monotonic(call.group->proxy->clock));
		kb_lease_on_grant(&call.group->lease, &call.voter, call.sent_at,
				  reply->base.granted,
				  reply->base.quiet_us * KB_NS_PER_US,
				  kb_clock_monotonic(call.group->proxy->clock));
		if (reply->base.granted && reply->informed)
			kb_lease_on_informed_voter(&call.group->lease,
						   &call.voter);
	}
	wake_if_starting(call.group);
}

kb_result_t kb_proxy_request_grant(kb_proxy_group_t *group, kb_host_t *host,
				   int serving, kb_rpc_done_fn_t *done,
				   void *ctx)
{
	kb_proxy_t *proxy = group->proxy;
	kb_proxy_order_view_t order;
	kb_grant_args_t args = {
		.base = {
			.group = kb_text_view(kb_name_str(&group->name)),
			.holder = kb_text_view(kb_name_str(&proxy->self.name)),
			.revision = (uint64_t)group->lease.revision,
			.serving = serving,
			.order = kb_proxy_order_view(
				group, group->lease.revision, &order),
		},
		.informed = group->lease.knowledge.known,
	};
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_RPC_GRANT,
		.encode = (xdrproc_t)kb_grant_wire_args,
		.args = &args,
		.decode = (xdrproc_t)kb_grant_wire_res,
		.res_size = sizeof(kb_grant_res_t),
		.timeout = KB_PROXY_CALL_TIMEOUT_MS * KB_NS_PER_MS,
		.done = done,
		.ctx = ctx,
	};

	proxy->stats.host_calls++;
	return kb_rpc_peer_call(&host->peer, &rpc);
}

static void lease_request_grant(void *ctx, kb_lease_t *lease,
				const kb_name_t *voter, kb_time_t sent_at)
{
	kb_proxy_group_t *group = ctx;
	kb_host_t *host =
		kb_hosts_find(&group->proxy->hosts, kb_name_str(voter));
	grant_call_t *call = host ? calloc(1, sizeof(*call)) : NULL;

	if (!call)
		return;
	call->group = group;
	call->voter = *voter;
	call->sent_at = sent_at;
	if (kb_proxy_request_grant(group, host,
				   kb_lease_is_live(lease, sent_at), on_granted,
				   call))
		free(call);
}

static void on_holder_age(void *ctx, kb_result_t result, void *res)
{
	grant_call_t call = *(grant_call_t *)ctx;
	const kbs_heard_res *reply = res;

	free(ctx);
	if (!result)
		kb_lease_on_holder_seen(&call.group->lease, reply->age_us >= 0,
					call.sent_at -
						reply->age_us * KB_NS_PER_US);
}

static void lease_request_holder_age(void *ctx, kb_lease_t *lease)
{
	kb_proxy_group_t *group = ctx;
	kb_proxy_t *proxy = group->proxy;

	for (size_t i = 0; i < lease->record.voters.count; i++) {
		kb_host_t *host = kb_hosts_find(
			&proxy->hosts,
			kb_name_str(&lease->record.voters.hosts[i]));
		grant_call_t *call;
		kbs_heard_args args = {
			.group = kb_text_view(kb_name_str(&group->name)),
			.holder = kb_text_view(
				kb_name_str(&lease->record.holder)),
		};
		kb_rpc_call_t rpc = {
			.procedure = KB_PROXY_RPC_HOLDER_AGE,
			.encode = (xdrproc_t)xdr_kbs_heard_args,
			.args = &args,
			.decode = (xdrproc_t)xdr_kbs_heard_res,
			.res_size = sizeof(kbs_heard_res),
			.timeout = KB_PROXY_CALL_TIMEOUT_MS * KB_NS_PER_MS,
			.done = on_holder_age,
		};

		if (!host || host->self)
			continue;
		call = calloc(1, sizeof(*call));
		if (!call)
			continue;
		call->group = group;
		call->sent_at = kb_clock_monotonic(proxy->clock);
		rpc.ctx = call;
		kb_proxy_host_call(proxy, host, &rpc);
	}
}

static void ignore_reply(void *ctx, kb_result_t result, void *res)
{
	/* If the call fails, the host receives the key from other hosts. */
	(void)ctx;
	(void)result;
	(void)res;
}

static void lease_request_recheck(void *ctx, kb_lease_t *lease,
				  const kb_name_t *name)
{
	kb_proxy_group_t *group = ctx;
	kb_proxy_t *proxy = group->proxy;
	kb_host_t *host = kb_hosts_find(&proxy->hosts, kb_name_str(name));
	kbs_look_args args = {
		.group = kb_text_view(kb_name_str(&group->name)),
	};
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_RPC_RECHECK,
		.encode = (xdrproc_t)xdr_kbs_look_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_kbs_look_res,
		.res_size = sizeof(kbs_look_res),
		.timeout = KB_PROXY_CALL_TIMEOUT_MS * KB_NS_PER_MS,
		.done = ignore_reply,
	};

	(void)lease;
	if (!host || host->self)
		return;
	kb_proxy_host_call(proxy, host, &rpc);
}

static void lease_changed(void *ctx, kb_lease_t *lease)
{
	static const char *const roles[] = {
		[KB_LEASE_NONE] = "none",
		[KB_LEASE_ACQUIRING] = "taking",
		[KB_LEASE_WAITING] = "waiting",
		[KB_LEASE_SERVING] = "serving",
		[KB_LEASE_RELEASING] = "releasing",
	};
	kb_proxy_group_t *group = ctx;

	group->quiet = 0;
	/* A record that its holder has written again names no other one. */
	if (!kb_name_is(&group->record_holder,
			kb_name_str(&lease->record.holder))) {
		group->record_holder = lease->record.holder;
		group->record_received_at =
			kb_clock_monotonic(group->proxy->clock);
	}
	kb_log(KB_EVENT_HOLD_STATE,
	       "group=%s role=%s holder=%s revision=%" PRId64 " released=%d",
	       group->name.data, roles[lease->role], lease->record.holder.data,
	       lease->revision, lease->record.released);
}

static void lease_rank(void *ctx, kb_lease_t *lease,
		       kb_lease_ranking_t *ranking)
{
	(void)lease;
	kb_proxy_group_rank(ctx, ranking);
}

const kb_lease_ops_t kb_proxy_lease_ops = {
	.read = lease_read,
	.write = lease_write,
	.request_renewal = lease_request_grant,
	.query_holder = lease_request_holder_age,
	.fence_hosts = kb_proxy_fence_hosts,
	.notify_holder = lease_request_recheck,
	.changed = lease_changed,
	.rank = lease_rank,
};

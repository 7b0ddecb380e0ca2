#include "proxy_internal.h"

#include <stdlib.h>

enum {
	/*
	 * Least number of groups in use. With fewer, a call to the holder of
	 * each costs little more, and its answer is younger.
	 */
	BATCH_GROUPS_MIN = 4,
	/* Least interval of requests. */
	BATCH_INTERVAL_MS = 250,
	/* A group that the parent does not know is requested alone for this. */
	ALONE_S = 1,
	/* Distance from the store of the hosts that ask the holders. */
	RELAY_DEPTH_MAX = 2,
};

int kb_proxy_watermark_is_batched(const kb_proxy_group_t *group, kb_time_t now)
{
	const kb_proxy_t *proxy = group->proxy;

	return proxy->tree.depth > RELAY_DEPTH_MAX &&
	       proxy->tree.parent_count &&
	       proxy->group_count >= BATCH_GROUPS_MIN &&
	       now >= group->watermark_alone_until;
}

typedef struct batch_call {
	kb_proxy_t *proxy;
	kb_time_t sent_at;
} batch_call_t;

/* Groups without an answer are requested alone, from their holders. */
static void request_alone(kb_proxy_t *proxy, kb_time_t sent_at, kb_time_t now)
{
	for (size_t i = 0; i < proxy->group_count; i++) {
		kb_proxy_group_t *group = proxy->groups[i];

		if (group->watermark_requested_at != sent_at ||
		    !group->watermark_due)
			continue;
		group->watermark_due = 0;
		group->watermark_alone_until = now + ALONE_S * KB_NS_PER_S;
		group->watermark_requested_at = 0;
	}
}

static void on_watermarks(void *ctx, kb_result_t result, void *res)
{
	batch_call_t call = *(batch_call_t *)ctx;
	const kbs_stamps_res *reply = res;

	free(ctx);
	call.proxy->watermarks_in_flight = 0;
	for (u_int i = 0; !result && i < reply->stamps.stamps_len; i++) {
		const kbs_group_stamp *entry = &reply->stamps.stamps_val[i];
		kb_proxy_group_t *group = kb_proxy_group_find(
			call.proxy, kb_text_str(entry->group));

		if (!group || !entry->stamp.valid)
			continue;
		kb_proxy_group_add_watermark(group, &entry->stamp,
					     call.sent_at);
		group->watermark_due = 0;
	}
	request_alone(call.proxy, call.sent_at,
		      kb_clock_monotonic(call.proxy->clock));
}

static kb_host_t *choose_parent(kb_proxy_t *proxy, kb_time_t now)
{
	const kb_sync_tree_t *tree = &proxy->tree;
	size_t first = (size_t)kb_rng_below(&proxy->rng, tree->parent_count);

	if (!tree->parent_count)
		return NULL;

	for (size_t i = 0; i < tree->parent_count; i++) {
		kb_host_t *host =
			tree->parents[(first + i) % tree->parent_count];

		if (kb_proxy_host_usable(host, now))
			return host;
	}
	return NULL;
}

static void send_batch(kb_proxy_t *proxy, kb_host_t *host, kbs_text *names,
		       u_int count, kb_time_t now)
{
	kbs_stamps_args args = { .groups = { count, names } };
	batch_call_t *call = calloc(1, sizeof(*call));
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_RPC_WATERMARKS,
		.encode = (xdrproc_t)xdr_kbs_stamps_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_kbs_stamps_res,
		.res_size = sizeof(kbs_stamps_res),
		.timeout = KB_PROXY_CALL_TIMEOUT_MS * KB_NS_PER_MS,
		.done = on_watermarks,
		.ctx = call,
	};

	if (!call)
		return;
	call->proxy = proxy;
	call->sent_at = now;
	proxy->watermarks_in_flight = !kb_proxy_host_call(proxy, host, &rpc);
}

void kb_proxy_watermarks_request(kb_proxy_t *proxy, kb_time_t now)
{
	kbs_text *names;
	kb_host_t *host;
	u_int count = 0;

	for (size_t i = 0; i < proxy->group_count; i++)
		count += proxy->groups[i]->watermark_due ? 1 : 0;
	if (!count || proxy->watermarks_in_flight ||
	    now - proxy->watermarks_sent_at < BATCH_INTERVAL_MS * KB_NS_PER_MS)
		return;
	proxy->watermarks_sent_at = now;
	host = choose_parent(proxy, now);
	names = host ? calloc(count, sizeof(*names)) : NULL;
	count = 0;
	for (size_t i = 0; i < proxy->group_count; i++) {
		kb_proxy_group_t *group = proxy->groups[i];

		if (!group->watermark_due)
			continue;
		group->watermark_requested_at = now;
		if (names)
			names[count++] =
				kb_text_view(kb_name_str(&group->name));
	}
	if (names)
		send_batch(proxy, host, names, count, now);
	if (!proxy->watermarks_in_flight)
		request_alone(proxy, now, now);
	free(names);
}

#include "proxy_internal.h"

#include "log.h"

#include <inttypes.h>

enum {
	/* Time that a call waits for a change. */
	WAIT_MS = 500,
	/* Pause after a call that failed or told nothing new at once. */
	PAUSE_MS = 100,
	/* The same after a host was not reached that was asked for a copy. */
	FIRST_COPY_PAUSE_MS = 20,
	/* A connection that is silent is reset much sooner. */
	CALL_TIMEOUT_S = 10,
	/*
	 * Greatest age of the copies of the hosts that read the store, and what
	 * each further host on the way adds. An older copy is out of date.
	 */
	READER_AGE_MS = 1200,
	HOP_AGE_MS = 600,
	/*
	 * Time after which a host with such a copy reads the store itself: a
	 * random one, and some more for each host on the way but the first, so
	 * that hosts near the readers read it first and feed the others.
	 */
	DIRECT_READ_SPREAD_MS = 500,
	DIRECT_READ_HOP_MS = 1000,
	/* The same for a host that has started and got no copy. */
	START_TIMEOUT_MS = 2000,
};

static kb_host_t *any_host(kb_proxy_t *proxy, kb_time_t now)
{
	size_t count = proxy->hosts.count;
	size_t start = (size_t)kb_rng_below(&proxy->rng, count);
	kb_host_t *found = NULL;

	for (size_t i = 0; i < count; i++) {
		kb_host_t *host = proxy->hosts.hosts[(start + i) % count];
		int is_near = kb_name_is(&host->data_centre,
					 kb_name_str(&proxy->self.data_centre));

		if (host->self || !kb_proxy_host_usable(host, now))
			continue;
		if (is_near)
			return host;
		if (!found)
			found = host;
	}
	return found;
}

static void on_synced(void *ctx, kb_result_t result, void *res)
{
	kb_proxy_t *proxy = ctx;
	const kbs_feed_res *reply = res;
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	int64_t before = proxy->mirror.revision;

	proxy->sync_in_flight = 0;
	if (proxy->sync_host)
		proxy->sync_host->held_until = 0;
	if (!result)
		result = kb_sync_codec_apply(&proxy->mirror, reply,
					     proxy->sync_sent_at);
	if (result)
		kb_log(KB_EVENT_SYNC_FAILED,
		       "from=%s result=%s revision=%" PRId64,
		       proxy->sync_host ? proxy->sync_host->name.data : "seed",
		       kb_result_name(result), before);
	proxy->sync_next_at = now;
	if (result == KB_ERR_UNREACHABLE && !before && proxy->sync_host)
		proxy->sync_next_at += FIRST_COPY_PAUSE_MS * KB_NS_PER_MS;
	else if (result || proxy->mirror.revision == before)
		proxy->sync_next_at += PAUSE_MS * KB_NS_PER_MS;
}

static void sync_with(kb_proxy_t *proxy, kb_rpc_peer_t *peer, kb_host_t *host,
		      kb_time_t now)
{
	kbs_sync_args args = {
		.host = kb_text_view(kb_name_str(&proxy->self.name)),
		.revision = (uint64_t)proxy->mirror.revision,
		.whole = proxy->mirror.revision ? FALSE : TRUE,
		.wait_us = WAIT_MS * KB_NS_PER_MS / KB_NS_PER_US,
	};
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_RPC_FEED,
		.encode = (xdrproc_t)xdr_kbs_sync_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_kbs_feed_res,
		.res_size = sizeof(kbs_feed_res),
		.timeout = CALL_TIMEOUT_S * KB_NS_PER_S,
		.done = on_synced,
		.ctx = proxy,
	};

	proxy->sync_sent_at = now;
	proxy->sync_next_at = now + PAUSE_MS * KB_NS_PER_MS;
	proxy->stats.host_calls++;
	proxy->sync_host = host;
	proxy->sync_in_flight = !kb_rpc_peer_call(peer, &rpc);
	if (host && proxy->sync_in_flight)
		host->held_until = now + WAIT_MS * KB_NS_PER_MS;
}

/*
 * Returns the parent to ask. They take turns, so that a change arrives even if
 * one of them does not learn of it.
 */
static kb_host_t *next_parent(kb_proxy_t *proxy, kb_time_t now)
{
	const kb_sync_tree_t *tree = &proxy->tree;

	for (size_t i = 0; i < tree->parent_count; i++) {
		kb_host_t *host =
			tree->parents[proxy->sync_turn++ % tree->parent_count];

		if (kb_proxy_host_usable(host, now))
			return host;
	}
	return NULL;
}

static void update_tree(kb_proxy_t *proxy)
{
	kb_sync_tree_t *tree = &proxy->tree;
	kb_sync_tree_t before = *tree;

	kb_sync_tree_update(tree, &proxy->hosts);
	if (tree->is_reader == before.is_reader &&
	    tree->parent_count == before.parent_count &&
	    !memcmp(tree->parents, before.parents,
		    tree->parent_count * sizeof(*tree->parents)))
		return;
	kb_log(KB_EVENT_SYNC_PARENTS, "reader=%d depth=%u first=%s second=%s",
	       tree->is_reader, tree->depth,
	       tree->parent_count > 0 ? tree->parents[0]->name.data : "",
	       tree->parent_count > 1 ? tree->parents[1]->name.data : "");
}

/*
 * Whether the copy is older by more than `margin` than its way through other
 * hosts explains.
 */
static int is_out_of_date(const kb_proxy_t *proxy, kb_time_t now,
			  kb_time_t margin)
{
	kb_time_t limit =
		(READER_AGE_MS + proxy->tree.depth * HOP_AGE_MS) * KB_NS_PER_MS;

	return !proxy->mirror.revision ||
	       now - proxy->mirror.as_of > limit + margin;
}

/* Whether this host has to read the store though others should feed it. */
static int must_read(const kb_proxy_t *proxy, kb_time_t now)
{
	unsigned hops = proxy->tree.depth > 1 ? proxy->tree.depth - 1 : 0;
	kb_time_t margin = proxy->direct_read_delay +
			   hops * DIRECT_READ_HOP_MS * KB_NS_PER_MS;

	/* A host that has started asks its neighbours first. */
	if (!proxy->mirror.revision)
		return now - proxy->started_at >
		       START_TIMEOUT_MS * KB_NS_PER_MS + margin;
	return is_out_of_date(proxy, now, margin);
}

void kb_proxy_sync_tick(kb_proxy_t *proxy, kb_time_t now)
{
	kb_host_t *from = NULL;
	int outdated;
	int reads;

	if (!proxy->direct_read_delay)
		proxy->direct_read_delay =
			1 + (kb_time_t)kb_rng_below(&proxy->rng,
						    DIRECT_READ_SPREAD_MS *
							    KB_NS_PER_MS);
	kb_proxy_discovery_tick(proxy, now);
	update_tree(proxy);
	outdated = is_out_of_date(proxy, now, 0);
	reads = proxy->tree.is_reader && kb_proxy_discovery_is_done(proxy, now);
	/* When all hosts stop, each would take the place of the readers. */
	if (proxy->stopping && !proxy->store_poller.enabled)
		reads = 0;
	proxy->store_poller.exponential_backoff = !reads;
	kb_store_poller_enable(&proxy->store_poller,
			       reads || must_read(proxy, now));
	kb_store_poller_tick(&proxy->store_poller);
	if (proxy->sync_in_flight || now < proxy->sync_next_at ||
	    (reads && proxy->store_poller.reached))
		return;
	/* Without a copy any host may be asked only if the parents fail. */
	if (!outdated || !proxy->mirror.revision)
		from = next_parent(proxy, now);
	if (!from && outdated)
		from = any_host(proxy, now);
	if (from)
		sync_with(proxy, &from->peer, from, now);
	else if (proxy->seed_count && !proxy->mirror.revision &&
		 proxy->discovery.failed)
		sync_with(proxy,
			  &proxy->seeds[kb_rng_below(&proxy->rng,
						     proxy->seed_count)]
				   .peer,
			  NULL, now);
}

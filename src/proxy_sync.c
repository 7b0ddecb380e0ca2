#include "proxy_internal.h"

#include "rendezvous.h"

#include <stdlib.h>

enum {
	/* Other hosts are asked for changes this often. */
	SYNC_PAUSE_MS = 250,
	/* Without fresh news for this time the next reader is asked. */
	SYNC_STALE_MS = 600,
	/* And after this time a host reads the store itself. */
	SYNC_DIRECT_MS = 1000,
	/* News of the store that are older than this are not fresh. */
	SYNC_AGE_MAX_MS = 1200,
	/* Hosts that read the store for all others. */
	SYNC_READERS = 2,
	/* The first reader is asked again after this time. */
	SYNC_RETURN_S = 10,
};

/* Hosts that read the store for others, the first one first; or NULL. */
typedef struct readers {
	kb_host_t *hosts[SYNC_READERS];
} readers_t;

static void find_readers(const kb_proxy_t *proxy, kb_time_t now,
			 readers_t *readers)
{
	kb_host_t **found = readers->hosts;
	uint64_t scores[SYNC_READERS] = { 0 };

	memset(readers, 0, sizeof(*readers));
	for (size_t i = 0; i < proxy->hosts.count; i++) {
		kb_host_t *host = proxy->hosts.hosts[i];
		uint64_t score = kb_rendezvous_score(kb_name_str(&host->name),
						     KB_STR("store reader"));
		size_t place = SYNC_READERS;

		if (!kb_proxy_host_usable(host, now))
			continue;
		while (place &&
		       (!found[place - 1] || score > scores[place - 1]))
			place--;
		for (size_t j = SYNC_READERS - 1; j > place; j--) {
			found[j] = found[j - 1];
			scores[j] = scores[j - 1];
		}
		if (place < SYNC_READERS) {
			found[place] = host;
			scores[place] = score;
		}
	}
}

static int includes_self(const readers_t *readers)
{
	for (size_t rank = 0; rank < SYNC_READERS; rank++)
		if (readers->hosts[rank] && readers->hosts[rank]->self)
			return 1;
	return 0;
}

static kb_host_t *any_host(kb_proxy_t *proxy, kb_time_t now)
{
	size_t count = proxy->hosts.count;
	size_t start = (size_t)kb_rng_below(&proxy->rng, count);

	for (size_t i = 0; i < count; i++) {
		kb_host_t *host = proxy->hosts.hosts[(start + i) % count];

		if (!host->self && kb_proxy_host_usable(host, now))
			return host;
	}
	return NULL;
}

static void on_synced(void *ctx, kb_result_t result, void *res)
{
	kb_proxy_t *proxy = ctx;
	const kbs_sync_res *told = res;

	proxy->syncing = 0;
	if (result)
		return;
	kb_mirror_apply_sync(&proxy->mirror, told, proxy->sync_sent_at);
	if (told->revision &&
	    told->age_us * KB_NS_PER_US <= SYNC_AGE_MAX_MS * KB_NS_PER_MS)
		proxy->synced_at = kb_clock_monotonic(proxy->clock);
}

static void sync_with(kb_proxy_t *proxy, kb_rpc_peer_t *peer, kb_time_t now)
{
	kbs_sync_args args = {
		.host = kb_text_view(kb_name_str(&proxy->self.name)),
		.revision = (uint64_t)proxy->mirror.revision,
		.whole = proxy->mirror.revision ? FALSE : TRUE,
	};
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_RPC_SYNC,
		.encode = (xdrproc_t)xdr_kbs_sync_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_kbs_sync_res,
		.res_size = sizeof(kbs_sync_res),
		.timeout = KB_PROXY_CALL_TIMEOUT_MS * KB_NS_PER_MS,
		.done = on_synced,
		.ctx = proxy,
	};

	proxy->sync_sent_at = now;
	proxy->stats.host_calls++;
	proxy->syncing = !kb_rpc_peer_call(peer, &rpc);
}

/* Goes on to the next reader while there is no fresh news. */
static void choose_reader(kb_proxy_t *proxy, kb_time_t now, kb_time_t silence)
{
	if (silence > SYNC_STALE_MS * KB_NS_PER_MS)
		proxy->reader_rank = (proxy->reader_rank + 1) % SYNC_READERS;
	else if (now - proxy->reader_at > SYNC_RETURN_S * KB_NS_PER_S)
		proxy->reader_rank = 0;
	else
		return;
	proxy->reader_at = now;
}

void kb_proxy_sync_tick(kb_proxy_t *proxy, kb_time_t now)
{
	kb_time_t silence = now - proxy->synced_at;
	readers_t readers;
	kb_host_t *from;
	int reads;

	find_readers(proxy, now, &readers);
	reads = includes_self(&readers);
	proxy->follower.patient = !reads;
	kb_store_poller_enable(&proxy->follower,
			       reads ||
				       silence > SYNC_DIRECT_MS * KB_NS_PER_MS);
	kb_store_poller_tick(&proxy->follower);
	if (proxy->syncing ||
	    now - proxy->sync_sent_at < SYNC_PAUSE_MS * KB_NS_PER_MS)
		return;
	if (reads && proxy->follower.reached)
		return;
	choose_reader(proxy, now, silence);
	from = readers.hosts[proxy->reader_rank];
	if (!from || from->self || silence > SYNC_DIRECT_MS * KB_NS_PER_MS)
		from = any_host(proxy, now);
	if (from)
		sync_with(proxy, &from->peer, now);
	else if (proxy->seed_count && !proxy->mirror.revision)
		sync_with(proxy,
			  &proxy->seeds[kb_rng_below(&proxy->rng,
						     proxy->seed_count)]
				   .peer,
			  now);
}

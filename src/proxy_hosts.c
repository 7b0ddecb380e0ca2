#include "proxy_internal.h"

#include "log.h"
#include "rpc_frame.h"

#include <stdlib.h>

enum {
	/*
	 * A host that failed is pinged after this time, which doubles with each
	 * failure up to the maximum. A lost connection may be reopened at once.
	 */
	FAILED_PING_DELAY_MS = 1000,
	CLOSED_PING_DELAY_MS = 100,
	FAILED_PING_DELAY_MAX_MS = 4000,
	/* A host counts as live this long after its key left the store. */
	UNREGISTERED_TIMEOUT_S = 8,
	/* A ping is sent when calls have had no reply for this time. */
	PING_AFTER_MS = 200,
	/* The connection is reset if the ping has no reply after this time. */
	PING_TIMEOUT_MS = 500,
	/* A host in doubt is pinged at most once in this time. */
	VERIFY_INTERVAL_MS = 250,
	/* Timeout of opening a connection. */
	CONNECT_TIMEOUT_MS = 300,
	/*
	 * The same for the first time after the start of this process, and as
	 * long as it has no copy of the store. The others may be starting, too:
	 * one that was off when a connection was begun may be up by now. Hosts
	 * of another region are further away.
	 */
	STARTING_CONNECT_TIMEOUT_MS = 100,
	STARTING_FAR_CONNECT_TIMEOUT_MS = 200,
	STARTING_MS = 2000,
};

int kb_proxy_host_usable(const kb_host_t *host, kb_time_t now)
{
	(void)now;
	return host->live && !host->leaving && !host->failed;
}

/* Schedules the next ping of a host that has failed. */
static void schedule_ping(kb_host_t *host, kb_result_t result, kb_time_t now)
{
	int is_closed = result == KB_ERR_CLOSED || result == KB_ERR_UNREACHABLE;
	kb_time_t delay =
		is_closed ? CLOSED_PING_DELAY_MS : FAILED_PING_DELAY_MS;

	for (unsigned i = 0; i < host->failures; i++)
		if (delay < FAILED_PING_DELAY_MAX_MS)
			delay *= 2;
	if (delay > FAILED_PING_DELAY_MAX_MS)
		delay = FAILED_PING_DELAY_MAX_MS;
	host->failures++;
	host->ping_at = now + delay * KB_NS_PER_MS;
}

void kb_proxy_host_failed(kb_proxy_t *proxy, kb_host_t *host,
			  kb_result_t result)
{
	kb_time_t now = kb_clock_monotonic(proxy->clock);

	/* Of several calls that fail together, the first one counts. */
	if (host->self || (host->failed && now < host->ping_at))
		return;
	kb_hosts_set_active(host, 1);
	if (!host->failed) {
		kb_log(KB_EVENT_MEMBER_SUSPECTED, "peer=%s result=%s",
		       host->name.data, kb_result_name(result));
		host->failed = 1;
		host->silent = result == KB_ERR_TIMEOUT;
		kb_hosts_changed(&proxy->hosts);
	}
	schedule_ping(host, result, now);
}

static void set_answering(kb_hosts_t *hosts, kb_host_t *host)
{
	host->failures = 0;
	if (!host->failed)
		return;
	host->failed = 0;
	kb_hosts_changed(hosts);
}

static void on_key_removed(kb_proxy_t *proxy, kb_str_t key, kb_time_t now)
{
	const char *slash = memrchr(key.data, '/', key.len);
	kb_str_t name = { slash + 1, (size_t)(key.data + key.len - slash - 1) };
	kb_host_t *host = kb_hosts_find(&proxy->hosts, name);

	if (!host || host->self || host->unlisted_at)
		return;
	host->unlisted_at = now;
	kb_hosts_set_active(host, 1);
	kb_hosts_changed(&proxy->hosts);
}

void kb_proxy_host_on_key(kb_proxy_t *proxy, kb_str_t key,
			  const kb_mirror_entry_t *entry)
{
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_host_info_t place;
	kb_host_t *host;
	int leaving;

	if (!entry) {
		on_key_removed(proxy, key, now);
		return;
	}
	if (kb_registration_parse(entry->value, &place, &leaving)) {
		kb_log(KB_EVENT_STORE_ENTRY_MALFORMED, "key=%.*s",
		       KB_STR_ARG(key));
		return;
	}
	if (kb_name_is(&place.name, kb_name_str(&proxy->self.name)))
		return;
	host = kb_hosts_put(&proxy->hosts, &place);
	if (!host)
		return;
	if (!host->live || host->unlisted_at)
		kb_log(KB_EVENT_MEMBER_JOINED, "peer=%s", host->name.data);
	if (leaving && !host->leaving)
		kb_log(KB_EVENT_MEMBER_LEAVING, "peer=%s", host->name.data);
	host->leaving = leaving;
	host->live = 1;
	host->unlisted_at = 0;
	/* A key that was written again may be that of a restarted process. */
	host->ping_at = now;
	kb_hosts_set_active(host, 1);
	kb_hosts_changed(&proxy->hosts);
}

typedef struct ping_call {
	kb_proxy_t *proxy;
	kb_host_t *host;
} ping_call_t;

static void on_pinged(void *ctx, kb_result_t result, void *res)
{
	ping_call_t call = *(ping_call_t *)ctx;

	(void)res;
	free(ctx);
	call.host->pinging = 0;
	if (!result)
		set_answering(&call.proxy->hosts, call.host);
	else
		kb_proxy_host_failed(call.proxy, call.host, result);
}

kb_result_t kb_proxy_host_call(kb_proxy_t *proxy, kb_host_t *host,
			       const kb_rpc_call_t *call)
{
	kb_result_t result = kb_rpc_peer_call(&host->peer, call);

	proxy->stats.host_calls++;
	if (result)
		free(call->ctx);
	return result;
}

static void ping(kb_proxy_t *proxy, kb_host_t *host)
{
	char nothing = 0;
	ping_call_t *call = calloc(1, sizeof(*call));
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_RPC_PING,
		.encode = kb_rpc_frame_xdr_empty,
		.args = &nothing,
		.decode = kb_rpc_frame_xdr_empty,
		.res_size = sizeof(nothing),
		.timeout = KB_NS_PER_S,
		.done = on_pinged,
		.ctx = call,
	};

	if (!call)
		return;
	call->proxy = proxy;
	call->host = host;
	host->pinging = !kb_proxy_host_call(proxy, host, &rpc);
}

static kb_time_t connect_timeout(const kb_proxy_t *proxy, const kb_host_t *host,
				 kb_time_t now)
{
	kb_time_t ms = CONNECT_TIMEOUT_MS;

	if (!proxy->mirror.revision ||
	    now - proxy->started_at < STARTING_MS * KB_NS_PER_MS)
		ms = kb_name_is(&host->region, kb_name_str(&proxy->self.region))
			     ? STARTING_CONNECT_TIMEOUT_MS
			     : STARTING_FAR_CONNECT_TIMEOUT_MS;
	return ms * KB_NS_PER_MS;
}

void kb_proxy_host_verify(kb_proxy_t *proxy, kb_host_t *host, kb_time_t now)
{
	if (host->self || !host->live || host->pinging ||
	    now - host->verified_at < VERIFY_INTERVAL_MS * KB_NS_PER_MS)
		return;
	host->verified_at = now;
	ping(proxy, host);
}

/*
 * Resets connections on which nothing is received any more. Bytes of a reply
 * that is not complete yet count: a long one may take a while on a slow link.
 */
static void check_peer(kb_proxy_t *proxy, kb_host_t *host, kb_time_t now)
{
	kb_rpc_peer_t *peer = &host->peer;
	uint64_t lost = peer->counters.lost_connections +
			peer->counters.failed_connections;
	kb_time_t silent_for;

	if (host->lost_seen != lost) {
		host->lost_seen = lost;
		kb_proxy_host_failed(proxy, host, KB_ERR_CLOSED);
	}
	/* A host may be called as soon as it is known. */
	if (!peer->call_count || !host->silent_since ||
	    host->received_seen != peer->counters.received_bytes) {
		host->received_seen = peer->counters.received_bytes;
		host->silent_since = now;
		return;
	}
	silent_for = now - host->silent_since;
	if (!peer->connected) {
		if (silent_for >= connect_timeout(proxy, host, now)) {
			kb_proxy_host_failed(proxy, host, KB_ERR_TIMEOUT);
			kb_rpc_peer_reset(peer);
			host->silent_since = now;
		}
		return;
	}
	/* A call that waits for changes is no sign of a failure. */
	if (host->held_until && peer->call_count == 1)
		silent_for = now - host->held_until;
	if (silent_for >= PING_AFTER_MS * KB_NS_PER_MS && !host->pinging) {
		ping(proxy, host);
	} else if (silent_for >=
		   (PING_AFTER_MS + PING_TIMEOUT_MS) * KB_NS_PER_MS) {
		kb_proxy_host_failed(proxy, host, KB_ERR_TIMEOUT);
		kb_rpc_peer_reset(peer);
		host->silent_since = now;
	}
}

static void tick_host(kb_proxy_t *proxy, kb_host_t *host, kb_time_t now)
{
	check_peer(proxy, host, now);
	if (host->failed && host->live && !host->pinging &&
	    now >= host->ping_at)
		ping(proxy, host);
	if (host->live && host->unlisted_at &&
	    now - host->unlisted_at > UNREGISTERED_TIMEOUT_S * KB_NS_PER_S) {
		kb_log(KB_EVENT_MEMBER_DEAD, "peer=%s", host->name.data);
		host->live = 0;
		kb_hosts_changed(&proxy->hosts);
	}
	if (host->peer.call_count || (host->live && host->failed) ||
	    (host->live && host->unlisted_at))
		return;
	host->silent_since = 0;
	kb_hosts_set_active(host, 0);
}

void kb_proxy_hosts_tick(kb_proxy_t *proxy, kb_time_t now)
{
	kb_host_t *host = LIST_FIRST(&proxy->hosts.active);

	while (host) {
		kb_host_t *next = LIST_NEXT(host, active_entry);

		tick_host(proxy, host, now);
		host = next;
	}
}

#include "proxy_internal.h"

#include "log.h"
#include "rpc_frame.h"

#include <stdlib.h>

enum {
	/* No work is given to a host for this time after a failed call. */
	SUSPECT_TIMEOUT_MS = 1000,
	/* A host counts as live this long after its key left the store. */
	UNREGISTERED_TIMEOUT_S = 8,
	/* A ping is sent when calls have had no reply for this time. */
	PING_AFTER_MS = 200,
	/* The connection is reset if the ping has no reply after this time. */
	PING_TIMEOUT_MS = 500,
	/* Timeout of opening a connection. */
	CONNECT_TIMEOUT_MS = 300,
};

int kb_proxy_host_usable(const kb_host_t *host, kb_time_t now)
{
	return host->live && !host->leaving && now >= host->suspect_until;
}

void kb_proxy_host_failed(kb_proxy_t *proxy, kb_host_t *host,
			  kb_result_t result)
{
	kb_time_t now = kb_clock_monotonic(proxy->clock);

	if (host->self)
		return;
	if (now >= host->suspect_until)
		kb_log(KB_EVENT_MEMBER_SUSPECTED, "peer=%s result=%s",
		       host->name.data, kb_result_name(result));
	host->suspect_until = now + SUSPECT_TIMEOUT_MS * KB_NS_PER_MS;
}

void kb_proxy_host_on_key(kb_proxy_t *proxy, kb_str_t key,
			  const kb_mirror_entry_t *entry)
{
	kb_str_t prefix = KB_STR(KB_REGISTRATION_KEY_PREFIX);
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_host_info_t place;
	kb_host_t *host;
	int leaving;

	if (!entry) {
		host = kb_hosts_find(&proxy->hosts,
				     (kb_str_t){ key.data + prefix.len,
						 key.len - prefix.len });
		if (host && !host->self && !host->unlisted_at)
			host->unlisted_at = now;
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
}

static void on_pinged(void *ctx, kb_result_t result, void *res)
{
	kb_host_t *host = ctx;

	(void)result;
	(void)res;
	host->pinging = 0;
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

static void ping(kb_host_t *host)
{
	char nothing = 0;
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_RPC_PING,
		.encode = kb_rpc_frame_xdr_empty,
		.args = &nothing,
		.decode = kb_rpc_frame_xdr_empty,
		.res_size = sizeof(nothing),
		.timeout = KB_NS_PER_S,
		.done = on_pinged,
		.ctx = host,
	};

	host->pinging = !kb_rpc_peer_call(&host->peer, &rpc);
}

/* Resets connections on which replies have stopped. */
static void check_peer(kb_proxy_t *proxy, kb_host_t *host, kb_time_t now)
{
	kb_rpc_peer_t *peer = &host->peer;
	kb_time_t silent_for;

	if (!peer->call_count || host->replies_seen != peer->counters.replies) {
		if (host->replies_seen != peer->counters.replies)
			host->replied_at = now;
		host->replies_seen = peer->counters.replies;
		host->no_reply_since = now;
		return;
	}
	silent_for = now - host->no_reply_since;
	if (!peer->connected) {
		if (silent_for >= CONNECT_TIMEOUT_MS * KB_NS_PER_MS) {
			kb_proxy_host_failed(proxy, host, KB_ERR_UNREACHABLE);
			kb_rpc_peer_reset(peer);
			host->no_reply_since = now;
		}
		return;
	}
	if (silent_for >= PING_AFTER_MS * KB_NS_PER_MS && !host->pinging) {
		proxy->stats.host_calls++;
		ping(host);
	} else if (silent_for >=
		   (PING_AFTER_MS + PING_TIMEOUT_MS) * KB_NS_PER_MS) {
		kb_proxy_host_failed(proxy, host, KB_ERR_TIMEOUT);
		kb_rpc_peer_reset(peer);
		host->no_reply_since = now;
	}
}

void kb_proxy_hosts_tick(kb_proxy_t *proxy, kb_time_t now)
{
	for (size_t i = 0; i < proxy->hosts.count; i++) {
		kb_host_t *host = proxy->hosts.hosts[i];

		if (host->self)
			continue;
		check_peer(proxy, host, now);
		if (host->live && host->unlisted_at &&
		    now - host->unlisted_at >
			    UNREGISTERED_TIMEOUT_S * KB_NS_PER_S) {
			kb_log(KB_EVENT_MEMBER_DEAD, "peer=%s",
			       host->name.data);
			host->live = 0;
		}
	}
}

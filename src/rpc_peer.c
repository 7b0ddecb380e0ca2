#include "rpc_peer.h"

#include "log.h"
#include "socket_options.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

typedef struct kb_rpc_pending {
	kb_rpc_peer_t *peer;
	kb_rpc_call_t call;
	uint32_t xid;
	uint64_t generation;
	struct event *timer;
	struct kb_rpc_pending *next;
	struct kb_rpc_pending *prev;
} kb_rpc_pending_t;

static void pending_unlink(kb_rpc_peer_t *peer, kb_rpc_pending_t *pending)
{
	if (pending->prev)
		pending->prev->next = pending->next;
	else
		peer->pending = pending->next;
	if (pending->next)
		pending->next->prev = pending->prev;
	if (peer->oldest == pending)
		peer->oldest = pending->prev;
	peer->call_count--;
}

static void pending_end(kb_rpc_peer_t *peer, kb_rpc_pending_t *pending,
			kb_result_t result, void *res)
{
	kb_rpc_call_t call = pending->call;

	pending_unlink(peer, pending);
	event_free(pending->timer);
	free(pending);
	call.done(call.ctx, result, res);
}

static void peer_disconnect(kb_rpc_peer_t *peer, kb_result_t result)
{
	kb_rpc_pending_t *pending;

	if (peer->stream)
		bufferevent_free(peer->stream);
	peer->stream = NULL;
	peer->queued = 0;
	peer->input_left = 0;
	peer->connected = 0;
	peer->generation++;
	/* A callback may start new calls or finish the peer. */
	while ((pending = peer->oldest) &&
	       pending->generation != peer->generation)
		pending_end(peer, pending, result, NULL);
}

/*
 * Result of the calls on a connection that is being closed. libevent may write
 * to a connection before it reports that it is open, so the number of bytes
 * left in the buffer decides whether any were sent.
 */
static kb_result_t lost_result(const kb_rpc_peer_t *peer)
{
	size_t left = peer->stream ? evbuffer_get_length(bufferevent_get_output(
					     peer->stream))
				   : 0;

	return peer->connected || left < peer->queued ? KB_ERR_CLOSED
						      : KB_ERR_UNREACHABLE;
}

static void on_timeout(evutil_socket_t fd, short what, void *arg)
{
	kb_rpc_pending_t *pending = arg;
	kb_rpc_peer_t *peer = pending->peer;

	(void)fd;
	(void)what;
	/* An unsent call must not be sent once it has been reported as failed.
	 */
	if (lost_result(peer) == KB_ERR_UNREACHABLE)
		peer_disconnect(peer, KB_ERR_UNREACHABLE);
	else
		pending_end(peer, pending, KB_ERR_TIMEOUT, NULL);
}

static kb_rpc_pending_t *find_pending(kb_rpc_peer_t *peer, uint32_t xid)
{
	kb_rpc_pending_t *pending = peer->pending;

	while (pending && pending->xid != xid)
		pending = pending->next;
	return pending;
}

static kb_result_t status_result(enum accept_stat status)
{
	switch (status) {
	case SUCCESS:
		return KB_OK;
	case PROG_MISMATCH:
		return KB_ERR_VERSION;
	default:
		return KB_ERR_PROTOCOL;
	}
}

/*
 * Decodes the header without the results that follow it, then the results with
 * the procedure of their call.
 */
static kb_result_t handle_reply(kb_rpc_peer_t *peer, char *data, size_t len)
{
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg reply;
	kb_rpc_pending_t *pending;
	kb_result_t result = KB_ERR_PROTOCOL;
	void *res = NULL;
	XDR xdr;

	memset(&reply, 0, sizeof(reply));
	reply.acpted_rply.ar_verf.oa_base = verifier;
	reply.acpted_rply.ar_results.proc = kb_rpc_frame_xdr_empty;
	xdrmem_create(&xdr, data, (unsigned)len, XDR_DECODE);
	if (!xdr_replymsg(&xdr, &reply))
		goto out;
	pending = find_pending(peer, reply.rm_xid);
	if (!pending) {
		peer->counters.late_replies++;
		kb_log(KB_EVENT_RPC_LATE_REPLY, "peer=%s:%u",
		       peer->address.data, peer->port);
		result = KB_OK;
		goto out;
	}
	peer->counters.replies++;
	if (reply.rm_reply.rp_stat != MSG_ACCEPTED) {
		pending_end(peer, pending, KB_ERR_PROTOCOL, NULL);
		result = KB_OK;
		goto out;
	}
	result = status_result(reply.acpted_rply.ar_stat);
	if (!result) {
		res = calloc(1, pending->call.res_size);
		if (!res)
			result = KB_ERR_NO_MEMORY;
		else if (!pending->call.decode(&xdr, res))
			result = KB_ERR_PROTOCOL;
	}
	{
		xdrproc_t decode = pending->call.decode;

		pending_end(peer, pending, result, result ? NULL : res);
		if (res)
			xdr_free(decode, res);
		free(res);
	}
	result = KB_OK;
out:
	xdr_destroy(&xdr);
	return result;
}

static void on_read(struct bufferevent *stream, void *arg)
{
	kb_rpc_peer_t *peer = arg;
	kb_result_t result;
	size_t len;
	char *data;

	peer->counters.received_bytes +=
		evbuffer_get_length(bufferevent_get_input(stream)) -
		peer->input_left;
	while (peer->stream == stream) {
		result = kb_rpc_frame_read(bufferevent_get_input(stream), &data,
					   &len);
		if (result == KB_ERR_TIMEOUT) {
			peer->input_left = evbuffer_get_length(
				bufferevent_get_input(stream));
			return;
		}
		if (!result) {
			result = handle_reply(peer, data, len);
			free(data);
		}
		if (result) {
			peer->counters.malformed++;
			kb_log(KB_EVENT_RPC_MALFORMED, "peer=%s:%u",
			       peer->address.data, peer->port);
			peer_disconnect(peer, KB_ERR_PROTOCOL);
			return;
		}
	}
}

static void set_active(const kb_rpc_peer_t *peer)
{
	if (peer->active)
		peer->active(peer->ctx);
}

static void on_event(struct bufferevent *stream, short what, void *arg)
{
	kb_rpc_peer_t *peer = arg;
	kb_result_t result;

	if (what & BEV_EVENT_CONNECTED) {
		kb_socket_set_options(bufferevent_getfd(stream), NULL);
		peer->connected = 1;
		return;
	}
	result = lost_result(peer);
	if (!peer->connected) {
		peer->counters.failed_connections++;
	} else {
		peer->counters.lost_connections++;
		kb_log(KB_EVENT_RPC_CONNECTION_LOST, "peer=%s:%u",
		       peer->address.data, peer->port);
	}
	set_active(peer);
	peer_disconnect(peer, result);
}

static kb_result_t peer_connect(kb_rpc_peer_t *peer)
{
	struct sockaddr_storage address;
	int len = sizeof(address);
	char text[KB_NAME_MAX_BYTES * 2];

	snprintf(text, sizeof(text),
		 strchr(peer->address.data, ':') ? "[%s]:%u" : "%s:%u",
		 peer->address.data, peer->port);
	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)&address, &len))
		return KB_ERR_UNREACHABLE;
	peer->stream = bufferevent_socket_new(peer->loop, -1,
					      BEV_OPT_CLOSE_ON_FREE |
						      BEV_OPT_DEFER_CALLBACKS);
	if (!peer->stream)
		return KB_ERR_NO_MEMORY;
	bufferevent_setcb(peer->stream, on_read, NULL, on_event, peer);
	bufferevent_enable(peer->stream, EV_READ | EV_WRITE);
	if (bufferevent_socket_connect(peer->stream,
				       (struct sockaddr *)&address, len)) {
		bufferevent_free(peer->stream);
		peer->stream = NULL;
		return KB_ERR_UNREACHABLE;
	}
	return KB_OK;
}

kb_result_t kb_rpc_peer_init(kb_rpc_peer_t *peer, struct event_base *loop,
			     kb_str_t address, uint16_t port, size_t call_limit)
{
	memset(peer, 0, sizeof(*peer));
	peer->loop = loop;
	peer->port = port;
	peer->call_limit = call_limit;
	peer->next_xid = 1;
	return kb_name_set(&peer->address, address);
}

void kb_rpc_peer_reset(kb_rpc_peer_t *peer)
{
	peer_disconnect(peer, lost_result(peer));
}

void kb_rpc_peer_finish(kb_rpc_peer_t *peer)
{
	/* Callbacks of the calls that end here cannot start new ones. */
	peer->call_limit = 0;
	peer_disconnect(peer, KB_ERR_CLOSED);
}

kb_result_t kb_rpc_peer_call(kb_rpc_peer_t *peer, const kb_rpc_call_t *call)
{
	struct timeval timeout = {
		.tv_sec = call->timeout / KB_NS_PER_S,
		.tv_usec = call->timeout % KB_NS_PER_S / KB_NS_PER_US,
	};
	kb_rpc_pending_t *pending;
	kb_result_t result;
	size_t before;

	if (peer->call_count >= peer->call_limit) {
		peer->counters.refused++;
		return KB_ERR_OVERLOADED;
	}
	if (!peer->stream) {
		result = peer_connect(peer);
		if (result)
			return result;
	}
	pending = calloc(1, sizeof(*pending));
	if (!pending)
		return KB_ERR_NO_MEMORY;
	pending->timer = evtimer_new(peer->loop, on_timeout, pending);
	if (!pending->timer || evtimer_add(pending->timer, &timeout)) {
		result = KB_ERR_NO_MEMORY;
		goto fail;
	}
	before = evbuffer_get_length(bufferevent_get_output(peer->stream));
	result = kb_rpc_frame_write_call(bufferevent_get_output(peer->stream),
					 peer->next_xid, call->procedure,
					 call->encode, call->args);
	if (result)
		goto fail;
	peer->queued +=
		evbuffer_get_length(bufferevent_get_output(peer->stream)) -
		before;
	pending->peer = peer;
	pending->call = *call;
	pending->xid = peer->next_xid++;
	pending->generation = peer->generation;
	pending->next = peer->pending;
	if (peer->pending)
		peer->pending->prev = pending;
	else
		peer->oldest = pending;
	peer->pending = pending;
	if (!peer->call_count++)
		set_active(peer);
	peer->counters.calls++;
	return KB_OK;

fail:
	if (pending->timer)
		event_free(pending->timer);
	free(pending);
	return result;
}

#include "datagram.h"

#include "gen/kumquat_rpc.h"
#include "log.h"

#include <event2/event.h>
#include <string.h>
#include <unistd.h>

enum {
	DATAGRAM_MAX_BYTES = 2048,
	/* Messages read per event, so that other events are not delayed. */
	BATCH_MAX = 64,
};

static void handle_datagram(kb_datagram_t *datagram, char *data, size_t len)
{
	char credential[MAX_AUTH_BYTES], verifier[MAX_AUTH_BYTES];
	kbx_message message = { { 0, NULL } };
	struct rpc_msg call;
	int ok;
	XDR xdr;

	memset(&call, 0, sizeof(call));
	call.rm_call.cb_cred.oa_base = credential;
	call.rm_call.cb_verf.oa_base = verifier;
	xdrmem_create(&xdr, data, (unsigned)len, XDR_DECODE);
	ok = xdr_callmsg(&xdr, &call) &&
	     call.rm_call.cb_prog == KUMQUAT_PROGRAM &&
	     call.rm_call.cb_vers == KUMQUAT_VERSION &&
	     call.rm_call.cb_proc == datagram->procedure &&
	     xdr_kbx_message(&xdr, &message);
	xdr_destroy(&xdr);
	if (ok)
		datagram->received(datagram->ctx, message.data.data_val,
				   message.data.data_len);
	else
		datagram->counters.malformed++;
	xdr_free((xdrproc_t)xdr_kbx_message, (char *)&message);
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	kb_datagram_t *datagram = arg;
	char data[DATAGRAM_MAX_BYTES];

	(void)what;
	for (int i = 0; i < BATCH_MAX; i++) {
		ssize_t len = recv(fd, data, sizeof(data), 0);

		if (len < 0)
			return;
		datagram->counters.received++;
		datagram->counters.received_bytes += (uint64_t)len;
		handle_datagram(datagram, data, (size_t)len);
	}
}

kb_result_t kb_datagram_init(kb_datagram_t *datagram, struct event_base *loop,
			     const kb_endpoint_t *endpoint, uint32_t procedure)
{
	struct sockaddr_storage address;
	socklen_t len;

	memset(datagram, 0, sizeof(*datagram));
	datagram->procedure = procedure;
	if (kb_endpoint_resolve(endpoint, &address, &len))
		return KB_ERR_INVALID;
	datagram->fd = socket(address.ss_family,
			      SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (datagram->fd < 0)
		return KB_ERR_IO;
	if (bind(datagram->fd, (struct sockaddr *)&address, len))
		goto fail;
	datagram->event = event_new(loop, datagram->fd, EV_READ | EV_PERSIST,
				    on_readable, datagram);
	if (!datagram->event || event_add(datagram->event, NULL))
		goto fail;
	return KB_OK;

fail:
	kb_datagram_finish(datagram);
	return KB_ERR_IO;
}

void kb_datagram_finish(kb_datagram_t *datagram)
{
	if (datagram->event)
		event_free(datagram->event);
	if (datagram->fd >= 0)
		close(datagram->fd);
	datagram->event = NULL;
	datagram->fd = -1;
}

void kb_datagram_send(kb_datagram_t *datagram, const kb_endpoint_t *to,
		      const char *data, size_t len)
{
	kbx_message message = { { (u_int)len, (char *)data } };
	char buffer[DATAGRAM_MAX_BYTES];
	struct sockaddr_storage address;
	struct rpc_msg call;
	socklen_t address_len;
	ssize_t sent;
	XDR xdr;

	if (kb_endpoint_resolve(to, &address, &address_len))
		return;
	memset(&call, 0, sizeof(call));
	call.rm_xid = datagram->next_xid++;
	call.rm_direction = CALL;
	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = KUMQUAT_PROGRAM;
	call.rm_call.cb_vers = KUMQUAT_VERSION;
	call.rm_call.cb_proc = datagram->procedure;
	xdrmem_create(&xdr, buffer, sizeof(buffer), XDR_ENCODE);
	if (xdr_callmsg(&xdr, &call) && xdr_kbx_message(&xdr, &message)) {
		sent = sendto(datagram->fd, buffer, xdr_getpos(&xdr), 0,
			      (struct sockaddr *)&address, address_len);
		if (sent > 0) {
			datagram->counters.sent++;
			datagram->counters.sent_bytes += (uint64_t)sent;
		}
	}
	xdr_destroy(&xdr);
}

#include "rpc_frame.h"

#include "gen/kumquat_rpc.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

enum {
	MARK_BYTES = 4,
	/* Upper bound of the size of a call's or reply's header. */
	HEADER_MAX_BYTES = 512,
};

#define MARK_LAST_FRAGMENT 0x80000000u

kb_result_t kb_rpc_frame_read(struct evbuffer *input, char **data, size_t *len)
{
	uint32_t mark;
	size_t size;
	char *copy;

	if (evbuffer_copyout(input, &mark, MARK_BYTES) < MARK_BYTES)
		return KB_ERR_TIMEOUT;
	mark = ntohl(mark);
	size = mark & ~MARK_LAST_FRAGMENT;
	if (!(mark & MARK_LAST_FRAGMENT) || size > KB_RPC_FRAME_MAX_BYTES)
		return KB_ERR_PROTOCOL;
	if (evbuffer_get_length(input) < MARK_BYTES + size)
		return KB_ERR_TIMEOUT;
	copy = malloc(size ? size : 1);
	if (!copy)
		return KB_ERR_NO_MEMORY;
	evbuffer_drain(input, MARK_BYTES);
	evbuffer_remove(input, copy, size);
	*data = copy;
	*len = size;
	return KB_OK;
}

bool_t kb_rpc_frame_xdr_empty(XDR *xdr, ...)
{
	(void)xdr;
	return TRUE;
}

typedef struct frame {
	char *data;
	size_t size;
	XDR xdr;
} frame_t;

static kb_result_t frame_begin(frame_t *frame, xdrproc_t encode,
			       const void *body)
{
	frame->size = HEADER_MAX_BYTES;
	if (encode)
		frame->size += xdr_sizeof(encode, (void *)body);
	if (frame->size > KB_RPC_FRAME_MAX_BYTES)
		return KB_ERR_TOO_LARGE;
	frame->data = malloc(MARK_BYTES + frame->size);
	if (!frame->data)
		return KB_ERR_NO_MEMORY;
	xdrmem_create(&frame->xdr, frame->data + MARK_BYTES,
		      (unsigned)frame->size, XDR_ENCODE);
	return KB_OK;
}

static void free_frame(const void *data, size_t len, void *ctx)
{
	(void)len;
	(void)ctx;
	free((void *)data);
}

static kb_result_t frame_end(frame_t *frame, struct evbuffer *output, int ok)
{
	uint32_t len = xdr_getpos(&frame->xdr);
	uint32_t mark = htonl(len | MARK_LAST_FRAGMENT);

	xdr_destroy(&frame->xdr);
	if (!ok) {
		free(frame->data);
		return KB_ERR_TOO_LARGE;
	}
	memcpy(frame->data, &mark, MARK_BYTES);
	if (evbuffer_add_reference(output, frame->data, MARK_BYTES + len,
				   free_frame, NULL)) {
		free(frame->data);
		return KB_ERR_NO_MEMORY;
	}
	return KB_OK;
}

static void message_init(struct rpc_msg *message, uint32_t xid,
			 enum msg_type direction)
{
	memset(message, 0, sizeof(*message));
	message->rm_xid = xid;
	message->rm_direction = direction;
}

kb_result_t kb_rpc_frame_write_call(struct evbuffer *output, uint32_t xid,
				    uint32_t procedure, xdrproc_t encode,
				    const void *args)
{
	struct rpc_msg message;
	frame_t frame;
	kb_result_t result;
	int ok;

	result = frame_begin(&frame, encode, args);
	if (result)
		return result;
	message_init(&message, xid, CALL);
	message.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	message.rm_call.cb_prog = KUMQUAT_PROGRAM;
	message.rm_call.cb_vers = KUMQUAT_VERSION;
	message.rm_call.cb_proc = procedure;
	message.rm_call.cb_cred = _null_auth;
	message.rm_call.cb_verf = _null_auth;
	ok = xdr_callmsg(&frame.xdr, &message) &&
	     encode(&frame.xdr, (void *)args);
	return frame_end(&frame, output, ok);
}

kb_result_t kb_rpc_frame_write_reply(struct evbuffer *output, uint32_t xid,
				     enum accept_stat status, xdrproc_t encode,
				     const void *res)
{
	struct rpc_msg message;
	frame_t frame;
	kb_result_t result;

	result = frame_begin(&frame, encode, res);
	if (result)
		return result;
	message_init(&message, xid, REPLY);
	message.rm_reply.rp_stat = MSG_ACCEPTED;
	message.acpted_rply.ar_verf = _null_auth;
	message.acpted_rply.ar_stat = status;
	message.acpted_rply.ar_vers.low = KUMQUAT_VERSION;
	message.acpted_rply.ar_vers.high = KUMQUAT_VERSION;
	message.acpted_rply.ar_results.where = (caddr_t)res;
	message.acpted_rply.ar_results.proc =
		encode ? encode : kb_rpc_frame_xdr_empty;
	return frame_end(&frame, output, xdr_replymsg(&frame.xdr, &message));
}

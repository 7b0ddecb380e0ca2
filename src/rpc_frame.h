#ifndef KB_RPC_FRAME_H
#define KB_RPC_FRAME_H

#include "kumquatbridge.h"

#include <rpc/rpc.h>

struct evbuffer;

KB_BEGIN_DECLS

/* Largest message between hosts. */
#define KB_RPC_FRAME_MAX_BYTES (9u * 1024 * 1024)

/*
 * Reads one record-marked message (RFC 5531, section 11) from `input`.
 * Returns KB_OK and sets `*data`, to be freed with free(), and `*len`;
 * KB_ERR_TIMEOUT if the message is not complete yet; KB_ERR_PROTOCOL if it is
 * too large or fragmented; or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_rpc_frame_read(struct evbuffer *input, char **data, size_t *len);

/*
 * Appends a call of `procedure` to `output`. Returns KB_ERR_TOO_LARGE if the
 * arguments cannot be encoded within the limit, or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_rpc_frame_write_call(struct evbuffer *output, uint32_t xid,
				    uint32_t procedure, xdrproc_t encode,
				    const void *args);

/* Appends an accepted reply with status `status`, like write_call(). */
kb_result_t kb_rpc_frame_write_reply(struct evbuffer *output, uint32_t xid,
				     enum accept_stat status, xdrproc_t encode,
				     const void *res);

/* XDR procedure of an empty body. */
bool_t kb_rpc_frame_xdr_empty(XDR *xdr, ...);

KB_END_DECLS

#endif

#ifndef KB_RPC_PEER_H
#define KB_RPC_PEER_H

#include "rpc_frame.h"
#include "str.h"

struct bufferevent;
struct event;
struct event_base;

KB_BEGIN_DECLS

typedef void kb_rpc_done_fn_t(void *ctx, kb_result_t result, void *res);

/* A call to another host. */
typedef struct kb_rpc_call {
	uint32_t procedure;
	xdrproc_t encode;
	const void *args;
	xdrproc_t decode;
	size_t res_size;
	kb_time_t timeout;
	/*
	 * Called once with the result, never from within kb_rpc_peer_call().
	 * `res` is NULL unless `result` is KB_OK and is freed on return.
	 * KB_ERR_UNREACHABLE means that no byte was sent. After KB_ERR_CLOSED,
	 * KB_ERR_TIMEOUT or KB_ERR_PROTOCOL the call may have run.
	 */
	kb_rpc_done_fn_t *done;
	void *ctx;
} kb_rpc_call_t;

/* Counters of a peer. */
typedef struct kb_rpc_peer_counters {
	uint64_t calls;
	uint64_t replies;
	/* Bytes of replies, also of those that are not complete yet. */
	uint64_t received_bytes;
	uint64_t late_replies;
	uint64_t refused;
	/* Messages that cannot be decoded. */
	uint64_t malformed;
	uint64_t lost_connections;
	/* Connections that could not be opened. */
	uint64_t failed_connections;
} kb_rpc_peer_counters_t;

/*
 * The connection to another host, opened on demand. A reply is accepted only
 * on the connection that its call was sent on, so that a restarted peer cannot
 * answer a call made to its previous instance.
 */
typedef struct kb_rpc_peer {
	struct event_base *loop;
	kb_name_t address;
	uint16_t port;
	struct bufferevent *stream;
	int connected;
	/* Bytes appended to the output buffer of the present connection. */
	size_t queued;
	/* Bytes left in the input buffer after the last read. */
	size_t input_left;
	uint32_t next_xid;
	size_t call_limit;
	size_t call_count;
	/* Calls without a reply, newest first. */
	struct kb_rpc_pending *pending;
	struct kb_rpc_pending *oldest;
	/* Incremented at each disconnect; ties a call to its connection. */
	uint64_t generation;
	kb_rpc_peer_counters_t counters;
	/*
	 * Called when a call is started while none is pending, and when the
	 * connection was lost; may be NULL.
	 */
	void (*active)(void *ctx);
	void *ctx;
} kb_rpc_peer_t;

/* Initializes a peer; at most `call_limit` calls may be pending at a time. */
kb_result_t kb_rpc_peer_init(kb_rpc_peer_t *peer, struct event_base *loop,
			     kb_str_t address, uint16_t port,
			     size_t call_limit);

/* Closes the connection; pending calls end with KB_ERR_CLOSED. */
void kb_rpc_peer_finish(kb_rpc_peer_t *peer);

/*
 * Starts a call. If it returns KB_ERR_OVERLOADED (too many pending calls),
 * KB_ERR_UNREACHABLE, KB_ERR_TOO_LARGE or KB_ERR_NO_MEMORY, nothing was sent
 * and `done` is not called.
 */
kb_result_t kb_rpc_peer_call(kb_rpc_peer_t *peer, const kb_rpc_call_t *call);

/*
 * Closes the connection. Pending calls end with KB_ERR_CLOSED, or with
 * KB_ERR_UNREACHABLE if nothing was sent on it.
 */
void kb_rpc_peer_reset(kb_rpc_peer_t *peer);

KB_END_DECLS

#endif

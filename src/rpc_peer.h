#ifndef KB_RPC_PEER_H
#define KB_RPC_PEER_H

#include "rpc_frame.h"
#include "str.h"

struct bufferevent;
struct event;
struct event_base;

KB_BEGIN_DECLS

/* A call to another host. */
typedef struct kb_rpc_call {
	uint32_t procedure;
	xdrproc_t encode;
	const void *args;
	xdrproc_t decode;
	size_t res_size;
	kb_time_t timeout;
	/*
	 * Ends the call, once, and never from within kb_rpc_peer_call(). `res`
	 * is NULL unless `result` is KB_OK and is freed on return.
	 * KB_ERR_UNREACHABLE says that no byte was sent; KB_ERR_CLOSED,
	 * KB_ERR_TIMEOUT and KB_ERR_PROTOCOL that the call may have run.
	 */
	void (*done)(void *ctx, kb_result_t result, void *res);
	void *ctx;
} kb_rpc_call_t;

/* Counters of a peer. */
typedef struct kb_rpc_peer_counters {
	uint64_t calls;
	uint64_t replies;
	uint64_t late_replies;
	uint64_t refused;
	/* Messages that cannot be decoded. */
	uint64_t malformed;
	uint64_t lost_connections;
} kb_rpc_peer_counters_t;

/*
 * The connection to one other host, opened on demand. A reply is accepted
 * only on the connection that carried its call, so that a peer that restarts
 * cannot answer a call of its earlier instance.
 */
typedef struct kb_rpc_peer {
	struct event_base *loop;
	kb_name_t address;
	uint16_t port;
	struct bufferevent *stream;
	int connected;
	/* Bytes given to the connection since it was begun. */
	size_t queued;
	uint32_t next_xid;
	size_t call_limit;
	size_t call_count;
	/* Calls that wait, newest first. */
	struct kb_rpc_pending *pending;
	struct kb_rpc_pending *oldest;
	/* Counts the connections; calls end with theirs. */
	uint64_t generation;
	kb_rpc_peer_counters_t counters;
} kb_rpc_peer_t;

/* Initializes a peer that allows `call_limit` calls to wait for replies. */
kb_result_t kb_rpc_peer_init(kb_rpc_peer_t *peer, struct event_base *loop,
			     kb_str_t address, uint16_t port,
			     size_t call_limit);

/* Closes the connection; calls that wait end with KB_ERR_CLOSED. */
void kb_rpc_peer_finish(kb_rpc_peer_t *peer);

/*
 * Starts a call. Returns KB_ERR_OVERLOADED if too many calls wait, or
 * KB_ERR_UNREACHABLE, KB_ERR_TOO_LARGE or KB_ERR_NO_MEMORY; `done` is then
 * not called and nothing was sent.
 */
kb_result_t kb_rpc_peer_call(kb_rpc_peer_t *peer, const kb_rpc_call_t *call);

/*
 * Drops the connection. Calls that wait end with KB_ERR_CLOSED, or with
 * KB_ERR_UNREACHABLE if it was never open.
 */
void kb_rpc_peer_reset(kb_rpc_peer_t *peer);

KB_END_DECLS

#endif

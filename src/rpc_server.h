#ifndef KB_RPC_SERVER_H
#define KB_RPC_SERVER_H

#include "rpc_frame.h"

struct event_base;
struct evconnlistener;
struct sockaddr;

KB_BEGIN_DECLS

typedef struct kb_rpc_request kb_rpc_request_t;

/* A procedure that a server offers. */
typedef struct kb_rpc_procedure {
	uint32_t number;
	xdrproc_t args;
	size_t args_size;
	xdrproc_t res;
	/*
	 * Handles a request. It must call kb_rpc_server_reply() once, at once
	 * or later. `args` belongs to the request.
	 */
	void (*serve)(void *ctx, kb_rpc_request_t *request, void *args);
	void *ctx;
} kb_rpc_procedure_t;

/* Counters of a server. */
typedef struct kb_rpc_server_counters {
	uint64_t requests;
	uint64_t malformed;
	uint64_t unknown_version;
	/* Replies that were dropped because the connection was closed. */
	uint64_t dropped_replies;
} kb_rpc_server_counters_t;

#define KB_RPC_PROCEDURES_MAX 16

/* An RPC server for the calls of other hosts. */
typedef struct kb_rpc_server {
	struct event_base *loop;
	struct evconnlistener *listener;
	kb_rpc_procedure_t procedures[KB_RPC_PROCEDURES_MAX];
	size_t procedure_count;
	struct kb_rpc_session *sessions;
	kb_rpc_server_counters_t counters;
} kb_rpc_server_t;

/* Listens on `address`. Returns KB_ERR_IO if it cannot be bound. */
kb_result_t kb_rpc_server_init(kb_rpc_server_t *server, struct event_base *loop,
			       const struct sockaddr *address, size_t len);

/* Adds a procedure. Returns KB_ERR_NO_MEMORY if the table is full. */
kb_result_t kb_rpc_server_add(kb_rpc_server_t *server,
			      const kb_rpc_procedure_t *procedure);

/* Closes every connection; replies to pending requests are dropped. */
void kb_rpc_server_finish(kb_rpc_server_t *server);

/* Sends `res` as the reply and frees `request`. */
void kb_rpc_server_reply(kb_rpc_request_t *request, const void *res);

KB_END_DECLS

#endif

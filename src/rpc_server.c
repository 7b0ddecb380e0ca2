#include "rpc_server.h"

#include "gen/kumquat_rpc.h"
#include "log.h"
#include "socket_options.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>

enum {
	LISTEN_BACKLOG = 128,
};

typedef struct kb_rpc_session {
	kb_rpc_server_t *server;
	struct bufferevent *stream;
	kb_rpc_request_t *requests;
	struct kb_rpc_session *next;
	struct kb_rpc_session *prev;
} kb_rpc_session_t;

struct kb_rpc_request {
	/* NULL once the connection has closed. */
	kb_rpc_session_t *session;
	kb_rpc_server_t *server;
	/* Copied, since the server may be finished before the reply. */
	kb_rpc_procedure_t procedure;
	uint32_t xid;
	void *args;
	kb_rpc_request_t *next;
	kb_rpc_request_t *prev;
};

static void session_unlink(kb_rpc_session_t *session)
{
	kb_rpc_session_t **link = session->prev ? &session->prev->next
						: &session->server->sessions;

	*link = session->next;
	if (session->next)
		session->next->prev = session->prev;
}

static void session_close(kb_rpc_session_t *session)
{
	kb_rpc_request_t *request = session->requests;

	while (request) {
		kb_rpc_request_t *next = request->next;

		request->session = NULL;
		request->next = NULL;
		request->prev = NULL;
		request = next;
	}
	session_unlink(session);
	bufferevent_free(session->stream);
	free(session);
}

static void request_free(kb_rpc_request_t *request)
{
	kb_rpc_session_t *session = request->session;

	if (session) {
		if (request->prev)
			request->prev->next = request->next;
		else
			session->requests = request->next;
		if (request->next)
			request->next->prev = request->prev;
	}
	xdr_free(request->procedure.args, request->args);
	free(request->args);
	free(request);
}

void kb_rpc_server_reply(kb_rpc_request_t *request, const void *res)
{
	kb_rpc_session_t *session = request->session;

	if (!session) {
		request->server->counters.dropped_replies++;
	} else if (kb_rpc_frame_write_reply(
			   bufferevent_get_output(session->stream),
			   request->xid, SUCCESS, request->procedure.res,
			   res)) {
		kb_rpc_frame_write_reply(
			bufferevent_get_output(session->stream), request->xid,
			SYSTEM_ERR, NULL, NULL);
	}
	request_free(request);
}

static const kb_rpc_procedure_t *find_procedure(kb_rpc_server_t *server,
						uint32_t number)
{
	for (size_t i = 0; i < server->procedure_count; i++)
		if (server->procedures[i].number == number)
			return &server->procedures[i];
	return NULL;
}

static kb_result_t refuse(kb_rpc_session_t *session, uint32_t xid,
			  enum accept_stat status)
{
	struct evbuffer *output = bufferevent_get_output(session->stream);

	return kb_rpc_frame_write_reply(output, xid, status, NULL, NULL);
}

static kb_result_t serve_call(kb_rpc_session_t *session,
			      const struct rpc_msg *call, XDR *xdr)
{
	kb_rpc_server_t *server = session->server;
	const kb_rpc_procedure_t *procedure;
	kb_rpc_request_t *request;

	if (call->rm_call.cb_prog != KUMQUAT_PROGRAM)
		return refuse(session, call->rm_xid, PROG_UNAVAIL);
	if (call->rm_call.cb_vers != KUMQUAT_VERSION) {
		server->counters.unknown_version++;
		kb_log(KB_EVENT_RPC_VERSION_REFUSED, "version=%u",
		       (unsigned)call->rm_call.cb_vers);
		return refuse(session, call->rm_xid, PROG_MISMATCH);
	}
	procedure = find_procedure(server, call->rm_call.cb_proc);
	if (!procedure)
		return refuse(session, call->rm_xid, PROC_UNAVAIL);
	request = calloc(1, sizeof(*request));
	if (!request)
		return KB_ERR_NO_MEMORY;
	request->args = calloc(1, procedure->args_size);
	if (!request->args) {
		free(request);
		return KB_ERR_NO_MEMORY;
	}
	request->procedure = *procedure;
	request->server = server;
	request->xid = call->rm_xid;
	if (!procedure->args(xdr, request->args)) {
		server->counters.malformed++;
		request_free(request);
		return refuse(session, call->rm_xid, GARBAGE_ARGS);
	}
	request->session = session;
	request->next = session->requests;
	if (session->requests)
		session->requests->prev = request;
	session->requests = request;
	server->counters.requests++;
	procedure->serve(procedure->ctx, request, request->args);
	return KB_OK;
}

static kb_result_t serve_frame(kb_rpc_session_t *session, char *data,
			       size_t len)
{
	char credential[MAX_AUTH_BYTES], verifier[MAX_AUTH_BYTES];
	struct rpc_msg call;
	kb_result_t result;
	XDR xdr;

	memset(&call, 0, sizeof(call));
	call.rm_call.cb_cred.oa_base = credential;
	call.rm_call.cb_verf.oa_base = verifier;
	xdrmem_create(&xdr, data, (unsigned)len, XDR_DECODE);
	if (xdr_callmsg(&xdr, &call))
		result = serve_call(session, &call, &xdr);
	else
		result = KB_ERR_PROTOCOL;
	xdr_destroy(&xdr);
	return result;
}

static void on_read(struct bufferevent *stream, void *arg)
{
	kb_rpc_session_t *session = arg;
	struct evbuffer *input = bufferevent_get_input(stream);
	kb_result_t result;
	size_t len;
	char *data;

	for (;;) {
		result = kb_rpc_frame_read(input, &data, &len);
		if (result == KB_ERR_TIMEOUT)
			return;
		if (result)
			break;
		result = serve_frame(session, data, len);
		free(data);
		if (result)
			break;
	}
	session->server->counters.malformed++;
	kb_log(KB_EVENT_RPC_MALFORMED, "result=%s", kb_result_name(result));
	session_close(session);
}

static void on_event(struct bufferevent *stream, short what, void *arg)
{
	(void)stream;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
		session_close(arg);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	kb_rpc_server_t *server = arg;
	kb_rpc_session_t *session = calloc(1, sizeof(*session));

	(void)listener;
	(void)address;
	(void)len;
	if (!session) {
		evutil_closesocket(fd);
		return;
	}
	session->stream =
		bufferevent_socket_new(server->loop, fd, BEV_OPT_CLOSE_ON_FREE);
	if (!session->stream) {
		evutil_closesocket(fd);
		free(session);
		return;
	}
	kb_socket_set_options(fd, NULL);
	session->server = server;
	session->next = server->sessions;
	if (server->sessions)
		server->sessions->prev = session;
	server->sessions = session;
	bufferevent_setcb(session->stream, on_read, NULL, on_event, session);
	bufferevent_enable(session->stream, EV_READ | EV_WRITE);
}

kb_result_t kb_rpc_server_init(kb_rpc_server_t *server, struct event_base *loop,
			       const struct sockaddr *address, size_t len)
{
	memset(server, 0, sizeof(*server));
	server->loop = loop;
	server->listener = evconnlistener_new_bind(
		loop, on_accept, server,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		LISTEN_BACKLOG, address, (int)len);
	return server->listener ? KB_OK : KB_ERR_IO;
}

kb_result_t kb_rpc_server_add(kb_rpc_server_t *server,
			      const kb_rpc_procedure_t *procedure)
{
	if (server->procedure_count == KB_RPC_PROCEDURES_MAX)
		return KB_ERR_NO_MEMORY;
	server->procedures[server->procedure_count++] = *procedure;
	return KB_OK;
}

void kb_rpc_server_finish(kb_rpc_server_t *server)
{
	if (server->listener)
		evconnlistener_free(server->listener);
	for (kb_rpc_session_t *session = server->sessions, *next; session;
	     session = next) {
		next = session->next;
		session_close(session);
	}
	memset(server, 0, sizeof(*server));
}

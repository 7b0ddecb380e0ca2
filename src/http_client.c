#include "http_client.h"

#include "socket_options.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

enum {
	/* Never reached, as the timer of each call ends it earlier. */
	CONNECTION_TIMEOUT_S = 24 * 3600,
	HOST_MAX_BYTES = KB_NAME_MAX_BYTES + 16,
	KEEPALIVE_IDLE_S = 5,
	KEEPALIVE_INTERVAL_S = 2,
	KEEPALIVE_PROBES = 3,
};

struct kb_http_call {
	kb_http_client_t *client;
	kb_http_call_t *next;
	struct evhttp_connection *connection;
	struct event *timer;
	kb_time_t idle_timeout;
	void (*part)(void *ctx, int status, kb_str_t data);
	void (*done)(void *ctx, const kb_http_answer_t *answer);
	void *ctx;
	int ended;
};

static void free_call(kb_http_call_t *call)
{
	if (call->connection)
		evhttp_connection_free(call->connection);
	if (call->timer)
		event_free(call->timer);
	free(call);
}

static void free_ended(kb_http_client_t *client)
{
	kb_http_call_t *call;

	while ((call = client->ended)) {
		client->ended = call->next;
		free_call(call);
	}
}

static void on_cleanup(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	free_ended(ctx);
}

kb_result_t kb_http_client_init(kb_http_client_t *client,
				struct event_base *base, kb_str_t address,
				uint16_t port)
{
	struct in6_addr number;

	memset(client, 0, sizeof(*client));
	client->base = base;
	client->port = port;
	if (kb_name_set(&client->address, address) != KB_OK ||
	    (inet_pton(AF_INET, client->address.data, &number) != 1 &&
	     inet_pton(AF_INET6, client->address.data, &number) != 1))
		return KB_ERR_INVALID;
	client->cleanup = event_new(base, -1, 0, on_cleanup, client);
	return client->cleanup ? KB_OK : KB_ERR_NO_MEMORY;
}

void kb_http_client_finish(kb_http_client_t *client)
{
	while (client->calls)
		kb_http_client_cancel(client->calls);
	free_ended(client);
	if (client->idle)
		evhttp_connection_free(client->idle);
	if (client->cleanup)
		event_free(client->cleanup);
	memset(client, 0, sizeof(*client));
}

/* Moves `call` to the ended calls, which on_cleanup() frees. */
static void end_call(kb_http_call_t *call)
{
	kb_http_client_t *client = call->client;
	kb_http_call_t **link = &client->calls;

	while (*link != call)
		link = &(*link)->next;
	*link = call->next;
	call->next = client->ended;
	client->ended = call;
	call->ended = 1;
	event_del(call->timer);
	event_active(client->cleanup, 0, 0);
}

static evutil_socket_t socket_of(const kb_http_call_t *call)
{
	return bufferevent_getfd(
		evhttp_connection_get_bufferevent(call->connection));
}

void kb_http_client_cancel(kb_http_call_t *call)
{
	if (call->ended)
		return;
	kb_socket_reset_on_close(socket_of(call));
	end_call(call);
}

static void finish_call(kb_http_call_t *call, const kb_http_answer_t *answer)
{
	end_call(call);
	call->done(call->ctx, answer);
}

static int is_connected(const kb_http_call_t *call)
{
	struct sockaddr_storage peer;
	socklen_t len = sizeof(peer);

	return !getpeername(socket_of(call), (struct sockaddr *)&peer, &len);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	kb_http_call_t *call = ctx;
	kb_http_answer_t answer = { .result = KB_ERR_UNREACHABLE };

	(void)fd;
	(void)what;
	if (is_connected(call))
		answer.result = KB_ERR_TIMEOUT;
	kb_socket_reset_on_close(socket_of(call));
	finish_call(call, &answer);
}

static void start_timer(kb_http_call_t *call, kb_time_t timeout)
{
	struct timeval wait = { timeout / KB_NS_PER_S,
				timeout % KB_NS_PER_S / KB_NS_PER_US };

	event_add(call->timer, &wait);
}

static kb_str_t input_of(struct evhttp_request *http)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(http);
	kb_str_t data = { "", evbuffer_get_length(input) };

	if (data.len)
		data.data = (const char *)evbuffer_pullup(input, -1);
	return data;
}

/* Keeps the connection for the next call unless one is kept already. */
static void keep_connection(kb_http_call_t *call)
{
	kb_http_client_t *client = call->client;

	if (client->idle)
		return;
	client->idle = call->connection;
	call->connection = NULL;
}

static void on_done(struct evhttp_request *http, void *ctx)
{
	kb_http_call_t *call = ctx;
	kb_http_answer_t answer = { .result = KB_ERR_CLOSED };

	if (call->ended)
		return;
	if (http) {
		answer.status = evhttp_request_get_response_code(http);
		answer.result = KB_OK;
		answer.body = input_of(http);
		answer.headers = evhttp_request_get_input_headers(http);
	}
	if (http && !answer.status)
		/* The connection could not be opened. */
		answer.result = KB_ERR_UNREACHABLE;
	else if (http)
		keep_connection(call);
	finish_call(call, &answer);
}

static void on_part(struct evhttp_request *http, void *ctx)
{
	kb_http_call_t *call = ctx;
	kb_str_t data = input_of(http);

	if (call->ended)
		return;
	event_del(call->timer);
	if (call->idle_timeout)
		start_timer(call, call->idle_timeout);
	call->part(call->ctx, evhttp_request_get_response_code(http), data);
}

/* Enables TCP keepalive, which detects that an idle stream's server is gone. */
static int on_stream_header(struct evhttp_request *http, void *ctx)
{
	static const kb_keepalive_t keepalive = {
		.idle_s = KEEPALIVE_IDLE_S,
		.interval_s = KEEPALIVE_INTERVAL_S,
		.probes = KEEPALIVE_PROBES,
	};
	const kb_http_call_t *call = ctx;

	(void)http;
	kb_socket_set_options(socket_of(call), &keepalive);
	return 0;
}

static struct evhttp_connection *take_connection(kb_http_client_t *client)
{
	struct evhttp_connection *connection = client->idle;

	client->idle = NULL;
	if (connection)
		return connection;
	connection = evhttp_connection_base_new(
		client->base, NULL, client->address.data, client->port);
	if (connection)
		evhttp_connection_set_timeout(connection, CONNECTION_TIMEOUT_S);
	return connection;
}

static kb_result_t add_headers(struct evhttp_request *http,
			       const kb_http_client_t *client,
			       const kb_http_request_t *request)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(http);
	int is_v6 = !!strchr(client->address.data, ':');
	char host[HOST_MAX_BYTES];
	int failed = 0;

	snprintf(host, sizeof(host), is_v6 ? "[%s]:%u" : "%s:%u",
		 client->address.data, client->port);
	failed |= evhttp_add_header(headers, "Host", host);
	if (request->body.len)
		failed |= evhttp_add_header(headers, "Content-Type",
					    "application/json");
	for (size_t i = 0; i < request->header_count; i++)
		failed |= evhttp_add_header(headers, request->headers[i].name,
					    request->headers[i].value);
	return failed ? KB_ERR_NO_MEMORY : KB_OK;
}

static struct evhttp_request *new_request(kb_http_call_t *call,
					  const kb_http_request_t *request)
{
	struct evhttp_request *http = evhttp_request_new(on_done, call);

	if (!http)
		return NULL;
	if (call->part) {
		evhttp_request_set_chunked_cb(http, on_part);
		evhttp_request_set_header_cb(http, on_stream_header);
	}
	if (add_headers(http, call->client, request) != KB_OK ||
	    evbuffer_add(evhttp_request_get_output_buffer(http),
			 request->body.data, request->body.len)) {
		evhttp_request_free(http);
		return NULL;
	}
	return http;
}

kb_http_call_t *kb_http_client_call(kb_http_client_t *client,
				    const kb_http_request_t *request)
{
	kb_http_call_t *call = calloc(1, sizeof(*call));
	struct evhttp_request *http;

	if (!call)
		return NULL;
	call->client = client;
	call->idle_timeout = request->idle_timeout;
	call->part = request->part;
	call->done = request->done;
	call->ctx = request->ctx;
	call->timer = event_new(client->base, -1, 0, on_timer, call);
	call->connection = take_connection(client);
	if (!call->timer || !call->connection)
		goto fail;
	http = new_request(call, request);
	if (!http)
		goto fail;
	call->next = client->calls;
	client->calls = call;
	start_timer(call, request->timeout);
	/* evhttp_make_request() frees `http` if it fails. */
	if (evhttp_make_request(call->connection, http, request->method,
				request->path)) {
		client->calls = call->next;
		goto fail;
	}
	/* The socket exists from here on; numeric addresses need no lookup. */
	kb_socket_set_options(socket_of(call), NULL);
	if (request->reset_at_exit)
		kb_socket_reset_on_close(socket_of(call));
	return call;
fail:
	free_call(call);
	return NULL;
}

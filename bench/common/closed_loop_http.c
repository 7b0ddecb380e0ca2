#include "closed_loop.h"
#include "socket_options.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum { TEXT_BYTES = 512, STATUS_OK = 200, TIMEOUT_S = 10 };

/* One connection, with one request at a time. */
typedef struct client {
	closed_loop_t *loop;
	const closed_loop_request_t *request;
	struct evhttp_connection *http;
	char path[TEXT_BYTES];
	kb_time_t sent;
} client_t;

static void send_next(client_t *client);

static void on_reply(struct evhttp_request *http, void *ctx)
{
	client_t *client = ctx;
	int status = http ? evhttp_request_get_response_code(http) : 0;

	closed_loop_on_reply(client->loop, client->sent, status != STATUS_OK);
	send_next(client);
}

static int add_headers(struct evhttp_request *http, const client_t *client)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(http);
	const closed_loop_request_t *request = client->request;
	char text[TEXT_BYTES];
	int failed;

	failed = evhttp_add_header(headers, "Host", request->address);
	snprintf(text, sizeof(text), "Bearer %s", request->token);
	failed |= evhttp_add_header(headers, "Authorization", text);
	failed |=
		evhttp_add_header(headers, "Content-Type", "application/json");
	if (request->read_kind)
		return failed;
	snprintf(text, sizeof(text), "%" PRIx64 "-%zu", request->run,
		 client->loop->sent);
	return failed | evhttp_add_header(headers, "Idempotency-Key", text);
}

static int add_body(struct evhttp_request *http, const client_t *client)
{
	const closed_loop_request_t *request = client->request;
	struct evbuffer *body = evhttp_request_get_output_buffer(http);

	return evbuffer_add_printf(
		       body,
		       "{\"sql\":\"%s\",\"params\":[\"1\"],"
		       "\"%s\":\"%s\"}",
		       request->sql, request->read_kind ? "read" : "class",
		       request->read_kind ? request->read_kind : "claim") < 0;
}

static void send_next(client_t *client)
{
	struct evhttp_request *http;

	if (!closed_loop_claim_request(client->loop))
		return;
	client->sent = closed_loop_now();
	http = evhttp_request_new(on_reply, client);
	if (!http)
		goto fail;
	if (add_headers(http, client) || add_body(http, client)) {
		evhttp_request_free(http);
		goto fail;
	}
	if (!evhttp_make_request(client->http, http, EVHTTP_REQ_POST,
				 client->path)) {
		kb_socket_set_options(
			bufferevent_getfd(evhttp_connection_get_bufferevent(
				client->http)),
			NULL);
		return;
	}
fail:
	closed_loop_on_reply(client->loop, client->sent, 1);
}

static kb_result_t client_init(client_t *client, closed_loop_t *loop,
			       const closed_loop_request_t *request)
{
	client->loop = loop;
	client->request = request;
	snprintf(client->path, sizeof(client->path), "/v1/groups/%s/statements",
		 request->group);
	client->http = evhttp_connection_base_new(
		loop->base, NULL, request->address, (uint16_t)request->port);
	if (!client->http)
		return KB_ERR_NO_MEMORY;
	evhttp_connection_set_timeout(client->http, TIMEOUT_S);
	return KB_OK;
}

kb_result_t closed_loop_run_http(const closed_loop_request_t *request,
				 size_t connections, size_t total,
				 closed_loop_result_t *result)
{
	client_t *clients = calloc(connections, sizeof(*clients));
	closed_loop_t loop = { 0 };
	kb_result_t error = KB_ERR_NO_MEMORY;

	if (!clients)
		return error;
	error = closed_loop_init(&loop, total);
	for (size_t i = 0; !error && i < connections; i++)
		error = client_init(&clients[i], &loop, request);
	if (error)
		goto done;
	for (size_t i = 0; i < connections; i++)
		send_next(&clients[i]);
	closed_loop_run(&loop, result);
done:
	for (size_t i = 0; i < connections; i++)
		if (clients[i].http)
			evhttp_connection_free(clients[i].http);
	closed_loop_finish(&loop);
	free(clients);
	return error;
}

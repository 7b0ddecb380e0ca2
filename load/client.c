#include "client.h"

#include "socket_options.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	/* Time after the deadline until a request counts as unanswered. */
	GRACE_MS = 3000,
	MS_PER_S = 1000,
	US_PER_MS = 1000,
	MAX_ANSWER_BYTES = 32 * 1024 * 1024,
	HEADER_BYTES = 256,
};

/* A connection with at most one request in flight. */
typedef struct kl_connection {
	kl_client_t *client;
	size_t host;
	struct evhttp_connection *http;
	kl_reply_fn_t *done;
	void *ctx;
	/* The request failed on an established connection. */
	int failed_after_connect;
	int timed_out;
	struct kl_connection *next_idle;
	struct kl_connection *next;
} kl_connection_t;

kb_result_t kl_client_init(kl_client_t *client, struct event_base *base,
			   const kl_options_t *options)
{
	int len;

	memset(client, 0, sizeof(*client));
	client->base = base;
	client->options = options;
	len = snprintf(client->path, sizeof(client->path),
		       "/v1/groups/%s/statements", options->group);
	return len < (int)sizeof(client->path) ? KB_OK : KB_ERR_INVALID;
}

void kl_client_finish(kl_client_t *client)
{
	while (client->all) {
		kl_connection_t *connection = client->all;

		client->all = connection->next;
		connection->done = NULL;
		evhttp_connection_free(connection->http);
		free(connection);
	}
}

static kl_connection_t *connect_to(kl_client_t *client, size_t host)
{
	const kl_endpoint_t *endpoint = &client->options->hosts[host];
	unsigned ms = client->options->deadline_ms + GRACE_MS;
	struct timeval timeout = { ms / MS_PER_S, (ms % MS_PER_S) * US_PER_MS };
	kl_connection_t *connection = calloc(1, sizeof(*connection));

	if (!connection)
		return NULL;
	connection->http = evhttp_connection_base_new(
		client->base, NULL, endpoint->address.data, endpoint->port);
	if (!connection->http) {
		free(connection);
		return NULL;
	}
	evhttp_connection_set_timeout_tv(connection->http, &timeout);
	evhttp_connection_set_max_body_size(connection->http, MAX_ANSWER_BYTES);
	connection->client = client;
	connection->host = host;
	connection->next = client->all;
	client->all = connection;
	return connection;
}

static kl_connection_t *acquire_connection(kl_client_t *client, size_t host)
{
	kl_connection_t *connection = client->idle[host];

	if (!connection)
		return connect_to(client, host);
	client->idle[host] = connection->next_idle;
	return connection;
}

static void read_reply(struct evhttp_request *http, kl_reply_t *reply)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(http);

	reply->status = evhttp_request_get_response_code(http);
	reply->body.len = evbuffer_get_length(body);
	reply->body.data = (const char *)evbuffer_pullup(body, -1);
	reply->session = evhttp_find_header(
		evhttp_request_get_input_headers(http), "Kumquat-Session");
}

static void on_reply(struct evhttp_request *http, void *ctx)
{
	kl_connection_t *connection = ctx;
	kl_reply_fn_t *done = connection->done;
	kl_reply_t reply = { 0 };

	if (!done)
		return;
	if (http && evhttp_request_get_response_code(http))
		read_reply(http, &reply);
	else
		reply.unsent = !connection->failed_after_connect;
	reply.timed_out = connection->timed_out;
	connection->done = NULL;
	connection->next_idle = connection->client->idle[connection->host];
	connection->client->idle[connection->host] = connection;
	done(connection->ctx, &reply);
}

/* Called before on_reply(), but not if the connection could not be opened. */
static void on_error(enum evhttp_request_error error, void *ctx)
{
	kl_connection_t *connection = ctx;

	connection->failed_after_connect = 1;
	connection->timed_out = error == EVREQ_HTTP_TIMEOUT;
}

static kb_result_t add_headers(struct evhttp_request *http,
			       const kl_client_t *client,
			       const kl_request_t *request)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(http);
	const kl_endpoint_t *endpoint = &client->options->hosts[request->host];
	char text[HEADER_BYTES];
	int failed;

	snprintf(text, sizeof(text), "%s:%u", endpoint->address.data,
		 endpoint->port);
	failed = evhttp_add_header(headers, "Host", text);
	snprintf(text, sizeof(text), "Bearer %s", client->options->token);
	failed |= evhttp_add_header(headers, "Authorization", text);
	snprintf(text, sizeof(text), "%ums", client->options->deadline_ms);
	failed |= evhttp_add_header(headers, "Kumquat-Deadline", text);
	failed |=
		evhttp_add_header(headers, "Content-Type", "application/json");
	if (request->session)
		failed |= evhttp_add_header(headers, "Kumquat-Session",
					    request->session);
	if (request->key)
		failed |= evhttp_add_header(headers, "Idempotency-Key",
					    request->key);
	return failed ? KB_ERR_NO_MEMORY : KB_OK;
}

static kb_result_t add_body(struct evhttp_request *http,
			    const kl_request_t *request)
{
	char *text = json_dumps(request->statement, JSON_COMPACT);
	int failed =
		!text || evbuffer_add(evhttp_request_get_output_buffer(http),
				      text, strlen(text));

	free(text);
	return failed ? KB_ERR_NO_MEMORY : KB_OK;
}

/* Completes a request that could not be sent. */
static void on_not_sent(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	on_reply(NULL, ctx);
}

kb_result_t kl_client_send(kl_client_t *client, const kl_request_t *request,
			   kl_reply_fn_t *done, void *ctx)
{
	static const struct timeval at_once;
	kl_connection_t *connection = acquire_connection(client, request->host);
	struct evhttp_request *http;

	if (!connection)
		return KB_ERR_NO_MEMORY;
	connection->done = done;
	connection->ctx = ctx;
	connection->failed_after_connect = 0;
	connection->timed_out = 0;
	http = evhttp_request_new(on_reply, connection);
	if (!http || add_headers(http, client, request) ||
	    add_body(http, request)) {
		if (http)
			evhttp_request_free(http);
		return KB_ERR_NO_MEMORY;
	}
	evhttp_request_set_error_cb(http, on_error);
	if (evhttp_make_request(connection->http, http, EVHTTP_REQ_POST,
				client->path) &&
	    event_base_once(client->base, -1, EV_TIMEOUT, on_not_sent,
			    connection, &at_once))
		return KB_ERR_NO_MEMORY;
	kb_socket_set_options(
		bufferevent_getfd(
			evhttp_connection_get_bufferevent(connection->http)),
		NULL);
	return KB_OK;
}

#include "gateway.h"
#include "codec.h"
#include "http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum {
	BODY_MAX_BYTES = 4 << 20,
	LEASE_CHECK_MS = 100,
	STREAM_TIMEOUT_S = 24 * 3600,
};

typedef json_t *standin_call_fn_t(standin_gateway_t *gateway,
				  const json_t *request,
				  standin_error_t *error);

/* A path of the HTTP interface and its handler. */
typedef struct standin_route {
	const char *path;
	/* NULL for the watch, whose response is a stream. */
	standin_call_fn_t *call;
	/* Exempt from faults and left out of the counters. */
	int is_control;
} standin_route_t;

static json_t *call_range(standin_gateway_t *gateway, const json_t *request,
			  standin_error_t *error)
{
	int64_t revision = gateway->faults.stale_revision;

	return standin_calls_range(&gateway->kv,
				   revision ? revision : gateway->kv.revision,
				   request, error);
}

static json_t *call_put(standin_gateway_t *gateway, const json_t *request,
			standin_error_t *error)
{
	return standin_calls_put(&gateway->kv, request, error);
}

static json_t *call_delete(standin_gateway_t *gateway, const json_t *request,
			   standin_error_t *error)
{
	return standin_calls_delete(&gateway->kv, request, error);
}

static json_t *call_txn(standin_gateway_t *gateway, const json_t *request,
			standin_error_t *error)
{
	return standin_calls_txn(&gateway->kv, request, error);
}

static json_t *call_compact(standin_gateway_t *gateway, const json_t *request,
			    standin_error_t *error)
{
	return standin_calls_compact(&gateway->kv, request, error);
}

static json_t *call_grant(standin_gateway_t *gateway, const json_t *request,
			  standin_error_t *error)
{
	return standin_lease_grant(&gateway->leases, request, error);
}

static json_t *call_keepalive(standin_gateway_t *gateway, const json_t *request,
			      standin_error_t *error)
{
	return standin_lease_keepalive(&gateway->leases, request, error);
}

static json_t *call_revoke(standin_gateway_t *gateway, const json_t *request,
			   standin_error_t *error)
{
	return standin_lease_revoke(&gateway->leases, request, error);
}

/* Returns the list of hosts; a request with a body replaces it first. */
static json_t *call_hosts(standin_gateway_t *gateway, const json_t *request,
			  standin_error_t *error)
{
	json_t *list;

	if (request &&
	    standin_hosts_set(&gateway->hosts, (json_t *)request) != KB_OK) {
		error->status = HTTP_BADREQUEST;
		error->message = "not a list of hosts";
		return NULL;
	}
	list = standin_hosts_get(&gateway->hosts);
	return list ? json_incref(list) : json_array();
}

static json_t *call_fault(standin_gateway_t *gateway, const json_t *request,
			  standin_error_t *error)
{
	standin_faults_t *faults = &gateway->faults;
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)request, name, value)
	{
		int64_t number = json_integer_value(value);

		if (!strcmp(name, "down"))
			faults->down = json_is_true(value);
		else if (!strcmp(name, "delayMs"))
			faults->delay = number * KB_NS_PER_MS;
		else if (!strcmp(name, "loseAnswers"))
			faults->lose_answers = number;
		else if (!strcmp(name, "hostsLagMs"))
			gateway->hosts.lag = number * KB_NS_PER_MS;
		else if (!strcmp(name, "staleReads"))
			faults->stale_revision =
				json_is_true(value) ? gateway->kv.revision : 0;
		else {
			error->status = HTTP_BADREQUEST;
			error->message = "unknown fault";
			return NULL;
		}
	}
	if (faults->down)
		standin_watch_finish(&gateway->watches);
	return json_object();
}

static json_t *call_counters(standin_gateway_t *gateway, const json_t *request,
			     standin_error_t *error);

static const standin_route_t routes[] = {
	{ "/v3/kv/range", call_range, 0 },
	{ "/v3/kv/put", call_put, 0 },
	{ "/v3/kv/deleterange", call_delete, 0 },
	{ "/v3/kv/txn", call_txn, 0 },
	{ "/v3/kv/compaction", call_compact, 0 },
	{ "/v3/lease/grant", call_grant, 0 },
	{ "/v3/lease/keepalive", call_keepalive, 0 },
	{ "/v3/lease/revoke", call_revoke, 0 },
	{ "/v3/watch", NULL, 0 },
	{ "/platform/hosts", call_hosts, 0 },
	{ "/fault", call_fault, 1 },
	{ "/counters", call_counters, 1 },
};

#define ROUTE_COUNT (sizeof(routes) / sizeof(routes[0]))

static json_t *call_counters(standin_gateway_t *gateway, const json_t *request,
			     standin_error_t *error)
{
	json_t *counters = json_object();
	uint64_t total = 0;

	(void)request;
	(void)error;
	for (size_t i = 0; i < ROUTE_COUNT; i++) {
		if (routes[i].is_control)
			continue;
		total += gateway->counts[i];
		json_object_set_new(
			counters, routes[i].path,
			json_integer((json_int_t)gateway->counts[i]));
	}
	json_object_set_new(counters, "total", json_integer((json_int_t)total));
	json_object_set_new(counters, "watchesOpen",
			    json_integer((json_int_t)gateway->watches.count));
	json_object_set_new(counters, "revision",
			    json_integer(gateway->kv.revision));
	return counters;
}

static void reply(struct evhttp_request *http, int status, json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct evbuffer *buffer = evbuffer_new();

	if (buffer && text)
		evbuffer_add_printf(buffer, "%s\n", text);
	evhttp_add_header(evhttp_request_get_output_headers(http),
			  "Content-Type", "application/json");
	evhttp_send_reply(http, text ? status : HTTP_INTERNAL, NULL, buffer);
	if (buffer)
		evbuffer_free(buffer);
	free(text);
	json_decref(body);
}

/* Closes the connection of `http` without a response. */
static void drop_connection(struct evhttp_request *http)
{
	struct evhttp_connection *connection =
		evhttp_request_get_connection(http);

	if (connection)
		shutdown(bufferevent_getfd(
				 evhttp_connection_get_bufferevent(connection)),
			 SHUT_RDWR);
	evhttp_send_reply(http, HTTP_SERVUNAVAIL, NULL, NULL);
}

/* A call that is delayed by the fault `delayMs`. */
struct standin_pending {
	standin_gateway_t *gateway;
	standin_pending_t *next;
	struct event *timer;
	struct evhttp_request *http;
	const standin_route_t *route;
};

static void execute(standin_gateway_t *gateway, struct evhttp_request *http,
		    const standin_route_t *route)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(http);
	size_t len = evbuffer_get_length(input);
	const char *text = (const char *)evbuffer_pullup(input, -1);
	json_t *request = len ? json_loadb(text, len, 0, NULL) : NULL;
	standin_error_t error = { HTTP_BADREQUEST, "malformed JSON" };
	json_t *answer = NULL;

	if (len && !request) {
		reply(http, error.status,
		      json_pack("{s:s}", "message", error.message));
		return;
	}
	if (!route->call) {
		standin_watch_open(&gateway->watches, http, request);
		json_decref(request);
		return;
	}
	answer = route->call(gateway, request, &error);
	json_decref(request);
	if (!route->is_control && gateway->faults.lose_answers) {
		gateway->faults.lose_answers--;
		json_decref(answer);
		drop_connection(http);
	} else if (answer) {
		reply(http, HTTP_OK, answer);
	} else {
		reply(http, error.status,
		      json_pack("{s:s}", "message", error.message));
	}
	standin_watch_notify(&gateway->watches);
}

static void free_pending(standin_pending_t *pending)
{
	standin_pending_t **link = &pending->gateway->pending;

	while (*link != pending)
		link = &(*link)->next;
	*link = pending->next;
	event_free(pending->timer);
	free(pending);
}

static void on_delay_elapsed(evutil_socket_t fd, short what, void *ctx)
{
	standin_pending_t *pending = ctx;
	standin_gateway_t *gateway = pending->gateway;
	struct evhttp_request *http = pending->http;
	const standin_route_t *route = pending->route;

	(void)fd;
	(void)what;
	free_pending(pending);
	if (gateway->faults.down)
		drop_connection(http);
	else
		execute(gateway, http, route);
}

static void delay(standin_gateway_t *gateway, struct evhttp_request *http,
		  const standin_route_t *route)
{
	kb_time_t time = gateway->faults.delay;
	struct timeval wait = { time / KB_NS_PER_S,
				time % KB_NS_PER_S / KB_NS_PER_US };
	standin_pending_t *pending = malloc(sizeof(*pending));

	if (!pending) {
		drop_connection(http);
		return;
	}
	*pending = (standin_pending_t){
		.gateway = gateway,
		.next = gateway->pending,
		.timer = event_new(gateway->base, -1, 0, on_delay_elapsed,
				   pending),
		.http = http,
		.route = route,
	};
	if (!pending->timer) {
		free(pending);
		drop_connection(http);
		return;
	}
	gateway->pending = pending;
	event_add(pending->timer, &wait);
}

static void on_request(struct evhttp_request *http, void *ctx)
{
	standin_gateway_t *gateway = ctx;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(http));
	size_t i;

	for (i = 0; i < ROUTE_COUNT; i++)
		if (path && !strcmp(path, routes[i].path))
			break;
	if (i == ROUTE_COUNT) {
		evhttp_send_error(http, HTTP_NOTFOUND, NULL);
		return;
	}
	gateway->counts[i]++;
	if (routes[i].is_control)
		execute(gateway, http, &routes[i]);
	else if (gateway->faults.down)
		drop_connection(http);
	else if (gateway->faults.delay)
		delay(gateway, http, &routes[i]);
	else
		execute(gateway, http, &routes[i]);
}

static void on_lease_timer(evutil_socket_t fd, short what, void *ctx)
{
	standin_gateway_t *gateway = ctx;

	(void)fd;
	(void)what;
	if (standin_lease_expire(&gateway->leases))
		standin_watch_notify(&gateway->watches);
}

kb_result_t standin_gateway_init(standin_gateway_t *gateway,
				 struct event_base *base, const char *address,
				 uint16_t port)
{
	static const struct timeval period = { 0, LEASE_CHECK_MS * 1000 };

	memset(gateway, 0, sizeof(*gateway));
	gateway->base = base;
	kb_clock_init_system(&gateway->clock);
	standin_kv_init(&gateway->kv);
	standin_lease_init(&gateway->leases, &gateway->kv, &gateway->clock);
	standin_watch_init(&gateway->watches, &gateway->kv);
	standin_hosts_init(&gateway->hosts, &gateway->clock);
	gateway->http = evhttp_new(base);
	gateway->lease_timer =
		event_new(base, -1, EV_PERSIST, on_lease_timer, gateway);
	if (!gateway->http || !gateway->lease_timer)
		goto fail;
	evhttp_set_max_body_size(gateway->http, BODY_MAX_BYTES);
	evhttp_set_timeout(gateway->http, STREAM_TIMEOUT_S);
	evhttp_set_gencb(gateway->http, on_request, gateway);
	if (event_add(gateway->lease_timer, &period) ||
	    kb_http_server_listen(gateway->http, address, &port, NULL))
		goto fail;
	return KB_OK;
fail:
	standin_gateway_finish(gateway);
	return KB_ERR_IO;
}

void standin_gateway_finish(standin_gateway_t *gateway)
{
	standin_pending_t *pending;

	while ((pending = gateway->pending)) {
		gateway->pending = pending->next;
		event_free(pending->timer);
		free(pending);
	}
	standin_watch_finish(&gateway->watches);
	if (gateway->lease_timer)
		event_free(gateway->lease_timer);
	if (gateway->http)
		evhttp_free(gateway->http);
	standin_hosts_finish(&gateway->hosts);
	standin_lease_finish(&gateway->leases);
	standin_kv_finish(&gateway->kv);
	memset(gateway, 0, sizeof(*gateway));
}

#include "caller_api.h"

#include "caller_exchange.h"
#include "http_reply.h"
#include "http_server.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#define MEDIA_METRICS "text/plain; version=0.0.4"

enum {
	/* Time for which a draining host still accepts new work. */
	DRAIN_ACCEPT_MS = 1500,
	HTTP_TIMEOUT_S = 60,
	/* Time for the peers of the last connections to close them. */
	CLOSE_TIMEOUT_MS = 500,
	/* Limits of the HTTP server, as a multiple of those in the settings. */
	SERVER_LIMIT_FACTOR = 4,
	STATUS_REQUEST_TIMEOUT = 408,
	STATUS_TOO_MANY_REQUESTS = 429,
	STATUS_HEADERS_TOO_LARGE = 431,
	/* Separator ": " and line end of a header. */
	HEADER_OVERHEAD_BYTES = 4,
};

void kb_caller_api_close_if_draining(const kb_caller_api_t *api,
				     struct evhttp_request *http)
{
	if (api->draining)
		evhttp_add_header(evhttp_request_get_output_headers(http),
				  "Connection", "close");
}

void kb_caller_api_problem(kb_caller_api_t *api, struct evhttp_request *http,
			   const kb_problem_t *problem)
{
	api->counters.results[problem->result % KB_CALLER_API_RESULTS_MAX]++;
	kb_caller_api_close_if_draining(api, http);
	kb_http_reply_problem(http, problem);
}

void kb_caller_api_refuse(kb_caller_api_t *api, struct evhttp_request *http,
			  kb_result_t result, const char *detail)
{
	kb_problem_t problem = { .result = result, .detail = detail };

	kb_caller_api_problem(api, http, &problem);
}

void kb_caller_api_release(kb_caller_api_t *api, size_t caller)
{
	api->active--;
	api->caller_active[caller]--;
}

static size_t header_bytes(struct evhttp_request *http)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(http);
	size_t bytes = strlen(evhttp_request_get_uri(http));
	struct evkeyval *header;

	TAILQ_FOREACH(header, headers, next)
	{
		bytes += strlen(header->key) + strlen(header->value) +
			 HEADER_OVERHEAD_BYTES;
	}
	return bytes;
}

/* Refuses a request that exceeds a size limit. Returns non-zero if it did. */
static int is_too_large(kb_caller_api_t *api, struct evhttp_request *http)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(http);
	kb_problem_t problem = { .result = KB_ERR_TOO_LARGE };

	if (header_bytes(http) > api->settings->header_bytes) {
		problem.status = STATUS_HEADERS_TOO_LARGE;
		problem.detail = "the headers exceed the limit";
	} else if (evbuffer_get_length(body) > api->settings->body_bytes) {
		problem.detail = "the body exceeds the limit";
	} else {
		return 0;
	}
	kb_caller_api_problem(api, http, &problem);
	return 1;
}

/* Counts a request as in flight. Returns 0 if the request was refused. */
static int acquire(kb_caller_api_t *api, struct evhttp_request *http,
		   size_t caller)
{
	const kb_settings_t *settings = api->settings;
	kb_problem_t problem = { .result = KB_ERR_OVERLOADED,
				 .status = STATUS_TOO_MANY_REQUESTS,
				 .detail = "too many requests are in flight" };

	if (api->active >= settings->requests ||
	    api->caller_active[caller] >= settings->caller_requests) {
		kb_caller_api_problem(api, http, &problem);
		return 0;
	}
	api->active++;
	api->caller_active[caller]++;
	return 1;
}

static int is_post(kb_caller_api_t *api, struct evhttp_request *http)
{
	kb_problem_t problem = { .result = KB_ERR_INVALID,
				 .status = HTTP_BADMETHOD,
				 .detail = "POST is required" };

	if (evhttp_request_get_command(http) == EVHTTP_REQ_POST)
		return 1;
	evhttp_add_header(evhttp_request_get_output_headers(http), "Allow",
			  "POST");
	kb_caller_api_problem(api, http, &problem);
	return 0;
}

static const kb_account_t *authenticate(kb_caller_api_t *api,
					struct evhttp_request *http)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(http);
	const kb_account_t *account = kb_accounts_find(
		&api->accounts, evhttp_find_header(headers, "Authorization"));

	if (account)
		return account;
	evhttp_add_header(evhttp_request_get_output_headers(http),
			  "WWW-Authenticate", "Bearer");
	kb_caller_api_refuse(api, http, KB_ERR_UNAUTHENTICATED,
			     "a bearer token of a known caller is required");
	return NULL;
}

static int refuses_new_work(const kb_caller_api_t *api)
{
	return api->draining &&
	       kb_clock_monotonic(api->clock) >= api->refuse_from;
}

static void on_request(struct evhttp_request *http, void *arg)
{
	kb_caller_api_t *api = arg;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(http));
	const kb_account_t *account;
	kb_caller_path_t parsed;
	size_t caller;

	api->counters.requests++;
	if (is_too_large(api, http))
		return;
	if (kb_caller_path_parse(kb_str_from(path ? path : ""), &parsed)) {
		kb_caller_api_refuse(api, http, KB_ERR_NOT_FOUND,
				     "no such path");
		return;
	}
	if (!is_post(api, http))
		return;
	if (refuses_new_work(api) && !parsed.transaction.len) {
		kb_caller_api_refuse(api, http, KB_ERR_DRAINING,
				     "the host is leaving");
		return;
	}
	account = authenticate(api, http);
	if (!account)
		return;
	caller = (size_t)(account - api->accounts.accounts);
	if (acquire(api, http, caller))
		kb_caller_exchange_start(api, http, caller, &parsed);
}

static void on_health(struct evhttp_request *http, void *arg)
{
	kb_caller_api_t *api = arg;

	if (api->draining)
		kb_caller_api_refuse(api, http, KB_ERR_DRAINING,
				     "the host is leaving");
	else
		kb_http_reply_text(http, HTTP_OK, "text/plain", KB_STR("ok\n"));
}

static void on_metrics(struct evhttp_request *http, void *arg)
{
	kb_caller_api_t *api = arg;
	struct evbuffer *body = evbuffer_new();

	if (!body) {
		evhttp_send_reply(http, HTTP_INTERNAL, NULL, NULL);
		return;
	}
	if (api->metrics)
		api->metrics(api->metrics_ctx, body);
	evhttp_add_header(evhttp_request_get_output_headers(http),
			  "Content-Type", MEDIA_METRICS);
	evhttp_send_reply(http, HTTP_OK, NULL, body);
	evbuffer_free(body);
}

static kb_result_t add_keys(kb_caller_api_t *api)
{
	kb_result_t result = kb_token_keyring_init(&api->keys);

	for (size_t i = 0; !result && i < api->settings->key_count; i++)
		result = kb_token_keyring_add(
			&api->keys, api->settings->keys[i].id,
			kb_str_from(api->settings->keys[i].hex));
	return result;
}

static kb_result_t add_accounts(kb_caller_api_t *api)
{
	kb_result_t result = KB_OK;

	for (size_t i = 0; !result && i < api->settings->caller_count; i++) {
		const kb_settings_account_t *caller =
			&api->settings->callers[i];

		result = kb_accounts_add(
			&api->accounts, kb_name_str(&caller->name),
			KB_ACCOUNT_WRITE,
			(kb_str_t){ caller->secret, caller->secret_len });
	}
	return result;
}

kb_result_t kb_caller_api_init(kb_caller_api_t *api, struct event_base *loop,
			       const kb_settings_t *settings, kb_clock_t *clock,
			       kb_router_t *router, const kb_catalog_t *catalog)
{
	kb_result_t result;

	memset(api, 0, sizeof(*api));
	api->settings = settings;
	api->clock = clock;
	api->router = router;
	api->catalog = catalog;
	kb_accounts_init(&api->accounts);
	result = add_keys(api);
	if (!result)
		result = add_accounts(api);
	if (!result)
		api->http = kb_http_server_new(loop);
	if (!api->http)
		goto fail;
	kb_http_connections_init(&api->connections, api->http);
	/*
	 * The limits of the server are higher than those of the settings. A
	 * request between the two gets a problem document. Beyond them the
	 * server responds by itself and closes the connection.
	 */
	evhttp_set_max_headers_size(api->http, (ssize_t)settings->header_bytes *
						       SERVER_LIMIT_FACTOR);
	evhttp_set_max_body_size(api->http, (ssize_t)settings->body_bytes *
						    SERVER_LIMIT_FACTOR);
	evhttp_set_timeout(api->http, HTTP_TIMEOUT_S);
	evhttp_set_gencb(api->http, on_request, api);
	evhttp_set_cb(api->http, "/healthz", on_health, api);
	evhttp_set_cb(api->http, "/metrics", on_metrics, api);
	api->port = settings->listen_callers.port;
	result = kb_http_server_listen(api->http,
				       settings->listen_callers.address.data,
				       &api->port, &api->listener);
	if (!result)
		return KB_OK;
fail:
	kb_caller_api_finish(api);
	return result ? result : KB_ERR_NO_MEMORY;
}

/* The last response on connections without a request. */
static const kb_problem_t closing_problem = {
	.result = KB_ERR_DRAINING,
	.status = STATUS_REQUEST_TIMEOUT,
	.detail = "the host has stopped",
};

/* The last response where the outcome of a request may be open. */
static const kb_problem_t cut_off_problem = {
	.result = KB_ERR_UNKNOWN,
	.detail = "the host has stopped",
};

void kb_caller_api_finish(kb_caller_api_t *api)
{
	kb_caller_api_close_listener(api);
	if (api->http) {
		kb_http_connections_close(&api->connections,
					  api->active ? &cut_off_problem
						      : &closing_problem,
					  CLOSE_TIMEOUT_MS * KB_NS_PER_MS);
		evhttp_free(api->http);
	}
	api->http = NULL;
	kb_http_connections_finish(&api->connections);
	kb_accounts_finish(&api->accounts);
	kb_token_keyring_finish(&api->keys);
}

void kb_caller_api_set_draining(kb_caller_api_t *api, int draining)
{
	if (draining && !api->draining)
		api->refuse_from = kb_clock_monotonic(api->clock) +
				   DRAIN_ACCEPT_MS * KB_NS_PER_MS;
	api->draining = draining;
}

void kb_caller_api_close_listener(kb_caller_api_t *api)
{
	if (!api->listener)
		return;
	kb_http_connections_refuse(&api->connections,
				   evhttp_bound_socket_get_fd(api->listener),
				   &closing_problem);
	evhttp_del_accept_socket(api->http, api->listener);
	api->listener = NULL;
}

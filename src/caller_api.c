#include "caller_api.h"

#include "account.h"
#include "caller_path.h"
#include "duration.h"
#include "log.h"
#include "problem.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>

#define HEADER_SESSION "Kumquat-Session"
#define HEADER_DEADLINE "Kumquat-Deadline"
#define HEADER_KEY "Idempotency-Key"
#define HEADER_TRACE "traceparent"
#define MEDIA_JSON "application/json"
#define MEDIA_METRICS "text/plain; version=0.0.4"

enum {
	HTTP_TIMEOUT_S = 60,
	DEADLINE_MAX_S = 600,
};

/* One HTTP request while its call is on its way. */
typedef struct exchange {
	/* First member: `done` of the call refers to it. */
	kb_call_t call;
	kb_caller_api_t *api;
	/* NULL once the caller has closed the connection. */
	struct evhttp_request *http;
	size_t caller;
	kb_session_t session;
} exchange_t;

static void reply_text(struct evhttp_request *http, int status,
		       const char *media, const char *data, size_t len)
{
	struct evbuffer *body = evbuffer_new();

	evhttp_add_header(evhttp_request_get_output_headers(http),
			  "Content-Type", media);
	if (body)
		evbuffer_add(body, data, len);
	evhttp_send_reply(http, status, NULL, body);
	if (body)
		evbuffer_free(body);
}

static void reply_problem(kb_caller_api_t *api, struct evhttp_request *http,
			  const kb_problem_t *problem)
{
	int status = kb_problem_status(problem->result);
	char *body = kb_problem_format(problem, &status);

	api->counters.results[problem->result % KB_CALLER_API_RESULTS_MAX]++;
	if (body)
		reply_text(http, status, KB_PROBLEM_MEDIA_TYPE, body,
			   strlen(body));
	else
		evhttp_send_reply(http, status, NULL, NULL);
	free(body);
}

static void reply_error(kb_caller_api_t *api, struct evhttp_request *http,
			kb_result_t result, const char *detail)
{
	kb_problem_t problem = { .result = result, .detail = detail };

	reply_problem(api, http, &problem);
}

/* Adds the session token with what the write has reached. */
static void add_token(exchange_t *exchange, const kbx_execute_res *res)
{
	kb_caller_api_t *api = exchange->api;
	kb_point_t point = { res->point.term, res->point.position };
	char text[KB_TOKEN_MAX_CHARS];
	size_t len;

	if (point.position)
		kb_session_update(&exchange->session,
				  kb_str_from(exchange->call.args.group),
				  point);
	if (!exchange->session.count)
		return;
	if (!kb_token_encode(&api->keys,
			     kb_str_from(exchange->call.args.caller),
			     &exchange->session, text, sizeof(text), &len))
		evhttp_add_header(
			evhttp_request_get_output_headers(exchange->http),
			HEADER_SESSION, text);
}

static void reply_begun(exchange_t *exchange, const kbx_execute_res *res)
{
	char name[KB_NAME_MAX_BYTES * 4];
	json_t *body;
	char *text;

	snprintf(name, sizeof(name), "%s~%s~%s", exchange->call.gate_host.data,
		 exchange->call.args.target, res->transaction);
	body = json_pack("{s:s}", "transaction", name);
	text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	json_decref(body);
	if (text)
		reply_text(exchange->http, HTTP_OK + 1, MEDIA_JSON, text,
			   strlen(text));
	else
		reply_error(exchange->api, exchange->http, KB_ERR_UNKNOWN,
			    "out of memory");
	free(text);
}

static void on_closed(struct evhttp_connection *connection, void *arg)
{
	exchange_t *exchange = arg;

	(void)connection;
	exchange->http = NULL;
}

static void watch_connection(exchange_t *exchange,
			     void (*closed)(struct evhttp_connection *, void *))
{
	if (exchange->http)
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(exchange->http), closed,
			exchange);
}

static void exchange_free(exchange_t *exchange)
{
	exchange->api->active--;
	exchange->api->caller_active[exchange->caller]--;
	kb_call_finish(&exchange->call);
	free(exchange);
}

static void on_done(kb_call_t *call, const kbx_execute_res *res)
{
	exchange_t *exchange = (exchange_t *)call;
	kb_caller_api_t *api = exchange->api;

	if (!exchange->http) {
		exchange_free(exchange);
		return;
	}
	watch_connection(exchange, NULL);
	if (res->result) {
		reply_error(api, exchange->http, (kb_result_t)res->result,
			    res->message);
		exchange_free(exchange);
		return;
	}
	api->counters.results[KB_OK]++;
	add_token(exchange, res);
	if (call->args.action == KBX_ACTION_BEGIN)
		reply_begun(exchange, res);
	else
		reply_text(exchange->http, HTTP_OK, MEDIA_JSON,
			   res->answer.answer_val, res->answer.answer_len);
	exchange_free(exchange);
}

static const char *header(struct evhttp_request *http, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(http), name);
}

/* Reads the headers that concern the call; describes the first fault. */
static kb_result_t take_headers(exchange_t *exchange, const char **fault)
{
	kb_call_t *call = &exchange->call;
	kb_caller_api_t *api = exchange->api;
	const char *text = header(exchange->http, HEADER_DEADLINE);
	kb_time_t deadline = api->settings->default_deadline;

	*fault = HEADER_DEADLINE " must be a duration such as 1500ms";
	if (text && (kb_duration_parse(kb_str_from(text), &deadline) ||
		     deadline <= 0 || deadline > DEADLINE_MAX_S * KB_NS_PER_S))
		return KB_ERR_INVALID;
	call->arrived = kb_clock_monotonic(api->clock);
	call->deadline = call->arrived + deadline;
	text = header(exchange->http, HEADER_KEY);
	*fault = HEADER_KEY " must have 1 to 63 bytes";
	if (text && (!*text || strlen(text) > KB_NAME_MAX_BYTES))
		return KB_ERR_INVALID;
	if (text && kb_call_set(&call->args.key, kb_str_from(text)))
		return KB_ERR_NO_MEMORY;
	text = header(exchange->http, HEADER_TRACE);
	if (text && strlen(text) <= KB_NAME_MAX_BYTES &&
	    kb_call_set(&call->args.traceparent, kb_str_from(text)))
		return KB_ERR_NO_MEMORY;
	text = header(exchange->http, HEADER_SESSION);
	*fault = HEADER_SESSION " is not valid for this caller";
	return kb_token_decode(&api->keys, kb_str_from(call->args.caller),
			       kb_str_from(text ? text : ""),
			       &exchange->session);
}

static kb_result_t take_body(exchange_t *exchange, kb_fault_t *fault)
{
	struct evbuffer *input =
		evhttp_request_get_input_buffer(exchange->http);
	size_t len = evbuffer_get_length(input);
	kb_str_t body = { (const char *)evbuffer_pullup(input, -1), len };

	return kb_call_parse_body(&exchange->call, body, exchange->api->catalog,
				  fault);
}

/* Chooses a class for what names none: the first of the catalogue. */
static kb_result_t default_class(exchange_t *exchange)
{
	const kb_catalog_t *catalog = exchange->api->catalog;
	kb_call_t *call = &exchange->call;

	if (call->args.traffic_class[0])
		return KB_OK;
	for (size_t i = 0; i < catalog->count; i++)
		if (catalog->resources[i]->kind == KB_KIND_TRAFFIC_CLASS)
			return kb_call_set(
				&call->args.traffic_class,
				kb_name_str(&catalog->resources[i]->name));
	return KB_ERR_NOT_FOUND;
}

static void fail_exchange(exchange_t *exchange, kb_result_t result,
			  const char *detail, const char *field)
{
	kb_problem_t problem = { .result = result,
				 .detail = detail,
				 .field = field };

	reply_problem(exchange->api, exchange->http, &problem);
	exchange_free(exchange);
}

static void submit(exchange_t *exchange, const kb_caller_path_t *path)
{
	kb_call_t *call = &exchange->call;
	const char *header_fault = "";
	kb_fault_t fault = { "", "" };
	kb_result_t result;
	kb_point_t include;

	call->args.action = path->action;
	call->done = on_done;
	result = kb_call_set(&call->args.group, path->group);
	if (!result && path->transaction.len)
		result = kb_call_parse_transaction(call, path->transaction);
	if (result) {
		fail_exchange(exchange, KB_ERR_NOT_FOUND,
			      "the transaction does not exist", NULL);
		return;
	}
	result = take_headers(exchange, &header_fault);
	if (result) {
		fail_exchange(exchange, result, header_fault, NULL);
		return;
	}
	if (path->has_body)
		result = take_body(exchange, &fault);
	if (!result)
		result = default_class(exchange);
	if (result) {
		fail_exchange(exchange, result,
			      fault.message[0] ? fault.message : NULL,
			      fault.path[0] ? fault.path : NULL);
		return;
	}
	if (call->args.action != KBX_ACTION_READ &&
	    !kb_session_has_room(&exchange->session, path->group)) {
		fail_exchange(exchange, KB_ERR_TOO_LARGE,
			      "the session covers too many groups", NULL);
		return;
	}
	include = kb_session_find(&exchange->session, path->group);
	call->args.include.term = include.term;
	call->args.include.position = include.position;
	watch_connection(exchange, on_closed);
	kb_router_submit(exchange->api->router, call);
}

/* Returns the new exchange, or NULL after an error was answered. */
static exchange_t *exchange_new(kb_caller_api_t *api,
				struct evhttp_request *http)
{
	const kb_settings_t *settings = api->settings;
	size_t caller =
		kb_account_find(settings->callers, settings->caller_count,
				header(http, "Authorization"));
	exchange_t *exchange;

	if (caller == settings->caller_count) {
		reply_error(api, http, KB_ERR_UNAUTHENTICATED,
			    "a bearer token of a known caller is required");
		return NULL;
	}
	if (api->active >= settings->requests ||
	    api->caller_active[caller] >= settings->caller_requests) {
		reply_error(api, http, KB_ERR_OVERLOADED,
			    "too many requests are in flight");
		return NULL;
	}
	exchange = calloc(1, sizeof(*exchange));
	if (!exchange || kb_call_init(&exchange->call)) {
		free(exchange);
		reply_error(api, http, KB_ERR_OVERLOADED, "out of memory");
		return NULL;
	}
	exchange->api = api;
	exchange->http = http;
	exchange->caller = caller;
	api->active++;
	api->caller_active[caller]++;
	if (kb_call_set(&exchange->call.args.caller,
			kb_name_str(&settings->callers[caller].name))) {
		fail_exchange(exchange, KB_ERR_OVERLOADED, "out of memory",
			      NULL);
		return NULL;
	}
	return exchange;
}

static void on_request(struct evhttp_request *http, void *arg)
{
	kb_caller_api_t *api = arg;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(http));
	kb_caller_path_t parsed;
	exchange_t *exchange;

	api->counters.requests++;
	if (kb_caller_path_parse(kb_str_from(path ? path : ""), &parsed)) {
		reply_error(api, http, KB_ERR_NOT_FOUND, "no such path");
		return;
	}
	if (evhttp_request_get_command(http) != EVHTTP_REQ_POST) {
		kb_problem_t problem = { .result = KB_ERR_INVALID,
					 .status = HTTP_BADMETHOD,
					 .detail = "POST is required" };

		reply_problem(api, http, &problem);
		return;
	}
	if (api->draining && !parsed.transaction.len) {
		reply_error(api, http, KB_ERR_DRAINING, "the host is leaving");
		return;
	}
	exchange = exchange_new(api, http);
	if (exchange)
		submit(exchange, &parsed);
}

static void on_health(struct evhttp_request *http, void *arg)
{
	kb_caller_api_t *api = arg;

	if (api->draining)
		reply_error(api, http, KB_ERR_DRAINING, "the host is leaving");
	else
		reply_text(http, HTTP_OK, "text/plain", "ok\n", 3);
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
	kb_result_t result = kb_token_ring_init(&api->keys);

	for (size_t i = 0; !result && i < api->settings->key_count; i++)
		result = kb_token_ring_add(
			&api->keys, api->settings->keys[i].id,
			kb_str_from(api->settings->keys[i].hex));
	return result;
}

kb_result_t kb_caller_api_init(kb_caller_api_t *api, struct event_base *loop,
			       const kb_settings_t *settings, kb_clock_t *clock,
			       kb_router_t *router, const kb_catalog_t *catalog)
{
	const kb_endpoint_t *listen = &settings->listen_callers;
	kb_result_t result;

	memset(api, 0, sizeof(*api));
	api->settings = settings;
	api->clock = clock;
	api->router = router;
	api->catalog = catalog;
	result = add_keys(api);
	if (result)
		return result;
	api->http = evhttp_new(loop);
	if (!api->http)
		return KB_ERR_NO_MEMORY;
	evhttp_set_max_headers_size(api->http, (ssize_t)settings->header_bytes);
	evhttp_set_max_body_size(api->http, (ssize_t)settings->body_bytes);
	evhttp_set_timeout(api->http, HTTP_TIMEOUT_S);
	evhttp_set_gencb(api->http, on_request, api);
	evhttp_set_cb(api->http, "/healthz", on_health, api);
	evhttp_set_cb(api->http, "/metrics", on_metrics, api);
	if (evhttp_bind_socket(api->http, listen->address.data, listen->port)) {
		evhttp_free(api->http);
		api->http = NULL;
		return KB_ERR_IO;
	}
	return KB_OK;
}

void kb_caller_api_finish(kb_caller_api_t *api)
{
	if (api->http)
		evhttp_free(api->http);
	kb_token_ring_finish(&api->keys);
}

void kb_caller_api_set_draining(kb_caller_api_t *api, int draining)
{
	api->draining = draining;
}

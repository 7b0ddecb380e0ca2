#include "caller_exchange.h"

#include "duration.h"
#include "http_reply.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>

#define HEADER_SESSION "Kumquat-Session"
#define HEADER_DEADLINE "Kumquat-Deadline"
#define HEADER_KEY "Idempotency-Key"
#define HEADER_TRACE "traceparent"
#define MEDIA_JSON "application/json"

enum {
	DEADLINE_MAX_S = 600,
	HTTP_CREATED = 201,
};

/* One HTTP request while its call is on its way. */
typedef struct kb_caller_exchange {
	/* First member: `done` of the call refers to it. */
	kb_call_t call;
	kb_caller_api_t *api;
	/* NULL once the connection is known to be closed. */
	struct evhttp_request *http;
	/* Index of the caller's account. */
	size_t caller;
	kb_session_t session;
	kb_span_t span;
} kb_caller_exchange_t;

/* Adds the session token with what the write has reached. */
static void add_token(kb_caller_exchange_t *exchange,
		      const kbx_execute_res *res)
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

static void reply_begun(kb_caller_exchange_t *exchange,
			const kbx_execute_res *res)
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
		kb_http_reply_text(exchange->http, HTTP_CREATED, MEDIA_JSON,
				   kb_str_from(text));
	else
		kb_caller_api_refuse(exchange->api, exchange->http,
				     KB_ERR_UNKNOWN, "out of memory");
	free(text);
}

/* The caller will not get the answer; the call goes on. */
static void on_closed(struct evhttp_connection *connection, void *arg)
{
	kb_caller_exchange_t *exchange = arg;

	(void)connection;
	/* The server frees only requests that are still its connection's. */
	if (!evhttp_request_get_connection(exchange->http))
		evhttp_request_free(exchange->http);
	exchange->http = NULL;
}

static void watch_connection(kb_caller_exchange_t *exchange,
			     void (*closed)(struct evhttp_connection *, void *))
{
	evhttp_connection_set_closecb(
		evhttp_request_get_connection(exchange->http), closed,
		exchange);
}

static void exchange_free(kb_caller_exchange_t *exchange, kb_result_t result)
{
	kb_caller_api_t *api = exchange->api;

	kb_trace_end(api->trace, &exchange->span, result,
		     exchange->call.args.group, NULL);
	kb_caller_api_release(api, exchange->caller);
	kb_call_finish(&exchange->call);
	free(exchange);
}

static void reply(kb_caller_exchange_t *exchange, const kbx_execute_res *res)
{
	kb_caller_api_t *api = exchange->api;

	watch_connection(exchange, NULL);
	if (res->result) {
		kb_caller_api_refuse(api, exchange->http,
				     (kb_result_t)res->result, res->message);
		return;
	}
	api->counters.results[KB_OK]++;
	kb_caller_api_close_if_draining(api, exchange->http);
	add_token(exchange, res);
	if (exchange->call.args.action == KBX_ACTION_BEGIN)
		reply_begun(exchange, res);
	else
		kb_http_reply_text(exchange->http, HTTP_OK, MEDIA_JSON,
				   (kb_str_t){ res->answer.answer_val,
					       res->answer.answer_len });
}

static void on_done(kb_call_t *call, const kbx_execute_res *res)
{
	kb_caller_exchange_t *exchange = (kb_caller_exchange_t *)call;
	kb_caller_api_t *api = exchange->api;

	kb_class_durations_add(&api->durations,
			       kb_str_from(call->args.traffic_class),
			       kb_clock_monotonic(api->clock) - call->arrived);
	if (exchange->http)
		reply(exchange, res);
	exchange_free(exchange, (kb_result_t)res->result);
}

static const char *header(struct evhttp_request *http, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(http), name);
}

/* Begins the span of the exchange; a malformed traceparent is ignored. */
static kb_result_t take_trace(kb_caller_exchange_t *exchange)
{
	kb_call_t *call = &exchange->call;
	const char *text = header(exchange->http, HEADER_TRACE);
	char passed[KB_TRACEPARENT_BYTES + 1];
	kb_trace_context_t context;

	kb_trace_begin_caller(exchange->api->trace, &exchange->span, text);
	call->trace = exchange->span.context;
	if (call->trace.sampled)
		context = call->trace;
	else if (!text || kb_trace_context_parse(&context, kb_str_from(text)))
		return KB_OK;
	kb_trace_context_format(&context, passed);
	return kb_call_set(&call->args.traceparent, kb_str_from(passed));
}

/* Reads the headers that concern the call; describes the first fault. */
static kb_result_t take_headers(kb_caller_exchange_t *exchange,
				const char **fault)
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
	if (take_trace(exchange))
		return KB_ERR_NO_MEMORY;
	text = header(exchange->http, HEADER_SESSION);
	*fault = HEADER_SESSION " is not valid for this caller";
	return kb_token_decode(&api->keys, kb_str_from(call->args.caller),
			       kb_str_from(text ? text : ""),
			       &exchange->session);
}

static kb_result_t take_body(kb_caller_exchange_t *exchange, kb_fault_t *fault)
{
	struct evbuffer *input =
		evhttp_request_get_input_buffer(exchange->http);
	size_t len = evbuffer_get_length(input);
	kb_str_t body = { (const char *)evbuffer_pullup(input, -1), len };

	return kb_call_parse_body(&exchange->call, body, exchange->api->catalog,
				  fault);
}

/* Chooses a class for what names none: the first of the catalogue. */
static kb_result_t default_class(kb_caller_exchange_t *exchange)
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

static void fail_exchange(kb_caller_exchange_t *exchange, kb_result_t result,
			  const char *detail, const char *field)
{
	kb_problem_t problem = { .result = result,
				 .detail = detail,
				 .field = field };

	kb_caller_api_problem(exchange->api, exchange->http, &problem);
	exchange_free(exchange, result);
}

static void submit(kb_caller_exchange_t *exchange, const kb_caller_path_t *path)
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

void kb_caller_exchange_start(kb_caller_api_t *api, struct evhttp_request *http,
			      size_t caller, const kb_caller_path_t *path)
{
	const kb_name_t *name = &api->accounts.accounts[caller].name;
	kb_caller_exchange_t *exchange = calloc(1, sizeof(*exchange));

	if (!exchange || kb_call_init(&exchange->call)) {
		free(exchange);
		kb_caller_api_release(api, caller);
		kb_caller_api_refuse(api, http, KB_ERR_OVERLOADED,
				     "out of memory");
		return;
	}
	exchange->api = api;
	exchange->http = http;
	exchange->caller = caller;
	if (kb_call_set(&exchange->call.args.caller, kb_name_str(name))) {
		fail_exchange(exchange, KB_ERR_OVERLOADED, "out of memory",
			      NULL);
		return;
	}
	submit(exchange, path);
}

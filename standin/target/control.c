#include "control.h"

#include "http_server.h"

#include <event2/buffer.h>
#include <jansson.h>

enum {
	STATUS_OK = 200,
	STATUS_BAD_REQUEST = 400,
	MAX_BODY_BYTES = 4096,
	HISTORY_BYTES = 1024,
};

static void reply(struct evhttp_request *request, int status, json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	struct evbuffer *out = evbuffer_new();

	if (out && text)
		evbuffer_add_printf(out, "%s\n", text);
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	evhttp_send_reply(request, status, NULL, out);
	if (out)
		evbuffer_free(out);
	free(text);
	json_decref(body);
}

static json_t *describe(const st_server_t *server)
{
	kb_report_t report;
	char history[HISTORY_BYTES];

	st_engine_report(&server->engine, &report);
	if (kb_history_format(&report.history, history, sizeof(history)))
		return NULL;
	return json_pack(
		"{s:s,s:I,s:s,s:I,s:I,s:s,s:s,s:i,s:i,s:b}", "name",
		server->options->name, "term", (json_int_t)report.term, "role",
		report.role == KB_ROLE_PRIMARY ? "primary" : "replica",
		"received", (json_int_t)report.received, "applied",
		(json_int_t)report.applied, "history", history, "promoter",
		report.promoter.data, "connections",
		(int)server->connection_count, "running",
		(int)server->slots.busy, "partition", server->faults.partition);
}

static void stall(st_server_t *server, unsigned ms)
{
	struct timeval delay = st_timeval_from_ms(ms);

	server->faults.stalled = 1;
	evtimer_add(server->stall_timer, &delay);
}

/* Sets one fault; returns KB_ERR_INVALID if `key` is unknown. */
static kb_result_t set_fault(st_server_t *server, const char *key,
			     const json_t *value)
{
	unsigned number =
		json_is_true(value) ? 1 : (unsigned)json_integer_value(value);

	if (!json_is_boolean(value) && !json_is_integer(value))
		return KB_ERR_INVALID;
	if (!strcmp(key, "receiveLagMs"))
		server->follower.receive_lag_ms = number;
	else if (!strcmp(key, "applyLagMs"))
		server->follower.apply_lag_ms = number;
	else if (!strcmp(key, "stallMs"))
		stall(server, number);
	else if (!strcmp(key, "stallStatements"))
		server->slots.stalled = !!number;
	else if (!strcmp(key, "dropAnswers"))
		server->faults.drop_answers = number;
	else if (!strcmp(key, "cutAnswerHalf"))
		server->faults.cut_answer_half = !!number;
	else if (!strcmp(key, "partition"))
		server->faults.partition = !!number;
	else
		return KB_ERR_INVALID;
	return KB_OK;
}

static json_t *read_body(struct evhttp_request *request)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(request);
	size_t len = evbuffer_get_length(in);
	const char *text = (const char *)evbuffer_pullup(in, -1);

	return text ? json_loadb(text, len, 0, NULL) : NULL;
}

static void on_fault(struct evhttp_request *request, void *ctx)
{
	st_control_t *control = ctx;
	json_t *body = read_body(request);
	int status = json_is_object(body) ? STATUS_OK : STATUS_BAD_REQUEST;
	const char *key;
	json_t *value;

	json_object_foreach(body, key,
			    value) if (set_fault(control->server, key, value))
		status = STATUS_BAD_REQUEST;
	json_decref(body);
	st_server_update_frozen(control->server);
	reply(request, status, describe(control->server));
}

static void on_state(struct evhttp_request *request, void *ctx)
{
	st_control_t *control = ctx;

	reply(request, STATUS_OK, describe(control->server));
}

kb_result_t st_control_init(st_control_t *control, st_server_t *server,
			    uint16_t port)
{
	control->server = server;
	control->http = evhttp_new(server->base);
	if (!control->http)
		return KB_ERR_NO_MEMORY;
	evhttp_set_max_body_size(control->http, MAX_BODY_BYTES);
	if (evhttp_set_cb(control->http, "/fault", on_fault, control) ||
	    evhttp_set_cb(control->http, "/state", on_state, control) ||
	    kb_http_server_listen(control->http, "127.0.0.1", &port, NULL)) {
		st_control_finish(control);
		return KB_ERR_IO;
	}
	return KB_OK;
}

void st_control_finish(st_control_t *control)
{
	if (control->http)
		evhttp_free(control->http);
	control->http = NULL;
}

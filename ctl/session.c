#include "session.h"

#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	HTTP_CLIENT_ERROR_MIN = 400,
	STATUS_CONFLICT = 409,
	STATUS_PRECONDITION_FAILED = 412,
	HEADERS_MAX = 4,
	JSON_STYLE = JSON_INDENT(2),
};

#define STREAM_BEGIN_TIMEOUT (10 * KB_NS_PER_S)
/* The server sends a line at least every 10 s. */
#define STREAM_IDLE_TIMEOUT (30 * KB_NS_PER_S)

ctl_exit_t ctl_session_init(ctl_session_t *session,
			    const ctl_options_t *options)
{
	memset(session, 0, sizeof(*session));
	session->options = options;
	if (!options->token[0]) {
		fprintf(stderr, "no token: set KUMQUAT_TOKEN or use "
				"--token-file\n");
		return CTL_REFUSED;
	}
	if (sodium_init() < 0)
		return CTL_REFUSED;
	signal(SIGPIPE, SIG_IGN);
	snprintf(session->authorization, sizeof(session->authorization),
		 "Bearer %s", options->token);
	session->base = event_base_new();
	if (!session->base)
		return CTL_REFUSED;
	if (kb_http_client_init(&session->client, session->base,
				kb_name_str(&options->address),
				options->port) == KB_OK)
		return CTL_OK;
	fprintf(stderr, "--server must be an IP address and a port\n");
	ctl_session_finish(session);
	return CTL_REFUSED;
}

void ctl_session_finish(ctl_session_t *session)
{
	if (!session->base)
		return;
	kb_http_client_finish(&session->client);
	event_base_free(session->base);
	session->base = NULL;
}

/* Where the result of a call is stored when it ends the event loop. */
typedef struct ctl_wait {
	struct event_base *base;
	ctl_answer_t *answer;
	kb_http_answer_t *stream;
} ctl_wait_t;

static void on_done(void *ctx, const kb_http_answer_t *http)
{
	ctl_wait_t *wait = ctx;

	wait->answer->result = http->result;
	wait->answer->status = http->status;
	if (http->body.len)
		wait->answer->body =
			json_loadb(http->body.data, http->body.len, 0, NULL);
	event_base_loopbreak(wait->base);
}

static size_t fill_headers(const ctl_session_t *session,
			   const ctl_request_t *request,
			   kb_http_header_t headers[HEADERS_MAX])
{
	const kb_http_header_t all[HEADERS_MAX] = {
		{ "Authorization", session->authorization },
		{ "If-Match", request->if_match },
		{ "If-None-Match", request->if_none_match },
		{ "Idempotency-Key", request->idempotency_key },
	};
	size_t count = 0;

	for (size_t i = 0; i < HEADERS_MAX; i++)
		if (all[i].value)
			headers[count++] = all[i];
	return count;
}

void ctl_session_call(ctl_session_t *session, const ctl_request_t *request,
		      ctl_answer_t *answer)
{
	ctl_wait_t wait = { .base = session->base, .answer = answer };
	kb_http_header_t headers[HEADERS_MAX];
	char *body =
		request->body ? json_dumps(request->body, JSON_COMPACT) : NULL;
	kb_http_request_t http = {
		.method = request->method,
		.path = request->path,
		.body = kb_str_from(body),
		.headers = headers,
		.header_count = fill_headers(session, request, headers),
		.timeout = session->options->timeout,
		.done = on_done,
		.ctx = &wait,
	};

	memset(answer, 0, sizeof(*answer));
	answer->result = KB_ERR_NO_MEMORY;
	if (kb_http_client_call(&session->client, &http))
		event_base_dispatch(session->base);
	free(body);
}

void ctl_session_answer_finish(ctl_answer_t *answer)
{
	json_decref(answer->body);
	answer->body = NULL;
}

static void on_stream_end(void *ctx, const kb_http_answer_t *http)
{
	ctl_wait_t *wait = ctx;

	*wait->stream = *http;
	event_base_loopbreak(wait->base);
}

/* Forwards the parts of a stream with the caller's context. */
typedef struct ctl_stream {
	ctl_wait_t wait;
	void (*part)(void *ctx, int status, kb_str_t data);
	void *ctx;
} ctl_stream_t;

static void on_stream_part(void *ctx, int status, kb_str_t data)
{
	ctl_stream_t *stream = ctx;

	stream->part(stream->ctx, status, data);
}

void ctl_session_stream(ctl_session_t *session, const char *path,
			void (*part)(void *ctx, int status, kb_str_t data),
			void *ctx, kb_http_answer_t *answer)
{
	ctl_stream_t stream = {
		.wait = { .base = session->base, .stream = answer },
		.part = part,
		.ctx = ctx,
	};
	kb_http_header_t header = { "Authorization", session->authorization };
	kb_http_request_t http = {
		.method = EVHTTP_REQ_GET,
		.path = path,
		.headers = &header,
		.header_count = 1,
		.timeout = STREAM_BEGIN_TIMEOUT,
		.idle_timeout = STREAM_IDLE_TIMEOUT,
		.part = on_stream_part,
		.done = on_stream_end,
		.ctx = &stream,
	};

	memset(answer, 0, sizeof(*answer));
	answer->result = KB_ERR_NO_MEMORY;
	if (kb_http_client_call(&session->client, &http))
		event_base_dispatch(session->base);
}

void ctl_session_sleep(ctl_session_t *session, kb_time_t time)
{
	struct timeval wait = { time / KB_NS_PER_S,
				time % KB_NS_PER_S / KB_NS_PER_US };

	event_base_loopexit(session->base, &wait);
	event_base_dispatch(session->base);
}

static const char *text_of(const json_t *body, const char *name)
{
	const char *text = json_string_value(json_object_get(body, name));

	return text ? text : "";
}

static ctl_exit_t report_problem(const ctl_answer_t *answer)
{
	const json_t *body = answer->body;
	const json_t *current = json_object_get(body, "current");

	fprintf(stderr, "%s", text_of(body, "title"));
	if (*text_of(body, "detail"))
		fprintf(stderr, ": %s", text_of(body, "detail"));
	fprintf(stderr, " (%s, HTTP %d)\n", text_of(body, "outcome"),
		answer->status);
	if (*text_of(body, "changeId"))
		fprintf(stderr, "change id: %s\n", text_of(body, "changeId"));
	if (json_is_object(current)) {
		fprintf(stderr, "current value:\n");
		json_dumpf(current, stderr, JSON_STYLE);
		fputc('\n', stderr);
	}
	if (answer->status == STATUS_CONFLICT ||
	    answer->status == STATUS_PRECONDITION_FAILED)
		return CTL_CONFLICT;
	if (!strcmp(text_of(body, "outcome"), "not run") ||
	    (answer->status >= HTTP_CLIENT_ERROR_MIN &&
	     answer->status < HTTP_INTERNAL))
		return CTL_REFUSED;
	return CTL_UNKNOWN;
}

ctl_exit_t ctl_session_report(const ctl_session_t *session,
			      const ctl_answer_t *answer)
{
	const ctl_options_t *options = session->options;

	if (answer->result == KB_ERR_UNREACHABLE) {
		fprintf(stderr,
			"cannot reach %s port %u; nothing was changed\n",
			options->address.data, options->port);
		return CTL_UNREACHABLE;
	}
	if (answer->result != KB_OK) {
		fprintf(stderr, "no response from %s port %u: %s\n",
			options->address.data, options->port,
			kb_strerror(answer->result));
		return CTL_UNKNOWN;
	}
	return report_problem(answer);
}

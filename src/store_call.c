#include "store_call.h"
#include "log.h"
#include "store_json.h"

#include <stdlib.h>

/* A call with its retries. */
struct kb_store_call {
	kb_store_calls_t *calls;
	kb_store_call_t *next;
	kb_store_call_request_t request;
	kb_time_t deadline;
	unsigned attempt;
	/* An attempt may have reached the store. */
	int sent;
	kb_http_call_t *http;
	struct event *timer;
};

static kb_time_t now_of(const kb_store_call_t *call)
{
	return kb_clock_monotonic(call->calls->clock);
}

static void free_call(kb_store_call_t *call)
{
	if (call->http)
		kb_http_client_cancel(call->http);
	if (call->timer)
		event_free(call->timer);
	free(call->request.body);
	free(call);
}

static void unlink_call(kb_store_call_t *call)
{
	kb_store_call_t **link = &call->calls->first;

	while (*link != call)
		link = &(*link)->next;
	*link = call->next;
}

static void answer_get(kb_store_call_t *call, kb_result_t result,
		       const kb_store_json_t *json)
{
	kb_store_range_t range = { json->revision, json->count, json->entries };

	call->request.done.get(call->request.ctx, result,
			       result == KB_OK ? &range : NULL);
}

static void answer_write(kb_store_call_t *call, kb_result_t result,
			 const kb_store_json_t *json)
{
	kb_store_written_t written = { .revision = json->revision };

	if (result == KB_OK && !json->succeeded) {
		result = KB_ERR_CONFLICT;
		if (json->count)
			written.current = &json->entries[0];
	}
	if (result == KB_OK || result == KB_ERR_CONFLICT)
		call->request.done.write(call->request.ctx, result, &written);
	else
		call->request.done.write(call->request.ctx, result, NULL);
}

static void answer_lease(kb_store_call_t *call, kb_result_t result,
			 const kb_store_json_t *json)
{
	if (result == KB_OK && json->ttl <= 0)
		result = KB_ERR_NOT_FOUND;
	call->request.done.lease(call->request.ctx, result, json->lease,
				 json->ttl);
}

/* Answers `call` and frees it. */
static void finish_call(kb_store_call_t *call, kb_result_t result,
			const kb_store_json_t *json)
{
	unlink_call(call);
	if (result != KB_OK)
		kb_log(KB_EVENT_STORE_CALL_FAILED, "path=%s reason=%s",
		       call->request.path, kb_result_name(result));
	switch (call->request.kind) {
	case KB_STORE_CALL_GET:
		answer_get(call, result, json);
		break;
	case KB_STORE_CALL_WRITE:
		answer_write(call, result, json);
		break;
	case KB_STORE_CALL_LEASE:
		answer_lease(call, result, json);
		break;
	}
	free_call(call);
}

static void fail_call(kb_store_call_t *call, kb_result_t result)
{
	static const kb_store_json_t empty;

	if (call->request.kind == KB_STORE_CALL_WRITE && call->sent)
		result = KB_ERR_UNKNOWN;
	finish_call(call, result, &empty);
}

static void retry_call(kb_store_call_t *call, kb_result_t reason)
{
	kb_store_calls_t *calls = call->calls;
	struct timeval wait;
	kb_time_t delay;
	kb_result_t result;

	if (call->request.kind == KB_STORE_CALL_WRITE && call->sent) {
		fail_call(call, KB_ERR_UNKNOWN);
		return;
	}
	result = kb_backoff_retry(calls->backoff, call->attempt++, now_of(call),
				  call->deadline, &delay);
	if (result != KB_OK) {
		fail_call(call, result == KB_ERR_DEADLINE ? reason : result);
		return;
	}
	wait = (struct timeval){ delay / KB_NS_PER_S,
				 delay % KB_NS_PER_S / KB_NS_PER_US };
	event_add(call->timer, &wait);
}

static kb_result_t parse_answer(const kb_store_call_t *call, kb_str_t body,
				kb_store_json_t *json)
{
	switch (call->request.kind) {
	case KB_STORE_CALL_GET:
		return kb_store_json_parse_range(json, body);
	case KB_STORE_CALL_WRITE:
		return kb_store_json_parse_txn(json, body);
	case KB_STORE_CALL_LEASE:
		break;
	}
	return kb_store_json_parse_lease(json, body);
}

static void on_answer(void *ctx, const kb_http_answer_t *answer)
{
	kb_store_call_t *call = ctx;
	kb_store_json_t json;
	kb_result_t result;

	call->http = NULL;
	if (answer->result != KB_ERR_UNREACHABLE)
		call->sent = 1;
	if (answer->result != KB_OK) {
		retry_call(call, answer->result == KB_ERR_UNREACHABLE
					 ? KB_ERR_UNREACHABLE
					 : KB_ERR_TIMEOUT);
		return;
	}
	if (answer->status >= HTTP_INTERNAL) {
		retry_call(call, KB_ERR_TIMEOUT);
		return;
	}
	if (answer->status != HTTP_OK) {
		/* The gateway has not executed what it rejects. */
		call->sent = 0;
		fail_call(call, KB_ERR_INVALID);
		return;
	}
	result = parse_answer(call, answer->body, &json);
	if (result != KB_OK) {
		fail_call(call, result);
		return;
	}
	finish_call(call, KB_OK, &json);
	kb_store_json_finish(&json);
}

static kb_result_t send_call(kb_store_call_t *call)
{
	kb_store_calls_t *calls = call->calls;
	kb_time_t left = call->deadline - now_of(call);
	kb_http_request_t request = {
		.method = EVHTTP_REQ_POST,
		.path = call->request.path,
		.body = kb_str_from(call->request.body),
		.timeout = left,
		.done = on_answer,
		.ctx = call,
	};

	if (call->request.kind != KB_STORE_CALL_WRITE &&
	    left > calls->attempt_timeout)
		request.timeout = calls->attempt_timeout;
	call->http = kb_http_client_call(calls->client, &request);
	if (!call->http)
		return KB_ERR_NO_MEMORY;
	calls->requests++;
	return KB_OK;
}

static void on_retry(evutil_socket_t fd, short what, void *ctx)
{
	kb_store_call_t *call = ctx;

	(void)fd;
	(void)what;
	if (send_call(call) != KB_OK)
		fail_call(call, KB_ERR_NO_MEMORY);
}

kb_result_t kb_store_call_new(kb_store_calls_t *calls,
			      const kb_store_call_request_t *request)
{
	kb_store_call_t *call = calloc(1, sizeof(*call));

	if (!call || !request->body) {
		free(call);
		free(request->body);
		return KB_ERR_NO_MEMORY;
	}
	call->calls = calls;
	call->request = *request;
	call->deadline = kb_clock_monotonic(calls->clock) + calls->call_timeout;
	call->timer = event_new(calls->client->base, -1, 0, on_retry, call);
	if (!call->timer || send_call(call) != KB_OK) {
		free_call(call);
		return KB_ERR_NO_MEMORY;
	}
	call->next = calls->first;
	calls->first = call;
	return KB_OK;
}

void kb_store_call_cancel(kb_store_calls_t *calls, const void *ctx)
{
	kb_store_call_t **link = &calls->first;

	while (*link) {
		kb_store_call_t *call = *link;

		if (call->request.ctx != ctx) {
			link = &call->next;
			continue;
		}
		*link = call->next;
		free_call(call);
	}
}

void kb_store_call_cancel_all(kb_store_calls_t *calls)
{
	while (calls->first) {
		kb_store_call_t *call = calls->first;

		calls->first = call->next;
		free_call(call);
	}
}

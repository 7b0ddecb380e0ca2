#include "store_watch.h"
#include "log.h"
#include "store_json.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdlib.h>

enum {
	LINE_MAX_BYTES = 64 << 20,
};

struct kb_store_watch {
	kb_http_client_t *client;
	kb_backoff_t *backoff;
	kb_store_watch_settings_t settings;
	const kb_store_watch_ops_t *ops;
	void *ctx;
	kb_store_keys_t keys;
	/* Changes up to this revision have been reported. */
	int64_t after;
	/* The range has to be read before changes can be reported. */
	int needs_snapshot;
	/* The state reported last was KB_OK. */
	int running;
	/* The current stream has delivered a message. */
	int has_received;
	unsigned attempt;
	kb_http_call_t *call;
	struct event *timer;
	/* Input that is not yet a complete line. */
	struct evbuffer *input;
	/* Number of callbacks on the stack; the watch is destroyed when the
	 * last one returns. */
	int callback_depth;
	int ended;
	char key[];
};

static void start(kb_store_watch_t *watch);

static void destroy(kb_store_watch_t *watch)
{
	if (watch->input)
		evbuffer_free(watch->input);
	if (watch->timer)
		event_free(watch->timer);
	free(watch);
}

void kb_store_watch_free(kb_store_watch_t *watch)
{
	watch->ended = 1;
	if (watch->call)
		kb_http_client_cancel(watch->call);
	watch->call = NULL;
	event_del(watch->timer);
	if (!watch->callback_depth)
		destroy(watch);
}

void *kb_store_watch_ctx(const kb_store_watch_t *watch)
{
	return watch->ctx;
}

static void begin_callback(kb_store_watch_t *watch)
{
	watch->callback_depth++;
}

static void end_callback(kb_store_watch_t *watch)
{
	watch->callback_depth--;
	if (watch->ended && !watch->callback_depth)
		destroy(watch);
}

static void set_timer(kb_store_watch_t *watch, kb_time_t delay)
{
	struct timeval wait = { delay / KB_NS_PER_S,
				delay % KB_NS_PER_S / KB_NS_PER_US };

	event_add(watch->timer, &wait);
}

/* Reports that the watch was interrupted and schedules a retry. */
static void retry(kb_store_watch_t *watch, kb_result_t reason)
{
	kb_time_t delay = kb_backoff_delay(watch->backoff, watch->attempt);

	if (watch->call)
		kb_http_client_cancel(watch->call);
	watch->call = NULL;
	watch->attempt++;
	set_timer(watch, delay);
	if (watch->running || watch->attempt == 1) {
		kb_log(KB_EVENT_STORE_WATCH_CUT, "reason=%s after=%" PRId64,
		       kb_result_name(reason), watch->after);
		watch->running = 0;
		watch->ops->state(watch->ctx, reason);
	}
}

static void report_snapshot(kb_store_watch_t *watch,
			    const kb_store_json_t *json)
{
	kb_store_range_t range = { json->revision, json->count, json->entries };

	watch->needs_snapshot = 0;
	watch->after = json->revision;
	watch->ops->snapshot(watch->ctx, &range);
	if (!watch->ended)
		start(watch);
}

static void on_snapshot(void *ctx, const kb_http_answer_t *answer)
{
	kb_store_watch_t *watch = ctx;
	kb_store_json_t json;
	kb_result_t result = answer->result;

	watch->call = NULL;
	begin_callback(watch);
	if (result == KB_OK)
		result =
			answer->status == HTTP_OK
				? kb_store_json_parse_range(&json, answer->body)
				: KB_ERR_PROTOCOL;
	if (result != KB_OK) {
		retry(watch, result);
	} else if (json.revision < watch->after) {
		/* The answer is older than what has already been reported. */
		kb_log(KB_EVENT_STORE_STALE_READ,
		       "revision=%" PRId64 " after=%" PRId64, json.revision,
		       watch->after);
		kb_store_json_finish(&json);
		retry(watch, KB_ERR_NOT_FRESH);
	} else {
		report_snapshot(watch, &json);
		kb_store_json_finish(&json);
	}
	end_callback(watch);
}

static void report_running(kb_store_watch_t *watch)
{
	watch->attempt = 0;
	watch->has_received = 1;
	if (watch->running)
		return;
	watch->running = 1;
	kb_log(KB_EVENT_STORE_WATCH_RUNNING, "after=%" PRId64, watch->after);
	watch->ops->state(watch->ctx, KB_OK);
}

/* Skips changes that an earlier stream has already delivered. */
static void report_changes(kb_store_watch_t *watch, const kb_store_json_t *json)
{
	int64_t after = watch->after;

	for (size_t i = 0; i < json->count && !watch->ended; i++) {
		if (json->entries[i].revision <= after)
			continue;
		watch->after = json->entries[i].revision;
		watch->ops->changed(watch->ctx, &json->entries[i]);
	}
}

static void on_message(kb_store_watch_t *watch, kb_str_t line)
{
	kb_store_json_t json;
	kb_result_t result = kb_store_json_parse_watch(&json, line);

	if (result != KB_OK) {
		retry(watch, result);
		return;
	}
	if (json.compacted) {
		kb_log(KB_EVENT_STORE_COMPACTED,
		       "after=%" PRId64 " compacted=%" PRId64, watch->after,
		       json.compacted);
		watch->needs_snapshot = 1;
		kb_http_client_cancel(watch->call);
		watch->call = NULL;
		start(watch);
	} else if (json.canceled) {
		retry(watch, KB_ERR_CLOSED);
	} else {
		report_running(watch);
		report_changes(watch, &json);
	}
	kb_store_json_finish(&json);
}

/* A message is a line; a part may contain several lines or part of one. */
static void on_part(void *ctx, int status, kb_str_t data)
{
	kb_store_watch_t *watch = ctx;
	kb_http_call_t *call = watch->call;
	char *line = NULL;
	size_t len;

	if (status != HTTP_OK)
		return;
	begin_callback(watch);
	if (evbuffer_add(watch->input, data.data, data.len))
		retry(watch, KB_ERR_NO_MEMORY);
	while (!watch->ended && watch->call == call &&
	       (line = evbuffer_readln(watch->input, &len, EVBUFFER_EOL_LF))) {
		if (len)
			on_message(watch, (kb_str_t){ line, len });
		free(line);
	}
	if (!watch->ended && watch->call == call &&
	    evbuffer_get_length(watch->input) > LINE_MAX_BYTES)
		retry(watch, KB_ERR_TOO_LARGE);
	end_callback(watch);
}

static void on_stream_end(void *ctx, const kb_http_answer_t *answer)
{
	kb_store_watch_t *watch = ctx;
	kb_result_t reason = answer->result;

	watch->call = NULL;
	begin_callback(watch);
	if (reason == KB_ERR_TIMEOUT && watch->has_received) {
		/* No changes for the idle timeout is normal; open a new
		 * stream to check that the store still answers. */
		start(watch);
	} else {
		if (reason == KB_OK)
			reason = answer->status == HTTP_OK ? KB_ERR_CLOSED
							   : KB_ERR_PROTOCOL;
		retry(watch, reason);
	}
	end_callback(watch);
}

static void start(kb_store_watch_t *watch)
{
	kb_http_request_t request = {
		.method = EVHTTP_REQ_POST,
		.path = "/v3/kv/range",
		.timeout = watch->settings.call_timeout,
		.done = on_snapshot,
		.ctx = watch,
	};
	char *body;

	watch->has_received = 0;
	if (watch->needs_snapshot) {
		body = kb_store_json_get(&watch->keys);
	} else {
		request.path = "/v3/watch";
		request.idle_timeout = watch->settings.idle_timeout;
		request.part = on_part;
		request.done = on_stream_end;
		body = kb_store_json_watch(&watch->keys, watch->after);
		evbuffer_drain(watch->input, evbuffer_get_length(watch->input));
	}
	request.body = kb_str_from(body);
	if (body)
		watch->call = kb_http_client_call(watch->client, &request);
	free(body);
	/* Out of memory: retry as after an interruption. */
	if (!watch->call)
		set_timer(watch,
			  kb_backoff_delay(watch->backoff, watch->attempt++));
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	start(ctx);
}

kb_store_watch_t *kb_store_watch_new(kb_http_client_t *client,
				     kb_backoff_t *backoff,
				     const kb_store_watch_settings_t *settings,
				     const kb_store_keys_t *keys, int64_t after,
				     const kb_store_watch_ops_t *ops, void *ctx)
{
	kb_store_watch_t *watch = calloc(1, sizeof(*watch) + keys->key.len);

	if (!watch)
		return NULL;
	watch->client = client;
	watch->backoff = backoff;
	watch->settings = *settings;
	watch->ops = ops;
	watch->ctx = ctx;
	watch->after = after;
	watch->needs_snapshot = !after;
	if (keys->key.len)
		memcpy(watch->key, keys->key.data, keys->key.len);
	watch->keys = (kb_store_keys_t){ { watch->key, keys->key.len },
					 keys->prefix,
					 keys->stale };
	watch->timer = event_new(client->base, -1, 0, on_timer, watch);
	watch->input = evbuffer_new();
	if (!watch->timer || !watch->input) {
		destroy(watch);
		return NULL;
	}
	start(watch);
	return watch;
}

#include "watch.h"

#include "json_text.h"
#include "codec.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

struct standin_watch {
	standin_watches_t *watches;
	standin_watch_t *next;
	struct evhttp_request *http;
	standin_bytes_t key;
	standin_bytes_t end;
	standin_range_t range;
	int64_t next_revision;
};

void standin_watch_init(standin_watches_t *watches, standin_kv_t *kv)
{
	memset(watches, 0, sizeof(*watches));
	watches->kv = kv;
}

static void free_watch(standin_watch_t *watch)
{
	standin_codec_bytes_finish(&watch->key);
	standin_codec_bytes_finish(&watch->end);
	free(watch);
}

/* Unlinks and frees `watch`; its stream may be closed already. */
static void remove_watch(standin_watch_t *watch)
{
	standin_watch_t **link = &watch->watches->first;

	while (*link != watch)
		link = &(*link)->next;
	*link = watch->next;
	watch->watches->count--;
	free_watch(watch);
}

static void on_close(struct evhttp_connection *connection, void *ctx)
{
	standin_watch_t *watch = ctx;

	(void)connection;
	/* Frees a request that is no longer attached to the connection. */
	if (!evhttp_request_get_connection(watch->http))
		evhttp_send_reply_end(watch->http);
	remove_watch(watch);
}

static void end_stream(struct evhttp_request *http)
{
	struct evhttp_connection *connection =
		evhttp_request_get_connection(http);

	if (connection)
		evhttp_connection_set_closecb(connection, NULL, NULL);
	evhttp_send_reply_end(http);
}

void standin_watch_finish(standin_watches_t *watches)
{
	standin_watch_t *watch;

	while ((watch = watches->first)) {
		watches->first = watch->next;
		watches->count--;
		end_stream(watch->http);
		free_watch(watch);
	}
}

static void send_line(struct evhttp_request *http, json_t *result)
{
	json_t *line = json_pack("{s:o}", "result", result);
	char *text = line ? json_dumps(line, JSON_COMPACT) : NULL;
	struct evbuffer *buffer = evbuffer_new();

	if (text && buffer) {
		evbuffer_add_printf(buffer, "%s\n", text);
		evhttp_send_reply_chunk(http, buffer);
	}
	if (buffer)
		evbuffer_free(buffer);
	free(text);
	json_decref(line);
}

static json_t *make_events(const standin_watch_t *watch)
{
	const standin_kv_t *kv = watch->watches->kv;
	json_t *events = json_array();

	for (size_t i = 0; i < kv->log_count; i++) {
		const standin_version_t *version = kv->log[i];
		kb_str_t key = { version->key->data, version->key->len };
		json_t *event;

		if (version->mod_revision < watch->next_revision ||
		    version->mod_revision > kv->revision ||
		    !standin_kv_in_range(&watch->range, key))
			continue;
		event = json_pack("{s:o}", "kv",
				  standin_codec_version(version));
		if (version->deleted)
			json_object_set_new(event, "type",
					    json_string("DELETE"));
		json_array_append_new(events, event);
	}
	return events;
}

static void send_changes(standin_watch_t *watch)
{
	const standin_kv_t *kv = watch->watches->kv;
	json_t *events;

	if (watch->next_revision > kv->revision)
		return;
	events = make_events(watch);
	watch->next_revision = kv->revision + 1;
	if (!json_array_size(events)) {
		json_decref(events);
		return;
	}
	send_line(watch->http, json_pack("{s:o,s:o}", "header",
					 standin_codec_header(kv->revision),
					 "events", events));
}

void standin_watch_notify(standin_watches_t *watches)
{
	standin_watch_t *watch = watches->first;

	while (watch) {
		standin_watch_t *next = watch->next;

		send_changes(watch);
		watch = next;
	}
}

static void refuse_compacted(struct evhttp_request *http,
			     const standin_kv_t *kv)
{
	send_line(http, json_pack("{s:o,s:b,s:b,s:o}", "header",
				  standin_codec_header(kv->revision), "created",
				  1, "canceled", 1, "compact_revision",
				  kb_json_text_int64(kv->compacted)));
	evhttp_send_reply_end(http);
}

static standin_watch_t *new_watch(standin_watches_t *watches,
				  struct evhttp_request *http,
				  const json_t *create)
{
	standin_watch_t *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return NULL;
	watch->watches = watches;
	watch->http = http;
	if (standin_codec_bytes(&watch->key, create, "key") != KB_OK ||
	    standin_codec_bytes(&watch->end, create, "range_end") != KB_OK) {
		free_watch(watch);
		return NULL;
	}
	watch->range.key = watch->key.bytes;
	watch->range.end = watch->end.bytes;
	watch->next_revision = standin_codec_number(create, "start_revision");
	if (watch->next_revision <= 0)
		watch->next_revision = watches->kv->revision + 1;
	return watch;
}

void standin_watch_open(standin_watches_t *watches, struct evhttp_request *http,
			const json_t *request)
{
	const json_t *create = json_object_get(request, "create_request");
	standin_watch_t *watch =
		create ? new_watch(watches, http, create) : NULL;

	if (!watch) {
		evhttp_send_error(http, HTTP_BADREQUEST, NULL);
		return;
	}
	evhttp_add_header(evhttp_request_get_output_headers(http),
			  "Content-Type", "application/json");
	evhttp_send_reply_start(http, HTTP_OK, "OK");
	if (watch->next_revision <= watches->kv->compacted) {
		refuse_compacted(http, watches->kv);
		free_watch(watch);
		return;
	}
	watch->next = watches->first;
	watches->first = watch;
	watches->count++;
	evhttp_connection_set_closecb(evhttp_request_get_connection(http),
				      on_close, watch);
	send_line(http, json_pack("{s:o,s:b}", "header",
				  standin_codec_header(watches->kv->revision),
				  "created", 1));
	send_changes(watch);
}

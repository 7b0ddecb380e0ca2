#include "operator_watch.h"
#include "operator_json.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum {
	STREAMS_MAX = 64,
	/* A stream is closed if more than this is unread by its client. */
	UNREAD_MAX_BYTES = 8 << 20,
	BOOKMARK_PERIOD_S = 10,
	WRITE_TIMEOUT_S = 30,
};

struct kb_operator_stream {
	kb_operator_watch_t *watch;
	kb_operator_stream_t *next;
	struct evhttp_request *http;
	/* The client has received all changes up to this revision. */
	int64_t after;
};

static void free_stream(kb_operator_stream_t *stream)
{
	kb_operator_stream_t **link = &stream->watch->first;

	while (*link != stream)
		link = &(*link)->next;
	*link = stream->next;
	stream->watch->count--;
	free(stream);
}

static void on_close(struct evhttp_connection *connection, void *ctx)
{
	kb_operator_stream_t *stream = ctx;

	(void)connection;
	/* A request that is detached from its connection is freed so. */
	if (!evhttp_request_get_connection(stream->http))
		evhttp_send_reply_end(stream->http);
	free_stream(stream);
}

/* Sends `line` to `stream` and drops the reference to it. */
static void send_line(kb_operator_stream_t *stream, json_t *line)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(
		evhttp_request_get_connection(stream->http));
	char *text = line ? json_dumps(line, JSON_COMPACT) : NULL;
	struct evbuffer *buffer = evbuffer_new();
	size_t unread = evbuffer_get_length(bufferevent_get_output(bev));

	json_decref(line);
	/* A stream must not miss a line: if it cannot be sent, close it. */
	if (!text || !buffer || unread > UNREAD_MAX_BYTES ||
	    evbuffer_add(buffer, text, strlen(text)) ||
	    evbuffer_add(buffer, "\n", 1))
		shutdown(bufferevent_getfd(bev), SHUT_RDWR);
	else
		evhttp_send_reply_chunk(stream->http, buffer);
	if (buffer)
		evbuffer_free(buffer);
	free(text);
}

static void send_to_all(kb_operator_watch_t *watch, json_t *line)
{
	for (kb_operator_stream_t *stream = watch->first; stream;
	     stream = stream->next)
		send_line(stream, json_incref(line));
	json_decref(line);
}

static void send_change(void *ctx, const kb_config_event_t *change)
{
	kb_operator_stream_t *stream = ctx;

	if (change->revision <= stream->after)
		return;
	stream->after = change->revision;
	send_line(stream, kb_operator_json_change(stream->watch->view, change));
}

static void on_changed(kb_config_listener_t *listener,
		       const kb_config_event_t *change)
{
	kb_operator_watch_t *watch = (kb_operator_watch_t *)listener;

	for (kb_operator_stream_t *stream = watch->first; stream;
	     stream = stream->next)
		send_change(stream, change);
}

static void on_status(kb_config_listener_t *listener,
		      const kb_resource_t *resource)
{
	kb_operator_watch_t *watch = (kb_operator_watch_t *)listener;

	if (watch->first)
		send_to_all(watch, kb_operator_json_status_change(watch->view,
								  resource));
}

static const kb_config_listener_ops_t listener_ops = {
	.changed = on_changed,
	.status = on_status,
};

static int64_t revision_of(const kb_operator_watch_t *watch)
{
	return watch->view->ops->revision(watch->view);
}

/* Sends the revision at which the client may resume. A client that resumed
 * from another host may be ahead of this one. */
static void send_bookmark(kb_operator_stream_t *stream)
{
	int64_t revision = revision_of(stream->watch);

	if (revision < stream->after)
		revision = stream->after;
	send_line(stream, kb_operator_json_mark("bookmark", revision));
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	kb_operator_watch_t *watch = ctx;

	(void)fd;
	(void)what;
	for (kb_operator_stream_t *stream = watch->first; stream;
	     stream = stream->next)
		send_bookmark(stream);
}

kb_result_t kb_operator_watch_init(kb_operator_watch_t *watch,
				   struct event_base *base,
				   kb_config_view_t *view)
{
	static const struct timeval period = { BOOKMARK_PERIOD_S, 0 };

	memset(watch, 0, sizeof(*watch));
	watch->listener.ops = &listener_ops;
	watch->view = view;
	watch->timer = event_new(base, -1, EV_PERSIST, on_timer, watch);
	if (!watch->timer)
		return KB_ERR_NO_MEMORY;
	event_add(watch->timer, &period);
	view->ops->listen(view, &watch->listener);
	return KB_OK;
}

void kb_operator_watch_finish(kb_operator_watch_t *watch)
{
	kb_operator_stream_t *stream;

	if (!watch->timer)
		return;
	watch->view->ops->unlisten(watch->view, &watch->listener);
	while ((stream = watch->first)) {
		watch->first = stream->next;
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(stream->http), NULL,
			NULL);
		evhttp_send_reply_end(stream->http);
		free(stream);
	}
	event_free(watch->timer);
	memset(watch, 0, sizeof(*watch));
}

static void send_resource(void *ctx, const kb_resource_t *resource)
{
	kb_operator_stream_t *stream = ctx;
	kb_config_event_t change = {
		resource->kind,
		kb_name_str(&resource->name),
		resource->revision,
		resource,
	};

	send_line(stream,
		  kb_operator_json_change(stream->watch->view, &change));
}

/* Sends the changes since the client's revision, or all resources. */
static void send_initial(kb_operator_stream_t *stream)
{
	kb_config_view_t *view = stream->watch->view;
	int64_t revision = revision_of(stream->watch);

	if (!stream->after || view->ops->since(view, stream->after, send_change,
					       stream) != KB_OK) {
		send_line(stream, kb_operator_json_mark("reset", revision));
		for (int kind = 0; kind < KB_KIND_COUNT; kind++)
			view->ops->each(view, (kb_kind_t)kind, send_resource,
					stream);
		stream->after = revision;
	}
	send_bookmark(stream);
}

kb_result_t kb_operator_watch_open(kb_operator_watch_t *watch,
				   struct evhttp_request *http, int64_t after)
{
	static const struct timeval write_timeout = { WRITE_TIMEOUT_S, 0 };
	struct evhttp_connection *connection =
		evhttp_request_get_connection(http);
	kb_operator_stream_t *stream;

	if (watch->count >= STREAMS_MAX || !connection)
		return KB_ERR_OVERLOADED;
	stream = calloc(1, sizeof(*stream));
	if (!stream)
		return KB_ERR_NO_MEMORY;
	stream->watch = watch;
	stream->http = http;
	stream->after = after;
	stream->next = watch->first;
	watch->first = stream;
	watch->count++;
	evhttp_add_header(evhttp_request_get_output_headers(http),
			  "Content-Type", "application/x-ndjson");
	evhttp_send_reply_start(http, HTTP_OK, "OK");
	bufferevent_set_timeouts(evhttp_connection_get_bufferevent(connection),
				 NULL, &write_timeout);
	evhttp_connection_set_closecb(connection, on_close, stream);
	send_initial(stream);
	return KB_OK;
}

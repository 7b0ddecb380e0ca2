#include "source.h"

#include "frame.h"
#include "listen.h"

#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>

enum { OUTPUT_HIGH_BYTES = 256 * 1024, OUTPUT_LOW_BYTES = 64 * 1024 };

/* One connected replica. */
typedef struct st_feed {
	st_source_t *source;
	struct bufferevent *bev;
	/* The next position to send; 0 before the replica has said hello. */
	uint64_t next_position;
	struct st_feed *next;
} st_feed_t;

static void free_feed(st_feed_t *feed)
{
	st_feed_t **link = &feed->source->feeds;

	while (*link != feed)
		link = &(*link)->next;
	*link = feed->next;
	bufferevent_free(feed->bev);
	free(feed);
}

static void free_feeds(st_source_t *source)
{
	st_feed_t *next;

	for (st_feed_t *feed = source->feeds; feed; feed = next) {
		next = feed->next;
		free_feed(feed);
	}
}

/* Returns non-zero if the feed had to be closed. */
static int push(st_feed_t *feed)
{
	const st_log_t *log = &feed->source->engine->log;
	struct evbuffer *out = bufferevent_get_output(feed->bev);

	while (feed->next_position && feed->next_position <= log->count &&
	       evbuffer_get_length(out) < OUTPUT_HIGH_BYTES) {
		const st_entry_t *entry = st_log_at(log, feed->next_position);

		if (st_frame_send(out,
				  st_frame_entry(entry, feed->next_position))) {
			free_feed(feed);
			return 1;
		}
		feed->next_position++;
	}
	return 0;
}

static void answer_hello(st_feed_t *feed, const json_t *hello)
{
	st_engine_t *engine = feed->source->engine;
	const json_t *list = json_object_get(hello, "terms");
	size_t count = json_array_size(list);
	kb_history_entry_t *terms = calloc(count + 1, sizeof(*terms));
	int ok = terms && engine->role == KB_ROLE_PRIMARY &&
		 st_frame_number(hello, "term") <= engine->term;
	uint64_t common = 0;

	for (size_t i = 0; ok && i < count; i++) {
		const json_t *pair = json_array_get(list, i);

		terms[i].term =
			(uint64_t)json_integer_value(json_array_get(pair, 0));
		terms[i].start =
			(uint64_t)json_integer_value(json_array_get(pair, 1));
	}
	if (ok)
		common = st_log_common(&engine->log, terms, count,
				       st_frame_number(hello, "last"));
	free(terms);
	if (st_frame_send(bufferevent_get_output(feed->bev),
			  json_pack("{s:b,s:I,s:I}", "ok", ok, "term",
				    (json_int_t)engine->term, "common",
				    (json_int_t)common))) {
		free_feed(feed);
		return;
	}
	if (!ok)
		return;
	feed->next_position = common + 1;
	push(feed);
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	st_feed_t *feed = ctx;
	json_t *hello;

	if (st_frame_take(bufferevent_get_input(bev), &hello)) {
		free_feed(feed);
		return;
	}
	if (!hello)
		return;
	if (feed->next_position)
		free_feed(feed);
	else
		answer_hello(feed, hello);
	json_decref(hello);
}

static void on_write(struct bufferevent *bev, void *ctx)
{
	(void)bev;
	push(ctx);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	(void)bev;
	(void)what;
	free_feed(ctx);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *ctx)
{
	st_source_t *source = ctx;
	st_feed_t *feed = calloc(1, sizeof(*feed));

	(void)listener;
	(void)address;
	(void)len;
	if (feed)
		feed->bev = bufferevent_socket_new(source->base, fd,
						   BEV_OPT_CLOSE_ON_FREE);
	if (!feed || !feed->bev) {
		free(feed);
		evutil_closesocket(fd);
		return;
	}
	st_no_delay(fd);
	feed->source = source;
	feed->next = source->feeds;
	source->feeds = feed;
	bufferevent_setcb(feed->bev, on_read, on_write, on_event, feed);
	bufferevent_setwatermark(feed->bev, EV_WRITE, OUTPUT_LOW_BYTES, 0);
	bufferevent_enable(feed->bev, EV_READ | EV_WRITE);
}

kb_result_t st_source_init(st_source_t *source, struct event_base *base,
			   st_engine_t *engine, const char *address,
			   uint16_t port)
{
	memset(source, 0, sizeof(*source));
	source->base = base;
	source->engine = engine;
	source->listener = st_listen(base, address, port, on_accept, source);
	return source->listener ? KB_OK : KB_ERR_IO;
}

void st_source_finish(st_source_t *source)
{
	free_feeds(source);
	if (source->listener)
		evconnlistener_free(source->listener);
}

void st_source_push(st_source_t *source)
{
	st_feed_t *next;

	for (st_feed_t *feed = source->feeds; feed; feed = next) {
		next = feed->next;
		push(feed);
	}
}

void st_source_turned(st_source_t *source)
{
	if (source->engine->role == KB_ROLE_PRIMARY)
		return;
	free_feeds(source);
}

void st_source_freeze(st_source_t *source, int frozen)
{
	for (st_feed_t *feed = source->feeds; feed; feed = feed->next) {
		if (frozen)
			bufferevent_disable(feed->bev, EV_READ | EV_WRITE);
		else
			bufferevent_enable(feed->bev, EV_READ | EV_WRITE);
	}
	if (frozen)
		evconnlistener_disable(source->listener);
	else
		evconnlistener_enable(source->listener);
}

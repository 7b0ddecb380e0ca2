#include "source.h"

#include "frame.h"
#include "listen.h"
#include "socket_options.h"

#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>

enum {
	OUTPUT_HIGH_WATERMARK_BYTES = 256 * 1024,
	OUTPUT_LOW_WATERMARK_BYTES = 64 * 1024
};

/* One connected replica. */
typedef struct st_replica {
	st_source_t *source;
	struct bufferevent *bev;
	/* The next position to send; 0 before the replica's hello message. */
	uint64_t next_position;
	struct st_replica *next;
} st_replica_t;

static void free_replica(st_replica_t *replica)
{
	st_replica_t **link = &replica->source->replicas;

	while (*link != replica)
		link = &(*link)->next;
	*link = replica->next;
	bufferevent_free(replica->bev);
	free(replica);
}

static void free_replicas(st_source_t *source)
{
	st_replica_t *next;

	for (st_replica_t *replica = source->replicas; replica;
	     replica = next) {
		next = replica->next;
		free_replica(replica);
	}
}

/* Sends pending entries; returns non-zero if the connection was closed. */
static int push(st_replica_t *replica)
{
	const st_log_t *log = &replica->source->engine->log;
	struct evbuffer *out = bufferevent_get_output(replica->bev);

	while (replica->next_position && replica->next_position <= log->count &&
	       evbuffer_get_length(out) < OUTPUT_HIGH_WATERMARK_BYTES) {
		const st_entry_t *entry =
			st_log_at(log, replica->next_position);

		if (st_frame_send(
			    out,
			    st_frame_entry(entry, replica->next_position))) {
			free_replica(replica);
			return 1;
		}
		replica->next_position++;
	}
	return 0;
}

static void on_hello(st_replica_t *replica, const json_t *hello)
{
	st_engine_t *engine = replica->source->engine;
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
		common = st_log_common_position(&engine->log, terms, count,
						st_frame_number(hello, "last"));
	free(terms);
	if (st_frame_send(bufferevent_get_output(replica->bev),
			  json_pack("{s:b,s:I,s:I}", "ok", ok, "term",
				    (json_int_t)engine->term, "common",
				    (json_int_t)common))) {
		free_replica(replica);
		return;
	}
	if (!ok)
		return;
	replica->next_position = common + 1;
	push(replica);
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	st_replica_t *replica = ctx;
	json_t *hello;

	if (st_frame_read(bufferevent_get_input(bev), &hello)) {
		free_replica(replica);
		return;
	}
	if (!hello)
		return;
	if (replica->next_position)
		free_replica(replica);
	else
		on_hello(replica, hello);
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
	free_replica(ctx);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *ctx)
{
	st_source_t *source = ctx;
	st_replica_t *replica = calloc(1, sizeof(*replica));

	(void)listener;
	(void)address;
	(void)len;
	if (replica)
		replica->bev = bufferevent_socket_new(source->base, fd,
						      BEV_OPT_CLOSE_ON_FREE);
	if (!replica || !replica->bev) {
		free(replica);
		evutil_closesocket(fd);
		return;
	}
	kb_socket_set_options(fd, NULL);
	replica->source = source;
	replica->next = source->replicas;
	source->replicas = replica;
	bufferevent_setcb(replica->bev, on_read, on_write, on_event, replica);
	bufferevent_setwatermark(replica->bev, EV_WRITE,
				 OUTPUT_LOW_WATERMARK_BYTES, 0);
	bufferevent_enable(replica->bev, EV_READ | EV_WRITE);
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
	free_replicas(source);
	if (source->listener)
		evconnlistener_free(source->listener);
}

void st_source_push(st_source_t *source)
{
	st_replica_t *next;

	for (st_replica_t *replica = source->replicas; replica;
	     replica = next) {
		next = replica->next;
		push(replica);
	}
}

void st_source_on_role_change(st_source_t *source)
{
	if (source->engine->role == KB_ROLE_PRIMARY)
		return;
	free_replicas(source);
}

void st_source_set_frozen(st_source_t *source, int frozen)
{
	for (st_replica_t *replica = source->replicas; replica;
	     replica = replica->next) {
		if (frozen)
			bufferevent_disable(replica->bev, EV_READ | EV_WRITE);
		else
			bufferevent_enable(replica->bev, EV_READ | EV_WRITE);
	}
	if (frozen)
		evconnlistener_disable(source->listener);
	else
		evconnlistener_enable(source->listener);
}

#include "outbox.h"

#include <stdlib.h>
#include <string.h>

enum { MS_PER_S = 1000, US_PER_MS = 1000 };

typedef struct st_outbox_chunk {
	struct evbuffer *data;
	struct timeval due;
	struct st_outbox_chunk *next;
} st_outbox_chunk_t;

static void now(struct timeval *time)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	time->tv_sec = ts.tv_sec;
	time->tv_usec = ts.tv_nsec / KB_NS_PER_US;
}

static void set_timer(st_outbox_t *outbox)
{
	struct timeval time;
	struct timeval left = { 0, 0 };

	if (!outbox->first)
		return;
	now(&time);
	if (evutil_timercmp(&outbox->first->due, &time, >))
		evutil_timersub(&outbox->first->due, &time, &left);
	evtimer_add(outbox->timer, &left);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	st_outbox_t *outbox = ctx;
	struct timeval time;

	(void)fd;
	(void)what;
	now(&time);
	while (outbox->first &&
	       !evutil_timercmp(&outbox->first->due, &time, >)) {
		st_outbox_chunk_t *chunk = outbox->first;

		outbox->first = chunk->next;
		if (!outbox->first)
			outbox->last = &outbox->first;
		outbox->delayed -= evbuffer_get_length(chunk->data);
		bufferevent_write_buffer(outbox->bev, chunk->data);
		evbuffer_free(chunk->data);
		free(chunk);
	}
	set_timer(outbox);
}

kb_result_t st_outbox_init(st_outbox_t *outbox, struct event_base *base,
			   struct bufferevent *bev, unsigned latency_ms)
{
	memset(outbox, 0, sizeof(*outbox));
	outbox->bev = bev;
	outbox->latency_ms = latency_ms;
	outbox->last = &outbox->first;
	outbox->timer = evtimer_new(base, on_timer, outbox);
	return outbox->timer ? KB_OK : KB_ERR_NO_MEMORY;
}

void st_outbox_finish(st_outbox_t *outbox)
{
	while (outbox->first) {
		st_outbox_chunk_t *chunk = outbox->first;

		outbox->first = chunk->next;
		evbuffer_free(chunk->data);
		free(chunk);
	}
	if (outbox->timer)
		event_free(outbox->timer);
}

kb_result_t st_outbox_send(st_outbox_t *outbox, struct evbuffer *data)
{
	struct timeval delay = { outbox->latency_ms / MS_PER_S,
				 (outbox->latency_ms % MS_PER_S) * US_PER_MS };
	st_outbox_chunk_t *chunk;
	struct timeval time;

	if (!outbox->latency_ms)
		return bufferevent_write_buffer(outbox->bev, data)
			       ? KB_ERR_NO_MEMORY
			       : KB_OK;
	chunk = calloc(1, sizeof(*chunk));
	if (chunk)
		chunk->data = evbuffer_new();
	if (!chunk || !chunk->data || evbuffer_add_buffer(chunk->data, data)) {
		if (chunk && chunk->data)
			evbuffer_free(chunk->data);
		free(chunk);
		return KB_ERR_NO_MEMORY;
	}
	now(&time);
	evutil_timeradd(&time, &delay, &chunk->due);
	outbox->delayed += evbuffer_get_length(chunk->data);
	*outbox->last = chunk;
	outbox->last = &chunk->next;
	set_timer(outbox);
	return KB_OK;
}

size_t st_outbox_pending(const st_outbox_t *outbox)
{
	return outbox->delayed +
	       evbuffer_get_length(bufferevent_get_output(outbox->bev));
}

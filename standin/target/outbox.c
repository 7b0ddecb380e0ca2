#include "outbox.h"

#include <string.h>

static void on_due(void *ctx, void *item)
{
	st_outbox_t *outbox = ctx;

	outbox->delayed -= evbuffer_get_length(item);
	bufferevent_write_buffer(outbox->bev, item);
	evbuffer_free(item);
}

static void drop(void *item)
{
	evbuffer_free(item);
}

static const st_lag_ops_t chunk_ops = { .due = on_due, .drop = drop };

kb_result_t st_outbox_init(st_outbox_t *outbox, struct event_base *base,
			   struct bufferevent *bev, unsigned latency_ms)
{
	memset(outbox, 0, sizeof(*outbox));
	outbox->bev = bev;
	outbox->latency_ms = latency_ms;
	return st_lag_init(&outbox->chunks, base, &chunk_ops, outbox);
}

void st_outbox_finish(st_outbox_t *outbox)
{
	st_lag_finish(&outbox->chunks);
}

kb_result_t st_outbox_send(st_outbox_t *outbox, struct evbuffer *data)
{
	struct evbuffer *chunk;

	if (!outbox->latency_ms)
		return bufferevent_write_buffer(outbox->bev, data)
			       ? KB_ERR_NO_MEMORY
			       : KB_OK;
	chunk = evbuffer_new();
	if (!chunk)
		return KB_ERR_NO_MEMORY;
	if (evbuffer_add_buffer(chunk, data)) {
		evbuffer_free(chunk);
		return KB_ERR_NO_MEMORY;
	}
	outbox->delayed += evbuffer_get_length(chunk);
	return st_lag_add(&outbox->chunks, outbox->latency_ms, chunk);
}

size_t st_outbox_pending(const st_outbox_t *outbox)
{
	return outbox->delayed +
	       evbuffer_get_length(bufferevent_get_output(outbox->bev));
}

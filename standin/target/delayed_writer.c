#include "delayed_writer.h"

#include <string.h>

static void on_due(void *ctx, void *item)
{
	st_delayed_writer_t *writer = ctx;

	writer->delayed -= evbuffer_get_length(item);
	bufferevent_write_buffer(writer->bev, item);
	evbuffer_free(item);
}

static void drop(void *item)
{
	evbuffer_free(item);
}

static const st_delay_queue_ops_t chunk_ops = { .due = on_due, .drop = drop };

kb_result_t st_delayed_writer_init(st_delayed_writer_t *writer,
				   struct event_base *base,
				   struct bufferevent *bev, unsigned latency_ms)
{
	memset(writer, 0, sizeof(*writer));
	writer->bev = bev;
	writer->latency_ms = latency_ms;
	return st_delay_queue_init(&writer->chunks, base, &chunk_ops, writer);
}

void st_delayed_writer_finish(st_delayed_writer_t *writer)
{
	st_delay_queue_finish(&writer->chunks);
}

kb_result_t st_delayed_writer_send(st_delayed_writer_t *writer,
				   struct evbuffer *data)
{
	struct evbuffer *chunk;

	if (!writer->latency_ms)
		return bufferevent_write_buffer(writer->bev, data)
			       ? KB_ERR_NO_MEMORY
			       : KB_OK;
	chunk = evbuffer_new();
	if (!chunk)
		return KB_ERR_NO_MEMORY;
	if (evbuffer_add_buffer(chunk, data)) {
		evbuffer_free(chunk);
		return KB_ERR_NO_MEMORY;
	}
	writer->delayed += evbuffer_get_length(chunk);
	return st_delay_queue_add(&writer->chunks, writer->latency_ms, chunk);
}

size_t st_delayed_writer_pending(const st_delayed_writer_t *writer)
{
	return writer->delayed +
	       evbuffer_get_length(bufferevent_get_output(writer->bev));
}

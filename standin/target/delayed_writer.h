#ifndef ST_DELAYED_WRITER_H
#define ST_DELAYED_WRITER_H

#include "delay_queue.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

/* Writes to a connection after the configured one-way latency. */
typedef struct st_delayed_writer {
	struct bufferevent *bev;
	unsigned latency_ms;
	st_delay_queue_t chunks;
	/* Number of bytes in `chunks`. */
	size_t delayed;
} st_delayed_writer_t;

/* Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_delayed_writer_init(st_delayed_writer_t *writer,
				   struct event_base *base,
				   struct bufferevent *bev,
				   unsigned latency_ms);
void st_delayed_writer_finish(st_delayed_writer_t *writer);

/* Sends and removes the content of `data` after the latency. */
kb_result_t st_delayed_writer_send(st_delayed_writer_t *writer,
				   struct evbuffer *data);

/* Returns the number of bytes not yet handed to the operating system. */
size_t st_delayed_writer_pending(const st_delayed_writer_t *writer);

#endif

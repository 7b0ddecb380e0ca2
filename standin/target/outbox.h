#ifndef ST_OUTBOX_H
#define ST_OUTBOX_H

#include "lag.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

/* Delays what is written to a connection by the one-way latency. */
typedef struct st_outbox {
	struct bufferevent *bev;
	unsigned latency_ms;
	st_lag_t chunks;
	/* Bytes that wait for their time. */
	size_t delayed;
} st_outbox_t;

/* Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_outbox_init(st_outbox_t *outbox, struct event_base *base,
			   struct bufferevent *bev, unsigned latency_ms);
void st_outbox_finish(st_outbox_t *outbox);

/* Sends the content of `data` after the latency. */
kb_result_t st_outbox_send(st_outbox_t *outbox, struct evbuffer *data);

/* Returns the number of bytes not yet handed to the operating system. */
size_t st_outbox_pending(const st_outbox_t *outbox);

#endif

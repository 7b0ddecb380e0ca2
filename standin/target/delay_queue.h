#ifndef ST_DELAY_QUEUE_H
#define ST_DELAY_QUEUE_H

#include "kumquatbridge.h"

#include <event2/event.h>

struct st_delayed;

typedef struct st_delay_queue_ops {
	/* Receives an item that is due and takes ownership. */
	void (*due)(void *ctx, void *item);
	/* Frees an item that is discarded. */
	void (*drop)(void *item);
} st_delay_queue_ops_t;

/* A first-in, first-out queue whose items become due after a delay. */
typedef struct st_delay_queue {
	const st_delay_queue_ops_t *ops;
	void *ctx;
	struct event *timer;
	struct st_delayed *first;
	struct st_delayed **last;
	size_t count;
} st_delay_queue_t;

/* Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_delay_queue_init(st_delay_queue_t *queue,
				struct event_base *base,
				const st_delay_queue_ops_t *ops, void *ctx);
void st_delay_queue_finish(st_delay_queue_t *queue);

/* Discards all items. */
void st_delay_queue_clear(st_delay_queue_t *queue);

/*
 * Adds an item. It is due immediately if `delay_ms` is 0 and the queue is
 * empty. Discards it and returns KB_ERR_NO_MEMORY if memory is short.
 */
kb_result_t st_delay_queue_add(st_delay_queue_t *queue, unsigned delay_ms,
			       void *item);

/* Returns `ms` milliseconds as a timeval. */
struct timeval st_timeval_from_ms(unsigned ms);

#endif

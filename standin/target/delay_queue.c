#include "delay_queue.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

enum { MS_PER_S = 1000, US_PER_MS = 1000 };

typedef struct st_delayed {
	struct timeval due;
	void *item;
	struct st_delayed *next;
} st_delayed_t;

struct timeval st_timeval_from_ms(unsigned ms)
{
	struct timeval time = { ms / MS_PER_S, (ms % MS_PER_S) * US_PER_MS };

	return time;
}

static void now(struct timeval *time)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	time->tv_sec = ts.tv_sec;
	time->tv_usec = ts.tv_nsec / KB_NS_PER_US;
}

static void set_timer(st_delay_queue_t *queue)
{
	struct timeval time;
	struct timeval left = { 0, 0 };

	if (!queue->first)
		return;
	now(&time);
	if (evutil_timercmp(&queue->first->due, &time, >))
		evutil_timersub(&queue->first->due, &time, &left);
	evtimer_add(queue->timer, &left);
}

/* Removes and returns the first item. */
static void *pop(st_delay_queue_t *queue)
{
	st_delayed_t *first = queue->first;
	void *item = first->item;

	queue->first = first->next;
	if (!queue->first)
		queue->last = &queue->first;
	queue->count--;
	free(first);
	return item;
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	st_delay_queue_t *queue = ctx;
	struct timeval time;

	(void)fd;
	(void)what;
	now(&time);
	while (queue->first && !evutil_timercmp(&queue->first->due, &time, >))
		queue->ops->due(queue->ctx, pop(queue));
	set_timer(queue);
}

kb_result_t st_delay_queue_init(st_delay_queue_t *queue,
				struct event_base *base,
				const st_delay_queue_ops_t *ops, void *ctx)
{
	memset(queue, 0, sizeof(*queue));
	queue->ops = ops;
	queue->ctx = ctx;
	queue->last = &queue->first;
	queue->timer = evtimer_new(base, on_timer, queue);
	return queue->timer ? KB_OK : KB_ERR_NO_MEMORY;
}

void st_delay_queue_clear(st_delay_queue_t *queue)
{
	while (queue->first)
		queue->ops->drop(pop(queue));
}

void st_delay_queue_finish(st_delay_queue_t *queue)
{
	st_delay_queue_clear(queue);
	if (queue->timer)
		event_free(queue->timer);
}

kb_result_t st_delay_queue_add(st_delay_queue_t *queue, unsigned delay_ms,
			       void *item)
{
	struct timeval delay = st_timeval_from_ms(delay_ms);
	struct timeval time;
	st_delayed_t *delayed;

	if (!delay_ms && !queue->first) {
		queue->ops->due(queue->ctx, item);
		return KB_OK;
	}
	delayed = calloc(1, sizeof(*delayed));
	if (!delayed) {
		queue->ops->drop(item);
		return KB_ERR_NO_MEMORY;
	}
	now(&time);
	evutil_timeradd(&time, &delay, &delayed->due);
	delayed->item = item;
	*queue->last = delayed;
	queue->last = &delayed->next;
	queue->count++;
	if (queue->count == 1)
		set_timer(queue);
	return KB_OK;
}

#include "lag.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

enum { MS_PER_S = 1000, US_PER_MS = 1000 };

typedef struct st_delayed {
	struct timeval due;
	void *item;
	struct st_delayed *next;
} st_delayed_t;

struct timeval st_milliseconds(unsigned ms)
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

static void set_timer(st_lag_t *lag)
{
	struct timeval time;
	struct timeval left = { 0, 0 };

	if (!lag->first)
		return;
	now(&time);
	if (evutil_timercmp(&lag->first->due, &time, >))
		evutil_timersub(&lag->first->due, &time, &left);
	evtimer_add(lag->timer, &left);
}

/* Removes and returns the first item. */
static void *pop(st_lag_t *lag)
{
	st_delayed_t *first = lag->first;
	void *item = first->item;

	lag->first = first->next;
	if (!lag->first)
		lag->last = &lag->first;
	lag->count--;
	free(first);
	return item;
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	st_lag_t *lag = ctx;
	struct timeval time;

	(void)fd;
	(void)what;
	now(&time);
	while (lag->first && !evutil_timercmp(&lag->first->due, &time, >))
		lag->ops->due(lag->ctx, pop(lag));
	set_timer(lag);
}

kb_result_t st_lag_init(st_lag_t *lag, struct event_base *base,
			const st_lag_ops_t *ops, void *ctx)
{
	memset(lag, 0, sizeof(*lag));
	lag->ops = ops;
	lag->ctx = ctx;
	lag->last = &lag->first;
	lag->timer = evtimer_new(base, on_timer, lag);
	return lag->timer ? KB_OK : KB_ERR_NO_MEMORY;
}

void st_lag_clear(st_lag_t *lag)
{
	while (lag->first)
		lag->ops->drop(pop(lag));
}

void st_lag_finish(st_lag_t *lag)
{
	st_lag_clear(lag);
	if (lag->timer)
		event_free(lag->timer);
}

kb_result_t st_lag_add(st_lag_t *lag, unsigned delay_ms, void *item)
{
	struct timeval delay = st_milliseconds(delay_ms);
	struct timeval time;
	st_delayed_t *delayed;

	if (!delay_ms && !lag->first) {
		lag->ops->due(lag->ctx, item);
		return KB_OK;
	}
	delayed = calloc(1, sizeof(*delayed));
	if (!delayed) {
		lag->ops->drop(item);
		return KB_ERR_NO_MEMORY;
	}
	now(&time);
	evutil_timeradd(&time, &delay, &delayed->due);
	delayed->item = item;
	*lag->last = delayed;
	lag->last = &delayed->next;
	lag->count++;
	if (lag->count == 1)
		set_timer(lag);
	return KB_OK;
}

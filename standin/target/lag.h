#ifndef ST_LAG_H
#define ST_LAG_H

#include "kumquatbridge.h"

#include <event2/event.h>

struct st_delayed;

typedef struct st_lag_ops {
	/* Takes an item that is due and owns it from now on. */
	void (*due)(void *ctx, void *item);
	/* Frees an item that is never due. */
	void (*drop)(void *item);
} st_lag_ops_t;

/* A queue whose items become due in order, each after its delay. */
typedef struct st_lag {
	const st_lag_ops_t *ops;
	void *ctx;
	struct event *timer;
	struct st_delayed *first;
	struct st_delayed **last;
	size_t count;
} st_lag_t;

/* Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_lag_init(st_lag_t *lag, struct event_base *base,
			const st_lag_ops_t *ops, void *ctx);
void st_lag_finish(st_lag_t *lag);

/* Drops all items. */
void st_lag_clear(st_lag_t *lag);

/*
 * Adds an item, which is due at once if `delay_ms` is 0 and nothing waits.
 * Drops it and returns KB_ERR_NO_MEMORY if memory is short.
 */
kb_result_t st_lag_add(st_lag_t *lag, unsigned delay_ms, void *item);

/* Returns `ms` milliseconds as a timeval. */
struct timeval st_milliseconds(unsigned ms);

#endif

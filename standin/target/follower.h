#ifndef ST_FOLLOWER_H
#define ST_FOLLOWER_H

#include "engine.h"
#include "delay_queue.h"

#include <event2/bufferevent.h>

/* Replicates the log of the primary that the engine follows. */
typedef struct st_follower {
	struct event_base *base;
	st_engine_t *engine;
	struct bufferevent *bev;
	struct event *retry;
	/* The primary has replied to the hello message. */
	int handshake_done;
	/* Position of the last entry read from the connection. */
	uint64_t last_read;
	/* Delay before an entry is appended to the log. */
	unsigned receive_lag_ms;
	/* Delay between appending and applying an entry. */
	unsigned apply_lag_ms;
	st_delay_queue_t receiving;
	st_delay_queue_t applying;
	int frozen;
} st_follower_t;

/* Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_follower_init(st_follower_t *follower, struct event_base *base,
			     st_engine_t *engine);
void st_follower_finish(st_follower_t *follower);

/* Disconnects, then connects to the current primary if there is one. */
void st_follower_on_role_change(st_follower_t *follower);

/* Suspends reading and writing, or resumes both if `frozen` is 0. */
void st_follower_set_frozen(st_follower_t *follower, int frozen);

#endif

#ifndef ST_FOLLOWER_H
#define ST_FOLLOWER_H

#include "engine.h"
#include "delay_queue.h"

#include <event2/bufferevent.h>

/* Receives the log of the primary that the engine follows. */
typedef struct st_follower {
	struct event_base *base;
	st_engine_t *engine;
	struct bufferevent *bev;
	struct event *retry;
	/* The primary has answered the hello. */
	int handshake_done;
	/* Position of the last entry that was read from the connection. */
	uint64_t last_read;
	unsigned receive_lag_ms;
	unsigned apply_lag_ms;
	st_delay_queue_t receiving;
	st_delay_queue_t applying;
	int frozen;
} st_follower_t;

/* Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_follower_init(st_follower_t *follower, struct event_base *base,
			     st_engine_t *engine);
void st_follower_finish(st_follower_t *follower);

/* Connects to, or leaves, the primary after a change in the engine. */
void st_follower_on_role_change(st_follower_t *follower);

/* Stops or continues reading and writing. */
void st_follower_set_frozen(st_follower_t *follower, int frozen);

#endif

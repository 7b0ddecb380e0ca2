#ifndef KB_FOLLOWER_H
#define KB_FOLLOWER_H

#include "mirror.h"
#include "rng.h"

KB_BEGIN_DECLS

enum {
	/* A poll of the store waits this long, so that its loss shows soon. */
	KB_FOLLOWER_WAIT_MS = 500,
	/* Changes that come close together are read with one poll. */
	KB_FOLLOWER_PAUSE_MS = 250,
	/* Pause after a call that failed; half of it is random. */
	KB_FOLLOWER_RETRY_MS = 400,
	/* Greatest pause of a host that is no reader; it doubles each time. */
	KB_FOLLOWER_RETRY_MAX_MS = 3200,
	/* A deletion missed by a faulty poll is found by a whole read. */
	KB_FOLLOWER_WHOLE_S = 20,
};

/* Keeps a mirror up to date with the store while it is enabled. */
typedef struct kb_follower {
	kb_store_t *store;
	kb_mirror_t *mirror;
	kb_clock_t *clock;
	kb_rng_t rng;
	int enabled;
	/* Others read the store for this host once it answers again. */
	int patient;
	unsigned failures;
	/* Keys below this prefix are followed. */
	kb_str_t prefix;
	int calling;
	/* The next call reads everything. */
	int whole;
	kb_time_t sent_at;
	kb_time_t next_at;
	kb_time_t whole_at;
	/* Whether the last call was answered, for the log. */
	int reached;
} kb_follower_t;

void kb_follower_init(kb_follower_t *follower, kb_store_t *store,
		      kb_mirror_t *mirror, kb_clock_t *clock, uint64_t seed);
void kb_follower_finish(kb_follower_t *follower);

/* Begins or ends calls to the store. */
void kb_follower_enable(kb_follower_t *follower, int enabled);

/* Makes the call that is due. */
void kb_follower_tick(kb_follower_t *follower);

KB_END_DECLS

#endif

#ifndef KB_STORE_POLLER_H
#define KB_STORE_POLLER_H

#include "mirror.h"
#include "rng.h"

KB_BEGIN_DECLS

enum {
	/* A poll of the store waits this long, so that its loss shows soon. */
	KB_STORE_POLLER_POLL_TIMEOUT_MS = 500,
	/* Changes that come close together are read with one poll. */
	KB_STORE_POLLER_INTERVAL_MS = 250,
	/* Pause after a call that failed; half of it is random. */
	KB_STORE_POLLER_BACKOFF_MIN_MS = 400,
	/* Greatest pause of a host that is no reader; it doubles each time. */
	KB_STORE_POLLER_BACKOFF_MAX_MS = 3200,
	/* A deletion missed by a faulty poll is found by a whole read. */
	KB_STORE_POLLER_FULL_READ_INTERVAL_S = 20,
};

/* Keeps a mirror up to date with the store while it is enabled. */
typedef struct kb_store_poller {
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
} kb_store_poller_t;

void kb_store_poller_init(kb_store_poller_t *follower, kb_store_t *store,
			  kb_mirror_t *mirror, kb_clock_t *clock,
			  uint64_t seed);
void kb_store_poller_finish(kb_store_poller_t *follower);

/* Begins or ends calls to the store. */
void kb_store_poller_enable(kb_store_poller_t *follower, int enabled);

/* Makes the call that is due. */
void kb_store_poller_tick(kb_store_poller_t *follower);

KB_END_DECLS

#endif

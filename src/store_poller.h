#ifndef KB_STORE_POLLER_H
#define KB_STORE_POLLER_H

#include "mirror.h"
#include "rng.h"

KB_BEGIN_DECLS

enum {
	/* Timeout of a long poll; short, so that a store outage shows soon. */
	KB_STORE_POLLER_POLL_TIMEOUT_MS = 500,
	/* Pause between polls; one poll reads all changes made in it. */
	KB_STORE_POLLER_INTERVAL_MS = 250,
	/* Backoff after a failed call; half of it is random. */
	KB_STORE_POLLER_BACKOFF_MIN_MS = 400,
	/* Maximum of the exponential backoff of hosts that are no readers. */
	KB_STORE_POLLER_BACKOFF_MAX_MS = 3200,
	/* Interval of full reads: they find deletions that a poll missed. */
	KB_STORE_POLLER_FULL_READ_INTERVAL_S = 20,
};

/* Polls the store and keeps the local copy of its keys up to date. */
typedef struct kb_store_poller {
	kb_store_t *store;
	kb_mirror_t *mirror;
	kb_clock_t *clock;
	kb_rng_t rng;
	/* Whether the store is polled. */
	int enabled;
	/*
	 * Backs off exponentially: after an outage other hosts read the store
	 * for this one.
	 */
	int exponential_backoff;
	/* Number of times that the exponential backoff has doubled. */
	unsigned failures;
	/* Prefix of the keys that are read. */
	kb_str_t prefix;
	int call_in_flight;
	/* The next call reads all keys. */
	int full_read;
	kb_time_t sent_at;
	kb_time_t next_at;
	kb_time_t full_read_at;
	/* Whether the last call was answered. */
	int reached;
} kb_store_poller_t;

void kb_store_poller_init(kb_store_poller_t *poller, kb_store_t *store,
			  kb_mirror_t *mirror, kb_clock_t *clock,
			  uint64_t seed);
void kb_store_poller_finish(kb_store_poller_t *poller);

/* Starts or stops polling the store. */
void kb_store_poller_enable(kb_store_poller_t *poller, int enabled);

/* Starts a call to the store if one is due. */
void kb_store_poller_tick(kb_store_poller_t *poller);

KB_END_DECLS

#endif

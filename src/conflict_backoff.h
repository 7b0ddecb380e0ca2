#ifndef KB_CONFLICT_BACKOFF_H
#define KB_CONFLICT_BACKOFF_H

#include "rng.h"

KB_BEGIN_DECLS

/*
 * Backoff after an attempt that failed because of a competing host. A random
 * part that grows with each failure keeps two hosts from preempting each other
 * forever.
 */
typedef struct kb_conflict_backoff {
	/* Shortest wait. */
	kb_time_t base;
	kb_rng_t rng;
	/* Consecutive failures, counted up to a limit. */
	uint64_t failures;
	/* End of the wait, or 0. */
	kb_time_t until;
} kb_conflict_backoff_t;

/* Initializes `backoff`; competing hosts need different seeds. */
void kb_conflict_backoff_init(kb_conflict_backoff_t *backoff, kb_time_t base,
			      uint64_t seed);

/* Counts a failure at `now` and starts a wait. */
void kb_conflict_backoff_fail(kb_conflict_backoff_t *backoff, kb_time_t now);

/* Ends the wait and resets the count of failures. */
void kb_conflict_backoff_reset(kb_conflict_backoff_t *backoff);

KB_END_DECLS

#endif

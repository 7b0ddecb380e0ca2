#ifndef KB_CONFLICT_BACKOFF_H
#define KB_CONFLICT_BACKOFF_H

#include "rng.h"

KB_BEGIN_DECLS

/*
 * The wait after an attempt that another host thwarted. It is longer by
 * chance each time, so that equals do not thwart each other for ever.
 */
typedef struct kb_conflict_backoff {
	/* Least wait. */
	kb_time_t base;
	kb_rng_t rng;
	/* Failures in a row. */
	uint64_t failures;
	/* End of the wait, or 0. */
	kb_time_t until;
} kb_conflict_backoff_t;

/* Initializes `backoff`; hosts that may meet have different seeds. */
void kb_conflict_backoff_init(kb_conflict_backoff_t *backoff, kb_time_t base,
			      uint64_t seed);

/* Starts a wait. */
void kb_conflict_backoff_fail(kb_conflict_backoff_t *backoff, kb_time_t now);

/* Ends the wait and forgets the failures. */
void kb_conflict_backoff_reset(kb_conflict_backoff_t *backoff);

KB_END_DECLS

#endif

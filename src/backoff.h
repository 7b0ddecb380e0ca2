#ifndef KB_BACKOFF_H
#define KB_BACKOFF_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/* Delays and limit of retries. */
typedef struct kb_backoff_settings {
	/* Upper limit of the first delay; it doubles with each attempt. */
	kb_time_t base;
	/* Upper limit of every delay. */
	kb_time_t max;
	/* Largest number of retries in a burst. */
	unsigned budget;
	/* Time after which one retry is added to the budget. */
	kb_time_t refill;
} kb_backoff_settings_t;

/* Decides when to retry: exponential delays with jitter and a budget. */
typedef struct kb_backoff {
	kb_backoff_settings_t settings;
	uint64_t random;
	unsigned budget;
	/* Time to which the budget has been refilled. */
	kb_time_t refilled;
} kb_backoff_t;

/*
 * Starts with a full budget. Hosts should use different seeds, so that their
 * retries do not coincide.
 */
void kb_backoff_init(kb_backoff_t *backoff,
		     const kb_backoff_settings_t *settings, uint64_t seed,
		     kb_time_t now);

/*
 * Returns the delay before retry `attempt`, counted from 0: a random time
 * between half of the exponential limit and the limit.
 */
kb_time_t kb_backoff_delay(kb_backoff_t *backoff, unsigned attempt);

/* Takes one retry from the budget. Returns KB_ERR_OVERLOADED if it is empty. */
kb_result_t kb_backoff_take(kb_backoff_t *backoff, kb_time_t now);

/*
 * Decides on retry `attempt` of a call. Returns KB_OK and sets `*delay`,
 * KB_ERR_DEADLINE if the delay would not end before `deadline`, or
 * KB_ERR_OVERLOADED if the budget is empty.
 */
kb_result_t kb_backoff_retry(kb_backoff_t *backoff, unsigned attempt,
			     kb_time_t now, kb_time_t deadline,
			     kb_time_t *delay);

KB_END_DECLS

#endif

#ifndef KL_RETRY_H
#define KL_RETRY_H

#include "arrivals.h"

#include <event2/util.h>

/* An attempt that did not succeed. */
typedef struct kl_attempt {
	kb_outcome_t outcome;
	int code;
	unsigned attempts;
	int writes;
	/* Safe to retry although the outcome is unknown. */
	int repeatable;
	kb_time_t elapsed;
} kl_attempt_t;

/*
 * Returns non-zero if the request is to be retried. Some writes with the
 * outcome "not run" are not retried, so that the verification at the end can
 * check that they had no effect.
 */
int kl_retry_should_retry(const kl_attempt_t *attempt, kl_arrivals_t *random);

/* Returns the backoff before the next attempt: exponential, with jitter. */
struct timeval kl_retry_delay(unsigned attempts, kl_arrivals_t *random);

#endif

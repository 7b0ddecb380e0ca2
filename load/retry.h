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
	/* Safe to send again although the outcome is unknown. */
	int repeatable;
	kb_time_t elapsed;
} kl_attempt_t;

/*
 * Returns non-zero if the request is to be sent again. Some writes that did
 * not run are left at that, so that the answer can be checked at the end.
 */
int kl_retry_wanted(const kl_attempt_t *attempt, kl_arrivals_t *random);

/* Returns the time to wait before the next attempt, with jitter. */
struct timeval kl_retry_delay(unsigned attempts, kl_arrivals_t *random);

#endif

#include "retry.h"

enum {
	RETRY_WINDOW_MS = 15000,
	INITIAL_DELAY_MS = 20,
	MAX_DELAY_MS = 500,
	US_PER_MS = 1000,
	/* Lower codes are errors in the request. */
	FIRST_RETRYABLE_CODE = 200,
};

/* Probability that a write is not retried after the outcome "not run". */
#define NO_RETRY_PROBABILITY 0.25

int kl_retry_should_retry(const kl_attempt_t *attempt, kl_arrivals_t *random)
{
	if (attempt->elapsed > RETRY_WINDOW_MS * KB_NS_PER_MS)
		return 0;
	if (attempt->outcome == KB_OUTCOME_UNKNOWN)
		return attempt->repeatable;
	if (attempt->code < FIRST_RETRYABLE_CODE)
		return 0;
	return !attempt->writes ||
	       !kl_arrivals_chance(random, NO_RETRY_PROBABILITY);
}

struct timeval kl_retry_delay(unsigned attempts, kl_arrivals_t *random)
{
	unsigned ms = INITIAL_DELAY_MS;
	struct timeval delay = { 0, 0 };

	while (attempts-- > 1 && ms < MAX_DELAY_MS)
		ms *= 2;
	if (ms > MAX_DELAY_MS)
		ms = MAX_DELAY_MS;
	ms = ms / 2 + (unsigned)kl_arrivals_uniform(random, ms);
	delay.tv_usec = (suseconds_t)ms * US_PER_MS;
	return delay;
}

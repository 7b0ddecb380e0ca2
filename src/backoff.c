#include "backoff.h"

/* Constants of the SplitMix64 generator. */
#define RANDOM_STEP UINT64_C(0x9e3779b97f4a7c15)
#define RANDOM_MIX_1 UINT64_C(0xbf58476d1ce4e5b9)
#define RANDOM_MIX_2 UINT64_C(0x94d049bb133111eb)

void kb_backoff_init(kb_backoff_t *backoff,
		     const kb_backoff_settings_t *settings, uint64_t seed,
		     kb_time_t now)
{
	backoff->settings = *settings;
	backoff->random = seed;
	backoff->budget = settings->budget;
	backoff->refilled = now;
}

static uint64_t next_random(kb_backoff_t *backoff)
{
	uint64_t x = backoff->random += RANDOM_STEP;

	x = (x ^ (x >> 30)) * RANDOM_MIX_1;
	x = (x ^ (x >> 27)) * RANDOM_MIX_2;
	return x ^ (x >> 31);
}

kb_time_t kb_backoff_delay(kb_backoff_t *backoff, unsigned attempt)
{
	kb_time_t limit = backoff->settings.base;
	kb_time_t half;

	while (attempt-- && limit < backoff->settings.max)
		limit *= 2;
	if (limit > backoff->settings.max)
		limit = backoff->settings.max;
	half = limit / 2;
	return half +
	       (kb_time_t)(next_random(backoff) % (uint64_t)(limit - half + 1));
}

kb_result_t kb_backoff_take(kb_backoff_t *backoff, kb_time_t now)
{
	const kb_backoff_settings_t *settings = &backoff->settings;
	kb_time_t gained = (now - backoff->refilled) / settings->refill;

	if (gained >= settings->budget - backoff->budget) {
		backoff->budget = settings->budget;
		backoff->refilled = now;
	} else if (gained > 0) {
		backoff->budget += (unsigned)gained;
		backoff->refilled += gained * settings->refill;
	}
	if (!backoff->budget)
		return KB_ERR_OVERLOADED;
	backoff->budget--;
	return KB_OK;
}

kb_result_t kb_backoff_retry(kb_backoff_t *backoff, unsigned attempt,
			     kb_time_t now, kb_time_t deadline,
			     kb_time_t *delay)
{
	*delay = kb_backoff_delay(backoff, attempt);
	if (*delay >= deadline - now)
		return KB_ERR_DEADLINE;
	return kb_backoff_take(backoff, now);
}

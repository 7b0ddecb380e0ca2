#include "conflict_backoff.h"

/* Failures after which the random part of the wait grows no further. */
enum { MAX_FAILURES = 4 };

void kb_conflict_backoff_init(kb_conflict_backoff_t *backoff, kb_time_t base,
			      uint64_t seed)
{
	backoff->base = base;
	kb_rng_init(&backoff->rng, seed);
	kb_conflict_backoff_reset(backoff);
}

void kb_conflict_backoff_fail(kb_conflict_backoff_t *backoff, kb_time_t now)
{
	uint64_t spread = backoff->failures * (uint64_t)backoff->base / 2;

	backoff->until = now + backoff->base +
			 (kb_time_t)kb_rng_below(&backoff->rng, spread);
	if (backoff->failures < MAX_FAILURES)
		backoff->failures++;
}

void kb_conflict_backoff_reset(kb_conflict_backoff_t *backoff)
{
	backoff->failures = 0;
	backoff->until = 0;
}

#ifndef KB_RNG_H
#define KB_RNG_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/* A seeded pseudo-random number generator (SplitMix64). */
typedef struct kb_rng {
	uint64_t state;
} kb_rng_t;

/* Initializes `rng`; the same seed gives the same numbers. */
static inline void kb_rng_init(kb_rng_t *rng, uint64_t seed)
{
	rng->state = seed;
}

/* Returns the next 64 random bits. */
static inline uint64_t kb_rng_next(kb_rng_t *rng)
{
	uint64_t z = rng->state += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/* Returns a number from 0 up to but excluding `bound`, or 0 if it is 0. */
static inline uint64_t kb_rng_below(kb_rng_t *rng, uint64_t bound)
{
	return bound ? kb_rng_next(rng) % bound : 0;
}

KB_END_DECLS

#endif

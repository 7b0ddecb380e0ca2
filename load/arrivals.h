#ifndef KL_ARRIVALS_H
#define KL_ARRIVALS_H

#include "workload.h"

#include <gsl/gsl_rng.h>

/* Open-loop arrivals from a seeded pseudo-random generator. */
typedef struct kl_arrivals {
	gsl_rng *rng;
	const kl_workload_t *workload;
	/* Arrivals per second outside of bursts. */
	double rate;
	/* Time of the next arrival since the start of the load. */
	kb_time_t next;
} kl_arrivals_t;

/* Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t kl_arrivals_init(kl_arrivals_t *arrivals,
			     const kl_workload_t *workload, double rate,
			     unsigned long seed);
void kl_arrivals_finish(kl_arrivals_t *arrivals);

/* Advances `next` to the following arrival. */
void kl_arrivals_advance(kl_arrivals_t *arrivals);

/* Draws the operation that arrives at `next`. */
const kl_op_spec_t *kl_arrivals_draw(kl_arrivals_t *arrivals);

/* Draws a uniform integer from 0 to `limit` - 1; `limit` is positive. */
size_t kl_arrivals_uniform(kl_arrivals_t *arrivals, size_t limit);

/* Returns non-zero with the given probability. */
int kl_arrivals_chance(kl_arrivals_t *arrivals, double probability);

#endif

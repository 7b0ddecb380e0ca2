#ifndef KL_ARRIVALS_H
#define KL_ARRIVALS_H

#include "workload.h"

#include <gsl/gsl_rng.h>

/* Draws arrivals that do not wait for answers, from a seed. */
typedef struct kl_arrivals {
	gsl_rng *rng;
	const kl_workload_t *workload;
	double rate;
	/* Time of the next arrival since the start of the load. */
	kb_time_t next;
} kl_arrivals_t;

/* Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t kl_arrivals_init(kl_arrivals_t *arrivals,
			     const kl_workload_t *workload, double rate,
			     unsigned long seed);
void kl_arrivals_finish(kl_arrivals_t *arrivals);

/* Moves `next` to the arrival after it. */
void kl_arrivals_advance(kl_arrivals_t *arrivals);

/* Draws the kind of the request that arrives at `next`. */
const kl_op_spec_t *kl_arrivals_draw(kl_arrivals_t *arrivals);

/* Draws a whole number below `limit`, which is not 0. */
size_t kl_arrivals_uniform(kl_arrivals_t *arrivals, size_t limit);

/* Draws true with the probability `probability`. */
int kl_arrivals_chance(kl_arrivals_t *arrivals, double probability);

#endif

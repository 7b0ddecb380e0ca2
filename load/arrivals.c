#include "arrivals.h"

#include <gsl/gsl_randist.h>

kb_result_t kl_arrivals_init(kl_arrivals_t *arrivals,
			     const kl_workload_t *workload, double rate,
			     unsigned long seed)
{
	memset(arrivals, 0, sizeof(*arrivals));
	arrivals->workload = workload;
	arrivals->rate = rate;
	arrivals->rng = gsl_rng_alloc(gsl_rng_mt19937);
	if (!arrivals->rng)
		return KB_ERR_NO_MEMORY;
	gsl_rng_set(arrivals->rng, seed);
	return KB_OK;
}

void kl_arrivals_finish(kl_arrivals_t *arrivals)
{
	if (arrivals->rng)
		gsl_rng_free(arrivals->rng);
}

/* The last `burst_length` of each period is a burst. */
static int in_burst(const kl_arrivals_t *arrivals)
{
	const kl_workload_t *workload = arrivals->workload;

	return arrivals->next % workload->burst_period >=
	       workload->burst_period - workload->burst_length;
}

void kl_arrivals_advance(kl_arrivals_t *arrivals)
{
	double rate = arrivals->rate;

	if (in_burst(arrivals))
		rate *= arrivals->workload->burst_factor;
	arrivals->next += (kb_time_t)gsl_ran_exponential(
		arrivals->rng, (double)KB_NS_PER_S / rate);
}

static unsigned weight_of(const kl_op_spec_t *spec, int burst)
{
	return burst ? spec->burst_weight : spec->weight;
}

const kl_op_spec_t *kl_arrivals_draw(kl_arrivals_t *arrivals)
{
	const kl_workload_t *workload = arrivals->workload;
	int burst = in_burst(arrivals);
	unsigned long total = 0;
	unsigned long drawn;
	size_t i;

	for (i = 0; i < workload->op_count; i++)
		total += weight_of(&workload->ops[i], burst);
	drawn = gsl_rng_uniform_int(arrivals->rng, total);
	for (i = 0; drawn >= weight_of(&workload->ops[i], burst); i++)
		drawn -= weight_of(&workload->ops[i], burst);
	return &workload->ops[i];
}

size_t kl_arrivals_uniform(kl_arrivals_t *arrivals, size_t limit)
{
	return gsl_rng_uniform_int(arrivals->rng, limit);
}

int kl_arrivals_chance(kl_arrivals_t *arrivals, double probability)
{
	return gsl_rng_uniform(arrivals->rng) < probability;
}

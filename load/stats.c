#include "stats.h"

#include <math.h>
#include <string.h>

enum { BUCKETS = 400, US_PER_MS = 1000 };

/* Range of the latency histogram. */
#define HISTOGRAM_MIN_US 10.0
#define HISTOGRAM_MAX_US 1e9

void kl_stats_init(kl_stats_t *stats, kb_time_t now)
{
	memset(stats, 0, sizeof(*stats));
	stats->started = now;
	stats->last_write = now;
}

void kl_stats_finish(kl_stats_t *stats)
{
	for (size_t i = 0; i < stats->op_count; i++)
		gsl_histogram_free(stats->ops[i].latency);
}

/* Returns a histogram with logarithmic buckets. */
static gsl_histogram *new_histogram(void)
{
	double ranges[BUCKETS + 1];
	gsl_histogram *histogram = gsl_histogram_alloc(BUCKETS);

	for (size_t i = 0; i <= BUCKETS; i++)
		ranges[i] = HISTOGRAM_MIN_US *
			    pow(HISTOGRAM_MAX_US / HISTOGRAM_MIN_US,
				(double)i / BUCKETS);
	if (histogram)
		gsl_histogram_set_ranges(histogram, ranges, BUCKETS + 1);
	return histogram;
}

kl_op_stats_t *kl_stats_op(kl_stats_t *stats, const char *name)
{
	kl_op_stats_t *op;

	for (size_t i = 0; i < stats->op_count; i++)
		if (!strcmp(stats->ops[i].name, name))
			return &stats->ops[i];
	if (stats->op_count == KL_STATS_OPS_MAX)
		return NULL;
	op = &stats->ops[stats->op_count];
	op->name = name;
	op->latency = new_histogram();
	if (!op->latency)
		return NULL;
	stats->op_count++;
	return op;
}

void kl_stats_success(kl_op_stats_t *op, kb_time_t latency)
{
	double us = (double)latency / KB_NS_PER_US;

	op->succeeded++;
	if (us > op->max_latency_us)
		op->max_latency_us = us;
	us = fmin(fmax(us, HISTOGRAM_MIN_US), HISTOGRAM_MAX_US - 1);
	gsl_histogram_increment(op->latency, us);
}

void kl_stats_write(kl_stats_t *stats, kb_time_t now)
{
	if (now - stats->last_write > stats->write_gap) {
		stats->write_gap = now - stats->last_write;
		stats->write_gap_start = stats->last_write;
	}
	stats->last_write = now;
}

double kl_stats_quantile_ms(const kl_op_stats_t *op, double quantile)
{
	double wanted = quantile * gsl_histogram_sum(op->latency);
	double seen = 0;
	double lower;
	double upper = 0;

	for (size_t i = 0; i < BUCKETS; i++) {
		seen += gsl_histogram_get(op->latency, i);
		if (seen <= 0 || seen < wanted)
			continue;
		gsl_histogram_get_range(op->latency, i, &lower, &upper);
		break;
	}
	return fmin(upper, op->max_latency_us) / US_PER_MS;
}

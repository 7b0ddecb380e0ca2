#ifndef KL_STATS_H
#define KL_STATS_H

#include "kumquatbridge.h"

#include <gsl/gsl_histogram.h>

#define KL_STATS_OPS_MAX 16
#define KL_STATS_CODES_MAX 512

/* Statistics of one kind of request. */
typedef struct kl_op_stats {
	const char *name;
	uint64_t arrived;
	uint64_t succeeded;
	uint64_t not_run;
	uint64_t unknown;
	/* Microseconds from arrival to success. */
	gsl_histogram *latency;
	double max_latency_us;
} kl_op_stats_t;

/* Measurements of a run. */
typedef struct kl_stats {
	size_t op_count;
	kl_op_stats_t ops[KL_STATS_OPS_MAX];
	uint64_t replica_reads;
	uint64_t primary_reads;
	uint64_t retries;
	/* Arrivals that were discarded because the queue was full. */
	uint64_t overrun;
	/* Attempts for which no connection could be opened. */
	uint64_t unsent;
	/* Attempts whose connection closed before the response. */
	uint64_t cut_off;
	/* Attempts without a response a grace period after the deadline. */
	uint64_t overdue;
	/* Responses by result code, over all attempts. */
	uint64_t codes[KL_STATS_CODES_MAX];
	kb_time_t started;
	/* Time of the last acknowledged write. */
	kb_time_t last_write;
	/* Longest time without an acknowledged write, and its start. */
	kb_time_t write_gap;
	kb_time_t write_gap_start;
} kl_stats_t;

void kl_stats_init(kl_stats_t *stats, kb_time_t now);
void kl_stats_finish(kl_stats_t *stats);

/* Returns the statistics of the requests `name`; NULL if there is no room. */
kl_op_stats_t *kl_stats_op(kl_stats_t *stats, const char *name);

/* Records a success with the given latency. */
void kl_stats_success(kl_op_stats_t *op, kb_time_t latency);

/* Records the time of an acknowledged write, or the end of the load. */
void kl_stats_write(kl_stats_t *stats, kb_time_t now);

/* Returns a quantile (0 to 1) of the latency of successful requests. */
double kl_stats_quantile_ms(const kl_op_stats_t *op, double quantile);

#endif

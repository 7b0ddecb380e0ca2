#ifndef KL_STATS_H
#define KL_STATS_H

#include "kumquatbridge.h"

#include <gsl/gsl_histogram.h>

#define KL_STATS_OPS_MAX 16
#define KL_STATS_CODES_MAX 512

/* Counts of one kind of request. */
typedef struct kl_op_stats {
	const char *name;
	uint64_t arrived;
	uint64_t succeeded;
	uint64_t not_run;
	uint64_t unknown;
	/* Microseconds from arrival to success. */
	gsl_histogram *latency;
	double longest_us;
} kl_op_stats_t;

/* What a run has measured. */
typedef struct kl_stats {
	size_t op_count;
	kl_op_stats_t ops[KL_STATS_OPS_MAX];
	uint64_t replica_reads;
	uint64_t primary_reads;
	uint64_t retries;
	/* Arrivals that found no room to wait. */
	uint64_t overrun;
	/* Attempts without a connection. */
	uint64_t unsent;
	/* Attempts whose connection ended before the answer. */
	uint64_t cut_off;
	/* Attempts without an answer well after their deadline. */
	uint64_t overdue;
	/* Answers by result code, over all attempts. */
	uint64_t codes[KL_STATS_CODES_MAX];
	kb_time_t started;
	/* Longest time without an acknowledged write, and its start. */
	kb_time_t last_write;
	kb_time_t write_gap;
	kb_time_t write_gap_start;
} kl_stats_t;

void kl_stats_init(kl_stats_t *stats, kb_time_t now);
void kl_stats_finish(kl_stats_t *stats);

/* Returns the counts of the requests called `name`; NULL if there is no room.
 */
kl_op_stats_t *kl_stats_op(kl_stats_t *stats, const char *name);

/* Records a success that took `latency`. */
void kl_stats_success(kl_op_stats_t *op, kb_time_t latency);

/* Records that a write was acknowledged, or the end of the load. */
void kl_stats_write(kl_stats_t *stats, kb_time_t now);

/* Returns the latency that a part `quantile` of the successes kept to. */
double kl_stats_quantile_ms(const kl_op_stats_t *op, double quantile);

#endif

#ifndef KB_BENCH_REPLICA_LOG_H
#define KB_BENCH_REPLICA_LOG_H

#include "report.h"

#include <gsl/gsl_rng.h>

/* A group's log and the exact position that each replica has applied. */

typedef struct kb_bench_log {
	/* Time of each commit; position 1 is the first. */
	kb_time_t *commits;
	uint64_t count;
	uint64_t capacity;
} kb_bench_log_t;

/* A replica that applies each entry after a lag, which varies over time. */
typedef struct kb_bench_replica {
	const kb_bench_log_t *log;
	const gsl_rng *rng;
	kb_time_t mean_lag;
	kb_time_t lag;
	kb_time_t lag_until;
	uint64_t applied;
	/* When the next entry is applied, or 0 if not drawn yet. */
	kb_time_t next_at;
	kb_time_t last_at;
} kb_bench_replica_t;

void kb_bench_log_init(kb_bench_log_t *log);
void kb_bench_log_finish(kb_bench_log_t *log);

/* Commits an entry and returns its position. */
uint64_t kb_bench_log_commit(kb_bench_log_t *log, kb_time_t now);

/* The lag is uniformly distributed over 0.5 to 1.5 times `mean_lag`. */
void kb_bench_replica_init(kb_bench_replica_t *replica,
			   const kb_bench_log_t *log, kb_time_t mean_lag,
			   const gsl_rng *rng);

/* Applies the entries due at `now`, which must not decrease. */
void kb_bench_replica_advance(kb_bench_replica_t *replica, kb_time_t now);

/* Returns the exact staleness at `now`; 0 if all entries are applied. */
kb_time_t kb_bench_replica_age(kb_bench_replica_t *replica, kb_time_t now);

#endif

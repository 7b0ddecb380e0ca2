#ifndef KB_BENCH_REPLICA_LOG_H
#define KB_BENCH_REPLICA_LOG_H

#include "report.h"

#include <gsl/gsl_rng.h>

/* The log of one group and what each replica has applied of it, exactly. */

typedef struct kb_bench_log {
	/* Time of each commit; position 1 is the first. */
	kb_time_t *commits;
	uint64_t count;
	uint64_t capacity;
} kb_bench_log_t;

/* Applies each entry after a lag that changes from time to time. */
typedef struct kb_bench_replica {
	const kb_bench_log_t *log;
	const gsl_rng *rng;
	kb_time_t mean_lag;
	kb_time_t lag;
	kb_time_t lag_until;
	uint64_t applied;
	/* When the next entry is applied, or 0 if that is not decided. */
	kb_time_t next_at;
	kb_time_t last_at;
} kb_bench_replica_t;

void kb_bench_log_init(kb_bench_log_t *log);
void kb_bench_log_finish(kb_bench_log_t *log);

/* Commits an entry and returns its position. */
uint64_t kb_bench_log_commit(kb_bench_log_t *log, kb_time_t now);

/* The lag is drawn from half to one and a half times `mean_lag`. */
void kb_bench_replica_init(kb_bench_replica_t *replica,
			   const kb_bench_log_t *log, kb_time_t mean_lag,
			   const gsl_rng *rng);

/* Applies what is due by `now`; must not be called with an earlier time. */
void kb_bench_replica_advance(kb_bench_replica_t *replica, kb_time_t now);

/* Returns the true age of the data at `now`; 0 if nothing is missing. */
kb_time_t kb_bench_replica_age(kb_bench_replica_t *replica, kb_time_t now);

#endif

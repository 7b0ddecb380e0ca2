#include "replica_log.h"

#include <stdio.h>
#include <stdlib.h>

enum {
	FIRST_CAPACITY = 4096,
	SHORTEST_LAG_PERIOD_MS = 50,
};

void kb_bench_log_init(kb_bench_log_t *log)
{
	memset(log, 0, sizeof(*log));
}

void kb_bench_log_finish(kb_bench_log_t *log)
{
	free(log->commits);
}

uint64_t kb_bench_log_commit(kb_bench_log_t *log, kb_time_t now)
{
	if (log->count == log->capacity) {
		log->capacity =
			log->capacity ? 2 * log->capacity : FIRST_CAPACITY;
		log->commits =
			realloc(log->commits, log->capacity * sizeof(now));
		if (!log->commits) {
			fputs("out of memory\n", stderr);
			exit(1);
		}
	}
	log->commits[log->count++] = now;
	return log->count;
}

void kb_bench_replica_init(kb_bench_replica_t *replica,
			   const kb_bench_log_t *log, kb_time_t mean_lag,
			   const gsl_rng *rng)
{
	*replica = (kb_bench_replica_t){
		.log = log,
		.rng = rng,
		.mean_lag = mean_lag,
	};
}

/* Returns the lag of an entry that was committed at `at`. */
static kb_time_t lag_at(kb_bench_replica_t *replica, kb_time_t at)
{
	double spread = 0.5 + gsl_rng_uniform(replica->rng);

	if (at < replica->lag_until)
		return replica->lag;
	replica->lag = (kb_time_t)((double)replica->mean_lag * spread);
	replica->lag_until = at + SHORTEST_LAG_PERIOD_MS * KB_NS_PER_MS +
			     replica->mean_lag / 2;
	return replica->lag;
}

void kb_bench_replica_advance(kb_bench_replica_t *replica, kb_time_t now)
{
	while (replica->applied < replica->log->count) {
		kb_time_t committed = replica->log->commits[replica->applied];

		if (!replica->next_at)
			replica->next_at =
				committed + lag_at(replica, committed);
		if (replica->next_at < replica->last_at)
			replica->next_at = replica->last_at;
		if (replica->next_at > now)
			return;
		replica->last_at = replica->next_at;
		replica->next_at = 0;
		replica->applied++;
	}
}

kb_time_t kb_bench_replica_age(kb_bench_replica_t *replica, kb_time_t now)
{
	kb_bench_replica_advance(replica, now);
	if (replica->applied == replica->log->count)
		return 0;
	return now - replica->log->commits[replica->applied];
}

#include "common/read_sim.h"

#include <stdio.h>

/*
 * Measures the share of reads with bounded staleness that replicas serve,
 * compared with an oracle that has every replica's exact position, and the
 * bytes over the link between regions, compared with two simple policies on the
 * same seeds.
 */

enum {
	FIRST_SEED = 20260501,
	SEEDS = 5,
	WORKLOADS = 2,
	LAGS = 8,
	INTERVALS = 4,
	PROBE_INTERVAL_MS = 20,
	/* Lag at which the effect of the probe interval is shown. */
	INTERVAL_LAG_MS = 500,
};

#define SHARE_GOAL 0.95

static const workload_t workloads[WORKLOADS] = {
	{ "kalahari",
	  1000,
	  2,
	  100,
	  400,
	  0.08,
	  4,
	  { { 500, 0.55, 4000, 0 },
	    { 5000, 0.25, 1500, 0 },
	    { 10000, 0.1, 60000, 1 },
	    { 0, 0.1, 1000, 0 } } },
	{ "sledza",
	  500,
	  5,
	  100,
	  300,
	  0.06,
	  1,
	  { { 500, 0.1, 1500, 0 },
	    { 5000, 0.6, 3000, 0 },
	    { 10000, 0.1, 60000, 1 },
	    { 0, 0.2, 1000, 0 } } },
};

static const kb_time_t lags_ms[LAGS] = { 5,    50,   200,  500,
					 1000, 2000, 5000, 10000 };
static const kb_time_t intervals_ms[INTERVALS] = { 10, 20, 50, 100 };

/* Results of one workload at one lag. */
typedef struct row {
	const workload_t *workload;
	kb_time_t lag_ms;
	totals_t totals[POLICIES];
} row_t;

static double ratio(uint64_t a, uint64_t b)
{
	return b ? (double)a / (double)b : 0;
}

static double ratio_to_oracle(const totals_t *totals)
{
	return ratio(totals->replica, totals->oracle);
}

static double latency(const totals_t *totals)
{
	return totals->latency_ms / (double)totals->reads;
}

static void print_row(const row_t *row)
{
	const totals_t *freshness = &row->totals[POLICY_FRESHNESS];
	const totals_t *primary = &row->totals[POLICY_PRIMARY];
	const totals_t *round_robin = &row->totals[POLICY_ROUND_ROBIN];

	printf("%-9s %6lld %7.3f %7.3f %7.3f %6.3f %6.3f %5llu %5llu %5llu",
	       row->workload->name, (long long)row->lag_ms,
	       ratio(freshness->replica, freshness->bounded),
	       ratio(freshness->oracle, freshness->bounded),
	       ratio_to_oracle(freshness),
	       ratio(freshness->attempts, freshness->reads),
	       ratio(freshness->refreshes, freshness->reads),
	       (unsigned long long)freshness->refused,
	       (unsigned long long)freshness->too_old,
	       (unsigned long long)freshness->missing_writes);
	printf(" %7.4f %7.4f %6.0f %6.0f %6.0f %5.1f %5.1f %5.1f\n",
	       ratio(round_robin->too_old, round_robin->reads),
	       ratio(round_robin->missing_writes, round_robin->reads),
	       ratio(freshness->link_bytes, freshness->reads),
	       ratio(round_robin->link_bytes, round_robin->reads),
	       ratio(primary->link_bytes, primary->reads), latency(freshness),
	       latency(round_robin), latency(primary));
}

static void print_json(const row_t *rows)
{
	const char *separator = "";

	printf("{\"bench\":\"replica_share\",\"firstSeed\":%d,\"seeds\":%d,"
	       "\"rows\":[",
	       FIRST_SEED, SEEDS);
	for (size_t i = 0; i < WORKLOADS * LAGS; i++) {
		const totals_t *freshness = &rows[i].totals[POLICY_FRESHNESS];
		const totals_t *round_robin =
			&rows[i].totals[POLICY_ROUND_ROBIN];

		printf("%s{\"workload\":\"%s\",\"lagMs\":%lld,"
		       "\"share\":%.4f,\"oracle\":%.4f,\"tooOld\":%llu,"
		       "\"missed\":%llu,\"linkBytes\":%.0f,"
		       "\"roundRobinLinkBytes\":%.0f}",
		       separator, rows[i].workload->name,
		       (long long)rows[i].lag_ms,
		       ratio(freshness->replica, freshness->bounded),
		       ratio(freshness->oracle, freshness->bounded),
		       (unsigned long long)freshness->too_old,
		       (unsigned long long)freshness->missing_writes,
		       ratio(freshness->link_bytes, freshness->reads),
		       ratio(round_robin->link_bytes, round_robin->reads));
		separator = ",";
	}
	puts("]}");
}

static void run_seeds(totals_t *totals, config_t config)
{
	for (int i = 0; i < SEEDS; i++) {
		config.seed = FIRST_SEED + (unsigned long)i;
		read_sim_run(totals, &config);
	}
}

static void run_row(row_t *row, const workload_t *workload, kb_time_t lag_ms)
{
	config_t config = {
		.workload = workload,
		.mean_lag = lag_ms * KB_NS_PER_MS,
		.probe_interval = PROBE_INTERVAL_MS * KB_NS_PER_MS,
	};

	row->workload = workload;
	row->lag_ms = lag_ms;
	for (int policy = 0; policy < POLICIES; policy++) {
		config.policy = (policy_t)policy;
		run_seeds(&row->totals[policy], config);
	}
}

static void run_intervals(const workload_t *workload)
{
	config_t config = {
		.workload = workload,
		.policy = POLICY_FRESHNESS,
		.mean_lag = INTERVAL_LAG_MS * KB_NS_PER_MS,
	};

	for (size_t i = 0; i < INTERVALS; i++) {
		totals_t totals = { 0 };

		config.probe_interval = intervals_ms[i] * KB_NS_PER_MS;
		run_seeds(&totals, config);
		printf("%-9s probe interval %4lld ms: %.3f of the oracle\n",
		       workload->name, (long long)intervals_ms[i],
		       ratio_to_oracle(&totals));
	}
}

/* Returns non-zero if the goal is missed or a read was inconsistent. */
static int misses_goal(const totals_t *freshness)
{
	return ratio_to_oracle(freshness) < SHARE_GOAL || freshness->too_old ||
	       freshness->missing_writes;
}

int main(void)
{
	static row_t rows[WORKLOADS * LAGS];
	size_t failed_rows = 0;

	puts("workload     lag   share  oracle   ratio  tries probes  none"
	     "   old  miss   RRold  RRmiss  bytes RRbyte Pbytes    ms  RRms"
	     "   Pms");
	for (size_t i = 0; i < WORKLOADS * LAGS; i++) {
		run_row(&rows[i], &workloads[i / LAGS], lags_ms[i % LAGS]);
		print_row(&rows[i]);
		failed_rows +=
			misses_goal(&rows[i].totals[POLICY_FRESHNESS]) ? 1 : 0;
	}
	for (size_t i = 0; i < WORKLOADS; i++)
		run_intervals(&workloads[i]);
	printf("rows below %.2f of the oracle or with a wrong read: %zu\n",
	       SHARE_GOAL, failed_rows);
	print_json(rows);
	return failed_rows ? 1 : 0;
}

#include "common/read_sim.h"

#include <stdio.h>

/*
 * Share of the reads that accept some age which replicas serve, beside that of
 * an oracle that knows every replica's position, and the bytes over the link
 * between regions, beside the plainest policies on the same seed.
 */

enum {
	SEED = 20260501,
	WORKLOADS = 2,
	LAGS = 8,
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

static double ratio(uint64_t a, uint64_t b)
{
	return b ? (double)a / (double)b : 0;
}

static void print_row(const workload_t *workload, kb_time_t lag_ms,
		      const totals_t totals[POLICIES])
{
	const totals_t *own = &totals[POLICY_FRESHNESS];
	const totals_t *primary = &totals[POLICY_PRIMARY];
	const totals_t *robin = &totals[POLICY_ROUND_ROBIN];

	printf("%-9s %6lld %7.3f %7.3f %6.3f %5.2f %5llu %5llu %5llu %6llu "
	       "%6llu %6.0f %6.0f %6.0f %6.1f %6.1f %6.1f\n",
	       workload->name, (long long)lag_ms,
	       ratio(own->replica, own->aged), ratio(own->oracle, own->aged),
	       ratio(own->replica, own->oracle),
	       ratio(own->attempts, own->reads),
	       (unsigned long long)own->refused,
	       (unsigned long long)own->too_old,
	       (unsigned long long)own->missed,
	       (unsigned long long)robin->too_old,
	       (unsigned long long)robin->missed,
	       ratio(own->link_bytes, own->reads),
	       ratio(robin->link_bytes, robin->reads),
	       ratio(primary->link_bytes, primary->reads),
	       own->latency_ms / (double)own->reads,
	       robin->latency_ms / (double)robin->reads,
	       primary->latency_ms / (double)primary->reads);
}

static void print_json(size_t rows, totals_t totals[][POLICIES])
{
	const char *separator = "";

	printf("{\"bench\":\"replica_share\",\"seed\":%d,\"rows\":[", SEED);
	for (size_t i = 0; i < rows; i++) {
		const totals_t *own = &totals[i][POLICY_FRESHNESS];
		const totals_t *robin = &totals[i][POLICY_ROUND_ROBIN];

		printf("%s{\"workload\":\"%s\",\"lagMs\":%lld,"
		       "\"share\":%.4f,\"oracle\":%.4f,\"tooOld\":%llu,"
		       "\"missed\":%llu,\"linkBytes\":%.0f,"
		       "\"roundRobinLinkBytes\":%.0f}",
		       separator, workloads[i / LAGS].name,
		       (long long)lags_ms[i % LAGS],
		       ratio(own->replica, own->aged),
		       ratio(own->oracle, own->aged),
		       (unsigned long long)own->too_old,
		       (unsigned long long)own->missed,
		       ratio(own->link_bytes, own->reads),
		       ratio(robin->link_bytes, robin->reads));
		separator = ",";
	}
	puts("]}");
}

/* Returns non-zero if the goal is missed or a promise is broken. */
static int misses_goal(const totals_t *own)
{
	return ratio(own->replica, own->oracle) < SHARE_GOAL || own->too_old ||
	       own->missed;
}

int main(void)
{
	static totals_t totals[WORKLOADS * LAGS][POLICIES];
	size_t missed = 0;

	puts("                   share  oracle  ratio tries  none   old  miss"
	     "  RRold RRmiss  bytes RRbytes Pbytes     ms   RRms    Pms");
	for (size_t i = 0; i < WORKLOADS * LAGS; i++) {
		const workload_t *workload = &workloads[i / LAGS];
		kb_time_t lag = lags_ms[i % LAGS];

		for (int policy = 0; policy < POLICIES; policy++)
			read_sim_run(&totals[i][policy], workload,
				     (policy_t)policy, lag * KB_NS_PER_MS,
				     SEED);
		print_row(workload, lag, totals[i]);
		missed += misses_goal(&totals[i][POLICY_FRESHNESS]) ? 1 : 0;
	}
	printf("rows below %.2f of the oracle or with a wrong read: %zu\n",
	       SHARE_GOAL, missed);
	print_json(WORKLOADS * LAGS, totals);
	return missed ? 1 : 0;
}

#include "fake_group.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Measures the gap in writes at a failover, and promotions without a failure of
 * the primary. Three hosts with the real state machines watch a simulated group
 * and a fourth host writes to it. Usage: bench_failover [SEEDS]
 */

enum {
	DEFAULT_SEEDS = 1000,
	SETTLE_MS = 1500,
	OBSERVE_MS = 7000,
	STEP_MS = 100,
	WATCHERS = 3,
	REPLICA_HEARTBEAT_MS = 1000,
	HOST_FAULT_MAX_DELAY_MS = 800,
	LOSS_PER_MILLE = 10,
	TAIL_PER_MILLE = 10,
	TAIL_MS = 200,
	WRITE_INTERVAL_MS = 10,
	STALL_SEEDS_DIVISOR = 10,
	NEVER_REFUSED = 1 << 30,
	FAULT_MAX_DELAY_MS = 400,
	JSON_BYTES = 16384,
	PERCENT = 100,
};

static const int stalls_ms[] = { 50,  100, 150, 200,  250, 290,
				 350, 400, 500, 1000, 2000 };
enum { STALLS = sizeof(stalls_ms) / sizeof(stalls_ms[0]) };

/* Parameters of failure detection and promotion. */
typedef struct policy {
	const char *name;
	/* Fixed time-out that each host applies on its own; 0: adaptive. */
	int fixed_timeout_ms;
	/* Wait between fencing and promotion. */
	int fence_wait;
	/* Heartbeat interval, or 0 for the default. */
	int heartbeat_ms;
} policy_t;

static const policy_t policies[] = {
	{ "adaptive", 0, 1, 0 },	 { "adaptive-no-hold", 0, 0, 0 },
	{ "adaptive-300ms", 0, 1, 300 }, { "fixed-200ms", 200, 1, 0 },
	{ "fixed-1s", 1000, 1, 0 },	 { "fixed-3s", 3000, 1, 0 },
};
enum { POLICIES = sizeof(policies) / sizeof(policies[0]) };

static const char *const deployments[] = { "khomas", "riga" };
enum { DEPLOYMENTS = sizeof(deployments) / sizeof(deployments[0]) };

typedef enum fault {
	FAULT_SILENT,
	FAULT_REFUSED,
	FAULT_ISOLATED,
	/* Silent, and one of the hosts fails at the same time. */
	FAULT_WITH_HOST,
	/* Silent, and one of the hosts fails within HOST_FAULT_MAX_DELAY_MS. */
	FAULT_THEN_HOST,
	/* Silent, while messages are lost and delayed. */
	FAULT_LOSSY,
	FAULT_STALL,
	FAULT_HOST_ISOLATED,
	FAULT_HOST_LOST_PRIMARY,
} fault_t;

/* Result of one run. */
typedef struct run {
	kb_time_t gap;
	size_t promotions;
	const char *violation;
} run_t;

static kb_time_t ms(int64_t count)
{
	return count * KB_NS_PER_MS;
}

static void set_policy(fake_params_t *params, const policy_t *policy)
{
	kb_detector_params_t *detector = &params->failover.detector;

	if (!policy->fence_wait) {
		params->failover.promotion.fence_wait = 0;
		params->confirm.window = 0;
	}
	if (policy->heartbeat_ms) {
		params->failover.watch.heartbeat = ms(policy->heartbeat_ms);
		params->failover.watch.replica_heartbeat =
			ms(REPLICA_HEARTBEAT_MS);
	}
	if (!policy->fixed_timeout_ms)
		return;
	detector->stall = detector->max_timeout = ms(policy->fixed_timeout_ms);
	detector->margin = 0;
	detector->refused_count = NEVER_REFUSED;
	detector->progress = 0;
	detector->replication = KB_TIME_NEVER;
	params->failover.quorum.sole_watcher_wait = 0;
	params->ignores_view_requests = 1;
}

static size_t random_host(fake_group_t *group)
{
	return kb_rng_below(&group->rng, WATCHERS);
}

static void inject_fault(fake_group_t *group, fault_t fault, kb_time_t stall)
{
	size_t host = fake_group_host_node(group, random_host(group));

	switch (fault) {
	case FAULT_SILENT:
	case FAULT_LOSSY:
		fake_group_crash_target(group, 0, 0);
		break;
	case FAULT_WITH_HOST:
		fake_group_crash_target(group, 0, 0);
		fake_group_crash_host(group, random_host(group));
		break;
	case FAULT_THEN_HOST:
		fake_group_crash_target(group, 0, 0);
		fake_group_run(
			group,
			group->now +
				(kb_time_t)kb_rng_below(
					&group->rng,
					(uint64_t)ms(HOST_FAULT_MAX_DELAY_MS)));
		fake_group_crash_host(group, random_host(group));
		break;
	case FAULT_REFUSED:
		fake_group_crash_target(group, 0, 1);
		break;
	case FAULT_ISOLATED:
		fake_group_isolate(group, 0, 1);
		break;
	case FAULT_STALL:
		fake_group_pause(group, 0, group->now + stall);
		break;
	case FAULT_HOST_ISOLATED:
		fake_group_isolate(group, host, 1);
		break;
	case FAULT_HOST_LOST_PRIMARY:
		fake_group_cut(group, host, 0, 1);
		break;
	}
}

/* Returns non-zero once a write of a later term has been acknowledged. */
static int has_resumed(const fake_group_t *group)
{
	return group->ack_count &&
	       group->acks[group->ack_count - 1].point.term > 1;
}

static run_t run_once(uint64_t seed, int deployment, const policy_t *policy,
		      fault_t fault, kb_time_t stall)
{
	fake_params_t params;
	fake_group_t group;
	kb_time_t at, step;
	run_t run;

	fake_params_init(&params);
	params.seed = seed;
	params.host_count = WATCHERS + 1;
	params.first_writer = WATCHERS;
	params.write_interval = ms(WRITE_INTERVAL_MS);
	fake_params_set_deployment(&params, (fake_deployment_t)deployment);
	set_policy(&params, policy);
	if (fault == FAULT_LOSSY) {
		params.loss_per_mille = LOSS_PER_MILLE;
		params.tail_per_mille = TAIL_PER_MILLE;
		params.tail = ms(TAIL_MS);
	}
	fake_group_init(&group, &params);
	at = ms(SETTLE_MS) +
	     (kb_time_t)kb_rng_below(&group.rng,
				     (uint64_t)ms(FAULT_MAX_DELAY_MS));
	fake_group_run(&group, at);
	inject_fault(&group, fault, stall);
	for (step = 0; step < ms(OBSERVE_MS); step += ms(STEP_MS)) {
		fake_group_run(&group, at + step);
		if (fault < FAULT_STALL && has_resumed(&group))
			break;
	}
	run.gap = fake_group_longest_gap(&group, at - ms(SETTLE_MS) / 2,
					 group.now);
	run.promotions = group.promotions;
	run.violation = group.violation;
	fake_group_finish(&group);
	return run;
}

static int compare_times(const void *a, const void *b)
{
	kb_time_t x = *(const kb_time_t *)a, y = *(const kb_time_t *)b;

	return (x > y) - (x < y);
}

/* Results of a series of runs; the gaps are sorted. */
typedef struct series {
	kb_time_t *gaps;
	size_t count;
	size_t promoted;
	size_t violations;
} series_t;

static void run_series(series_t *series, size_t seeds, int deployment,
		       const policy_t *policy, fault_t fault, kb_time_t stall)
{
	series->count = seeds;
	series->promoted = series->violations = 0;
	for (size_t i = 0; i < seeds; i++) {
		run_t run = run_once(i + 1, deployment, policy, fault, stall);

		series->gaps[i] = run.gap;
		series->promoted += run.promotions != 0;
		series->violations += run.violation != NULL;
	}
	qsort(series->gaps, seeds, sizeof(series->gaps[0]), compare_times);
}

static double gap_at(const series_t *series, unsigned percent)
{
	size_t place = (series->count - 1) * percent / PERCENT;

	return (double)series->gaps[place] / KB_NS_PER_MS;
}

/* A text buffer; text that does not fit is truncated. */
typedef struct text {
	char data[JSON_BYTES];
	size_t len;
} text_t;

#define APPEND(text, ...)                             \
	((text)->len +=                               \
	 (size_t)snprintf((text)->data + (text)->len, \
			  sizeof((text)->data) - (text)->len, __VA_ARGS__))

static void measure_gaps(text_t *json, series_t *series, size_t seeds,
			 int deployment, const policy_t *policy)
{
	static const char *const names[] = { "silent",	  "refused",
					     "cut-off",	  "with-host",
					     "then-host", "lossy" };

	for (int fault = FAULT_SILENT; fault < FAULT_STALL; fault++) {
		run_series(series, seeds, deployment, policy, (fault_t)fault,
			   0);
		printf("%-7s %-17s primary %-9s gap ms: median %7.1f  "
		       "p99 %7.1f  worst %7.1f  violations %zu\n",
		       deployments[deployment], policy->name, names[fault],
		       gap_at(series, 50), gap_at(series, 99),
		       gap_at(series, PERCENT), series->violations);
		APPEND(json,
		       "\"%s\":{\"medianMs\":%.1f,\"p99Ms\":%.1f,"
		       "\"worstMs\":%.1f,\"violations\":%zu},",
		       names[fault], gap_at(series, 50), gap_at(series, 99),
		       gap_at(series, PERCENT), series->violations);
	}
}

static void measure_unneeded_promotions(text_t *json, series_t *series,
					size_t seeds, int deployment,
					const policy_t *policy)
{
	printf("%-7s %-17s promotions of %zu, by stall:",
	       deployments[deployment], policy->name, seeds);
	APPEND(json, "\"stalls\":{");
	for (size_t i = 0; i < STALLS; i++) {
		run_series(series, seeds, deployment, policy, FAULT_STALL,
			   ms(stalls_ms[i]));
		printf(" %d ms %zu;", stalls_ms[i], series->promoted);
		APPEND(json, "%s\"%d\":%zu", i ? "," : "", stalls_ms[i],
		       series->promoted);
	}
	run_series(series, seeds, deployment, policy, FAULT_HOST_ISOLATED, 0);
	printf(" one host cut off %zu;", series->promoted);
	APPEND(json, "},\"hostCutOff\":%zu", series->promoted);
	run_series(series, seeds, deployment, policy, FAULT_HOST_LOST_PRIMARY,
		   0);
	printf(" one host cut from the primary %zu\n", series->promoted);
	APPEND(json, ",\"hostLostPrimary\":%zu}", series->promoted);
}

int main(int argc, char **argv)
{
	size_t seeds = argc > 1 ? strtoul(argv[1], NULL, 10) : DEFAULT_SEEDS;
	size_t stall_seeds = seeds / STALL_SEEDS_DIVISOR;
	static text_t json;
	series_t series = { 0 };

	if (!seeds)
		return 1;
	if (!stall_seeds)
		stall_seeds = 1;
	series.gaps = calloc(seeds, sizeof(series.gaps[0]));
	if (!series.gaps)
		return 1;
	APPEND(&json,
	       "{\"bench\":\"failover\",\"seeds\":%zu,\"stallSeeds\":%zu",
	       seeds, stall_seeds);
	for (int d = 0; d < DEPLOYMENTS; d++) {
		for (size_t p = 0; p < POLICIES; p++) {
			APPEND(&json, ",\"%s/%s\":{", deployments[d],
			       policies[p].name);
			measure_gaps(&json, &series, seeds, d, &policies[p]);
			measure_unneeded_promotions(&json, &series, stall_seeds,
						    d, &policies[p]);
		}
	}
	APPEND(&json, "}");
	puts(json.data);
	free(series.gaps);
	return 0;
}

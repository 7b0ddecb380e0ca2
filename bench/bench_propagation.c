/*
 * Measures, for several sizes of the fleet, how long a configuration change
 * takes to be in force on every host, and what membership and configuration
 * cost a host. The real state machines run in one process, in a discrete-event
 * simulation of the network.
 */
#include "common/propagation_fleet.h"

#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

enum {
	WARM_UP_MS = 3000,
	IDLE_MS = 10000,
	CHANGE_PERIOD_MS = 2500,
	RESTART_PERIOD_MS = 1000,
	SETTLE_MS = 8000,
	VALUE_BYTES = 600,
	SAMPLES_MAX = 4096,
	/* Reads per second that the store is specified to serve. */
	STORE_READS_PER_S = 2000,
	BASELINE_POLL_MS = 3000,
	BASELINE_RETRANSMIT_MS = 200,
};

#define LOSS 0.01

/* A size of the fleet, and the number of seeds, changes and restarts. */
typedef struct bench_size {
	uint32_t hosts;
	uint32_t data_centres;
	uint32_t regions;
	uint64_t seeds;
	int changes;
	int restarts;
} bench_size_t;

static const bench_size_t sizes[] = {
	{ 9, 3, 2, 40, 10, 3 },
	{ 100, 6, 3, 20, 10, 5 },
	{ 1000, 12, 5, 4, 6, 5 },
	{ 3600, 24, 7, 2, 8, 5 },
};

/* Cost of a phase, summed over all hosts. */
typedef struct bench_cost {
	double seconds;
	double cpu_us;
	double bytes;
	/* Bytes per second sent by the host that sent the most. */
	double max_bytes_per_s;
	/* Bytes sent to other regions. */
	double region_bytes;
} bench_cost_t;

/* Results of one size, summed over the seeds. */
typedef struct bench_result {
	double in_force_ms[SAMPLES_MAX];
	size_t in_force_count;
	double watch_ms[SAMPLES_MAX];
	double poll_ms[SAMPLES_MAX];
	size_t baseline_count;
	size_t incomplete;
	bench_cost_t idle;
	bench_cost_t change;
	bench_cost_t restart;
	double watches;
	double memory;
} bench_result_t;

static double cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6 +
	       (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/* Bytes that the process has allocated, the allocator's overhead included. */
static double allocated(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd);
}

/* Adds the cost of the phase that began at processor time `cpu_before`. */
static void add_cost(bench_cost_t *cost, const propagation_fleet_t *fleet,
		     double seconds, double cpu_before)
{
	double most = 0;

	cost->seconds += seconds;
	cost->cpu_us += cpu_us() - cpu_before;
	for (uint32_t i = 0; i < fleet->params.hosts; i++) {
		const propagation_traffic_t *traffic = &fleet->hosts[i].traffic;
		double sent =
			(double)(traffic->member_bytes + traffic->gossip_bytes);

		cost->bytes += sent;
		cost->region_bytes += (double)traffic->region_bytes;
		if (sent > most)
			most = sent;
	}
	most /= seconds;
	if (most > cost->max_bytes_per_s)
		cost->max_bytes_per_s = most;
}

static void run_idle(propagation_fleet_t *fleet, bench_result_t *result)
{
	double before;

	propagation_fleet_run(fleet, WARM_UP_MS);
	propagation_fleet_clear_traffic(fleet);
	before = cpu_us();
	propagation_fleet_run(fleet, IDLE_MS);
	add_cost(&result->idle, fleet, IDLE_MS / 1e3, before);
	result->watches = propagation_fleet_watch_count(fleet);
}

static void run_changes(propagation_fleet_t *fleet, int changes,
			bench_result_t *result)
{
	uint64_t first = fleet->change_count;
	double before = cpu_us();

	propagation_fleet_clear_traffic(fleet);
	for (int i = 0; i < changes; i++) {
		double part = propagation_fleet_random(fleet);
		int64_t wait = (int64_t)(part * 1000);

		propagation_fleet_run(fleet, wait);
		propagation_fleet_commit_change(fleet);
		propagation_fleet_run(fleet, CHANGE_PERIOD_MS - wait);
	}
	add_cost(&result->change, fleet, changes * CHANGE_PERIOD_MS / 1e3,
		 before);
	propagation_fleet_run(fleet, SETTLE_MS);
	for (uint64_t i = first; i < fleet->change_count; i++) {
		const propagation_change_t *change = &fleet->changes[i];

		if (!change->in_force_at)
			result->incomplete++;
		else if (result->in_force_count < SAMPLES_MAX)
			result->in_force_ms[result->in_force_count++] =
				(double)(change->in_force_at -
					 change->accepted_at) /
				(double)KB_NS_PER_MS;
	}
}

static void run_restarts(propagation_fleet_t *fleet, int restarts,
			 bench_result_t *result)
{
	double before = cpu_us();
	uint32_t hosts = fleet->params.hosts;

	propagation_fleet_clear_traffic(fleet);
	for (int i = 0; i < restarts; i++) {
		uint32_t host =
			(uint32_t)(propagation_fleet_random(fleet) * hosts);

		propagation_fleet_leave(fleet, host);
		propagation_fleet_run(fleet, RESTART_PERIOD_MS);
		propagation_fleet_restart(fleet, host);
		propagation_fleet_run(fleet, RESTART_PERIOD_MS);
	}
	propagation_fleet_run(fleet, SETTLE_MS);
	add_cost(&result->restart, fleet,
		 (restarts * 2 * RESTART_PERIOD_MS + SETTLE_MS) / 1e3, before);
}

/*
 * Computes two baselines without gossip: every host has its own watch, which
 * the store serves one after the other, or polls at a random phase. A lost
 * segment is retransmitted after BASELINE_RETRANSMIT_MS.
 */
static void run_baselines(propagation_fleet_t *fleet, int changes,
			  bench_result_t *result)
{
	for (int i = 0; i < changes; i++) {
		double watch_worst = 0;
		double poll_worst = 0;

		for (uint32_t host = 0; host < fleet->params.hosts; host++) {
			double one_way_ms = (double)propagation_fleet_latency(
						    fleet, 0, host) /
					    (double)KB_NS_PER_MS;
			double queue_ms = host * 1e3 / STORE_READS_PER_S;
			double phase_ms = propagation_fleet_random(fleet) *
					  BASELINE_POLL_MS;

			while (propagation_fleet_random(fleet) <
			       fleet->params.loss)
				one_way_ms += BASELINE_RETRANSMIT_MS;
			if (queue_ms + one_way_ms > watch_worst)
				watch_worst = queue_ms + one_way_ms;
			if (phase_ms + 2 * one_way_ms > poll_worst)
				poll_worst = phase_ms + 2 * one_way_ms;
		}
		if (result->baseline_count == SAMPLES_MAX)
			return;
		result->watch_ms[result->baseline_count] = watch_worst;
		result->poll_ms[result->baseline_count++] = poll_worst;
	}
}

static void run_seed(const bench_size_t *size, uint64_t seed,
		     bench_result_t *result)
{
	propagation_params_t params = { .hosts = size->hosts,
					.data_centres = size->data_centres,
					.regions = size->regions,
					.loss = LOSS,
					.value_bytes = VALUE_BYTES,
					.seed = seed };
	propagation_fleet_t fleet;
	double before = allocated();

	propagation_fleet_init(&fleet, &params);
	result->memory = (allocated() - before) / size->hosts;
	run_idle(&fleet, result);
	run_changes(&fleet, size->changes, result);
	run_restarts(&fleet, size->restarts, result);
	run_baselines(&fleet, size->changes, result);
	propagation_fleet_finish(&fleet);
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double percentile(double *samples, size_t count, double share)
{
	size_t index = (size_t)(share * (double)count);

	if (!count)
		return 0;
	qsort(samples, count, sizeof(*samples), compare);
	return samples[index < count ? index : count - 1];
}

/* Rate per second and host of a sum in `cost`. */
static double rate(double sum, const bench_cost_t *cost, uint32_t hosts)
{
	return sum / cost->seconds / hosts;
}

static void print_text(const bench_size_t *size, bench_result_t *r)
{
	size_t n = r->in_force_count;
	size_t b = r->baseline_count;

	printf("%u hosts, %u data centres, %u regions, %" PRIu64
	       " seeds, %zu changes, 1 %% loss\n",
	       size->hosts, size->data_centres, size->regions, size->seeds, n);
	printf("  in force everywhere: median %.0f ms, p99 %.0f ms, "
	       "worst %.0f ms, never %zu\n",
	       percentile(r->in_force_ms, n, 0.5),
	       percentile(r->in_force_ms, n, 0.99),
	       percentile(r->in_force_ms, n, 1), r->incomplete);
	printf("  baseline, all watch: median %.0f ms, worst %.0f ms; "
	       "all poll: median %.0f ms, worst %.0f ms\n",
	       percentile(r->watch_ms, b, 0.5), percentile(r->watch_ms, b, 1),
	       percentile(r->poll_ms, b, 0.5), percentile(r->poll_ms, b, 1));
	printf("  store: %.0f waiting watches; baseline: %u watches or "
	       "%.0f reads/s\n",
	       r->watches, size->hosts, size->hosts * 1e3 / BASELINE_POLL_MS);
}

/* Cost per event and host, less what an idle host costs in the same time. */
static double extra(double sum, const bench_cost_t *cost, double idle_sum,
		    const bench_cost_t *idle, const bench_size_t *size,
		    int occurrences)
{
	double idle_rate = idle_sum / idle->seconds;

	return (sum - idle_rate * cost->seconds) / size->hosts /
	       ((double)size->seeds * occurrences);
}

static void print_costs(const bench_size_t *size, bench_result_t *r)
{
	uint32_t n = size->hosts;
	double idle_bytes = rate(r->idle.bytes, &r->idle, n);
	double idle_region = rate(r->idle.region_bytes, &r->idle, n);
	double idle_cpu = rate(r->idle.cpu_us, &r->idle, n);
	double change_bytes = extra(r->change.bytes, &r->change, r->idle.bytes,
				    &r->idle, size, size->changes);
	double change_cpu = extra(r->change.cpu_us, &r->change, r->idle.cpu_us,
				  &r->idle, size, size->changes);
	double restart_bytes =
		extra(r->restart.bytes, &r->restart, r->idle.bytes, &r->idle,
		      size, size->restarts);
	double restart_cpu =
		extra(r->restart.cpu_us, &r->restart, r->idle.cpu_us, &r->idle,
		      size, size->restarts);
	size_t count = r->in_force_count;

	printf("  idle host sends %.0f B/s (the most: %.0f; to other regions "
	       "%.0f), %.1f us/s of a processor, %.0f kB of memory\n",
	       idle_bytes, r->idle.max_bytes_per_s, idle_region, idle_cpu,
	       r->memory / 1e3);
	printf("  a change costs a host %.0f B and %.1f us (the most while "
	       "changing: %.0f B/s)\n",
	       change_bytes, change_cpu, r->change.max_bytes_per_s);
	printf("  a restart of one costs each host %.0f B and %.1f us (the "
	       "most while restarting: %.0f B/s)\n",
	       restart_bytes, restart_cpu, r->restart.max_bytes_per_s);
	printf("{\"bench\": \"propagation\", \"hosts\": %u, "
	       "\"data_centres\": %u, \"in_force_ms\": {\"median\": %.1f, "
	       "\"p99\": %.1f, \"worst\": %.1f}, \"never\": %zu, "
	       "\"baseline_watch_ms\": {\"median\": %.1f, \"worst\": %.1f}, "
	       "\"baseline_poll_ms\": {\"median\": %.1f, \"worst\": %.1f}, "
	       "\"store_watches\": %.0f, \"baseline_store_watches\": %u, ",
	       n, size->data_centres, percentile(r->in_force_ms, count, 0.5),
	       percentile(r->in_force_ms, count, 0.99),
	       percentile(r->in_force_ms, count, 1), r->incomplete,
	       percentile(r->watch_ms, r->baseline_count, 0.5),
	       percentile(r->watch_ms, r->baseline_count, 1),
	       percentile(r->poll_ms, r->baseline_count, 0.5),
	       percentile(r->poll_ms, r->baseline_count, 1), r->watches, n);
	printf("\"idle_region_bytes_per_s\": %.1f, ", idle_region);
	printf("\"idle_bytes_per_s\": %.1f, \"idle_most_bytes_per_s\": %.1f, "
	       "\"idle_cpu_us_per_s\": %.2f, \"change_bytes\": %.1f, "
	       "\"change_cpu_us\": %.2f, \"restart_bytes\": %.1f, "
	       "\"restart_cpu_us\": %.2f, \"restart_most_bytes_per_s\": %.1f, "
	       "\"memory_bytes\": %.0f}\n",
	       idle_bytes, r->idle.max_bytes_per_s, idle_cpu, change_bytes,
	       change_cpu, restart_bytes, restart_cpu,
	       r->restart.max_bytes_per_s, r->memory);
	fflush(stdout);
}

int main(int argc, char **argv)
{
	uint32_t largest =
		argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : UINT32_MAX;
	/* A second argument sets the number of seeds. */
	uint64_t seeds = argc > 2 ? strtoull(argv[2], NULL, 10) : 0;
	bench_result_t *result = malloc(sizeof(*result));
	int incomplete = 0;

	if (!result)
		return 1;
	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		bench_size_t size = sizes[i];

		if (size.hosts > largest)
			break;
		if (seeds)
			size.seeds = seeds;
		memset(result, 0, sizeof(*result));
		for (uint64_t seed = 1; seed <= size.seeds; seed++)
			run_seed(&size, seed, result);
		print_text(&size, result);
		print_costs(&size, result);
		incomplete += result->incomplete != 0;
	}
	free(result);
	return incomplete != 0;
}

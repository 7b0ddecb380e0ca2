/*
 * Measures how long membership takes to converge after a host leaves, after a
 * host or a whole data centre fails, and after a partitioned region reconnects,
 * and the highest rate at which a host sends meanwhile.
 */
#include "common/propagation_fleet.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	WARM_UP_MS = 4000,
	STEP_MS = 100,
	/* Minimum period for a rate, so that short ones do not inflate it. */
	RATE_MIN_MS = 1000,
	LIMIT_MS = 900000,
	CUT_MS = 60000,
	SAMPLES_MAX = 256,
	VALUE_BYTES = 600,
};

#define LOSS 0.01

typedef struct bench_size {
	uint32_t hosts;
	uint32_t data_centres;
	uint32_t regions;
	uint64_t seeds;
	uint64_t cut_seeds;
} bench_size_t;

static const bench_size_t sizes[] = {
	{ 9, 3, 2, 200, 20 },
	{ 100, 6, 3, 20, 5 },
	{ 1000, 12, 5, 3, 1 },
	{ 3600, 24, 7, 1, 0 },
};

/* Results of one kind of event over several seeds. */
typedef struct bench_series {
	double seconds[SAMPLES_MAX];
	size_t count;
	size_t incomplete;
	double max_bytes_per_s;
} bench_series_t;

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double median(bench_series_t *series)
{
	qsort(series->seconds, series->count, sizeof(*series->seconds),
	      compare);
	return series->count ? series->seconds[series->count / 2] : 0;
}

static double worst(bench_series_t *series)
{
	qsort(series->seconds, series->count, sizeof(*series->seconds),
	      compare);
	return series->count ? series->seconds[series->count - 1] : 0;
}

static uint32_t running(const propagation_fleet_t *fleet)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < fleet->params.hosts; i++)
		count += (uint32_t)fleet->hosts[i].running;
	return count;
}

/*
 * Returns non-zero if every running host counts as many live members as hosts
 * are running.
 */
static int all_agree(const propagation_fleet_t *fleet)
{
	uint32_t expected = running(fleet);

	for (uint32_t i = 0; i < fleet->params.hosts; i++) {
		const propagation_host_t *host = &fleet->hosts[i];

		if (host->running &&
		    kb_members_live_count(&host->peers.members) != expected)
			return 0;
	}
	return 1;
}

/* Returns non-zero if every host has host 0 as leaving. */
static int all_see_leaving(const propagation_fleet_t *fleet)
{
	kb_str_t name =
		kb_member_name(kb_members_self(&fleet->hosts[0].peers.members));

	for (uint32_t i = 0; i < fleet->params.hosts; i++) {
		const kb_member_t *member =
			kb_members_find(&fleet->hosts[i].peers.members, name);

		if (!member || !member->leaving)
			return 0;
	}
	return 1;
}

typedef int bench_condition_fn_t(const propagation_fleet_t *fleet);

/* Runs until `done`; records the time and the highest rate of a host. */
static void measure(propagation_fleet_t *fleet, bench_condition_fn_t *done,
		    bench_series_t *series)
{
	kb_time_t start = fleet->now;
	int64_t ms;

	propagation_fleet_clear_traffic(fleet);
	for (ms = 0; ms < LIMIT_MS && !done(fleet); ms += STEP_MS)
		propagation_fleet_run(fleet, STEP_MS);
	if (ms >= LIMIT_MS)
		series->incomplete++;
	series->seconds[series->count++] =
		(double)(fleet->now - start) / (double)KB_NS_PER_S;
	for (uint32_t i = 0; i < fleet->params.hosts; i++) {
		const propagation_traffic_t *traffic = &fleet->hosts[i].traffic;
		double rate = (double)(traffic->member_bytes +
				       traffic->gossip_bytes) *
			      1e3 /
			      (double)(ms > RATE_MIN_MS ? ms : RATE_MIN_MS);

		if (rate > series->max_bytes_per_s)
			series->max_bytes_per_s = rate;
	}
}

static void start(propagation_fleet_t *fleet, const bench_size_t *size,
		  uint64_t seed)
{
	propagation_params_t params = { .hosts = size->hosts,
					.data_centres = size->data_centres,
					.regions = size->regions,
					.loss = LOSS,
					.value_bytes = VALUE_BYTES,
					.seed = seed };

	propagation_fleet_init(fleet, &params);
	propagation_fleet_run(fleet, WARM_UP_MS);
}

static void lose_host(const bench_size_t *size, uint64_t seed,
		      bench_series_t *series)
{
	propagation_fleet_t fleet;

	start(&fleet, size, seed);
	propagation_fleet_kill(
		&fleet,
		(uint32_t)(propagation_fleet_random(&fleet) * size->hosts));
	measure(&fleet, all_agree, series);
	propagation_fleet_finish(&fleet);
}

static void lose_data_centre(const bench_size_t *size, uint64_t seed,
			     bench_series_t *series)
{
	propagation_fleet_t fleet;

	start(&fleet, size, seed);
	for (uint32_t i = 1; i < size->hosts; i += size->data_centres)
		propagation_fleet_kill(&fleet, i);
	measure(&fleet, all_agree, series);
	propagation_fleet_finish(&fleet);
}

static void leave(const bench_size_t *size, uint64_t seed,
		  bench_series_t *series)
{
	propagation_fleet_t fleet;

	start(&fleet, size, seed);
	propagation_fleet_leave(&fleet, 0);
	measure(&fleet, all_see_leaving, series);
	propagation_fleet_finish(&fleet);
}

static void cut_region(const bench_size_t *size, uint64_t seed,
		       bench_series_t *series)
{
	propagation_fleet_t fleet;

	start(&fleet, size, seed);
	fleet.cut_region = 1;
	propagation_fleet_run(&fleet, CUT_MS);
	fleet.cut_region = 0;
	measure(&fleet, all_agree, series);
	propagation_fleet_finish(&fleet);
}

static void print_series(const char *what, bench_series_t *series)
{
	if (series->count)
		printf("  %s: converged after %.1f s at the median, %.1f s at "
		       "worst, not within the limit %zu; a host sends at most "
		       "%.0f B/s\n",
		       what, median(series), worst(series), series->incomplete,
		       series->max_bytes_per_s);
}

static void print_json(const char *name, bench_series_t *series)
{
	printf(", \"%s\": {\"median_s\": %.1f, \"worst_s\": %.1f, "
	       "\"most_bytes_per_s\": %.0f, \"seeds\": %zu}",
	       name, median(series), worst(series), series->max_bytes_per_s,
	       series->count);
}

static size_t run_size(const bench_size_t *size)
{
	static bench_series_t series[4];
	/* Baseline: each host sends a heartbeat to every other one. */
	double mesh = (size->hosts - 1) * 2.0 *
		      (PROPAGATION_DATAGRAM_BYTES + sizeof(uint64_t) * 2);

	memset(series, 0, sizeof(series));
	for (uint64_t seed = 1; seed <= size->seeds; seed++) {
		lose_host(size, seed, &series[0]);
		lose_data_centre(size, seed, &series[1]);
		leave(size, seed, &series[3]);
	}
	for (uint64_t seed = 1; seed <= size->cut_seeds; seed++)
		cut_region(size, seed, &series[2]);
	printf("%u hosts, %u data centres, %u regions, %" PRIu64
	       " seeds, 1 %% loss\n",
	       size->hosts, size->data_centres, size->regions, size->seeds);
	print_series("one host leaving", &series[3]);
	print_series("one host lost", &series[0]);
	print_series("a data centre lost", &series[1]);
	print_series("a region reconnected after 60 s", &series[2]);
	printf("  baseline, all-to-all heartbeats twice a second: "
	       "%.0f B/s\n",
	       mesh);
	printf("{\"bench\": \"membership\", \"hosts\": %u", size->hosts);
	print_json("host_leaving", &series[3]);
	print_json("host_lost", &series[0]);
	print_json("data_centre_lost", &series[1]);
	print_json("region_healed", &series[2]);
	printf(", \"baseline_mesh_bytes_per_s\": %.0f}\n", mesh);
	fflush(stdout);
	return series[0].incomplete + series[1].incomplete +
	       series[2].incomplete + series[3].incomplete;
}

int main(int argc, char **argv)
{
	uint32_t largest =
		argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : UINT32_MAX;
	/* A second argument runs the partition at every size. */
	int cut_all = argc > 2;
	size_t incomplete = 0;

	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		bench_size_t size = sizes[i];

		if (size.hosts > largest)
			break;
		if (cut_all && !size.cut_seeds)
			size.cut_seeds = 1;
		incomplete += run_size(&size);
	}
	return incomplete != 0;
}

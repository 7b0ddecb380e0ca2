#include "confirm.h"
#include "failover.h"

#include <stdio.h>
#include <time.h>

/*
 * Measures what watching a group costs a host: processor time per probe and per
 * write that waits for confirmation, probes sent at several rates of writes,
 * and memory.
 */

enum {
	TARGETS = 3,
	SIMULATED_S = 2000,
	WRITING_S = 20,
	MAX_WAITING = 4096,
	STEP_MS = 10,
	PERCENT = 100,
};

static const unsigned writes_per_s[] = { 10, 100, 1000, 10000 };
enum { RATES = sizeof(writes_per_s) / sizeof(writes_per_s[0]) };

/* Round trips to two data centres of the region and one of another region. */
static const int round_trips_ms[TARGETS] = { 1, 2, 16 };

/* The state machines of a host, and the probes that targets must answer. */
typedef struct bench {
	kb_failover_t failover;
	kb_confirm_t confirm;
	kb_confirm_entry_t entries[MAX_WAITING];
	uint64_t probe_ids[TARGETS];
	kb_time_t answer_at[TARGETS];
	/* Probes to the other region are counted in both. */
	uint64_t probes, other_region, confirmed;
	uint64_t position;
} bench_t;

static bench_t bench;

static void probe(kb_failover_t *failover, size_t target, uint64_t probe_id)
{
	(void)failover;
	bench.probe_ids[target] = probe_id;
	bench.answer_at[target] = KB_TIME_NEVER;
	bench.probes++;
	bench.other_region += target == TARGETS - 1;
}

static void ignore_command(kb_failover_t *failover, size_t target,
			   uint64_t term)
{
	(void)failover;
	(void)target;
	(void)term;
}

static void ignore_follow(kb_failover_t *failover, size_t target, uint64_t term,
			  size_t primary)
{
	(void)primary;
	ignore_command(failover, target, term);
}

static void ignore_view_request(kb_failover_t *failover)
{
	(void)failover;
}

static void ignore_primary_change(kb_failover_t *failover, uint64_t term,
				  size_t primary, int promoted)
{
	(void)promoted;
	ignore_follow(failover, 0, term, primary);
}

static const kb_failover_ops_t ops = {
	probe,	       ignore_command,	    ignore_command,
	ignore_follow, ignore_view_request, ignore_primary_change,
};

static void on_done(kb_confirm_entry_t *entry, kb_result_t result)
{
	entry->ops = NULL;
	bench.confirmed += result == KB_OK;
}

static const kb_confirm_entry_ops_t entry_ops = { on_done };

static void start(void)
{
	kb_failover_params_t params;
	kb_confirm_params_t confirm_params;
	kb_group_spec_t group = { .target_count = TARGETS };

	memset(&bench, 0, sizeof(bench));
	kb_name_set(&group.name, KB_STR("bench"));
	kb_failover_params_init(&params);
	kb_confirm_params_init(&confirm_params);
	kb_failover_init(&bench.failover, &ops, &params, &group);
	kb_confirm_init(&bench.confirm, &bench.failover.watch, &confirm_params);
	kb_failover_set_watchers(&bench.failover, 0, TARGETS, 0);
}

/* Answers the probes whose round trip ends by `now`. */
static void answer(kb_time_t now)
{
	for (size_t i = 0; i < TARGETS; i++) {
		kb_report_t report = { .term = 1,
				       .role = i ? KB_ROLE_REPLICA
						 : KB_ROLE_PRIMARY,
				       .received = bench.position,
				       .applied = bench.position,
				       .history = { 1, { { 1, 1 } } } };

		uint64_t id = bench.probe_ids[i];

		if (!id)
			continue;
		if (bench.answer_at[i] == KB_TIME_NEVER)
			bench.answer_at[i] =
				now + round_trips_ms[i] * KB_NS_PER_MS;
		if (bench.answer_at[i] > now)
			continue;
		bench.probe_ids[i] = 0;
		kb_failover_on_report(&bench.failover, now, i, id, KB_OK,
				      &report);
		kb_confirm_on_timer(&bench.confirm, now);
	}
}

static void write_once(kb_time_t now)
{
	for (size_t i = 0; i < MAX_WAITING; i++) {
		kb_confirm_entry_t *entry = &bench.entries[i];

		if (entry->ops)
			continue;
		entry->ops = &entry_ops;
		entry->term = 1;
		entry->position = ++bench.position;
		entry->deadline = now + KB_NS_PER_S;
		kb_confirm_add(&bench.confirm, now, entry);
		return;
	}
}

static double cpu_ns(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec * KB_NS_PER_S + (double)time.tv_nsec;
}

/* Simulates `span` at `rate` writes per second; returns ns of CPU time. */
static double run(kb_time_t span, kb_time_t step, unsigned rate)
{
	double begin = cpu_ns();
	uint64_t written = 0;

	start();
	for (kb_time_t now = 0; now < span; now += step) {
		uint64_t due = (uint64_t)(now / KB_NS_PER_US) * rate /
			       (uint64_t)(KB_NS_PER_S / KB_NS_PER_US);

		answer(now);
		for (; written < due; written++)
			write_once(now);
		kb_failover_on_timer(&bench.failover, now);
	}
	kb_confirm_finish(&bench.confirm);
	kb_failover_finish(&bench.failover);
	return cpu_ns() - begin;
}

int main(void)
{
	double ns = run(SIMULATED_S * KB_NS_PER_S, STEP_MS * KB_NS_PER_MS, 0);

	printf("idle: %.1f probes/s per group, %.0f ns per probe\n",
	       (double)bench.probes / SIMULATED_S, ns / (double)bench.probes);
	printf("memory: %zu bytes per group, %zu per waiting write\n",
	       sizeof(kb_failover_t) + sizeof(kb_confirm_t),
	       sizeof(kb_confirm_entry_t));
	printf("{\"bench\":\"watch\",\"idleProbesPerS\":%.1f,"
	       "\"nsPerProbe\":%.0f,\"bytesPerGroup\":%zu,\"writing\":[",
	       (double)bench.probes / SIMULATED_S, ns / (double)bench.probes,
	       sizeof(kb_failover_t) + sizeof(kb_confirm_t));
	for (size_t i = 0; i < RATES; i++) {
		ns = run(WRITING_S * KB_NS_PER_S, KB_NS_PER_MS,
			 writes_per_s[i]);
		printf("%s{\"writesPerS\":%u,\"confirmedPerS\":%.0f,"
		       "\"probesPerS\":%.1f,\"distantProbesPerS\":%.1f,"
		       "\"cpuPercent\":%.3f}",
		       i ? "," : "", writes_per_s[i],
		       (double)bench.confirmed / WRITING_S,
		       (double)bench.probes / WRITING_S,
		       (double)bench.other_region / WRITING_S,
		       ns * PERCENT / (WRITING_S * (double)KB_NS_PER_S));
	}
	puts("]}");
	return 0;
}

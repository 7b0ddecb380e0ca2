#include "common/event_queue.h"
#include "route_policy.h"

#include <gsl/gsl_histogram.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Compares response times under the two load estimates of route_policy.h, with
 * targets of equal and unequal speed, on the same seeds. Several hosts choose
 * targets independently; they see each other's load only in the queue lengths
 * that responses report.
 */

enum {
	TARGETS = 3,
	CLASSES = 3,
	HOSTS = 4,
	SLOTS = 2,
	SEEDS = 5,
	FIRST_SEED = 20260501,
	RUN_S = 120,
	ONE_WAY_US = 500,
	SCENARIOS = 4,
	LOADS = 4,
	HISTOGRAM_BINS = 20000,
	HISTOGRAM_END_MS = 2000,
};

#define PERCENTILE 0.99

typedef enum policy {
	POLICY_OUTSTANDING,
	POLICY_WORK,
	/* Counts only outstanding work of the statement's own class. */
	POLICY_OWN_CLASS,
	POLICIES,
} policy_t;

typedef struct scenario {
	const char *name;
	/* Mean service time in ms, by class and target. */
	double service_ms[CLASSES][TARGETS];
} scenario_t;

/* Share of each class among the statements. */
static const double class_shares[CLASSES] = { 0.6, 0.3, 0.1 };

static const scenario_t scenarios[SCENARIOS] = {
	{ "equal", { { 1, 1, 1 }, { 4, 4, 4 }, { 20, 20, 20 } } },
	{ "one-slow", { { 1, 1, 3 }, { 4, 4, 12 }, { 20, 20, 60 } } },
	{ "by-class", { { 1, 1, 4 }, { 12, 4, 4 }, { 20, 60, 20 } } },
	{ "cold-cache", { { 1, 1, 1 }, { 4, 4, 20 }, { 20, 20, 120 } } },
};

static const double loads[LOADS] = { 0.3, 0.5, 0.7, 0.9 };

/* A host's policy, and the last queue length reported by each target. */
typedef struct host {
	union {
		kb_route_policy_t policy;
		kb_least_outstanding_t outstanding;
		kb_least_work_t work;
	};
	unsigned waiting[TARGETS];
} host_t;

typedef struct statement {
	host_t *host;
	size_t class_index;
	size_t target;
	kb_time_t arrival;
	kb_time_t service;
	unsigned waiting;
	struct statement *next;
} statement_t;

typedef struct target {
	unsigned busy;
	unsigned waiting;
	statement_t *first;
	statement_t **last;
} target_t;

typedef struct run {
	const scenario_t *scenario;
	double per_second;
	kb_event_queue_t events;
	gsl_rng *rng;
	host_t hosts[HOSTS];
	target_t targets[TARGETS];
	gsl_histogram *responses;
	double total_ms;
	unsigned long count;
} run_t;

/* Response times of each policy in one scenario at one load. */
typedef struct result {
	double mean_ms[POLICIES];
	double p99_ms[POLICIES];
} result_t;

static kb_time_t own_class_delay(const kb_route_policy_t *policy,
				 const kb_route_load_t *load,
				 size_t class_index)
{
	const kb_least_work_t *self = (const kb_least_work_t *)policy;

	return self->outstanding[load->target][class_index] *
	       self->service[load->target][class_index] / load->slots;
}

static void init_policy(host_t *host, policy_t policy)
{
	static kb_route_policy_ops_t own_class;

	memset(host, 0, sizeof(*host));
	if (policy == POLICY_OUTSTANDING) {
		kb_least_outstanding_init(&host->outstanding);
		return;
	}
	kb_least_work_init(&host->work);
	if (policy == POLICY_WORK)
		return;
	own_class = *host->policy.ops;
	own_class.delay = own_class_delay;
	host->policy.ops = &own_class;
}

static void statement_answered(void *ctx, void *arg, kb_time_t now)
{
	run_t *run = ctx;
	statement_t *statement = arg;
	host_t *host = statement->host;
	double ms = (double)(now - statement->arrival) / (double)KB_NS_PER_MS;

	host->waiting[statement->target] = statement->waiting;
	host->policy.ops->ended(&host->policy, statement->target,
				statement->class_index, statement->service);
	run->total_ms += ms;
	run->count++;
	gsl_histogram_increment(run->responses, ms < HISTOGRAM_END_MS
							? ms
							: HISTOGRAM_END_MS - 1);
	free(statement);
}

static void statement_ended(void *ctx, void *arg, kb_time_t now);

static void start_next(run_t *run, target_t *target, kb_time_t now)
{
	while (target->first && target->busy < SLOTS) {
		statement_t *statement = target->first;

		target->first = statement->next;
		if (!target->first)
			target->last = &target->first;
		target->busy++;
		kb_event_queue_add(&run->events, now + statement->service,
				   statement_ended, run, statement);
	}
}

static void statement_ended(void *ctx, void *arg, kb_time_t now)
{
	run_t *run = ctx;
	statement_t *statement = arg;
	target_t *target = &run->targets[statement->target];

	target->busy--;
	target->waiting--;
	statement->waiting = target->waiting;
	kb_event_queue_add(&run->events, now + ONE_WAY_US * KB_NS_PER_US,
			   statement_answered, run, statement);
	start_next(run, target, now);
}

static void statement_arrived(void *ctx, void *arg, kb_time_t now)
{
	run_t *run = ctx;
	statement_t *statement = arg;
	target_t *target = &run->targets[statement->target];
	double mean =
		run->scenario
			->service_ms[statement->class_index][statement->target];

	statement->service = (kb_time_t)gsl_ran_exponential(
		run->rng, mean * (double)KB_NS_PER_MS);
	*target->last = statement;
	target->last = &statement->next;
	target->waiting++;
	start_next(run, target, now);
}

static size_t choose_target(run_t *run, const host_t *host, size_t class_index)
{
	/* Ties go to a random target, not to the same one at every host. */
	size_t first = gsl_rng_uniform_int(run->rng, TARGETS);
	kb_time_t best_delay = KB_TIME_NEVER;
	size_t best = first;

	for (size_t i = 0; i < TARGETS; i++) {
		size_t target = (first + i) % TARGETS;
		kb_route_load_t load = { target, SLOTS, host->waiting[target] };
		kb_time_t delay = host->policy.ops->delay(&host->policy, &load,
							  class_index);

		if (delay >= best_delay)
			continue;
		best_delay = delay;
		best = target;
	}
	return best;
}

static size_t choose_class(run_t *run)
{
	double left = gsl_rng_uniform(run->rng);
	size_t i = 0;

	while (i + 1 < CLASSES && left >= class_shares[i])
		left -= class_shares[i++];
	return i;
}

static void next_statement(void *ctx, void *arg, kb_time_t now)
{
	run_t *run = ctx;
	statement_t *statement = kb_bench_alloc(1, sizeof(*statement));
	host_t *host = &run->hosts[gsl_rng_uniform_int(run->rng, HOSTS)];
	double pause = gsl_ran_exponential(run->rng, (double)KB_NS_PER_S /
							     run->per_second);

	statement->host = host;
	statement->arrival = now;
	statement->class_index = choose_class(run);
	statement->target = choose_target(run, host, statement->class_index);
	host->policy.ops->started(&host->policy, statement->target,
				  statement->class_index);
	kb_event_queue_add(&run->events, now + ONE_WAY_US * KB_NS_PER_US,
			   statement_arrived, run, statement);
	if (now < RUN_S * KB_NS_PER_S)
		kb_event_queue_add(&run->events, now + (kb_time_t)pause,
				   next_statement, run, arg);
}

/* Returns the statements per second that all targets together can serve. */
static double capacity(const scenario_t *scenario)
{
	double per_second = 0;

	for (size_t target = 0; target < TARGETS; target++) {
		double mean_ms = 0;

		for (size_t i = 0; i < CLASSES; i++)
			mean_ms += class_shares[i] *
				   scenario->service_ms[i][target];
		per_second += SLOTS * 1000 / mean_ms;
	}
	return per_second;
}

static void run_once(run_t *run, policy_t policy, unsigned long seed)
{
	kb_event_queue_init(&run->events);
	gsl_rng_set(run->rng, seed);
	for (size_t i = 0; i < HOSTS; i++)
		init_policy(&run->hosts[i], policy);
	for (size_t i = 0; i < TARGETS; i++) {
		run->targets[i] = (target_t){ 0 };
		run->targets[i].last = &run->targets[i].first;
	}
	kb_event_queue_add(&run->events, 0, next_statement, run, NULL);
	kb_event_queue_run(&run->events, KB_TIME_NEVER);
	kb_event_queue_finish(&run->events);
}

static double percentile(const gsl_histogram *histogram)
{
	double left = PERCENTILE * gsl_histogram_sum(histogram);
	double low, high = 0;

	for (size_t i = 0; i < HISTOGRAM_BINS && left > 0; i++) {
		left -= gsl_histogram_get(histogram, i);
		gsl_histogram_get_range(histogram, i, &low, &high);
	}
	return high;
}

static void run_policy(result_t *result, const scenario_t *scenario,
		       double load, int policy)
{
	run_t *run = kb_bench_alloc(1, sizeof(*run));

	run->scenario = scenario;
	run->per_second = load * capacity(scenario);
	run->rng = gsl_rng_alloc(gsl_rng_mt19937);
	run->responses = gsl_histogram_alloc(HISTOGRAM_BINS);
	gsl_histogram_set_ranges_uniform(run->responses, 0, HISTOGRAM_END_MS);
	for (unsigned long i = 0; i < SEEDS; i++)
		run_once(run, (policy_t)policy, FIRST_SEED + i);
	result->mean_ms[policy] = run->total_ms / (double)run->count;
	result->p99_ms[policy] = percentile(run->responses);
	gsl_histogram_free(run->responses);
	gsl_rng_free(run->rng);
	free(run);
}

/* Returns a mean response time relative to that of least outstanding. */
static double mean_ratio(const result_t *result, policy_t policy)
{
	return result->mean_ms[policy] / result->mean_ms[POLICY_OUTSTANDING];
}

static double p99_ratio(const result_t *result, policy_t policy)
{
	return result->p99_ms[policy] / result->p99_ms[POLICY_OUTSTANDING];
}

static void print_json(const result_t *results)
{
	const char *separator = "";

	printf("{\"bench\":\"virtual_workload\",\"firstSeed\":%d,\"seeds\":%d,"
	       "\"rows\":[",
	       FIRST_SEED, SEEDS);
	for (size_t i = 0; i < SCENARIOS * LOADS; i++) {
		printf("%s{\"scenario\":\"%s\",\"load\":%.1f,"
		       "\"meanRatio\":%.3f,\"p99Ratio\":%.3f}",
		       separator, scenarios[i / LOADS].name, loads[i % LOADS],
		       mean_ratio(&results[i], POLICY_WORK),
		       p99_ratio(&results[i], POLICY_WORK));
		separator = ",";
	}
	puts("]}");
}

int main(void)
{
	static result_t results[SCENARIOS * LOADS];

	puts("scenario    load  outstanding mean p99 ms       work mean p99 ms"
	     "  ratios: work mean p99, own class mean p99");
	for (size_t i = 0; i < SCENARIOS * LOADS; i++) {
		result_t *result = &results[i];

		for (int policy = 0; policy < POLICIES; policy++)
			run_policy(result, &scenarios[i / LOADS],
				   loads[i % LOADS], policy);
		printf("%-10s  %4.1f  %11.2f %11.1f %11.2f %8.1f",
		       scenarios[i / LOADS].name, loads[i % LOADS],
		       result->mean_ms[0], result->p99_ms[0],
		       result->mean_ms[1], result->p99_ms[1]);
		printf(" %11.3f %6.3f %11.3f %6.3f\n",
		       mean_ratio(result, POLICY_WORK),
		       p99_ratio(result, POLICY_WORK),
		       mean_ratio(result, POLICY_OWN_CLASS),
		       p99_ratio(result, POLICY_OWN_CLASS));
	}
	print_json(results);
	return 0;
}

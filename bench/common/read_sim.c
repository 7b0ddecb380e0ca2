#include "read_sim.h"

#include <gsl/gsl_randist.h>
#include <stdlib.h>

enum {
	PROBE_INTERVAL_MS = 20,
	SERVICE_US = 2000,
	REQUEST_BYTES = 400,
	REFUSAL_BYTES = 250,
	/* One probe answer in this many takes ten times as long. */
	SLOW_PROBES = 50,
};

const unsigned read_sim_host_sites[HOSTS] = { 0, 0, 0, 1, 1, 1, 2, 2 };

kb_time_t read_sim_latency(run_t *run, size_t from, size_t to)
{
	kb_time_t base = run->workload->site_latency_us * KB_NS_PER_US;

	if (from == to)
		base = 100 * KB_NS_PER_US;
	else if (from == SITES - 1 || to == SITES - 1)
		base = 8 * KB_NS_PER_MS;
	return (kb_time_t)((double)base *
			   (1 + 0.3 * gsl_rng_uniform(run->rng)));
}

static int crosses_regions(size_t from, size_t to)
{
	return (from == SITES - 1) != (to == SITES - 1);
}

static kb_report_t report_of(group_t *group, size_t target, kb_time_t now)
{
	kb_report_t report = { .term = 1, .received = group->log.count };

	kb_history_append(&report.history, 1, 1);
	report.role =
		target == group->primary ? KB_ROLE_PRIMARY : KB_ROLE_REPLICA;
	report.applied = report.received;
	if (target == group->primary)
		return report;
	kb_bench_replica_advance(&group->gates[target].replica, now);
	report.applied = group->gates[target].replica.applied;
	return report;
}

/* The gate takes an answer; its own target and the primary are a majority. */
static void probe_answered(void *ctx, void *arg, kb_time_t now)
{
	probe_t *probe = arg;
	gate_t *gate = &probe->group->gates[probe->gate];

	(void)ctx;
	(void)now;
	kb_freshness_probe(&gate->freshness, probe->sent, &probe->report, 1);
	if (probe->report.applied >= gate->reports[probe->target].applied)
		gate->reports[probe->target] = probe->report;
	for (size_t i = 0; i < SITES; i++)
		gate->reached[i] = kb_freshness_reached(&gate->freshness,
							&gate->reports[i]);
	free(probe);
}

static void probe_arrived(void *ctx, void *arg, kb_time_t now)
{
	run_t *run = ctx;
	probe_t *probe = arg;
	kb_time_t back = read_sim_latency(run, probe->target, probe->gate);

	if (!gsl_rng_uniform_int(run->rng, SLOW_PROBES))
		back *= 10;
	probe->report = report_of(probe->group, probe->target, now);
	kb_event_queue_add(&run->events, now + back, probe_answered, run,
			   probe);
}

static void probe_round(void *ctx, void *arg, kb_time_t now)
{
	run_t *run = ctx;
	group_t *group = arg;

	for (size_t i = 0; i < (size_t)SITES * SITES; i++) {
		probe_t *probe = kb_bench_alloc(1, sizeof(*probe));

		probe->group = group;
		probe->gate = i / SITES;
		probe->target = i % SITES;
		probe->sent = now;
		kb_event_queue_add(
			&run->events,
			now + read_sim_latency(run, probe->gate, probe->target),
			probe_arrived, run, probe);
	}
	kb_event_queue_add(&run->events, now + PROBE_INTERVAL_MS * KB_NS_PER_MS,
			   probe_round, run, group);
}

void read_sim_probe(run_t *run, group_t *group, kb_time_t now)
{
	kb_event_queue_add(&run->events, now, probe_round, run, group);
}

static void take_views(read_t *read, kb_time_t now)
{
	group_t *group = read->session->group;
	const gate_t *gate = &group->gates[read->target];

	for (size_t i = 0; i < SITES; i++) {
		const kb_report_t *report = &gate->reports[i];
		kb_time_t reached = gate->reached[i];
		kb_route_view_t view = {
			.primary = report->role == KB_ROLE_PRIMARY,
			.applied = { 1, report->applied },
			.age = reached == KB_TIME_NEVER ? KB_TIME_NEVER
							: now - reached,
		};

		if (report->term)
			kb_route_hint_update(&group->hints[read->host][i],
					     &view, now);
	}
}

static void read_answered(void *ctx, void *arg, kb_time_t now)
{
	run_t *run = ctx;
	read_t *read = arg;
	group_t *group = read->session->group;
	kb_route_policy_t *policy = &group->policies[read->host].policy;
	totals_t *totals = &run->totals;

	take_views(read, now);
	policy->ops->ended(policy, read->target, 0, -1);
	if (read->result && kb_route_failed(&read->route, read->result)) {
		read_sim_send(run, read, now);
		return;
	}
	if (read->counted) {
		totals->refused += read->result != KB_OK;
		totals->replica +=
			!read->result && read->target != group->primary;
		totals->latency_ms +=
			(double)(now - read->arrival) / (double)KB_NS_PER_MS;
	}
	free(read);
}

static void answer(run_t *run, read_t *read, kb_result_t result, kb_time_t now)
{
	size_t site = read_sim_host_sites[read->host];

	read->result = result;
	if (read->counted && crosses_regions(site, read->target))
		run->totals.link_bytes +=
			result ? REFUSAL_BYTES : read->kind->bytes;
	kb_event_queue_add(&run->events,
			   now + read_sim_latency(run, read->target, site),
			   read_answered, run, read);
}

/* The gate serves what it can prove from its last probes. */
static int is_acceptable(const run_t *run, const read_t *read, kb_time_t now)
{
	const group_t *group = read->session->group;
	const gate_t *gate = &group->gates[read->target];
	kb_time_t max_age = read->kind->max_age_ms * KB_NS_PER_MS;

	if (run->policy != POLICY_FRESHNESS || read->target == group->primary)
		return 1;
	return kb_freshness_includes(&gate->reports[read->target],
				     read->point) &&
	       kb_freshness_accepts(gate->reached[read->target], max_age,
				    read->arrival, now);
}

static void check_truth(run_t *run, const read_t *read, kb_time_t now)
{
	group_t *group = read->session->group;
	kb_bench_replica_t *replica = &group->gates[read->target].replica;
	kb_time_t accepted = read->kind->max_age_ms * KB_NS_PER_MS;

	if (!read->counted || read->target == group->primary)
		return;
	/* Data as of the arrival of the read is always accepted. */
	if (accepted < now - read->arrival)
		accepted = now - read->arrival;
	run->totals.too_old += kb_bench_replica_age(replica, now) > accepted;
	run->totals.missed += replica->applied < read->point.position;
}

static void read_ended(void *ctx, void *arg, kb_time_t now);

static void start_read(run_t *run, gate_t *gate, read_t *read, kb_time_t now)
{
	double service =
		gsl_ran_exponential(run->rng, SERVICE_US * KB_NS_PER_US);

	/* It was acceptable on arrival and may have waited since. */
	if (!is_acceptable(run, read, now)) {
		answer(run, read, KB_ERR_NOT_FRESH, now);
		return;
	}
	gate->busy++;
	check_truth(run, read, now);
	kb_event_queue_add(&run->events, now + (kb_time_t)service, read_ended,
			   run, read);
}

static void start_next(run_t *run, gate_t *gate, kb_time_t now)
{
	while (gate->first && gate->busy < run->workload->slots) {
		read_t *read = gate->first;

		gate->first = read->next;
		if (!gate->first)
			gate->last = &gate->first;
		start_read(run, gate, read, now);
	}
}

static void read_ended(void *ctx, void *arg, kb_time_t now)
{
	read_t *read = arg;
	gate_t *gate = &read->session->group->gates[read->target];

	gate->busy--;
	answer(ctx, read, KB_OK, now);
	start_next(ctx, gate, now);
}

static void read_arrived(void *ctx, void *arg, kb_time_t now)
{
	run_t *run = ctx;
	read_t *read = arg;
	gate_t *gate = &read->session->group->gates[read->target];

	if (!is_acceptable(run, read, now)) {
		answer(run, read, KB_ERR_NOT_FRESH, now);
		return;
	}
	read->next = NULL;
	*gate->last = read;
	gate->last = &read->next;
	start_next(run, gate, now);
}

void read_sim_send(run_t *run, read_t *read, kb_time_t now)
{
	group_t *group = read->session->group;
	kb_route_policy_t *policy = &group->policies[read->host].policy;
	size_t site = read_sim_host_sites[read->host];

	if (run->policy == POLICY_PRIMARY)
		read->target = group->primary;
	else if (run->policy == POLICY_ROUND_ROBIN)
		read->target = group->turn++ % SITES;
	else if (kb_route_next(&read->route, now, &read->target)) {
		run->totals.refused += !!read->counted;
		free(read);
		return;
	}
	if (read->counted) {
		run->totals.attempts++;
		if (crosses_regions(site, read->target))
			run->totals.link_bytes += REQUEST_BYTES;
	}
	policy->ops->started(policy, read->target, 0);
	kb_event_queue_add(&run->events,
			   now + read_sim_latency(run, site, read->target),
			   read_arrived, run, read);
}

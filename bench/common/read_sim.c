#include "read_sim.h"

#include <gsl/gsl_randist.h>
#include <stdlib.h>

enum {
	SERVICE_US = 2000,
	REQUEST_BYTES = 400,
	REFUSAL_BYTES = 250,
	SAME_SITE_LATENCY_US = 100,
	OTHER_REGION_LATENCY_MS = 8,
	/* One probe reply in this many is slow. */
	SLOW_PROBE_PERIOD = 50,
	SLOW_PROBE_FACTOR = 10,
};

/* Largest jitter of a latency, as a share of it. */
#define MAX_JITTER 0.3

const unsigned read_sim_host_sites[HOSTS] = { 0, 0, 0, 1, 1, 1, 2, 2 };

kb_time_t read_sim_latency(run_t *run, size_t from, size_t to)
{
	kb_time_t base = run->config->workload->site_latency_us * KB_NS_PER_US;

	if (from == to)
		base = SAME_SITE_LATENCY_US * KB_NS_PER_US;
	else if (from == SITES - 1 || to == SITES - 1)
		base = OTHER_REGION_LATENCY_MS * KB_NS_PER_MS;
	return (kb_time_t)((double)base *
			   (1 + MAX_JITTER * gsl_rng_uniform(run->rng)));
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

static void recheck_deferred(run_t *run, gate_t *gate, kb_time_t now);

static void probe_answered(void *ctx, void *arg, kb_time_t now)
{
	probe_t *probe = arg;
	group_t *group = probe->group;
	gate_t *gate = &group->gates[probe->gate];

	kb_freshness_sampler_on_reply(&gate->sampler, probe->target,
				      probe->sent, &probe->report);
	if (probe->sent > gate->reported_at[probe->target]) {
		gate->reports[probe->target] = probe->report;
		gate->reported_at[probe->target] = probe->sent;
	}
	for (size_t i = 0; i < SITES; i++)
		gate->as_of[i] = kb_freshness_as_of(&gate->sampler.freshness,
						    &gate->reports[i]);
	gate->refreshing &= !probe->refresh;
	free(probe);
	recheck_deferred(ctx, gate, now);
}

static void probe_arrived(void *ctx, void *arg, kb_time_t now)
{
	run_t *run = ctx;
	probe_t *probe = arg;
	kb_time_t back = read_sim_latency(run, probe->target, probe->gate);

	if (!gsl_rng_uniform_int(run->rng, SLOW_PROBE_PERIOD))
		back *= SLOW_PROBE_FACTOR;
	probe->report = report_of(probe->group, probe->target, now);
	kb_event_queue_add(&run->events, now + back, probe_answered, run,
			   probe);
}

static void send_probe(run_t *run, group_t *group, size_t gate, size_t target,
		       int refresh, kb_time_t now)
{
	probe_t *probe = kb_bench_alloc(1, sizeof(*probe));

	probe->group = group;
	probe->gate = gate;
	probe->target = target;
	probe->sent = now;
	probe->refresh = refresh;
	kb_event_queue_add(&run->events,
			   now + read_sim_latency(run, gate, target),
			   probe_arrived, run, probe);
}

/* The primary is probed twice as often as the others. */
static void probe_round(void *ctx, void *arg, kb_time_t now)
{
	run_t *run = ctx;
	group_t *group = arg;
	kb_time_t half = run->config->probe_interval / 2;
	int all_targets = now / half % 2 == 0;

	for (size_t i = 0; i < (size_t)SITES * SITES; i++)
		if (all_targets || i % SITES == group->primary)
			send_probe(run, group, i / SITES, i % SITES, 0, now);
	kb_event_queue_add(&run->events, now + half, probe_round, run, group);
}

void read_sim_probe(run_t *run, group_t *group, kb_time_t now)
{
	kb_event_queue_add(&run->events, now, probe_round, run, group);
}

/* Returns the upper bound of a target's lag at its last report. */
static kb_time_t lag_of(const gate_t *gate, size_t target)
{
	kb_time_t lag = gate->reported_at[target] - gate->as_of[target];

	if (gate->as_of[target] == KB_TIME_NEVER)
		return KB_TIME_NEVER;
	return lag > 0 ? lag : 0;
}

static void update_hints(read_t *read, kb_time_t now)
{
	group_t *group = read->session->group;
	const gate_t *gate = &group->gates[read->target];

	for (size_t i = 0; i < SITES; i++) {
		const kb_report_t *report = &gate->reports[i];
		kb_route_view_t view = {
			.primary = report->role == KB_ROLE_PRIMARY,
			.applied = { 1, report->applied },
			.age = lag_of(gate, i),
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

	update_hints(read, now);
	policy->ops->ended(policy, read->target, read->class_index,
			   read->result ? -1 : read->service);
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

static kb_read_verdict_t verdict(const run_t *run, read_t *read, kb_time_t now)
{
	const group_t *group = read->session->group;
	const gate_t *gate = &group->gates[read->target];
	kb_read_state_t state = {
		.report = &gate->reports[read->target],
		.reported_at = gate->reported_at[read->target],
		.as_of = gate->as_of[read->target],
	};

	if (run->config->policy != POLICY_FRESHNESS ||
	    read->target == group->primary)
		return KB_READ_SERVE;
	return kb_read_check(&read->check, &state, now);
}

static void check_consistency(run_t *run, const read_t *read, kb_time_t now)
{
	group_t *group = read->session->group;
	kb_bench_replica_t *replica = &group->gates[read->target].replica;
	kb_time_t accepted = read->kind->max_age_ms * KB_NS_PER_MS;

	if (!read->counted || read->target == group->primary)
		return;
	/* A read always accepts data as of its arrival at the gate. */
	if (accepted < now - read->check.arrival)
		accepted = now - read->check.arrival;
	run->totals.too_old += kb_bench_replica_age(replica, now) > accepted;
	run->totals.missing_writes +=
		replica->applied < read->check.point.position;
}

static void read_ended(void *ctx, void *arg, kb_time_t now);

static void evaluate_read(run_t *run, read_t *read, kb_time_t now);

static void start_read(run_t *run, gate_t *gate, read_t *read, kb_time_t now)
{
	double service =
		gsl_ran_exponential(run->rng, SERVICE_US * KB_NS_PER_US);

	/* Check again: the read may have become too old in the queue. */
	if (verdict(run, read, now) != KB_READ_SERVE) {
		evaluate_read(run, read, now);
		return;
	}
	gate->busy++;
	check_consistency(run, read, now);
	read->service = (kb_time_t)service;
	kb_event_queue_add(&run->events, now + read->service, read_ended, run,
			   read);
}

static void start_next(run_t *run, gate_t *gate, kb_time_t now)
{
	while (gate->first && gate->busy < run->config->workload->slots) {
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

static void enqueue(run_t *run, gate_t *gate, read_t *read, kb_time_t now)
{
	read->next = NULL;
	*gate->last = read;
	gate->last = &read->next;
	start_next(run, gate, now);
}

static void defer_read(gate_t *gate, read_t *read)
{
	read->next = gate->deferred;
	gate->deferred = read;
}

static void evaluate_read(run_t *run, read_t *read, kb_time_t now)
{
	group_t *group = read->session->group;
	gate_t *gate = &group->gates[read->target];

	switch (verdict(run, read, now)) {
	case KB_READ_SERVE:
		enqueue(run, gate, read, now);
		break;
	case KB_READ_REFRESH:
		defer_read(gate, read);
		if (gate->refreshing)
			break;
		gate->refreshing = 1;
		run->totals.refreshes += !!read->counted;
		send_probe(run, group, read->target, read->target, 1, now);
		break;
	case KB_READ_WAIT:
		defer_read(gate, read);
		break;
	case KB_READ_REFUSE:
		answer(run, read, KB_ERR_NOT_FRESH, now);
		break;
	}
}

static void recheck_deferred(run_t *run, gate_t *gate, kb_time_t now)
{
	read_t *read = gate->deferred;

	gate->deferred = NULL;
	while (read) {
		read_t *next = read->next;

		evaluate_read(run, read, now);
		read = next;
	}
}

static void read_arrived(void *ctx, void *arg, kb_time_t now)
{
	read_t *read = arg;

	read->check.arrival = now;
	evaluate_read(ctx, read, now);
}

void read_sim_send(run_t *run, read_t *read, kb_time_t now)
{
	group_t *group = read->session->group;
	kb_route_policy_t *policy = &group->policies[read->host].policy;
	size_t site = read_sim_host_sites[read->host];

	if (run->config->policy == POLICY_PRIMARY)
		read->target = group->primary;
	else if (run->config->policy == POLICY_ROUND_ROBIN)
		read->target = group->next_round_robin++ % SITES;
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
	policy->ops->started(policy, read->target, read->class_index);
	kb_event_queue_add(&run->events,
			   now + read_sim_latency(run, site, read->target),
			   read_arrived, run, read);
}

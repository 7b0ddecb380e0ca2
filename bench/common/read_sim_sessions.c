#include "read_sim.h"

#include <gsl/gsl_randist.h>
#include <stdlib.h>

enum {
	RUN_S = 60,
	READ_DEADLINE_MS = 2000,
	TOKEN_DELAY_MS = 8,
	BURST_PERIOD_S = 10,
	BURST_S = 2,
	/* Percentage of the sessions that are in the second region. */
	OTHER_REGION_PERCENT = 30,
	FIRST_OTHER_REGION_HOST = 6,
};

static const read_kind_t *choose_kind(run_t *run)
{
	double left = gsl_rng_uniform(run->rng);
	size_t i = 0;

	while (i + 1 < KINDS && left >= run->config->workload->kinds[i].share)
		left -= run->config->workload->kinds[i++].share;
	return &run->config->workload->kinds[i];
}

static size_t choose_host(run_t *run, const session_t *session)
{
	if (!session->other_region)
		return gsl_rng_uniform_int(run->rng, FIRST_OTHER_REGION_HOST);
	return FIRST_OTHER_REGION_HOST +
	       gsl_rng_uniform_int(run->rng, HOSTS - FIRST_OTHER_REGION_HOST);
}

/* Returns non-zero if any replica's true state satisfies the read. */
static int oracle_can_serve(read_t *read, kb_time_t now)
{
	group_t *group = read->session->group;

	for (size_t i = 0; i < SITES; i++) {
		kb_bench_replica_t *replica = &group->gates[i].replica;

		if (i == group->primary)
			continue;
		if (kb_bench_replica_age(replica, now) <=
			    read->kind->max_age_ms * KB_NS_PER_MS &&
		    replica->applied >= read->check.point.position)
			return 1;
	}
	return 0;
}

static void count(run_t *run, read_t *read, kb_time_t now)
{
	read->counted = now >= run->warm_up_end;
	if (!read->counted)
		return;
	run->totals.reads++;
	/* Only the primary has data as of the request. */
	if (!read->kind->max_age_ms)
		return;
	run->totals.bounded++;
	run->totals.oracle += !!oracle_can_serve(read, now);
}

static void begin_read(run_t *run, session_t *session, kb_time_t now)
{
	group_t *group = session->group;
	read_t *read = kb_bench_alloc(1, sizeof(*read));
	kb_route_candidate_t candidates[SITES];
	kb_route_settings_t settings;
	kb_route_requirements_t requirements = { 0 };
	size_t site;

	read->session = session;
	read->check.point = session->point;
	read->kind = choose_kind(run);
	read->host = choose_host(run, session);
	read->arrival = now;
	count(run, read, now);
	read->check.max_age = read->kind->max_age_ms * KB_NS_PER_MS;
	read->check.deadline = now + READ_DEADLINE_MS * KB_NS_PER_MS;
	requirements.max_age = read->check.max_age;
	requirements.point = session->point;
	read->class_index = (size_t)(read->kind - run->config->workload->kinds);
	requirements.class_index = read->class_index;
	requirements.bulk = read->kind->bulk;
	requirements.answer_bytes = read->kind->bytes;
	requirements.deadline = read->check.deadline;
	site = read_sim_host_sites[read->host];
	for (size_t i = 0; i < SITES; i++) {
		kb_route_locality_t locality = KB_ROUTE_SAME_REGION;

		if (site == i)
			locality = KB_ROUTE_SAME_DATA_CENTRE;
		else if (site == SITES - 1 || i == SITES - 1)
			locality = KB_ROUTE_OTHER_REGION;
		candidates[i] = (kb_route_candidate_t){
			.target = i,
			.hint = &group->hints[read->host][i],
			.locality = locality,
			.slots = run->config->workload->slots,
		};
	}
	kb_route_default_settings(&settings);
	kb_route_init(&read->route, &settings,
		      &group->policies[read->host].policy, &requirements,
		      candidates, SITES, now);
	read_sim_send(run, read, now);
}

typedef struct write {
	session_t *session;
	kb_point_t point;
} write_t;

static void write_confirmed(void *ctx, void *arg, kb_time_t now)
{
	write_t *write = arg;

	(void)ctx;
	(void)now;
	if (kb_point_compare(write->session->point, write->point) < 0)
		write->session->point = write->point;
	free(write);
}

static void write_committed(void *ctx, void *arg, kb_time_t now)
{
	run_t *run = ctx;
	write_t *write = arg;

	write->point.term = 1;
	write->point.position =
		kb_bench_log_commit(&write->session->group->log, now);
	kb_event_queue_add(&run->events, now + TOKEN_DELAY_MS * KB_NS_PER_MS,
			   write_confirmed, run, write);
}

static void begin_write(run_t *run, session_t *session, kb_time_t now)
{
	write_t *write = kb_bench_alloc(1, sizeof(*write));
	size_t site = session->other_region ? SITES - 1 : 0;

	write->session = session;
	kb_event_queue_add(
		&run->events,
		now + read_sim_latency(run, site, session->group->primary),
		write_committed, run, write);
}

static double write_share(const run_t *run, kb_time_t now)
{
	double share = run->config->workload->write_share;

	if (now % (BURST_PERIOD_S * KB_NS_PER_S) < BURST_S * KB_NS_PER_S)
		share *= run->config->workload->burst;
	return share;
}

static void session_step(void *ctx, void *arg, kb_time_t now)
{
	run_t *run = ctx;
	session_t *session = arg;
	double pause =
		gsl_ran_exponential(run->rng, run->config->workload->think_ms *
						      (double)KB_NS_PER_MS);

	if (now >= run->end)
		return;
	if (gsl_rng_uniform(run->rng) < write_share(run, now))
		begin_write(run, session, now);
	else
		begin_read(run, session, now);
	kb_event_queue_add(&run->events, now + (kb_time_t)pause, session_step,
			   run, session);
}

static void init_group(run_t *run, size_t index)
{
	group_t *group = &run->groups[index];

	kb_bench_log_init(&group->log);
	group->primary = index % SITES;
	for (size_t i = 0; i < HOSTS; i++)
		kb_least_work_init(&group->policies[i]);
	for (size_t i = 0; i < SITES; i++) {
		gate_t *gate = &group->gates[i];

		kb_bench_replica_init(&gate->replica, &group->log,
				      run->config->mean_lag, run->rng);
		kb_freshness_sampler_init(&gate->sampler, SITES);
		gate->last = &gate->first;
		for (size_t k = 0; k < SITES; k++)
			gate->as_of[k] = KB_TIME_NEVER;
	}
	read_sim_probe(run, group, 0);
}

static void init_sessions(run_t *run)
{
	unsigned per_group = run->config->workload->sessions;

	run->sessions = kb_bench_alloc((size_t)GROUPS * per_group,
				       sizeof(*run->sessions));
	for (unsigned i = 0; i < GROUPS * per_group; i++) {
		session_t *session = &run->sessions[i];

		session->group = &run->groups[i % GROUPS];
		session->other_region = i / GROUPS % 100 < OTHER_REGION_PERCENT;
		kb_event_queue_add(&run->events, i * KB_NS_PER_MS, session_step,
				   run, session);
	}
}

static void add_totals(totals_t *sum, const totals_t *totals)
{
	sum->reads += totals->reads;
	sum->bounded += totals->bounded;
	sum->replica += totals->replica;
	sum->oracle += totals->oracle;
	sum->refused += totals->refused;
	sum->too_old += totals->too_old;
	sum->missing_writes += totals->missing_writes;
	sum->attempts += totals->attempts;
	sum->refreshes += totals->refreshes;
	sum->link_bytes += totals->link_bytes;
	sum->latency_ms += totals->latency_ms;
}

void read_sim_run(totals_t *totals, const config_t *config)
{
	run_t *run = kb_bench_alloc(1, sizeof(*run));

	run->config = config;
	run->warm_up_end = KB_NS_PER_S + 2 * config->mean_lag;
	run->end = run->warm_up_end + RUN_S * KB_NS_PER_S;
	run->rng = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(run->rng, config->seed);
	kb_event_queue_init(&run->events);
	for (size_t i = 0; i < GROUPS; i++)
		init_group(run, i);
	init_sessions(run);
	kb_event_queue_run(&run->events, run->end + 10 * KB_NS_PER_S);
	add_totals(totals, &run->totals);
	for (size_t i = 0; i < GROUPS; i++)
		kb_bench_log_finish(&run->groups[i].log);
	kb_event_queue_finish(&run->events);
	gsl_rng_free(run->rng);
	free(run->sessions);
	free(run);
}

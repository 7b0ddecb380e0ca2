#include "fake_group.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <cstdlib>

static const kb_time_t MS = KB_NS_PER_MS;

static const uint64_t DEFAULT_SEEDS = 10000;

/* Number of seeds to run; the environment may set it. */
static uint64_t seed_count()
{
	const char *text = getenv("KB_SEEDS");

	return text ? strtoull(text, nullptr, 10) : DEFAULT_SEEDS;
}

/* Sets times of a tenth of the usual, and hosts that promote too readily. */
static void set_short_times(fake_params_t *p, kb_rng_t *rng)
{
	kb_failover_params_t *f = &p->failover;

	f->watch.heartbeat = 10 * MS;
	f->watch.min_interval = 2 * MS;
	f->watch.poll_interval = 4 * MS;
	f->watch.urgent_interval = 5 * MS;
	f->watch.timeout = 10 * MS;
	f->detector.stall = (kb_time_t)(5 + kb_rng_below(rng, 25)) * MS;
	f->detector.margin = 0;
	f->detector.max_timeout = 60 * MS;
	f->detector.suspect = 8 * MS;
	f->detector.refused = 5 * MS;
	f->detector.progress = 5 * MS;
	f->detector.replication = 60 * MS;
	f->detector.term_ahead = 40 * MS;
	f->quorum.interval = 5 * MS;
	f->quorum.view_max_age = 30 * MS;
	f->quorum.sole_watcher_wait = (kb_time_t)kb_rng_below(rng, 40) * MS;
	f->rank_delay = (kb_time_t)kb_rng_below(rng, 10) * MS;
	f->takeover_delay = (kb_time_t)kb_rng_below(rng, 60) * MS;
	f->promotion.fence_wait = kb_rng_below(rng, 2) ? 21 * MS : 0;
	f->promotion.extra_fences_wait = 2 * MS;
	f->switchover_interval = 50 * MS;
	f->promotion.repeat = 8 * MS;
	f->promotion.fence_timeout = 60 * MS;
	f->promotion.promote_timeout = 40 * MS;
	p->confirm.window = f->promotion.fence_wait ? 20 * MS : 0;
}

static fake_params_t seed_params(uint64_t seed, kb_rng_t *rng)
{
	fake_params_t p;

	fake_params_init(&p);
	kb_rng_init(rng, seed * 1000003 + 17);
	p.seed = seed;
	p.target_count = kb_rng_below(rng, 5) ? 3 : 5;
	p.host_count = 2 + kb_rng_below(rng, 2);
	p.watcher_count = p.host_count;
	p.jitter = 2 * MS;
	p.tail_per_mille = kb_rng_below(rng, 3) ? 20 : 100;
	p.tail = 40 * MS;
	p.loss_per_mille = (unsigned)kb_rng_below(rng, 80);
	p.write_interval = (kb_time_t)(4 + kb_rng_below(rng, 12)) * MS;
	p.write_deadline = 150 * MS;
	p.term_only_percent = 20;
	set_short_times(&p, rng);
	return p;
}

/* Causes or ends one random fault. */
static void inject_fault(fake_group_t *g, kb_rng_t *rng)
{
	size_t target = kb_rng_below(rng, g->params.target_count);
	size_t host = kb_rng_below(rng, g->params.host_count);
	size_t nodes = g->params.target_count + g->params.host_count;
	size_t primary = fake_group_primary(g);
	kb_time_t span = (kb_time_t)kb_rng_below(rng, 80) * MS;

	if (primary != FAKE_NO_TARGET && kb_rng_below(rng, 2))
		target = primary;
	switch (kb_rng_below(rng, 10)) {
	case 0:
		if (g->targets[target].up)
			fake_group_crash_target(g, target,
						(int)kb_rng_below(rng, 2));
		break;
	case 1:
	case 2:
		for (size_t i = 0; i < g->params.target_count; i++)
			if (!g->targets[i].up)
				fake_group_restart_target(g, i);
		break;
	case 3:
		if (g->hosts[host].up)
			fake_group_crash_host(g, host);
		else
			fake_group_restart_host(g, host);
		break;
	case 4:
		fake_group_pause(g, target, g->now + span);
		break;
	case 5:
		fake_group_pause(g, fake_group_host_node(g, host),
				 g->now + span);
		break;
	case 6:
		fake_group_cut(g, kb_rng_below(rng, nodes),
			       kb_rng_below(rng, nodes), 1);
		break;
	case 7:
		fake_group_isolate(g, target, 1);
		break;
	case 8:
		fake_group_set_state(g, target,
				     kb_rng_below(rng, 2)
					     ? KB_ADMIN_STATE_LEAVING
					     : KB_ADMIN_STATE_ACTIVE);
		break;
	default:
		fake_group_heal(g);
	}
}

/*
 * Ends all faults and sets longer times, as hosts that promote too readily can
 * fail to agree on a candidate.
 */
static void end_faults(fake_group_t *g)
{
	fake_group_heal(g);
	for (size_t i = 0; i < g->params.target_count; i++) {
		fake_group_set_state(g, i, KB_ADMIN_STATE_ACTIVE);
		if (!g->targets[i].up)
			fake_group_restart_target(g, i);
	}
	for (size_t i = 0; i < g->params.host_count; i++) {
		if (!g->hosts[i].up)
			fake_group_restart_host(g, i);
		g->hosts[i].failover.detector.params.stall = 40 * MS;
		g->hosts[i].failover.params.rank_delay = 30 * MS;
		g->hosts[i].failover.params.takeover_delay = 60 * MS;
	}
}

struct outcome {
	std::string violation;
	size_t acknowledged, promotions;
	bool resumed;
};

static outcome run_seed(uint64_t seed, kb_defect_t defect)
{
	kb_rng_t rng;
	fake_params_t params = seed_params(seed, &rng);
	fake_group_t group;
	outcome out = {};

	params.failover.promotion.defect = defect;
	params.confirm.defect = defect;
	fake_group_init(&group, &params);
	fake_group_run(&group, 30 * MS);
	while (group.now < 400 * MS && !group.violation) {
		inject_fault(&group, &rng);
		fake_group_run(&group,
			       group.now +
				       (kb_time_t)kb_rng_below(&rng, 25) * MS);
	}
	end_faults(&group);
	for (int i = 0; i < 10 && !out.resumed; i++) {
		kb_time_t begin = group.now;

		fake_group_run(&group, begin + 100 * MS);
		out.resumed = fake_group_next_ack(&group, begin) <= group.now;
	}
	out.violation = group.violation ? group.violation : "";
	out.acknowledged = group.ack_count;
	out.promotions = group.promotions;
	fake_group_finish(&group);
	return out;
}

TEST(SafetySeeds, NoAcknowledgedWriteIsLostAndServiceResumes)
{
	uint64_t seeds = seed_count();
	size_t acknowledged = 0, promotions = 0;

	for (uint64_t seed = 1; seed <= seeds; seed++) {
		outcome out = run_seed(seed, KB_DEFECT_NONE);

		ASSERT_EQ("", out.violation) << "seed " << seed;
		ASSERT_TRUE(out.resumed) << "no write succeeds, seed " << seed;
		acknowledged += out.acknowledged;
		promotions += out.promotions;
	}
	printf("%llu seeds, %zu writes acknowledged, %zu promotions\n",
	       (unsigned long long)seeds, acknowledged, promotions);
	EXPECT_GT(promotions, seeds / 2);
	EXPECT_GT(acknowledged, seeds);
}

struct safety_defect
    : ::testing::TestWithParam<std::pair<const char *, kb_defect_t>> {
};

TEST_P(safety_defect, IsFound)
{
	uint64_t seeds = DEFAULT_SEEDS, found = 0;
	std::string first;

	for (uint64_t seed = 1; seed <= seeds && found < 3; seed++) {
		outcome out = run_seed(seed, GetParam().second);

		if (out.violation.empty())
			continue;
		found++;
		first += " seed " + std::to_string(seed) + ": " + out.violation;
	}
	printf("%s:%s\n", GetParam().first, first.c_str());
	EXPECT_EQ(3u, found);
}

INSTANTIATE_TEST_SUITE_P(
	SafetySeeds, safety_defect,
	::testing::Values(
		std::make_pair("no majority", KB_DEFECT_NO_MAJORITY),
		std::make_pair("bare position", KB_DEFECT_IGNORE_TERM),
		std::make_pair("early probe", KB_DEFECT_STALE_PROBE),
		std::make_pair("second choice", KB_DEFECT_SECOND_CANDIDATE)),
	[](const auto &info) {
		std::string name = info.param.first;

		std::replace(name.begin(), name.end(), ' ', '_');
		return name;
	});

#include "failover_scenario.h"

struct fault_case {
	const char *what;
	fault_t fault;
	/* Promotions expected: at least, at most. */
	size_t least, most;
	kb_time_t gap;
};

static const fault_case fault_cases[] = {
	{ "primary silent", [](settled_group *s) { crash(s, 0); }, 1, 1,
	  1500 * MS },
	{ "primary refuses", [](settled_group *s) { crash(s, 0, 1); }, 1, 1,
	  1500 * MS },
	{ "primary cut off from everything",
	  [](settled_group *s) { fake_group_isolate(&s->g, 0, 1); }, 1, 1,
	  1500 * MS },
	{ "primary cut off from its replicas",
	  [](settled_group *s) {
		  fake_group_cut(&s->g, 0, 1, 1);
		  fake_group_cut(&s->g, 0, 2, 1);
	  },
	  1, 1, 5000 * MS },
	{ "primary cut off from one replica",
	  [](settled_group *s) { fake_group_cut(&s->g, 0, 1, 1); }, 0, 0,
	  500 * MS },
	{ "replica dies", [](settled_group *s) { crash(s, 1); }, 0, 0,
	  500 * MS },
	{ "promoter dies before its fences are answered",
	  promoter_dies_at(KB_PROMOTION_FENCING), 1, 2, 4000 * MS },
	{ "promoter dies with a majority fenced",
	  promoter_dies_at(KB_PROMOTION_WAITING), 1, 2, 4000 * MS },
	{ "promoter dies before its promotion is answered",
	  promoter_dies_at(KB_PROMOTION_PROMOTING), 1, 2, 4000 * MS },
	{ "promoter dies before it re-points",
	  [](settled_group *s) {
		  crash(s, 0);
		  ASSERT_TRUE(s->run_until(
			  3000 * MS, [&] { return s->g.promotions != 0; }));
		  fake_group_crash_host(&s->g, 0);
	  },
	  1, 2, 4000 * MS },
	{ "promoter pauses while it fences",
	  promoter_pauses_at(KB_PROMOTION_FENCING), 1, 3, 4000 * MS },
	{ "promoter pauses while it holds",
	  promoter_pauses_at(KB_PROMOTION_WAITING), 1, 3, 4000 * MS },
	{ "promoter pauses while it promotes",
	  promoter_pauses_at(KB_PROMOTION_PROMOTING), 1, 3, 4000 * MS },
	{ "answers to fences lost", answers_lost(KB_COMMAND_FENCE, 4), 1, 1,
	  2000 * MS },
	{ "answers to the promotion lost", answers_lost(KB_COMMAND_PROMOTE, 3),
	  1, 1, 2000 * MS },
	{ "answers to re-pointing lost", answers_lost(KB_COMMAND_FOLLOW, 4), 1,
	  1, 2000 * MS },
	{ "one replica lags far behind",
	  [](settled_group *s) {
		  fake_group_cut(&s->g, 0, 1, 1);
		  s->run(400 * MS);
		  crash(s, 0);
	  },
	  1, 1, 2000 * MS },
	{ "primary returns at once, as primary",
	  [](settled_group *s) {
		  crash(s, 0, 1);
		  s->run(100 * MS);
		  fake_group_restart_target(&s->g, 0);
	  },
	  0, 0, 500 * MS },
	{ "primary returns after its replacement",
	  [](settled_group *s) {
		  crash(s, 0);
		  s->run(1500 * MS);
		  fake_group_restart_target(&s->g, 0);
	  },
	  1, 1, 1500 * MS },
	{ "host and primary die together",
	  [](settled_group *s) {
		  crash(s, 0);
		  fake_group_crash_host(&s->g, 0);
	  },
	  1, 1, 2000 * MS },
	{ "two hosts and the primary die together",
	  [](settled_group *s) {
		  crash(s, 0);
		  fake_group_crash_host(&s->g, 0);
		  fake_group_crash_host(&s->g, 2);
	  },
	  1, 1, 5000 * MS },
	{ "split, primary with one host", split(0, 2), 1, 1, 1500 * MS },
	{ "split, replica with one host", split(1, 0), 0, 0, 500 * MS },
	{ "stall of 50 ms", stalled(50 * MS), 0, 0, 500 * MS },
	{ "stall of 100 ms", stalled(100 * MS), 0, 0, 500 * MS },
	{ "stall of 150 ms", stalled(150 * MS), 0, 0, 500 * MS },
	{ "stall of 200 ms", stalled(200 * MS), 0, 0, 500 * MS },
	{ "stall of 250 ms", stalled(250 * MS), 0, 0, 500 * MS },
	{ "stall of 290 ms", stalled(290 * MS), 0, 0, 500 * MS },
	{ "stall of 2 s", stalled(2000 * MS), 1, 1, 1500 * MS },
	{ "first host cut off", host_cut_off(0), 0, 0, 500 * MS },
	{ "second host cut off", host_cut_off(1), 0, 0, 500 * MS },
	{ "third host cut off", host_cut_off(2), 0, 0, 500 * MS },
	{ "first host cut from the primary", host_cut_from_primary(0), 0, 0,
	  500 * MS },
	{ "second host cut from the primary", host_cut_from_primary(1), 0, 0,
	  500 * MS },
	{ "third host cut from the primary", host_cut_from_primary(2), 0, 0,
	  500 * MS },
	{ "first host reaches replicas only", host_reaches_replicas_only(0), 0,
	  0, 500 * MS },
	{ "first host paused for 2 s",
	  [](settled_group *s) {
		  fake_group_pause(&s->g, s->host(0), s->g.now + 2000 * MS);
	  },
	  0, 0, 500 * MS },
	{ "primary marked as leaving",
	  [](settled_group *s) {
		  fake_group_set_state(&s->g, 0, KB_ADMIN_STATE_LEAVING);
	  },
	  1, 1, 1000 * MS },
	{ "primary marked as leaving dies during the change",
	  [](settled_group *s) {
		  fake_group_set_state(&s->g, 0, KB_ADMIN_STATE_LEAVING);
		  ASSERT_TRUE(s->run_until_state(KB_PROMOTION_WAITING));
		  crash(s, 0);
	  },
	  1, 1, 1500 * MS },
	{ "primary fails again after the promotion",
	  [](settled_group *s) {
		  crash(s, 0);
		  s->run(1500 * MS);
		  fake_group_restart_target(&s->g, 0);
		  s->run(500 * MS);
		  crash(s, fake_group_primary(&s->g));
	  },
	  2, 2, 1500 * MS },
};

TEST(Failover, Faults)
{
	for (auto deployment : { FAKE_KHOMAS, FAKE_RIGA }) {
		for (const auto &c : fault_cases) {
			for (uint64_t seed = 1; seed <= 2; seed++) {
				settled_group s(seed, deployment);
				kb_time_t fault = s.g.now;

				SCOPED_TRACE(std::string(c.what) + ", seed " +
					     std::to_string(seed));
				c.fault(&s);
				fake_group_run(&s.g, fault + 8000 * MS);
				EXPECT_EQ(nullptr, s.g.violation);
				EXPECT_LE(c.least, s.g.promotions);
				EXPECT_GE(c.most, s.g.promotions);
				EXPECT_GE(c.gap, s.gap(fault));
			}
		}
	}
}

TEST(Failover, StepsOfAPromotionWithASecondDeadTarget)
{
	const kb_promotion_state_t steps[] = { KB_PROMOTION_FENCING,
					       KB_PROMOTION_WAITING,
					       KB_PROMOTION_PROMOTING };

	for (auto step : steps) {
		for (size_t second : { 1u, 2u }) {
			settled_group s(second, FAKE_KHOMAS);
			kb_time_t restart;

			SCOPED_TRACE(std::to_string(step) + ", target " +
				     std::to_string(second));
			crash(&s, 0);
			ASSERT_TRUE(s.run_until_state(step));
			crash(&s, second);
			s.run(1500 * MS);
			restart = s.g.now;
			fake_group_restart_target(&s.g, 0);
			s.run(8000 * MS);
			EXPECT_EQ(nullptr, s.g.violation);
			EXPECT_LT(fake_group_next_ack(&s.g, restart),
				  restart + WORST_GAP);
			fake_group_restart_target(&s.g, second);
			s.run(8000 * MS);
			EXPECT_TRUE(s.has_converged());
		}
	}
}

TEST(Failover, ReturningPrimaryIsFencedAndFollows)
{
	settled_group s(1, FAKE_RIGA);
	size_t primary;

	crash(&s, 0);
	s.run(2000 * MS);
	primary = fake_group_primary(&s.g);
	EXPECT_NE(0u, primary);
	EXPECT_EQ(KB_ROLE_PRIMARY, s.g.targets[0].role);
	fake_group_restart_target(&s.g, 0);
	s.run(1500 * MS);
	EXPECT_EQ(KB_ROLE_REPLICA, s.g.targets[0].role);
	EXPECT_TRUE(s.has_converged());
	for (size_t i = 0; i < 3; i++)
		EXPECT_EQ(primary, kb_failover_primary(&s.g.hosts[i].failover));
	EXPECT_EQ(nullptr, s.g.violation);
}

/* Faults for pairs; each is repaired by heal() and restarts. */
static const std::pair<const char *, fault_t> single_faults[] = {
	{ "primary dies", [](settled_group *s) { crash(s, 0); } },
	{ "primary refuses", [](settled_group *s) { crash(s, 0, 1); } },
	{ "primary stalls", stalled(900 * MS) },
	{ "primary cut off",
	  [](settled_group *s) { fake_group_isolate(&s->g, 0, 1); } },
	{ "primary cut from its replicas",
	  [](settled_group *s) {
		  fake_group_cut(&s->g, 0, 1, 1);
		  fake_group_cut(&s->g, 0, 2, 1);
	  } },
	{ "replica dies", [](settled_group *s) { crash(s, 1); } },
	{ "replica lags",
	  [](settled_group *s) { fake_group_cut(&s->g, 0, 2, 1); } },
	{ "host dies",
	  [](settled_group *s) {
		  if (s->g.hosts[0].up)
			  fake_group_crash_host(&s->g, 0);
	  } },
	{ "host pauses",
	  [](settled_group *s) {
		  fake_group_pause(&s->g, s->host(0), s->g.now + 2500 * MS);
	  } },
	{ "host cut off", host_cut_off(1) },
	{ "regions cut",
	  [](settled_group *s) {
		  for (size_t far : { (size_t)2, s->host(2) })
			  for (size_t near :
			       { (size_t)0, (size_t)1, s->host(0), s->host(1) })
				  fake_group_cut(&s->g, far, near, 1);
	  } },
	{ "answers lost", answers_lost(KB_COMMAND_PROMOTE, 5) },
};

TEST(Failover, FaultsInPairs)
{
	uint64_t seed = 0;

	for (const auto &first : single_faults) {
		for (const auto &second : single_faults) {
			settled_group s(++seed, FAKE_KHOMAS);
			kb_time_t healed;

			SCOPED_TRACE(std::string(first.first) + ", then " +
				     second.first);
			first.second(&s);
			s.run((kb_time_t)(seed * 97 % 900) * MS);
			second.second(&s);
			s.run(2500 * MS);
			fake_group_heal(&s.g);
			for (size_t i = 0; i < 3; i++)
				fake_group_restart_target(&s.g, i);
			if (!s.g.hosts[0].up)
				fake_group_restart_host(&s.g, 0);
			healed = s.g.now;
			s.run(WORST_GAP);
			EXPECT_EQ(nullptr, s.g.violation);
			EXPECT_LT(fake_group_next_ack(&s.g, healed),
				  healed + 4000 * MS);
			EXPECT_TRUE(s.has_converged());
		}
	}
}

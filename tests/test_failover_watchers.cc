#include "failover_scenario.h"

TEST(FailoverWatchers, ConcurrentPromotersEndWithOnePrimary)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		settled_group s(seed, FAKE_KHOMAS, [](fake_params_t *p) {
			p->failover.rank_delay = 0;
		});
		kb_time_t fault = s.g.now;

		crash(&s, 0);
		s.run(8000 * MS);
		EXPECT_EQ(nullptr, s.g.violation) << seed;
		EXPECT_GT(WORST_GAP, s.gap(fault)) << seed;
		EXPECT_EQ(1u, s.g.promotions) << seed;
	}
}

TEST(FailoverWatchers, PartitionedHostDoesNotPromoteInAnIdleGroup)
{
	for (const fault_t &fault :
	     { host_cut_off(0), host_cut_off(1), host_cut_from_primary(0) }) {
		settled_group s(1, FAKE_KHOMAS, [](fake_params_t *p) {
			p->write_interval = 3600 * KB_NS_PER_S;
		});

		fault(&s);
		s.run(8000 * MS);
		EXPECT_EQ(0u, s.g.promotions);
	}
}

TEST(FailoverWatchers, HostWithoutWatchersSendsNoCommands)
{
	settled_group s(1, FAKE_KHOMAS,
			[](fake_params_t *p) { p->watcher_count = 0; });

	crash(&s, 0);
	s.run(8000 * MS);
	EXPECT_EQ(0u, s.g.promotions);
}

TEST(FailoverWatchers, TwoWatchersMustAgreeUnlessOneIsUnreachable)
{
	settled_group s(1, FAKE_KHOMAS,
			[](fake_params_t *p) { p->watcher_count = 2; });

	fake_group_cut(&s.g, s.host(0), 0, 1);
	s.run(5000 * MS);
	EXPECT_EQ(0u, s.g.promotions);
	crash(&s, 0);
	s.run(1500 * MS);
	EXPECT_EQ(1u, s.g.promotions);
}

TEST(FailoverWatchers, NewGroupGetsItsFirstPrimary)
{
	settled_group s(1, FAKE_KHOMAS);

	for (auto &target : s.g.targets) {
		fake_target_finish(&target);
		fake_target_init(&target);
	}
	for (size_t i = 0; i < 3; i++) {
		fake_group_crash_host(&s.g, i);
		fake_group_restart_host(&s.g, i);
	}
	s.run(2000 * MS);
	EXPECT_EQ(1u, s.g.promotions);
	EXPECT_TRUE(s.has_converged());
}

#include "monitor_simulation.h"

using namespace monitor_simulation;

TEST(Monitor, FindsThePrimaryWithTheHighestTerm)
{
	MonitorSimulation simulation;

	/* Target a has been replaced but still reports that it is primary. */
	simulation.state["b"].primary = true;
	simulation.state["b"].term = 3;
	simulation.state["c"].term = 3;
	EXPECT_LE(simulation.until([&] { return simulation.serves("b"); }),
		  200 * MS);
	EXPECT_EQ(3u, simulation.monitor.term);
}

TEST(Monitor, APrimaryWithAnObsoleteTermIsNotUsed)
{
	MonitorSimulation simulation;

	simulation.state["b"].term = 2;
	simulation.run(400 * MS);
	EXPECT_FALSE(simulation.serves("a"));
}

/* The new primary and what follows it do not answer this holder. */
TEST(Monitor, AnEarlierPrimaryIsNotUsedThoughTheNewOneIsSilent)
{
	MonitorSimulation simulation;

	for (const char *name : { "b", "c" }) {
		simulation.state[name].alive = false;
		simulation.state[name].refuses = false;
	}
	kb_monitor_require_term(&simulation.monitor, 2);
	while (simulation.now < 4 * KB_NS_PER_S) {
		simulation.run(20 * MS);
		ASSERT_FALSE(simulation.serves("a") &&
			     simulation.promotions.empty());
	}
}

TEST(Monitor, ACrashedPrimaryIsReplacedByTheNewestLog)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["b"].position = 150;
	simulation.state["c"].position = 151;
	simulation.kill("a", true);
	EXPECT_LE(simulation.until([&] { return simulation.serves("c"); }),
		  1100 * MS);
	EXPECT_EQ((std::vector<std::string>{ "c" }), simulation.promotions);
	EXPECT_GE(simulation.aborts, 1);
	simulation.state["a"].alive = true;
	simulation.run(1500 * MS);
	EXPECT_FALSE(simulation.stepped_down.empty());
}

TEST(Monitor, ASilentPrimaryIsReplacedWithinTwoSeconds)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.kill("a", false);
	EXPECT_LE(simulation.until([&] {
		return simulation.serves("b") || simulation.serves("c");
	}),
		  2000 * MS);
}

TEST(Monitor, APrimaryThatStallsForLessThanASecondIsKept)
{
	for (kb_time_t pause = 100 * MS; pause <= 950 * MS; pause += 50 * MS) {
		MonitorSimulation simulation;

		simulation.until([&] { return simulation.serves("a"); });
		simulation.kill("a", false);
		simulation.run(pause);
		simulation.state["a"].alive = true;
		simulation.run(2 * KB_NS_PER_S);
		EXPECT_TRUE(simulation.serves("a")) << pause / MS;
		EXPECT_TRUE(simulation.promotions.empty()) << pause / MS;
	}
}

TEST(Monitor, TheLeaseIsHandedToAHostThatReachesThePrimary)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.reached_by = "h2";
	simulation.kill("a", false);
	simulation.run(2 * KB_NS_PER_S);
	EXPECT_EQ("h2", simulation.handed_over_to);
	EXPECT_TRUE(simulation.promotions.empty());
}

TEST(Monitor, NothingIsPromotedShortlyBeforeTheLeaseExpires)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.lease_left = 300 * MS;
	simulation.kill("a", true);
	simulation.run(3 * KB_NS_PER_S);
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.lease_left = 900 * MS;
	EXPECT_LE(simulation.until([&] {
		return simulation.serves("b") || simulation.serves("c");
	}),
		  3 * KB_NS_PER_S);
}

TEST(Monitor, ATargetWhosePromotionIsRefusedIsSkipped)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["b"].position = 150;
	simulation.state["b"].promotable = false;
	simulation.kill("a", true);
	EXPECT_LE(simulation.until([&] { return simulation.serves("c"); }),
		  3 * KB_NS_PER_S);
	EXPECT_EQ((std::vector<std::string>{ "b", "c" }),
		  simulation.promotions);
}

TEST(Monitor, ADurableGroupWaitsForEachTargetThatMayHaveACommit)
{
	MonitorSimulation simulation;

	simulation.monitor.durable = 1;
	simulation.until([&] { return simulation.serves("a"); });
	kb_monitor_on_answer(&simulation.monitor, { 1, 120 });
	simulation.state["b"].position = 110;
	simulation.state["c"].position = 120;
	simulation.state["c"].alive = false;
	simulation.state["c"].refuses = false;
	simulation.kill("a", true);
	simulation.run(1500 * MS);
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.state["c"].alive = true;
	EXPECT_LE(simulation.until([&] { return simulation.serves("c"); }),
		  4 * KB_NS_PER_S);
}

TEST(Monitor, ADurableGroupIsNotSwitchedOverToAnIncompleteLog)
{
	MonitorSimulation simulation;

	simulation.monitor.durable = 1;
	simulation.until([&] { return simulation.serves("a"); });
	kb_monitor_on_answer(&simulation.monitor, { 1, 130 });
	simulation.state["b"].position = 128;
	simulation.state["c"].position = 129;
	simulation.add("a", true);
	simulation.run(8 * KB_NS_PER_S);
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.state["c"].position = 130;
	simulation.until([&] { return simulation.serves("c"); });
	EXPECT_EQ((std::vector<std::string>{ "c" }), simulation.promotions);
}

TEST(Monitor, StatementsContinueWhileADurableGroupWaitsForTheWholeLog)
{
	MonitorSimulation simulation;
	kb_time_t paused = 0;

	simulation.monitor.durable = 1;
	simulation.until([&] { return simulation.serves("a"); });
	kb_monitor_on_answer(&simulation.monitor, { 1, 130 });
	simulation.add("a", true);
	for (int i = 0; i < 500; i++) {
		simulation.run(20 * MS);
		paused += simulation.paused ? 20 * MS : 0;
		if (simulation.paused)
			continue;
		paused = 0;
	}
	EXPECT_LE(paused, 1100 * MS);
	EXPECT_TRUE(simulation.promotions.empty());
}

TEST(Monitor, ADurableGroupPromotesNoLogThatIsOlderThanALeavingReplicas)
{
	MonitorSimulation simulation;

	simulation.monitor.durable = 1;
	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["b"].position = 110;
	simulation.state["c"].position = 120;
	simulation.add("c", true);
	simulation.kill("a", true);
	simulation.run(1500 * MS);
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.state["b"].position = 120;
	simulation.until([&] { return simulation.serves("b"); });
	EXPECT_EQ((std::vector<std::string>{ "b" }), simulation.promotions);
}

TEST(Monitor, ALeavingPrimaryIsReplacedWithoutLostCommits)
{
	MonitorSimulation simulation;
	kb_time_t gap = 0;
	kb_time_t paused_at = 0;

	simulation.until([&] { return simulation.serves("a"); });
	kb_monitor_on_answer(&simulation.monitor, { 1, 130 });
	simulation.state["b"].position = 128;
	simulation.active = 1;
	simulation.add("a", true);
	while (!simulation.serves("b") && !simulation.serves("c") &&
	       simulation.now < 60 * KB_NS_PER_S) {
		simulation.run(20 * MS);
		if (simulation.paused && !paused_at)
			paused_at = simulation.now;
		/* The replica catches up, and the transaction ends. */
		if (paused_at && simulation.now - paused_at > 60 * MS) {
			simulation.state["b"].position = 130;
			simulation.active = 0;
		}
	}
	gap = simulation.now - paused_at;
	EXPECT_EQ((std::vector<std::string>{ "b" }), simulation.promotions);
	EXPECT_LE(gap, 700 * MS);
	EXPECT_EQ(0, simulation.paused);
}

TEST(Monitor, ALeavingPrimaryWaitsForAReplicaThatIsFarBehind)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	for (const char *name : { "b", "c" }) {
		simulation.state[name].lag = 2 * KB_NS_PER_S;
		simulation.state[name].position = 90;
	}
	simulation.add("a", true);
	simulation.run(2 * KB_NS_PER_S);
	/* Statements continue in the meantime. */
	EXPECT_EQ(0, simulation.paused);
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.run(4 * KB_NS_PER_S);
	EXPECT_EQ(1u, simulation.promotions.size());
}

TEST(Monitor, AReplicaIsPromotedInAGroupWithoutAPrimary)
{
	MonitorSimulation simulation;

	simulation.state["a"].primary = false;
	simulation.state["c"].position = 105;
	EXPECT_LE(simulation.until([&] { return simulation.serves("c"); }),
		  2 * KB_NS_PER_S);
}

TEST(Monitor, AHostThatLosesTheLeaseSendsNothingMore)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	kb_monitor_set_active(&simulation.monitor, 0, simulation.now);
	EXPECT_EQ("", simulation.bound);
	simulation.kill("a", true);
	simulation.run(3 * KB_NS_PER_S);
	EXPECT_TRUE(simulation.promotions.empty());
	EXPECT_EQ(1, simulation.paused);
}

TEST(Monitor, AGroupIsNotReleasedWhileAnOrderToPromoteIsOpen)
{
	MonitorSimulation simulation;
	kb_monitor_t *monitor = &simulation.monitor;

	simulation.until([&] { return simulation.serves("a"); });
	EXPECT_TRUE(kb_monitor_prepare_release(monitor, simulation.now));
	monitor->releasing = 0;
	simulation.add("a", true);
	simulation.until([&] { return !simulation.promotions.empty(); });
	/* The platform has accepted the order; a still leads. */
	simulation.run(100 * MS);
	ASSERT_FALSE(simulation.state["b"].primary);
	EXPECT_FALSE(kb_monitor_prepare_release(monitor, simulation.now));
	simulation.until([&] { return simulation.serves("b"); });
	EXPECT_TRUE(kb_monitor_prepare_release(monitor, simulation.now));
}

TEST(Monitor, AnOrderWithoutEffectDelaysAReleaseForABoundedTime)
{
	MonitorSimulation simulation;
	kb_monitor_t *monitor = &simulation.monitor;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.promotion_delay = 60 * KB_NS_PER_S;
	simulation.kill("a", true);
	simulation.until([&] { return !simulation.promotions.empty(); });
	EXPECT_LE(simulation.until([&] {
		return kb_monitor_prepare_release(monitor, simulation.now) != 0;
	}),
		  2 * KB_NS_PER_S);
	simulation.run(3 * KB_NS_PER_S);
	EXPECT_EQ(1u, simulation.promotions.size());
	EXPECT_TRUE(kb_monitor_prepare_release(monitor, simulation.now));
}

TEST(Monitor, AGroupMayBeReleasedOnceThePlatformHasRefusedTheOrder)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["b"].promotable = false;
	simulation.state["c"].promotable = false;
	simulation.kill("a", true);
	simulation.until([&] { return !simulation.promotions.empty(); });
	simulation.run(20 * MS);
	EXPECT_TRUE(kb_monitor_prepare_release(&simulation.monitor,
					       simulation.now));
}

TEST(Monitor, AHostThatRegainsTheLeaseWaitsForItsOwnOrder)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.promotion_delay = KB_NS_PER_S;
	simulation.kill("a", false);
	simulation.until([&] { return !simulation.promotions.empty(); });
	simulation.state["a"].alive = true;
	kb_monitor_set_active(&simulation.monitor, 0, simulation.now);
	kb_monitor_set_active(&simulation.monitor, 1, simulation.now);
	while (!simulation.serves("b") && simulation.now < 60 * KB_NS_PER_S) {
		simulation.run(20 * MS);
		ASSERT_FALSE(simulation.serves("a"));
	}
	EXPECT_EQ((std::vector<std::string>{ "b" }), simulation.promotions);
}

TEST(Monitor, APromotionThatTakesEffectLateIsSeenWhileReplicasArePolled)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["c"].position = 150;
	simulation.promotion_delay = 2040 * MS;
	simulation.kill("a", true);
	simulation.until([&] { return !simulation.promotions.empty(); });
	/* Another replica reports as new a log before it is polled. */
	simulation.state["b"].position = 151;
	simulation.run(4 * KB_NS_PER_S);
	EXPECT_EQ((std::vector<std::string>{ "c" }), simulation.promotions);
	EXPECT_TRUE(simulation.serves("c"));
}

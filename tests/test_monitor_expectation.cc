#include "monitor_simulation.h"

using namespace monitor_simulation;

namespace
{

/* A holder that starts knowing nothing, beside a record with standbys. */
class ExpectationSimulation : public MonitorSimulation
{
      public:
	void take_over(const std::vector<std::string> &standbys)
	{
		kb_target_names_t names = {};

		change_holder();
		for (const std::string &standby : standbys) {
			kb_name_t name;

			kb_name_set(&name, { standby.data(), standby.size() });
			kb_target_names_add(&names, &name);
		}
		kb_monitor_expect_orders(&monitor, &names, now);
	}

	bool confirms(kb_time_t since)
	{
		return kb_monitor_confirms(&monitor, since, { 1, 100 });
	}

	void remove(const char *name)
	{
		kb_target_list_remove(&targets, kb_str_from(name));
	}
};

} // namespace

/*
 * review/13: an order that was told to voters only takes effect after all
 * processes were killed, while the replaced primary is served.
 */
TEST(MonitorExpectation, NoCommitIsReportedAfterAForgottenOrderTookEffect)
{
	for (kb_time_t delay = 0; delay <= 3000 * MS; delay += 100 * MS) {
		ExpectationSimulation simulation;

		simulation.run(KB_NS_PER_S);
		simulation.take_over({ "a", "b", "c" });
		simulation.promote("b", delay);
		simulation.until([&] {
			return simulation.serves("a") || simulation.serves("b");
		});
		while (!simulation.serves("b")) {
			bool is_replaced = simulation.serves("a") &&
					   simulation.state["b"].primary;

			EXPECT_FALSE(is_replaced &&
				     simulation.confirms(simulation.now))
				<< delay / MS;
			EXPECT_TRUE(
				!simulation.serves("a") ||
				kb_monitor_is_watching(&simulation.monitor));
			simulation.run(20 * MS);
			ASSERT_LT(simulation.now, 10 * KB_NS_PER_S);
		}
		EXPECT_EQ(2u, simulation.monitor.term);
	}
}

TEST(MonitorExpectation, CommitsAreConfirmedWhileAllTargetsAnswer)
{
	ExpectationSimulation simulation;

	simulation.take_over({ "a", "b", "c" });
	simulation.until([&] { return simulation.serves("a"); });
	kb_time_t committed_at = simulation.now;
	simulation.run(100 * MS);
	EXPECT_TRUE(simulation.confirms(committed_at));
	EXPECT_FALSE(
		kb_monitor_is_unconfirmed(&simulation.monitor, simulation.now));
}

/* The names of silent targets, and whether writes can be confirmed. */
TEST(MonitorExpectation, ATargetThatCannotBeAskedStopsWrites)
{
	struct {
		const char *what;
		std::function<void(ExpectationSimulation &)> event;
		bool unconfirmed;
	} cases[] = {
		{ "silent",
		  [](auto &s) {
			  s.state["b"].alive = false;
			  s.state["b"].refuses = false;
		  },
		  true },
		{ "no entry", [](auto &s) { s.remove("b"); }, true },
		/* One that refuses connections leads nothing. */
		{ "refuses", [](auto &s) { s.state["b"].alive = false; },
		  false },
	};

	for (const auto &c : cases) {
		ExpectationSimulation simulation;

		c.event(simulation);
		simulation.take_over({ "a", "b", "c" });
		simulation.until([&] { return simulation.serves("a"); });
		simulation.run(KB_NS_PER_S);
		EXPECT_TRUE(simulation.serves("a")) << c.what;
		EXPECT_EQ(c.unconfirmed,
			  !!kb_monitor_is_unconfirmed(&simulation.monitor,
						      simulation.now))
			<< c.what;
		simulation.run(20 * KB_NS_PER_S);
		EXPECT_FALSE(kb_monitor_expects_orders(&simulation.monitor));
		EXPECT_FALSE(kb_monitor_is_watching(&simulation.monitor));
	}
}

/* A target that registers after the takeover may have been ordered, too. */
TEST(MonitorExpectation, ATargetThatTheRecordDoesNotNameIsWatched)
{
	ExpectationSimulation simulation;

	simulation.take_over({});
	simulation.until([&] { return simulation.serves("a"); });
	simulation.add("d");
	simulation.run(20 * MS);
	simulation.state["d"].alive = false;
	simulation.state["d"].refuses = false;
	simulation.run(KB_NS_PER_S);
	EXPECT_TRUE(
		kb_monitor_is_unconfirmed(&simulation.monitor, simulation.now));
}

/* The entry of an ordered target may have expired while the store was down. */
TEST(MonitorExpectation, AHolderThatMayLackOrdersKeepsTheStandbysOfTheRecord)
{
	ExpectationSimulation simulation;
	kb_target_names_t standbys;

	simulation.remove("b");
	simulation.take_over({ "a", "b", "c" });
	simulation.run(KB_NS_PER_S);
	kb_monitor_standbys(&simulation.monitor, &simulation.targets,
			    &standbys);
	EXPECT_EQ(3u, standbys.count);
	simulation.add("d");
	simulation.add("e", true);
	kb_monitor_end_expectation(&simulation.monitor);
	kb_monitor_standbys(&simulation.monitor, &simulation.targets,
			    &standbys);
	EXPECT_EQ(3u, standbys.count);
}

/*
 * A target that is alive registers within two seconds of the store's return,
 * and one without an entry after that is gone.
 */
TEST(MonitorExpectation, ATargetWithoutAnEntryIsGoneOnceTheStoreIsReached)
{
	struct {
		bool entry;
		bool reached;
		bool watched;
	} cases[] = {
		{ false, true, false },
		{ false, false, true },
		{ true, true, true },
	};

	for (const auto &c : cases) {
		ExpectationSimulation simulation;

		simulation.state["b"].alive = false;
		simulation.state["b"].refuses = false;
		if (!c.entry)
			simulation.remove("b");
		simulation.take_over({ "a", "b", "c" });
		for (int i = 0; i < 60; i++) {
			if (c.reached)
				kb_monitor_set_entries_time(&simulation.monitor,
							    simulation.now);
			EXPECT_TRUE(
				i < 10 || i > 45 ||
				kb_monitor_is_unconfirmed(&simulation.monitor,
							  simulation.now));
			simulation.run(100 * MS);
		}
		EXPECT_EQ(c.watched,
			  !!kb_monitor_is_unconfirmed(&simulation.monitor,
						      simulation.now));
		EXPECT_TRUE(kb_monitor_expects_orders(&simulation.monitor));
	}
}

/* It was not ordered, and ends while the watch lasts. */
TEST(MonitorExpectation, ATargetThatIsLeavingIsNotWatched)
{
	ExpectationSimulation simulation;

	simulation.add("d", true);
	simulation.take_over({ "a", "b", "c" });
	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["d"].alive = false;
	simulation.state["d"].refuses = false;
	simulation.remove("d");
	simulation.run(KB_NS_PER_S);
	EXPECT_TRUE(simulation.serves("a"));
	EXPECT_FALSE(
		kb_monitor_is_unconfirmed(&simulation.monitor, simulation.now));
	/* A former holder may have ordered it before it was leaving. */
	simulation.add("c", true);
	simulation.remove("c");
	simulation.run(KB_NS_PER_S);
	EXPECT_TRUE(
		kb_monitor_is_unconfirmed(&simulation.monitor, simulation.now));
}

/*
 * A promotion of which only a silent target tells may have been served, so that
 * reads of the former primary would be stale.
 */
TEST(MonitorExpectation, AFormerPrimaryIsNotServedWithoutAWitness)
{
	ExpectationSimulation simulation;

	for (const char *name : { "b", "c" }) {
		simulation.state[name].alive = false;
		simulation.state[name].refuses = false;
	}
	simulation.take_over({ "a", "b", "c" });
	simulation.run(3 * KB_NS_PER_S);
	EXPECT_FALSE(kb_monitor_is_serving(&simulation.monitor));
	simulation.state["c"].alive = true;
	simulation.run(500 * MS);
	EXPECT_TRUE(simulation.serves("a"));
}

TEST(MonitorExpectation, AGroupOfOneTargetIsServed)
{
	ExpectationSimulation simulation;

	simulation.remove("b");
	simulation.remove("c");
	simulation.take_over({ "a" });
	EXPECT_LE(simulation.until([&] { return simulation.serves("a"); }),
		  KB_NS_PER_S);
	EXPECT_FALSE(kb_monitor_is_watching(&simulation.monitor));
}

TEST(MonitorExpectation, ItEndsOnceTheHolderKnowsOrHasLostTheLease)
{
	for (bool known : { true, false }) {
		ExpectationSimulation simulation;

		simulation.take_over({ "a", "b", "c" });
		simulation.until([&] { return simulation.serves("a"); });
		EXPECT_TRUE(kb_monitor_is_watching(&simulation.monitor));
		if (known)
			kb_monitor_end_expectation(&simulation.monitor);
		else
			kb_monitor_set_active(&simulation.monitor, 2,
					      simulation.now);
		EXPECT_FALSE(kb_monitor_expects_orders(&simulation.monitor));
		EXPECT_FALSE(kb_monitor_is_watching(&simulation.monitor));
	}
}

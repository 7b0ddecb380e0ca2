#include "monitor_simulation.h"

using namespace monitor_simulation;

namespace
{

void stop(MonitorSimulation &simulation, const std::string &name,
	  bool refuses = false)
{
	simulation.state[name].alive = false;
	simulation.state[name].refuses = refuses;
}

/* a crashes, b is promoted and served, and c follows it. */
void replace_crashed_primary(MonitorSimulation &simulation)
{
	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["b"].position = 150;
	simulation.kill("a", true);
	simulation.until([&] { return simulation.serves("b"); });
	simulation.run(500 * MS);
	simulation.promotions.clear();
}

/* a crashes; the platform accepts the order to b, which has no effect. */
void accept_without_effect(MonitorSimulation &simulation)
{
	simulation.until([&] { return simulation.serves("a"); });
	simulation.promotion_delay = 60 * KB_NS_PER_S;
	simulation.state["b"].position = 150;
	simulation.kill("a", true);
	EXPECT_EQ("b", simulation.first_order());
	simulation.run(100 * MS);
}

/* a is back as a replica with its log, of the term before that of b. */
void return_former_primary(MonitorSimulation &simulation)
{
	simulation.state["a"].alive = true;
	simulation.state["a"].primary = false;
	simulation.state["a"].position = 500;
}

/* Fails if a is promoted or served within `duration`. */
void expect_not_promoted(MonitorSimulation &simulation, kb_time_t duration)
{
	for (kb_time_t end = simulation.now + duration; simulation.now < end;) {
		simulation.run(20 * MS);
		ASSERT_TRUE(simulation.promotions.empty());
		ASSERT_NE("a", simulation.bound);
	}
}

} // namespace

/*
 * review/7: a former primary whose log ends before the term that was served is
 * promoted while the targets of that term are down.
 */
TEST(MonitorLogTerm, AFormerPrimaryWithoutTheServedTermIsNotPromoted)
{
	for (bool refuses : { false, true }) {
		MonitorSimulation simulation;

		replace_crashed_primary(simulation);
		simulation.kill("b", refuses);
		stop(simulation, "c", refuses);
		simulation.run(400 * MS);
		return_former_primary(simulation);
		expect_not_promoted(simulation, 5 * KB_NS_PER_S);
		EXPECT_TRUE(simulation.monitor.blocked);
		simulation.state["c"].alive = true;
		EXPECT_LE(simulation.until(
				  [&] { return simulation.serves("c"); }),
			  3 * KB_NS_PER_S);
		EXPECT_FALSE(simulation.monitor.blocked);
	}
}

/*
 * The same, but the holder dies at any step since the second crash, or all
 * hosts do: its successor knows what the record tells.
 */
TEST(MonitorLogTerm, ASuccessorKnowsTheServedTerm)
{
	for (kb_time_t life = 0; life <= 4000 * MS; life += 20 * MS) {
		MonitorSimulation simulation;

		replace_crashed_primary(simulation);
		simulation.kill("b", false);
		stop(simulation, "c");
		simulation.events.emplace(simulation.now + 1000 * MS, [&] {
			return_former_primary(simulation);
		});
		simulation.run(life);
		simulation.change_holder();
		expect_not_promoted(simulation, 5 * KB_NS_PER_S);
	}
}

/* The same, but the entries of the later targets have expired. */
TEST(MonitorLogTerm, AnExpiredEntryDoesNotEndTheWait)
{
	for (bool is_replaced : { false, true }) {
		MonitorSimulation simulation;

		replace_crashed_primary(simulation);
		simulation.kill("b", false);
		stop(simulation, "c");
		return_former_primary(simulation);
		simulation.run(2000 * MS);
		for (const char *name : { "b", "c" })
			kb_target_list_remove(&simulation.targets,
					      kb_str_from(name));
		if (is_replaced)
			simulation.change_holder();
		expect_not_promoted(simulation, 60 * KB_NS_PER_S);
	}
}

/* The holder dies as soon as it serves: its successor must know the term. */
TEST(MonitorLogTerm, APrimaryIsServedOnlyOnceItsTermIsRecordedAsServed)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["b"].position = 150;
	simulation.kill("a", true);
	simulation.until([&] { return !simulation.promotions.empty(); });
	simulation.announceable = false;
	simulation.run(3000 * MS);
	EXPECT_TRUE(simulation.state["b"].primary);
	EXPECT_EQ("", simulation.bound);
	simulation.announceable = true;
	simulation.until([&] { return simulation.serves("b"); });
	EXPECT_EQ(2u, simulation.recorded.served_term);
}

/* The record is written while the promotion takes effect, not after it. */
TEST(MonitorLogTerm, AnAcceptedOrderIsRecordedBeforeItsEffect)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.kill("a", true);
	simulation.until([&] { return !simulation.promotions.empty(); });
	EXPECT_EQ(1u, simulation.recorded.served_term);
	simulation.run(60 * MS);
	EXPECT_EQ(2u, simulation.recorded.served_term);
	EXPECT_EQ("", simulation.bound);
}

/* An order without effect: its holder knows that its term was not served. */
TEST(MonitorLogTerm, AnOrderWithoutEffectKeepsNoOtherTargetOut)
{
	MonitorSimulation simulation;

	accept_without_effect(simulation);
	EXPECT_EQ(2u, simulation.recorded.served_term);
	stop(simulation, "b");
	simulation.promotion_delay = 300 * MS;
	EXPECT_LE(simulation.until([&] { return simulation.serves("c"); }),
		  5 * KB_NS_PER_S);
}

/* A successor learns it once the ordered target and all others answer. */
TEST(MonitorLogTerm, ATermThatNoTargetHasIsGivenUp)
{
	MonitorSimulation simulation;

	accept_without_effect(simulation);
	stop(simulation, "b");
	return_former_primary(simulation);
	simulation.promotions.clear();
	simulation.change_holder();
	expect_not_promoted(simulation, 10 * KB_NS_PER_S);
	simulation.promotion_delay = 300 * MS;
	simulation.state["b"].alive = true;
	EXPECT_LE(simulation.until([&] { return simulation.serves("b"); }),
		  8 * KB_NS_PER_S);
}

/* It holds nothing of before: the order of its former process is not repeated.
 */
TEST(MonitorLogTerm, AnOrderIsNotRepeatedToATargetThatLostItsLog)
{
	MonitorSimulation simulation;

	simulation.state["a"].alive = false;
	simulation.state["b"].term = 0;
	simulation.state["b"].position = 0;
	simulation.state["c"].term = 2;
	simulation.announce("b", 2);
	simulation.order.served_term = simulation.recorded.served_term = 2;
	simulation.change_holder();
	simulation.until([&] { return !simulation.promotions.empty(); });
	EXPECT_EQ((std::vector<std::string>{ "c" }), simulation.promotions);
}

/* A replica that follows an earlier term is not switched over to. */
TEST(MonitorLogTerm, ASwitchoverChoosesALogOfTheServedTerm)
{
	MonitorSimulation simulation;

	replace_crashed_primary(simulation);
	return_former_primary(simulation);
	stop(simulation, "c");
	simulation.add("b", true);
	expect_not_promoted(simulation, 6 * KB_NS_PER_S);
	EXPECT_EQ("b", simulation.bound);
	simulation.state["c"].alive = true;
	simulation.until([&] { return simulation.serves("c"); });
}

/* Those of the later term are gone for good. */
TEST(MonitorLogTerm, TheWaitEndsAfterItsTime)
{
	MonitorSimulation simulation;

	replace_crashed_primary(simulation);
	simulation.kill("b", false);
	stop(simulation, "c");
	return_former_primary(simulation);
	expect_not_promoted(simulation,
			    KB_MONITOR_TERM_MISSING_MAX_S * KB_NS_PER_S);
	simulation.until([&] { return simulation.serves("a"); });
	EXPECT_EQ("a", simulation.bound);
}

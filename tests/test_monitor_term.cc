#include "monitor_simulation.h"

using namespace monitor_simulation;

namespace
{

/* The targets do not answer. */
void silence(MonitorSimulation &simulation,
	     std::initializer_list<const char *> names)
{
	for (const char *name : names) {
		simulation.state[name].alive = false;
		simulation.state[name].refuses = false;
	}
}

/* b leads `term`; a, which is cut off, still leads term 1. */
void replace_primary(MonitorSimulation &simulation, uint64_t term)
{
	silence(simulation, { "a" });
	simulation.state["b"].primary = true;
	simulation.state["b"].term = term;
	simulation.state["c"].term = term;
}

/*
 * The holder restarts as a is back and the later primary is silent. Fails if a
 * is served, and if b is not served once it is back.
 */
void expect_later_primary(MonitorSimulation &simulation)
{
	silence(simulation, { "b", "c" });
	simulation.state["a"].alive = true;
	simulation.change_holder();
	for (kb_time_t end = simulation.now + 7 * KB_NS_PER_S;
	     simulation.now < end;) {
		simulation.run(20 * MS);
		ASSERT_NE("a", simulation.bound);
	}
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.state["b"].alive = true;
	EXPECT_LE(simulation.until([&] { return simulation.serves("b"); }),
		  3 * KB_NS_PER_S);
}

} // namespace

/* review/4: a restarted holder serves a primary of an earlier term. */
TEST(MonitorTerm, ARestartedHolderServesNoPrimaryBeforeAnOrderThatTookEffect)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.kill("a", false);
	simulation.until([&] { return simulation.serves("b"); });
	simulation.promotions.clear();
	expect_later_primary(simulation);
}

/* The same, but the later term began without an order of a holder. */
TEST(MonitorTerm, ARestartedHolderKnowsATermThatBeganWithoutAnOrder)
{
	for (uint64_t term : { 2, 3, 7 }) {
		MonitorSimulation simulation;

		replace_primary(simulation, term);
		simulation.until([&] { return simulation.serves("b"); });
		expect_later_primary(simulation);
	}
}

/* The same, but the last order was withdrawn in the later term. */
TEST(MonitorTerm, ARestartedHolderKnowsTheTermOfAWithdrawnOrder)
{
	MonitorSimulation simulation;

	replace_primary(simulation, 2);
	simulation.announce("", 2);
	simulation.change_holder();
	simulation.until([&] { return simulation.serves("b"); });
	EXPECT_EQ(1u, simulation.order.number);
	expect_later_primary(simulation);
}

/* The same, but the record names an order of several terms before. */
TEST(MonitorTerm, ARestartedHolderKnowsATermAfterThatOfTheLastOrder)
{
	MonitorSimulation simulation;

	replace_primary(simulation, 4);
	simulation.announce("c", 1);
	simulation.change_holder();
	simulation.until([&] { return simulation.serves("b"); });
	simulation.state["a"].term = 2;
	expect_later_primary(simulation);
}

/* The holder dies before its first statement: nobody needs to know the term. */
TEST(MonitorTerm, APrimaryIsServedOnlyOnceItsTermIsRecorded)
{
	MonitorSimulation simulation;

	replace_primary(simulation, 3);
	simulation.announceable = false;
	simulation.change_holder();
	simulation.run(3 * KB_NS_PER_S);
	EXPECT_EQ("", simulation.bound);
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.announceable = true;
	EXPECT_LE(simulation.until([&] { return simulation.serves("b"); }),
		  100 * MS);
}

/* Nothing is in doubt, so nothing is written and nothing is waited for. */
TEST(MonitorTerm, ATermThatIsRecordedDelaysNoHolder)
{
	MonitorSimulation simulation;

	simulation.announceable = false;
	EXPECT_LE(simulation.until([&] { return simulation.serves("a"); }),
		  200 * MS);
	simulation.announceable = true;
	simulation.kill("a", false);
	simulation.until([&] { return simulation.serves("b"); });
	EXPECT_EQ(1u, simulation.order.number);
	simulation.announceable = false;
	simulation.state["a"].alive = true;
	simulation.change_holder();
	EXPECT_LE(simulation.until([&] { return simulation.serves("b"); }),
		  200 * MS);
}

/*
 * An order whose effect is known, of a target that has started again without
 * its log, is not repeated.
 */
TEST(MonitorTerm, AnOrderThatTookEffectIsNotRepeated)
{
	MonitorSimulation simulation;

	simulation.announce("b", 1);
	simulation.state["a"].alive = false;
	simulation.state["b"].term = 0;
	simulation.state["b"].position = 0;
	simulation.state["c"].term = 2;
	simulation.change_holder();
	simulation.until([&] { return !simulation.promotions.empty(); });
	EXPECT_EQ((std::vector<std::string>{ "c" }), simulation.promotions);
}

/*
 * review/8: the lease was lost and got again before the monitor was told, and
 * another holder has replaced the primary and died meanwhile.
 */
TEST(MonitorTerm, AMonitorBeginsAnewWithANewToken)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	EXPECT_FALSE(
		kb_monitor_set_active(&simulation.monitor, 1, simulation.now));
	EXPECT_EQ("a", simulation.bound);
	simulation.announce("b", 1);
	simulation.promote("b", 0);
	EXPECT_TRUE(
		kb_monitor_set_active(&simulation.monitor, 2, simulation.now));
	EXPECT_EQ("", simulation.bound);
	EXPECT_EQ(0u, simulation.monitor.term);
	EXPECT_LE(simulation.until([&] { return simulation.serves("b"); }),
		  500 * MS);
	EXPECT_FALSE(
		kb_monitor_set_active(&simulation.monitor, 0, simulation.now));
	EXPECT_EQ("", simulation.bound);
}

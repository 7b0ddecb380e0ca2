#include "monitor_simulation.h"

using namespace monitor_simulation;

namespace
{

/* Runs until `done`, and fails if the old primary is served meanwhile. */
void expect_unserved(MonitorSimulation &simulation, const std::string &old,
		     const std::function<bool()> &done)
{
	kb_time_t end = simulation.now + 10 * KB_NS_PER_S;

	while (!done()) {
		ASSERT_LT(simulation.now, end);
		simulation.run(20 * MS);
		ASSERT_NE(old, simulation.bound);
	}
}

} // namespace

/* Without this the successor of a killed holder serves the old primary. */
TEST(MonitorOrder, NothingIsPromotedBeforeTheOrderIsAnnounced)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.announceable = false;
	simulation.kill("a", true);
	simulation.run(3 * KB_NS_PER_S);
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.announceable = true;
	simulation.until([&] { return !simulation.promotions.empty(); });
	EXPECT_EQ(1u, simulation.order.number);
	EXPECT_EQ(1u, simulation.order.term);
	EXPECT_TRUE(kb_name_is(&simulation.order.target,
			       kb_str_from(simulation.promotions[0].c_str())));
}

TEST(MonitorOrder, ASwitchoverIsAnnouncedBeforeItIsRequested)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.announceable = false;
	simulation.add("a", true);
	simulation.run(2 * KB_NS_PER_S);
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.announceable = true;
	simulation.until([&] { return !simulation.promotions.empty(); });
	EXPECT_EQ(1u, simulation.order.number);
}

/*
 * review/1: the holder dies after the platform has accepted its order, and the
 * old primary answers again before the promotion takes effect.
 */
TEST(MonitorOrder, ASuccessorServesNoPrimaryThatAnOpenOrderReplaces)
{
	for (kb_time_t left = 0; left <= 1500 * MS; left += 100 * MS) {
		MonitorSimulation simulation;

		simulation.announce("b", 1);
		simulation.promote("b", left);
		simulation.change_holder();
		expect_unserved(simulation, "a",
				[&] { return simulation.serves("b"); });
		EXPECT_EQ(2u, simulation.monitor.term);
	}
}

/* The holder dies between the announcement and the request. */
TEST(MonitorOrder, ASuccessorRepeatsAnOrderThatWasNeverSent)
{
	MonitorSimulation simulation;
	kb_time_t began = simulation.now;

	simulation.announce("c", 1);
	simulation.change_holder();
	expect_unserved(simulation, "a",
			[&] { return simulation.serves("c"); });
	EXPECT_EQ((std::vector<std::string>{ "c" }), simulation.promotions);
	EXPECT_LE(simulation.now - began,
		  simulation.promotion_delay + 200 * MS);
	/* The order was known already. */
	EXPECT_EQ(1u, simulation.order.number);
}

/* Several holders in a row die as soon as they have sent the order. */
TEST(MonitorOrder, EachSuccessorRepeatsTheSameOrder)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.promotion_delay = 60 * KB_NS_PER_S;
	simulation.kill("a", false);
	for (size_t sent = 1; sent <= 4; sent++) {
		simulation.until(
			[&] { return simulation.promotions.size() == sent; });
		simulation.state["a"].alive = true;
		simulation.change_holder();
	}
	for (const std::string &name : simulation.promotions)
		EXPECT_EQ(simulation.promotions[0], name);
	EXPECT_EQ(1u, simulation.order.number);
	EXPECT_EQ("", simulation.bound);
}

TEST(MonitorOrder, AnOrderThatIsOverDelaysNoHolder)
{
	MonitorSimulation simulation;

	simulation.announce("a", 0);
	simulation.change_holder();
	EXPECT_LE(simulation.until([&] { return simulation.serves("a"); }),
		  200 * MS);
	EXPECT_TRUE(simulation.promotions.empty());
}

TEST(MonitorOrder, AnotherTargetIsPromotedWhenTheOrderedOneIsSilent)
{
	MonitorSimulation simulation;

	simulation.announce("b", 1);
	simulation.state["b"].alive = false;
	simulation.state["b"].refuses = false;
	simulation.change_holder();
	expect_unserved(simulation, "a",
			[&] { return simulation.serves("c"); });
	EXPECT_EQ((std::vector<std::string>{ "c" }), simulation.promotions);
}

TEST(MonitorOrder, AnotherTargetIsPromotedWhenTheOrderedOneIsRefused)
{
	MonitorSimulation simulation;

	simulation.announce("b", 1);
	simulation.state["b"].promotable = false;
	simulation.change_holder();
	expect_unserved(simulation, "a",
			[&] { return simulation.serves("c"); });
	EXPECT_EQ((std::vector<std::string>{ "b", "c" }),
		  simulation.promotions);
}

/* The ordered target is gone for good, and so is its entry. */
TEST(MonitorOrder, AnotherTargetIsPromotedWhenTheOrderedOneIsGone)
{
	MonitorSimulation simulation;

	simulation.announce("x", 1);
	simulation.change_holder();
	expect_unserved(simulation, "a", [&] {
		return simulation.serves("b") || simulation.serves("c");
	});
}

TEST(MonitorOrder, AFormerPrimaryServesOnlyOnceARefusedOrderIsWithdrawn)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["b"].promotable = false;
	simulation.state["c"].promotable = false;
	simulation.kill("a", false);
	simulation.until([&] { return simulation.promotions.size() == 2; });
	simulation.state["a"].alive = true;
	simulation.run(20 * MS);
	simulation.announceable = false;
	simulation.run(5 * KB_NS_PER_S);
	EXPECT_EQ("", simulation.bound);
	simulation.announceable = true;
	simulation.until([&] { return simulation.serves("a"); });
	EXPECT_EQ(0u, simulation.order.target.len);
	/* A later holder has nothing to wait for. */
	simulation.change_holder();
	EXPECT_LE(simulation.until([&] { return simulation.serves("a"); }),
		  200 * MS);
}

/* A voter tells of the order only after the host has begun to serve. */
TEST(MonitorOrder, AServedPrimaryIsGivenUpWhenAnOrderBecomesKnown)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.announce("b", 1);
	simulation.run(20 * MS);
	EXPECT_EQ("", simulation.bound);
	expect_unserved(simulation, "a",
			[&] { return simulation.serves("b"); });
}

/* The entry of the ordered target expires while the store is down. */
TEST(MonitorOrder, NoSecondTargetIsOrderedWhileTheFirstOnesEntryIsGone)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["b"].position = 150;
	simulation.promotion_delay = 1000 * MS;
	simulation.kill("a", true);
	simulation.until([&] { return !simulation.promotions.empty(); });
	kb_target_list_remove(&simulation.targets, KB_STR("b"));
	simulation.run(1200 * MS);
	simulation.add("b");
	simulation.until([&] { return simulation.serves("b"); });
	EXPECT_EQ((std::vector<std::string>{ "b" }), simulation.promotions);
}

/*
 * The ordered target is silent, and the platform refuses another one. That is
 * no sign that the first order is over.
 */
TEST(MonitorOrder, TheRefusalOfAnotherTargetDoesNotEndAnOpenOrder)
{
	for (kb_time_t silent : { 3, 4, 6 }) {
		MonitorSimulation simulation;

		simulation.announce("b", 1);
		simulation.state["b"].alive = false;
		simulation.state["b"].refuses = false;
		simulation.state["c"].promotable = false;
		simulation.promote("b", silent * KB_NS_PER_S);
		simulation.events.emplace(
			simulation.now + silent * KB_NS_PER_S,
			[&] { simulation.state["b"].alive = true; });
		simulation.change_holder();
		while (simulation.bound.empty()) {
			ASSERT_LT(simulation.now, 11 * KB_NS_PER_S);
			simulation.run(20 * MS);
		}
		/* The former primary serves only if it was promoted again. */
		EXPECT_GT(simulation.monitor.term, 1u) << simulation.bound;
	}
}

/*
 * The same, but the holder dies after it has announced the order to the other
 * target, or after that was refused: its successor knows of both orders.
 */
TEST(MonitorOrder, ASuccessorKnowsTheOpenOrderThatAnotherOneReplaced)
{
	for (kb_time_t life = 0; life <= 3000 * MS; life += 20 * MS) {
		MonitorSimulation simulation;

		simulation.announce("b", 1);
		simulation.state["b"].alive = false;
		simulation.state["b"].refuses = false;
		simulation.state["c"].promotable = false;
		simulation.change_holder();
		simulation.run(life);
		simulation.change_holder();
		/* The platform carries out no order but the first one. */
		simulation.promotion_delay = 60 * KB_NS_PER_S;
		for (int i = 0; i < 400; i++) {
			simulation.run(20 * MS);
			ASSERT_FALSE(simulation.bound == "a" &&
				     simulation.monitor.term == 1)
				<< life / MS;
		}
	}
}

/*
 * The holder has ordered c while its order to b was open, and dies. The effect
 * of the order to b is no sign that the one to c is over.
 */
TEST(MonitorOrder, TheEffectOfAReplacedOrderDoesNotEndTheLastOne)
{
	for (kb_time_t left = 0; left <= 1500 * MS; left += 100 * MS) {
		MonitorSimulation simulation;

		simulation.announce("b", 1);
		simulation.announce("c", 1);
		simulation.promote("b", 0);
		simulation.promote("c", left);
		simulation.change_holder();
		expect_unserved(simulation, "b",
				[&] { return simulation.serves("c"); });
		EXPECT_EQ(3u, simulation.monitor.term);
	}
}

/* The same, but the platform refuses c: b may serve. */
TEST(MonitorOrder, AReplacedOrderStandsOnceTheLastOneIsRefused)
{
	MonitorSimulation simulation;

	simulation.announce("b", 1);
	simulation.announce("c", 1);
	simulation.promote("b", 0);
	simulation.state["a"].alive = false;
	simulation.state["c"].promotable = false;
	simulation.change_holder();
	EXPECT_LE(simulation.until([&] { return simulation.serves("b"); }),
		  5 * KB_NS_PER_S);
	simulation.change_holder();
	EXPECT_LE(simulation.until([&] { return simulation.serves("b"); }),
		  500 * MS);
}

/* Both are refused, so that no order is open any more. */
TEST(MonitorOrder, OrdersThatAreAllRefusedAreWithdrawn)
{
	MonitorSimulation simulation;

	simulation.announce("b", 1);
	simulation.state["b"].alive = false;
	simulation.state["b"].refuses = false;
	simulation.state["b"].promotable = false;
	simulation.state["c"].promotable = false;
	simulation.change_holder();
	EXPECT_LE(simulation.until([&] { return simulation.serves("a"); }),
		  12 * KB_NS_PER_S);
	EXPECT_EQ(0u, simulation.order.target.len);
}

namespace
{

/* Replaces the primary after a crash or as it is leaving. */
void begin_replacement(MonitorSimulation &simulation, bool planned)
{
	simulation.until([&] { return simulation.serves("a"); });
	if (planned)
		simulation.add("a", true);
	else
		simulation.kill("a", true);
}

} // namespace

/*
 * review/6: an order that takes effect late does so while another target is
 * served, as a second one was ordered after 2 s though the first one answered.
 */
TEST(MonitorOrder, ATargetThatAnswersStaysTheChoiceWhileItsOrderIsOpen)
{
	for (bool planned : { false, true })
		for (kb_time_t delay : { 2100, 2600, 5000 }) {
			MonitorSimulation simulation;
			std::string ordered, other;

			simulation.promotion_delay = delay * MS;
			begin_replacement(simulation, planned);
			ordered = simulation.first_order();
			other = ordered == "b" ? "c" : "b";
			/* The other one has the newer log and answers first. */
			simulation.state[other].position = 200;
			simulation.state[ordered].answer_delay = 150 * MS;
			simulation.until([&] {
				return simulation.bound == ordered ||
				       simulation.bound == other;
			});
			EXPECT_EQ(ordered, simulation.bound);
			for (const std::string &name : simulation.promotions)
				EXPECT_EQ(ordered, name) << planned << delay;
		}
}

/* The ordered target crashes before the effect: another one is ordered. */
TEST(MonitorOrder, AnotherTargetIsOrderedOnceTheFirstOneHasCrashed)
{
	for (bool planned : { false, true })
		for (bool refuses : { false, true }) {
			MonitorSimulation simulation;
			std::string ordered;
			kb_time_t time;

			simulation.promotion_delay = 60 * KB_NS_PER_S;
			begin_replacement(simulation, planned);
			ordered = simulation.first_order();
			simulation.state[ordered].alive = false;
			simulation.state[ordered].refuses = refuses;
			simulation.promotion_delay = 300 * MS;
			time = simulation.until([&] {
				return simulation.bound == "b" ||
				       simulation.bound == "c";
			});
			EXPECT_NE(ordered, simulation.bound);
			/* The order, the silence, and the second promotion. */
			EXPECT_LE(time, 2000 * MS + 1150 * MS + 500 * MS);
		}
}

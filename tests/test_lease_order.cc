#include "lease_order_simulation.h"

using namespace lease_simulation;

namespace
{

enum class Store { REACHED, UNREACHED_BY_HOLDER, DOWN };

/*
 * The holder stops `delay` after it began to announce an order: before its
 * write arrives, before the answer arrives, or later. It is back after `pause`.
 */
std::string stop_while_announcing(uint64_t seed, Store store, kb_time_t delay,
				  kb_time_t pause,
				  BrokenRule broken_rule = BrokenRule::NOTHING)
{
	OrderSimulation simulation(5, seed, broken_rule);
	size_t holder;

	simulation.run_checked(4 * KB_NS_PER_S);
	holder = simulation.serving_host();
	if (store == Store::UNREACHED_BY_HOLDER)
		simulation.hosts[holder]->store_unreachable = true;
	simulation.store_down = store == Store::DOWN;
	simulation.begin_order();
	simulation.run_checked(delay);
	simulation.stop(holder, pause);
	simulation.hosts[holder]->store_unreachable = false;
	simulation.run_checked(100 * MS);
	simulation.store_down = false;
	simulation.run_checked(5 * KB_NS_PER_S);
	EXPECT_LT(simulation.serving_host(), simulation.hosts.size());
	return simulation.violation;
}

std::string stop_at_every_step(uint64_t seed, Store store,
			       BrokenRule broken_rule = BrokenRule::NOTHING)
{
	for (kb_time_t delay = 0; delay <= 500 * MS;
	     delay += delay < 100 * MS ? STEP : 4 * STEP)
		for (kb_time_t pause : { 50 * MS, 700 * MS, 3000 * MS }) {
			std::string violation = stop_while_announcing(
				seed, store, delay, pause, broken_rule);

			if (!violation.empty())
				return violation;
		}
	return "";
}

} // namespace

/* review/1: a successor that does not know of an order serves too early. */
TEST(LeaseOrder, ASuccessorKnowsEachAnnouncedOrder)
{
	for (Store store :
	     { Store::REACHED, Store::UNREACHED_BY_HOLDER, Store::DOWN })
		EXPECT_EQ("", stop_at_every_step(1, store)) << (int)store;
}

TEST(LeaseOrder, EveryBrokenRuleIsDetected)
{
	EXPECT_NE("", stop_at_every_step(1, Store::DOWN,
					 BrokenRule::FORGETS_ORDERS));
	EXPECT_NE("", stop_at_every_step(1, Store::UNREACHED_BY_HOLDER,
					 BrokenRule::FORGETS_ORDERS));
	EXPECT_NE("", stop_at_every_step(1, Store::REACHED,
					 BrokenRule::UNANNOUNCED_ORDERS));
}

/* A former holder told a minority of the voters an order of that number. */
TEST(LeaseOrder, OfTwoOrdersOfANumberTheOneOfTheLaterTermIsKept)
{
	OrderSimulation simulation(3, 1);
	kb_lease_t &lease = simulation.hosts[0]->lease;
	kb_promotion_order_t order = { 5, 7, name_of("t1"), {}, {}, 0 };
	kb_promotion_order_t other = { 5, 8, name_of("t2"), {}, {}, 0 };

	kb_lease_learn_order(&lease, &order);
	kb_lease_learn_order(&lease, &other);
	EXPECT_EQ(8u, lease.order.term);
	kb_lease_learn_order(&lease, &order);
	EXPECT_EQ(8u, lease.order.term);
}

/* Guards against a replaced order that a successor takes for ended. */
TEST(LeaseOrder, AnOrderNamesTheOneThatItReplacesUnlessThatIsOver)
{
	struct {
		const char *target;
		uint64_t term;
		const char *earlier;
	} steps[] = {
		{ "b", 1, "" },	 { "c", 1, "b" }, { "c", 1, "b" },
		{ "b", 1, "c" }, { "d", 1, "c" }, { "d", 2, "" },
		{ "e", 2, "d" }, { "", 2, "" },	  { "f", 2, "" },
	};
	kb_promotion_order_t order = {};

	for (const auto &step : steps) {
		kb_name_t target = name_of(step.target);

		kb_promotion_order_replace(&order, &target, step.term);
		EXPECT_STREQ(step.earlier, order.earlier.data);
	}
	EXPECT_EQ(9u, order.number);
}

TEST(LeaseOrder, AnOrderIsAnnouncedWithinOneCallToTheStore)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		OrderSimulation simulation(5, seed);

		simulation.run_checked(4 * KB_NS_PER_S);
		simulation.begin_order();
		simulation.run_checked(70 * MS);
		EXPECT_EQ(1u, simulation.announced) << seed;
		EXPECT_EQ(1u, simulation.record.order.number) << seed;
		/* Renewals need not carry it any more. */
		EXPECT_EQ(
			nullptr,
			kb_lease_unrecorded_order(
				&simulation.hosts[simulation.announcer]->lease,
				simulation.key_revision))
			<< seed;
	}
}

TEST(LeaseOrder, AnOrderIsAnnouncedToTheVotersWhileTheStoreIsDown)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		OrderSimulation simulation(5, seed);

		simulation.run_checked(4 * KB_NS_PER_S);
		simulation.store_down = true;
		simulation.store_silent = seed % 2 == 0;
		simulation.begin_order();
		simulation.run_checked(450 * MS);
		EXPECT_EQ(1u, simulation.announced) << seed;
	}
}

/*
 * A host that asks a voter for a grant has read a record that the voter does
 * not know, such as a restored one from before the order: the voter tells the
 * order.
 */
TEST(LeaseOrder, AVoterTellsAnOrderThatTheRecordOfAnotherRevisionMayLack)
{
	OrderSimulation simulation(5, 1);

	simulation.run_checked(4 * KB_NS_PER_S);
	simulation.begin_order();
	simulation.run_checked(300 * MS);
	ASSERT_EQ(1u, simulation.record.order.number);
	kb_lease_t &voter =
		simulation.hosts[(simulation.announcer + 1) % 5]->lease;
	kb_name_t other = name_of("other");
	int64_t restored =
		kb_store_revision(kb_store_era(simulation.key_revision) + 1, 1);

	kb_lease_on_key(&voter, &simulation.record, simulation.key_revision,
			simulation.now);
	EXPECT_EQ(nullptr,
		  kb_lease_unrecorded_order(&voter, simulation.key_revision));
	ASSERT_TRUE(
		kb_lease_grant(&voter, &other, restored, 0, simulation.now));
	ASSERT_NE(nullptr, kb_lease_unrecorded_order(&voter, restored));
	EXPECT_EQ(1u, kb_lease_unrecorded_order(&voter, restored)->number);
}

/* A live holder loses its lease to a host that does not hear it. */
TEST(LeaseOrder, AHostThatTakesOverFromALiveHolderKnowsItsOrder)
{
	for (uint64_t seed = 1; seed <= 4; seed++)
		for (kb_time_t delay = 0; delay <= 1500 * MS;
		     delay += 50 * MS) {
			OrderSimulation simulation(5, seed);
			size_t holder;

			simulation.run_checked(4 * KB_NS_PER_S);
			holder = simulation.serving_host();
			for (size_t i = 0; i < 5; i++)
				if (i != holder)
					simulation.cut(i, holder);
			simulation.run_checked(delay);
			simulation.begin_order();
			simulation.run_checked(4 * KB_NS_PER_S);
			EXPECT_EQ("", simulation.violation)
				<< seed << " " << delay / MS;
			EXPECT_NE(holder, simulation.serving_host());
		}
}

/*
 * primary-cut-heals: a voter that hears nobody takes over from a holder that
 * serves with the others, and the cut ends as the holder gives its order.
 */
TEST(LeaseOrder, AnIsolatedVoterThatTakesOverKnowsTheOrder)
{
	size_t replaced = 0;

	for (uint64_t seed = 1; seed <= 4; seed++)
		for (kb_time_t delay = 300 * MS; delay <= 1500 * MS;
		     delay += 30 * MS) {
			OrderSimulation simulation(5, seed);
			size_t holder;
			size_t voter;

			simulation.run_checked(4 * KB_NS_PER_S);
			holder = simulation.serving_host();
			voter = (holder + 1) % 5;
			for (size_t i = 0; i < 5; i++)
				if (i != voter)
					simulation.cut(i, voter);
			simulation.run_checked(delay);
			simulation.begin_order();
			simulation.run_checked(40 * MS);
			simulation.broken_links.clear();
			simulation.run_checked(3 * KB_NS_PER_S);
			EXPECT_EQ("", simulation.violation)
				<< seed << " " << delay / MS;
			replaced += simulation.serving_host() == voter;
		}
	EXPECT_GT(replaced, 0u);
}

/* Faults of all kinds, but with a store that the holders reach. */
TEST(LeaseOrder, RandomFaultsLoseNoOrder)
{
	for (uint64_t seed = 1; seed <= 100; seed++) {
		OrderSimulation simulation(3 + seed % 5, seed);

		simulation.run_checked(3 * KB_NS_PER_S);
		for (int i = 0; i < 12; i++) {
			simulation.random_fault();
			simulation.store_down = false;
			for (auto &host : simulation.hosts)
				host->store_unreachable = false;
			if (simulation.serving_host() < simulation.hosts.size())
				simulation.begin_order();
			simulation.run_checked(
				(kb_time_t)(100 + simulation.below(2500)) * MS);
		}
		ASSERT_EQ("", simulation.violation) << "seed " << seed;
	}
}

/* review/2: a holder that starts later must know of copies without entries. */
TEST(LeaseOrder, ASuccessorKnowsTheCopiesOfADurableGroup)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		OrderSimulation simulation(5, seed);
		kb_target_names_t copies = {};
		size_t holder;

		simulation.run_checked(4 * KB_NS_PER_S);
		holder = simulation.serving_host();
		for (const char *name : { "t1", "t2", "t3" }) {
			kb_name_t target = name_of(name);

			kb_target_names_add(&copies, &target);
		}
		kb_departures_t departures = {};
		departures.count = 1;
		departures.departures[0].target = name_of("t2");
		departures.departures[0].endpoint = { name_of("10.0.0.1"), 7 };
		departures.departures[0].heir = name_of("t4");
		kb_lease_set_copies(&simulation.hosts[holder]->lease, &copies,
				    &departures);
		simulation.run_checked(100 * MS);
		for (auto &host : simulation.hosts) {
			host->alive = false;
			host->down_until = simulation.now + 500 * MS;
		}
		simulation.run_checked(5 * KB_NS_PER_S);
		holder = simulation.serving_host();
		ASSERT_LT(holder, simulation.hosts.size()) << seed;
		EXPECT_TRUE(kb_target_names_equal(
			&copies, &simulation.hosts[holder]->lease.copies))
			<< seed;
		EXPECT_TRUE(kb_departures_equal(
			&departures,
			&simulation.hosts[holder]->lease.departures))
			<< seed;
	}
}

/*
 * Voters remember what an order said before. The holder must not learn it from
 * them again once the order says less: it would write the record for ever.
 */
TEST(LeaseOrder, WhatAnOrderNoLongerSaysIsNotLearnedAgain)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		OrderSimulation simulation(5, seed);
		kb_promotion_order_t next = { 0, 1, name_of("t"), {}, {}, 2 };
		size_t holder;
		int64_t revision;

		simulation.run(4 * KB_NS_PER_S);
		holder = simulation.serving_host();
		kb_lease_t &lease = simulation.hosts[holder]->lease;

		next.unanswered.count = 1;
		next.unanswered.names[0] = name_of("u");
		kb_lease_announce_order(&lease, &next, simulation.now);
		simulation.run(1000 * MS);
		ASSERT_TRUE(kb_promotion_order_says(&simulation.record.order,
						    &next));
		EXPECT_EQ(1u, simulation.record.order.number);
		next.unanswered.count = 0;
		next.served_term = 1;
		kb_lease_announce_order(&lease, &next, simulation.now);
		simulation.run(1000 * MS);
		EXPECT_TRUE(kb_promotion_order_says(&simulation.record.order,
						    &next));
		revision = simulation.key_revision;
		simulation.run(3000 * MS);
		EXPECT_EQ(revision, simulation.key_revision) << seed;
		EXPECT_TRUE(kb_promotion_order_says(&lease.order, &next));
	}
}

/* What it says in addition does not make it another order. */
TEST(LeaseOrder, AnOrderThatSaysMoreKeepsItsNumber)
{
	kb_promotion_order_t order = { 3, 1, name_of("t"), {}, {}, 1 };
	kb_promotion_order_t before = order;
	kb_promotion_order_t next = order;

	next.served_term = 2;
	kb_promotion_order_update(&order, &next);
	EXPECT_EQ(3u, order.number);
	EXPECT_TRUE(kb_promotion_order_is_later(&before, &order));
	EXPECT_FALSE(kb_promotion_order_is_later(&order, &before));
	before = order;
	next.unanswered.count = 1;
	next.unanswered.names[0] = name_of("u");
	kb_promotion_order_update(&order, &next);
	EXPECT_EQ(3u, order.number);
	EXPECT_TRUE(kb_promotion_order_is_later(&before, &order));
}

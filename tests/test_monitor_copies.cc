#include "monitor_simulation.h"

using namespace monitor_simulation;

namespace
{

/* A durable group: each acknowledged commit is in two logs at least. */
struct DurableGroup : MonitorSimulation {
	DurableGroup()
	{
		monitor.durable = 1;
	}

	void expire(const char *name)
	{
		kb_target_list_remove(&targets, kb_str_from(name));
	}

	/* A target ends, and its entry expires later. */
	void lose(const char *name)
	{
		state[name].alive = false;
		expire(name);
	}

	void change_holder(const std::vector<const char *> &copies)
	{
		kb_target_names_t names = {};

		for (const char *copy : copies) {
			kb_name_t name;

			kb_name_set(&name, kb_str_from(copy));
			kb_target_names_add(&names, &name);
		}
		MonitorSimulation::change_holder();
		monitor.durable = 1;
		kb_monitor_add_copies(&monitor, &names, now);
	}
};

} // namespace

/*
 * review/2: the only copy of the newest commits is down, and its entry expires
 * before it is back.
 */
TEST(MonitorCopies, AnExpiredEntryLeavesNoOlderLogToPromote)
{
	DurableGroup group;

	group.until([&] { return group.serves("a"); });
	kb_monitor_on_answer(&group.monitor, { 1, 120 });
	group.state["b"].position = 120;
	group.state["c"].position = 100;
	group.kill("a", true);
	group.lose("b");
	group.run(3 * KB_NS_PER_S);
	group.expire("a");
	group.run(3 * KB_NS_PER_S);
	EXPECT_TRUE(group.promotions.empty());
	EXPECT_TRUE(group.monitor.blocked);
	group.state["b"].alive = true;
	group.add("b");
	EXPECT_LE(group.until([&] { return group.serves("b"); }), KB_NS_PER_S);
	EXPECT_FALSE(group.monitor.blocked);
}

/* HOW=entries of review/2: the entry of a copy that is alive is not back. */
TEST(MonitorCopies, ACopyThatIsAliveIsWaitedForUntilItsEntryIsBack)
{
	DurableGroup group;

	group.until([&] { return group.serves("a"); });
	kb_monitor_on_answer(&group.monitor, { 1, 103 });
	group.state["b"].position = 103;
	group.expire("b");
	group.run(KB_NS_PER_S);
	group.kill("a", true);
	group.run(2 * KB_NS_PER_S);
	EXPECT_TRUE(group.promotions.empty());
	group.add("b");
	EXPECT_LE(group.until([&] { return group.serves("b"); }), KB_NS_PER_S);
}

/* A holder that started after the entry had expired knows it by the record. */
TEST(MonitorCopies, ANewHolderWaitsForACopyThatItHasNeverSeen)
{
	DurableGroup group;

	group.state["a"].alive = false;
	group.lose("b");
	group.change_holder({ "a", "b", "c" });
	group.run(5 * KB_NS_PER_S);
	EXPECT_TRUE(group.promotions.empty());
	EXPECT_TRUE(group.monitor.blocked);
	group.state["b"].alive = true;
	group.state["b"].position = 120;
	group.add("b");
	EXPECT_LE(group.until([&] { return group.serves("b"); }),
		  2 * KB_NS_PER_S);
}

TEST(MonitorCopies, ANewHolderWaitsForNoCopyIfAllOthersAnswer)
{
	DurableGroup group;

	group.lose("a");
	group.state["c"].position = 120;
	group.change_holder({ "a", "b", "c" });
	EXPECT_LE(group.until([&] { return group.serves("c"); }),
		  3 * KB_NS_PER_S);
}

TEST(MonitorCopies, ALogWithTheNewestKnownPositionIsPromotedAtOnce)
{
	DurableGroup group;

	group.until([&] { return group.serves("a"); });
	kb_monitor_on_answer(&group.monitor, { 1, 120 });
	group.state["c"].position = 120;
	group.lose("b");
	group.kill("a", true);
	EXPECT_LE(group.until([&] { return group.serves("c"); }), 1200 * MS);
}

/* Its log was passed on to a target that replaces it. */
TEST(MonitorCopies, ATargetThatHasLeftIsNotWaitedFor)
{
	DurableGroup group;

	group.until([&] { return group.serves("a"); });
	group.add("b", true);
	group.run(100 * MS);
	group.lose("b");
	group.run(100 * MS);
	group.add("d");
	group.run(100 * MS);
	kb_monitor_on_answer(&group.monitor, { 1, 120 });
	group.kill("a", true);
	EXPECT_LE(group.until([&] {
		return group.serves("c") || group.serves("d");
	}),
		  1200 * MS);
}

TEST(MonitorCopies, AnExpiredEntryIsForgottenAfterTenMinutes)
{
	DurableGroup group;

	group.until([&] { return group.serves("a"); });
	group.lose("b");
	group.run(20 * MS);
	EXPECT_EQ(1u, kb_copies_missing(&group.monitor.copies));
	group.now += KB_COPIES_MISSING_MAX_S * KB_NS_PER_S;
	group.run(20 * MS);
	EXPECT_EQ(0u, kb_copies_missing(&group.monitor.copies));
	EXPECT_EQ(2u, group.monitor.copies.count);
}

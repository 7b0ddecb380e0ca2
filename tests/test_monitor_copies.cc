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
		change_holder(copies, {});
	}

	/* The next holder starts from what this one leaves in the record. */
	void change_holder_with_record()
	{
		kb_target_names_t names;
		kb_departures_t departures = monitor.copies.departures;
		std::vector<const char *> copies;

		kb_copies_names(&monitor.copies, &names);
		for (size_t i = 0; i < names.count; i++)
			copies.push_back(names.names[i].data);
		change_holder(copies, departures);
	}

	void change_holder(const std::vector<const char *> &copies,
			   const kb_departures_t &departures)
	{
		kb_target_names_t names = {};

		for (const char *copy : copies) {
			kb_name_t name;

			kb_name_set(&name, kb_str_from(copy));
			kb_target_names_add(&names, &name);
		}
		MonitorSimulation::change_holder();
		monitor.durable = 1;
		kb_monitor_add_copies(&monitor, &names, &departures, now);
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
	group.add("b", true, "", 3);
	group.run(100 * MS);
	group.lose("b");
	group.run(100 * MS);
	group.add("d", false, "b", 5);
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

/*
 * review/11: the entry of a draining copy expires with the store down, and a
 * target without its commits is promoted.
 */
TEST(MonitorCopies, ADrainingCopyCountsWhenItsEntryExpires)
{
	for (bool later_holder : { false, true }) {
		DurableGroup group;

		group.until([&] { return group.serves("a"); });
		group.add("b", true);
		group.run(100 * MS);
		kb_monitor_on_answer(&group.monitor, { 1, 120 });
		group.state["b"].position = 120;
		group.expire("b");
		group.run(20 * MS);
		if (later_holder) {
			group.state["a"].alive = false;
			group.change_holder_with_record();
		} else {
			group.kill("a", true);
		}
		group.run(4 * KB_NS_PER_S);
		EXPECT_TRUE(group.promotions.empty()) << later_holder;
		EXPECT_TRUE(group.monitor.blocked) << later_holder;
		group.add("b");
		EXPECT_LE(group.until([&] { return group.serves("b"); }),
			  KB_NS_PER_S)
			<< later_holder;
	}
}

/*
 * VARIANT=release of review/11: a draining copy ends, and its log is back in a
 * target that registers at its address.
 */
TEST(MonitorCopies, AnHeirAnswersForADrainingCopy)
{
	for (bool later_holder : { false, true }) {
		DurableGroup group;

		group.until([&] { return group.serves("a"); });
		group.add("b", true, "", 3);
		group.run(100 * MS);
		kb_monitor_on_answer(&group.monitor, { 1, 120 });
		group.kill("a", true);
		group.lose("b");
		group.run(200 * MS);
		if (later_holder)
			group.change_holder_with_record();
		group.run(4 * KB_NS_PER_S);
		EXPECT_TRUE(group.promotions.empty()) << later_holder;
		group.add("d", false, "b", 5);
		group.state["d"].position = 120;
		EXPECT_LE(group.until([&] { return group.serves("d"); }),
			  KB_NS_PER_S)
			<< later_holder;
	}
}

/* The heir registered before the former holder was lost, or after. */
TEST(MonitorCopies, ALaterHolderDoesNotWaitForALogThatItsHeirHasShown)
{
	for (bool entry_lingers : { false, true }) {
		DurableGroup group;

		group.until([&] { return group.serves("a"); });
		group.add("b", true, "", 3);
		group.run(100 * MS);
		group.state["b"].alive = false;
		group.add("d", false, "b", 5);
		if (!entry_lingers)
			group.expire("b");
		group.run(100 * MS);
		group.state["d"].position = 120;
		group.state["a"].alive = false;
		group.expire("b");
		group.change_holder_with_record();
		EXPECT_LE(group.until([&] { return group.serves("d"); }),
			  3 * KB_NS_PER_S)
			<< entry_lingers;
	}
}

/* A target at the address of a draining copy need not have its log. */
TEST(MonitorCopies, OnlyALaterTargetAtTheAddressIsAnHeir)
{
	struct {
		const char *what;
		std::function<void(DurableGroup &)> event;
	} cases[] = {
		{ "at another address",
		  [](DurableGroup &g) { g.add("d", false, "", 5); } },
		{ "started before",
		  [](DurableGroup &g) { g.add("d", false, "b", 2); } },
		{ "start unknown",
		  [](DurableGroup &g) { g.add("d", false, "b", 0); } },
		{ "known before",
		  [](DurableGroup &g) { g.add("c", false, "b", 5); } },
	};

	for (const auto &c : cases) {
		DurableGroup group;

		group.until([&] { return group.serves("a"); });
		group.add("b", true, "", 3);
		group.run(100 * MS);
		kb_monitor_on_answer(&group.monitor, { 1, 120 });
		group.lose("b");
		group.run(100 * MS);
		c.event(group);
		group.kill("a", true);
		group.run(4 * KB_NS_PER_S);
		EXPECT_TRUE(group.promotions.empty()) << c.what;
		EXPECT_TRUE(group.monitor.blocked) << c.what;
	}
}

/* A copy that is not draining passes its log on to nobody. */
TEST(MonitorCopies, ATargetThatCrashedHasNoHeir)
{
	DurableGroup group;

	group.until([&] { return group.serves("a"); });
	group.add("b", true, "", 3);
	group.run(100 * MS);
	group.add("b", false, "", 4);
	group.run(100 * MS);
	kb_monitor_on_answer(&group.monitor, { 1, 120 });
	group.lose("b");
	group.run(100 * MS);
	group.add("d", false, "b", 5);
	group.kill("a", true);
	group.run(4 * KB_NS_PER_S);
	EXPECT_TRUE(group.promotions.empty());
}

/* A copy for which there is no room must not be taken for absent. */
TEST(MonitorCopies, AGroupOfMoreCopiesThanAreTrackedIsNotComplete)
{
	for (bool later_holder : { false, true }) {
		DurableGroup group;

		group.until([&] { return group.serves("a"); });
		for (int i = 0; i < 13; i++)
			group.add("x" + std::to_string(i));
		group.add("y");
		group.run(100 * MS);
		EXPECT_EQ(16u, group.monitor.copies.count);
		kb_monitor_on_answer(&group.monitor, { 1, 120 });
		group.lose("y");
		group.kill("a", true);
		group.run(20 * MS);
		if (later_holder)
			group.change_holder_with_record();
		group.run(4 * KB_NS_PER_S);
		EXPECT_TRUE(group.promotions.empty()) << later_holder;
		EXPECT_TRUE(group.monitor.blocked) << later_holder;
	}
}

/*
 * A draining copy whose entry has expired still receives, and may be the only
 * one that has the latest commits, though another one had caught up meanwhile.
 */
TEST(MonitorCopies, ADrainingCopyWithoutAnEntryMayHaveLaterCommits)
{
	for (bool later_holder : { false, true }) {
		DurableGroup group;

		group.until([&] { return group.serves("a"); });
		kb_monitor_on_answer(&group.monitor, { 1, 120 });
		group.add("b", true, "", 3);
		group.run(100 * MS);
		group.expire("b");
		for (const char *name : { "a", "c" })
			group.state[name].position = 120;
		group.run(3 * KB_NS_PER_S);
		kb_monitor_on_answer(&group.monitor, { 1, 130 });
		group.state["b"].position = 130;
		if (later_holder) {
			group.state["a"].alive = false;
			group.change_holder_with_record();
		} else {
			group.kill("a", true);
		}
		group.run(4 * KB_NS_PER_S);
		EXPECT_TRUE(group.promotions.empty()) << later_holder;
	}
}

#include "fake_time.h"
#include "replica_selector.h"

#include <gtest/gtest.h>
#include <memory>
#include <string>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A host's view of a group of three targets in two regions. */
class ReplicaSelector : public ::testing::Test
{
      protected:
	FakeTime clock;
	kb_settings_t settings{};
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();
	std::unique_ptr<kb_proxy_group_t> group =
		std::make_unique<kb_proxy_group_t>();
	kb_database_t database{};
	kb_replica_selector_t selector{};

	ReplicaSelector()
	{
		clock.now = 100 * KB_NS_PER_S;
		*proxy = {};
		*group = {};
		proxy->clock = &clock.base;
		proxy->setup.settings = &settings;
		place("near", "home");
		place("far", "away");
		kb_name_set(&proxy->self.data_centre, KB_STR("near"));
		kb_name_set(&proxy->self.region, KB_STR("home"));
		kb_name_set(&group->name, KB_STR("g"));
		kb_name_set(&group->primary, KB_STR("p"));
		add("p", "near");
		add("n", "near");
		add("f", "far");
		database.consistency = KB_READ_YOUR_WRITES;
		database.max_age = 1500 * MS;
		database.timeout = 1000 * MS;
		database.objective = 500 * MS;
		stamp(1000 * MS, 40);
		stamp(100 * MS, 50);
		begin();
	}

	~ReplicaSelector() override
	{
		kb_target_list_finish(&proxy->targets);
		kb_proxy_loads_finish(proxy.get());
	}

	void place(const char *centre, const char *region)
	{
		kb_settings_data_centre_t *entry =
			&settings.data_centres[settings.data_centre_count++];

		kb_name_set(&entry->data_centre, kb_str_from(centre));
		kb_name_set(&entry->region, kb_str_from(region));
	}

	void add(const char *name, const char *centre, bool leaving = false)
	{
		kb_target_entry_t entry = {};

		kb_name_set(&entry.place.group, KB_STR("g"));
		kb_name_set(&entry.place.target, kb_str_from(name));
		kb_name_set(&entry.data_centre, kb_str_from(centre));
		entry.leaving = leaving;
		kb_target_list_put(&proxy->targets, &entry);
	}

	void stamp(kb_time_t age, uint64_t position)
	{
		kb_watermarks_add(&group->watermarks, 1, clock.now - age,
				  { 1, position });
	}

	void begin(kb_point_t own = {})
	{
		kb_replica_selector_init(&selector, &database, own, clock.now);
	}

	std::string next()
	{
		const kb_target_entry_t *target = kb_replica_selector_next(
			&selector, proxy.get(), group.get());

		return target ? target->place.target.data : "";
	}

	kb_proxy_load_t *load(const char *name)
	{
		return kb_proxy_load_get(proxy.get(), kb_str_from(name));
	}

	void at(const char *name, uint64_t position, kb_time_t age)
	{
		load(name)->position = { 1, position };
		load(name)->position_at = clock.now - age;
	}

	void queue(unsigned waiting)
	{
		group->load.waiting = waiting;
		group->load.slots = 2;
		group->load.service_us = 10000;
		group->load_at = clock.now;
	}
};

} // namespace

TEST_F(ReplicaSelector, SelectsTheNearestReplicaWithTheOldestPointAllowed)
{
	EXPECT_EQ("n", next());
	EXPECT_EQ(40u, selector.include.position);
}

TEST_F(ReplicaSelector, ReadYourWritesIncludesTheSessionsOwnCommits)
{
	begin({ 1, 45 });
	EXPECT_EQ("n", next());
	EXPECT_EQ(45u, selector.include.position);
	database.consistency = KB_READ_BOUNDED_STALENESS;
	begin({ 1, 45 });
	next();
	EXPECT_EQ(40u, selector.include.position);
}

TEST_F(ReplicaSelector, ReadsGoToThePrimaryWithoutARecentWatermark)
{
	clock.now += 1500 * MS;
	begin();
	EXPECT_EQ("", next());
	EXPECT_TRUE(selector.exhausted);
}

TEST_F(ReplicaSelector, SkipsAReplicaThatRecentlyReportedALaggingLog)
{
	at("n", 30, 20 * MS);
	EXPECT_EQ("f", next());
	/* A position reported some time ago is ignored. */
	at("n", 30, 200 * MS);
	begin();
	EXPECT_EQ("n", next());
	at("n", 40, 20 * MS);
	begin();
	EXPECT_EQ("n", next());
}

TEST_F(ReplicaSelector, SkipsDrainingAndExcludedTargets)
{
	kb_name_t tried;

	add("n", "near", true);
	EXPECT_EQ("f", next());
	kb_name_set(&tried, KB_STR("f"));
	kb_replica_selector_exclude(&selector, &tried);
	EXPECT_EQ("", next());
	kb_replica_selector_reset(&selector);
	EXPECT_EQ("f", next());
}

TEST_F(ReplicaSelector, PrefersADistantReplicaToALoadedOne)
{
	load("n")->load = { 12, 2, 2, 14000 };
	load("n")->at = clock.now;
	EXPECT_EQ("f", next());
	load("n")->load.waiting = 0;
	EXPECT_EQ("n", next());
	/* Statements in flight count as load, too. */
	load("n")->outstanding = 10;
	EXPECT_EQ("f", next());
}

TEST_F(ReplicaSelector, WaitsForLaggingReplicasOnlyWhileThePrimaryIsOverloaded)
{
	struct {
		const char *name;
		bool lagging;
		unsigned waiting;
		kb_time_t spent;
		int waits;
	} cases[] = {
		{ "primary free", true, 0, 0, 0 },
		{ "primary busy", true, 5, 0, 1 },
		{ "not lagging", false, 5, 0, 0 },
		{ "waited too long", true, 5, 310 * MS, 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		queue(c.waiting);
		at("n", c.lagging ? 30 : 60, 10 * MS);
		at("f", c.lagging ? 30 : 60, 10 * MS);
		begin();
		next();
		EXPECT_EQ(c.waits, kb_replica_selector_should_wait(
					   &selector, group.get(), &database,
					   clock.now + c.spent));
	}
}

/* After a cut both logs are seconds behind: waiting would not help. */
TEST_F(ReplicaSelector, DoesNotWaitForReplicasThatAreFarBehind)
{
	group->watermarks = {};
	for (int i = 60; i > 0; i--)
		stamp(i * 50 * MS, 100 - (uint64_t)i);
	queue(5);
	at("n", 20, 10 * MS);
	at("f", 20, 10 * MS);
	begin();
	EXPECT_EQ("", next());
	EXPECT_FALSE(kb_replica_selector_should_wait(&selector, group.get(),
						     &database, clock.now));
}

TEST_F(ReplicaSelector, AReplicaFarBehindIsNotAskedAgainSoon)
{
	group->watermarks = {};
	for (int i = 60; i > 0; i--)
		stamp(i * 50 * MS, 100 - (uint64_t)i);
	at("n", 20, 200 * MS);
	begin();
	EXPECT_EQ("f", next());
	at("n", 20, 600 * MS);
	begin();
	EXPECT_EQ("n", next());
}

/* The same replica on every host while loads are alike, another otherwise. */
TEST_F(ReplicaSelector, PrefersOneReplicaForATeam)
{
	size_t at_second = 0;

	add("n2", "near");
	for (int i = 0; i < 20; i++) {
		std::string team = "team" + std::to_string(i);

		kb_name_set(&selector.team, kb_str_from(team.c_str()));
		std::string first = next();
		EXPECT_EQ(first, next());
		at_second += first == "n2";
		load(first.c_str())->load.slots = 1;
		load(first.c_str())->load.waiting = 3;
		load(first.c_str())->load.service_us = 10000;
		load(first.c_str())->at = clock.now;
		EXPECT_NE(first, next());
		load(first.c_str())->load.waiting = 0;
		load(first.c_str())->load.service_us = 0;
		load(first.c_str())->at = 0;
	}
	EXPECT_GT(at_second, 4u);
	EXPECT_LT(at_second, 16u);
}

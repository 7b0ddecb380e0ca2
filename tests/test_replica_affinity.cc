#include "replica_selector.h"
#include "team_load.h"

#include <gtest/gtest.h>

namespace
{

constexpr kb_time_t S = KB_NS_PER_S;
constexpr kb_time_t MS = KB_NS_PER_MS;
constexpr size_t TEAMS = 75;
constexpr size_t REPLICAS = 2;

/* A host in one of two data centres, each of which has a replica. */
struct Host {
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();
	std::unique_ptr<kb_proxy_group_t> group =
		std::make_unique<kb_proxy_group_t>();

	Host(FakeTime *time, const kb_settings_t *settings, const char *centre)
	{
		*proxy = {};
		*group = {};
		proxy->clock = &time->base;
		proxy->setup.settings = settings;
		kb_name_set(&proxy->self.data_centre, kb_str_from(centre));
		kb_name_set(&proxy->self.region, KB_STR("home"));
		kb_name_set(&group->name, KB_STR("g"));
		kb_name_set(&group->primary, KB_STR("p"));
		add("r0", "dc0");
		add("r1", "dc1");
	}

	Host(const Host &) = delete;

	~Host()
	{
		kb_target_list_finish(&proxy->targets);
		kb_proxy_loads_finish(proxy.get());
	}

	void add(const char *name, const char *centre)
	{
		kb_target_entry_t entry = {};

		kb_name_set(&entry.place.group, KB_STR("g"));
		kb_name_set(&entry.place.target, kb_str_from(name));
		kb_name_set(&entry.data_centre, kb_str_from(centre));
		kb_target_list_put(&proxy->targets, &entry);
	}

	/* Returns the index of the replica for a read, or of the primary. */
	size_t select(const std::string &team)
	{
		kb_time_t now = kb_clock_monotonic(proxy->clock);
		kb_replica_selector_t selector;
		kb_database_t database = {};
		const kb_target_entry_t *target;

		database.max_age = 1500 * MS;
		kb_replica_selector_init(&selector, &database, {}, now);
		kb_name_set(&selector.team, kb_str_from(team.c_str()));
		target = kb_replica_selector_next(&selector, proxy.get(),
						  group.get());
		return target ? (size_t)(target->place.target.data[1] - '0')
			      : REPLICAS;
	}
};

struct Replay {
	double opened;
	size_t at_primary;
	kb_time_t mean;
	kb_time_t p99;
};

/* 75 skewed teams read from two replicas of 40 connections each. */
struct Replicas {
	kb_settings_t settings{};
	FakeTime time;
	std::vector<std::unique_ptr<TeamLoad>> pools;
	std::vector<std::unique_ptr<Host>> hosts;

	Replicas()
	{
		for (const char *centre : { "dc0", "dc1" }) {
			kb_settings_data_centre_t *entry =
				&settings.data_centres
					 [settings.data_centre_count++];

			kb_name_set(&entry->data_centre, kb_str_from(centre));
			kb_name_set(&entry->region, KB_STR("home"));
		}
		for (size_t i = 0; i < REPLICAS; i++) {
			pools.push_back(std::make_unique<TeamLoad>(4, 40));
			hosts.push_back(std::make_unique<Host>(
				&time, &settings, i ? "dc1" : "dc0"));
		}
		/* The primary. */
		pools.push_back(std::make_unique<TeamLoad>(4, 70));
	}

	/* What hosts last heard of the replicas' load. */
	void report()
	{
		for (auto &host : hosts) {
			kb_watermarks_add(&host->group->watermarks, 1,
					  time.now - 100 * MS, { 1, 1 });
			for (size_t i = 0; i < REPLICAS; i++) {
				const std::string name =
					"r" + std::to_string(i);
				kb_proxy_load_t *load = kb_proxy_load_get(
					host->proxy.get(),
					kb_str_from(name.c_str()));

				kb_link_pool_load(&pools[i]->pool, &load->load);
				load->at = time.now;
			}
		}
	}

	Replay play(double rate, bool affinity, uint64_t seed)
	{
		TeamLoad source(4, 1);
		std::vector<kb_time_t> took;
		kb_time_t sum = 0;
		uint64_t opened = 0;
		uint64_t statements = 0;
		size_t next = 0;
		kb_rng_t rng;

		kb_rng_init(&rng, seed);
		source.add_skewed(TEAMS, rate, 1.2, 100 * S, seed);
		source.sort_arrivals();
		for (auto &pool : pools)
			pool->count_from = 40 * S;
		for (kb_time_t at = 0; at < 101 * S; at += MS) {
			time.now = source.start + at;
			if (at % (20 * MS) == 0)
				report();
			if (at == 40 * S)
				for (const auto &pool : pools) {
					opened -= pool->pool.counters.opened;
					statements -=
						pool->pool.counters.statements;
				}
			for (; next < source.arrivals.size() &&
			       source.arrivals[next].at <= time.now;
			     next++) {
				TeamLoad::Arrival arrival =
					source.arrivals[next];
				size_t host = kb_rng_below(&rng, REPLICAS);
				size_t replica = hosts[host]->select(
					affinity ? arrival.team : "");

				/* There and back. */
				arrival.on_its_way =
					host == replica ? 0 : 2 * MS;
				pools[replica]->arrivals.push_back(arrival);
			}
			for (auto &pool : pools)
				pool->play(at);
		}
		for (const auto &pool : pools) {
			TeamOutcome all = pool->without({});

			EXPECT_EQ(0u, all.failed);
			EXPECT_EQ(0u, pool->foreign);
			took.insert(took.end(), all.took.begin(),
				    all.took.end());
			opened += pool->pool.counters.opened;
			statements += pool->pool.counters.statements;
		}
		std::sort(took.begin(), took.end());
		for (kb_time_t t : took)
			sum += t;
		return { (double)opened / (double)statements,
			 pools[REPLICAS]->sent.size(),
			 sum / (kb_time_t)took.size(),
			 took[took.size() * 99 / 100] };
	}
};

} // namespace

/* Each of the two replicas has room for about half of the teams. */
TEST(ReplicaAffinity, SmallTeamsStayConnectedAtOneOfTwoReplicas)
{
	for (uint64_t seed = 1; seed <= 2; seed++) {
		const Replay apart = Replicas().play(60, false, seed);
		const Replay together = Replicas().play(60, true, seed);

		EXPECT_GT(apart.opened, 1. / 20) << seed;
		EXPECT_LT(together.opened, 1. / 20) << seed;
		EXPECT_LE(together.mean, apart.mean) << seed;
		EXPECT_LE(together.p99, apart.p99) << seed;
	}
}

TEST(ReplicaAffinity, CostsNoTimeUnderLoad)
{
	const Replay apart = Replicas().play(160, false, 1);
	const Replay together = Replicas().play(160, true, 1);

	EXPECT_LT(together.opened, apart.opened);
	EXPECT_LE(together.mean, apart.mean);
	EXPECT_LE(together.p99, apart.p99);
	EXPECT_LE(together.at_primary, 10u);
}

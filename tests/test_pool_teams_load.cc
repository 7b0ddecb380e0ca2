#include "load/pool_team.h"
#include "team_load.h"

#include <gtest/gtest.h>

namespace
{

constexpr kb_time_t S = KB_NS_PER_S;
constexpr kb_time_t MS = KB_NS_PER_MS;
/* Teams, and the exponent of Zipf's law that their sizes follow. */
constexpr size_t TEAMS = 75;
constexpr double EXPONENT = 1.2;
constexpr unsigned SLOTS = 4;
constexpr uint64_t SEEDS = 8;
/* Statements a second at a hot group; the target could serve 180. */
constexpr double HOT = 100;

struct Flood {
	/* Teams that ask for 7 times their usual from 10 s to 16 s. */
	std::vector<size_t> flooding;
	bool without_teams = false;
	double transactional = 0;
};

/* Plays a flood and returns what became of the others' statements. */
TeamOutcome play(const Flood &flood, const std::vector<size_t> &apart,
		 uint64_t seed)
{
	TeamLoad load(SLOTS, 70);
	std::vector<std::string> names;

	load.without_teams = flood.without_teams;
	load.transactional = flood.transactional;
	load.count_from = 10 * S;
	load.count_until = 16 * S;
	load.add_skewed(TEAMS, HOT, EXPONENT, 17 * S, seed);
	for (size_t i : flood.flooding)
		load.add({ "t" + std::to_string(i),
			   6 * HOT * TeamLoad::zipf(i, TEAMS, EXPONENT), 10 * S,
			   16 * S },
			 seed * 1000 + 500 + i);
	for (size_t i : apart)
		names.push_back("t" + std::to_string(i));
	load.play(19 * S);
	EXPECT_EQ(0u, load.foreign);
	EXPECT_LE(load.most_open, 70u);
	return load.without(names);
}

/* The others' p99 in all seeds during a flood, by its calm value. */
double slowdown(const Flood &flood, size_t *failed)
{
	Flood calm = flood;
	TeamOutcome flooded;
	TeamOutcome usual;

	calm.flooding.clear();
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		flooded.add(play(flood, flood.flooding, seed));
		usual.add(play(calm, flood.flooding, seed));
	}
	EXPECT_EQ(0u, usual.failed);
	*failed = flooded.failed;
	return (double)flooded.percentile(.99) / (double)usual.percentile(.99);
}

} // namespace

TEST(PoolTeamsLoad, OneTeamAtSevenTimesItsUsualDoesNotSlowOthersDown)
{
	for (size_t team : { 0, 1, 4 }) {
		size_t failed;
		double times = slowdown({ { team } }, &failed);
		EXPECT_LE(times, 2) << team;
		EXPECT_EQ(0u, failed) << team;
	}
}

TEST(PoolTeamsLoad, ThreeTeamsAtSevenTimesTheirUsualDoNotSlowOthersDown)
{
	size_t failed;
	double times = slowdown({ { 0, 1, 2 } }, &failed);
	EXPECT_LE(times, 2);
	EXPECT_EQ(0u, failed);
}

TEST(PoolTeamsLoad, TransactionsOfAFloodDoNotSlowOthersDown)
{
	size_t failed;
	Flood flood = { { 0 } };

	flood.transactional = .3;
	double times = slowdown(flood, &failed);
	EXPECT_LE(times, 2);
	EXPECT_EQ(0u, failed);
}

/* The same load without the decision, which it must be able to show. */
TEST(PoolTeamsLoad, WithoutTeamsAFloodSlowsOthersDown)
{
	size_t failed;
	double times = slowdown({ { 0 }, true }, &failed);
	EXPECT_GT(times, 2);
	EXPECT_GT(failed, 0u);
}

/* Connections opened for each statement, once the pool is warm. */
static double openings(unsigned limit, double rate, size_t teams, uint64_t seed)
{
	TeamLoad load(SLOTS, limit);
	uint64_t opened;
	uint64_t statements;

	load.add_skewed(teams, rate, EXPONENT, 160 * S, seed);
	load.play(40 * S);
	opened = load.pool.counters.opened;
	statements = load.pool.counters.statements;
	load.play(161 * S);
	EXPECT_EQ(0u, load.without({}).failed);
	EXPECT_EQ(0u, load.foreign);
	EXPECT_LE(load.most_open, limit);
	return (double)(load.pool.counters.opened - opened) /
	       (double)(load.pool.counters.statements - statements);
}

TEST(PoolTeamsLoad, NearlyAllTeamsStayConnectedAtAPrimary)
{
	for (uint64_t seed = 1; seed <= 3; seed++)
		EXPECT_LT(openings(70, 40, TEAMS, seed), 1. / 20) << seed;
}

/*
 * A replica's pool has room for half of the teams. No policy opens fewer than
 * 8 for each 100 statements then; the least recently used ones opened 12.
 */
TEST(PoolTeamsLoad, TeamsThatAreUsedOftenStayConnectedAtAReplica)
{
	for (uint64_t seed = 1; seed <= 3; seed++)
		EXPECT_LT(openings(40, 30, TEAMS, seed), 0.105) << seed;
}

/* Two replicas, each of which serves the small teams of one half. */
TEST(PoolTeamsLoad, HalfOfTheTeamsStayConnectedAtAReplica)
{
	for (uint64_t seed = 1; seed <= 3; seed++)
		EXPECT_LT(openings(40, 30, TEAMS / 2, seed), 1. / 20) << seed;
}

/* Transactions of one team rest on as many connections as it may have. */
TEST(PoolTeamsLoad, RestingTransactionsDoNotShutOthersOut)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		TeamLoad load(SLOTS, 40);
		TeamOutcome others;

		load.transactional = .2;
		load.add_skewed(TEAMS, 30, EXPONENT, 20 * S, seed);
		load.add({ "rest", 60, 5 * S, 15 * S, true }, seed);
		load.at_step = [&load] {
			const kb_pool_team_t *team =
				kb_pool_team_get(&load.pool, KB_STR("rest"));

			EXPECT_LE(team->use.transactions, 20u);
		};
		load.play(22 * S);
		others = load.without({ "rest" });
		EXPECT_EQ(0u, others.failed) << seed;
		EXPECT_LE(others.percentile(.99), 150 * MS) << seed;
		EXPECT_GT(load.outcomes["rest"].failed, 100u) << seed;
		EXPECT_EQ(0u, load.foreign) << seed;
	}
}

/* The target accepts fewer connections than the pool's limit. */
TEST(PoolTeamsLoad, AFullTargetServesEveryTeam)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		TeamLoad load(SLOTS, 70);

		load.accepted = 30;
		load.add_skewed(TEAMS, 30, EXPONENT, 30 * S, seed);
		load.play(32 * S);
		const TeamOutcome all = load.without({});

		EXPECT_EQ(0u, all.failed) << seed;
		EXPECT_LE(all.percentile(.99), 200 * MS) << seed;
		EXPECT_GT(load.refused_openings, 0u) << seed;
	}
}

TEST(PoolTeamsLoad, ALoweredLimitIsReachedUnderLoad)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		TeamLoad load(SLOTS, 70);

		load.transactional = .2;
		load.add_skewed(TEAMS, HOT, EXPONENT, 20 * S, seed);
		load.play(10 * S);
		EXPECT_GT(load.connector.open_count(), 60u);
		load.limit = 20;
		load.bind("t1");
		load.play(11 * S);
		EXPECT_LE(load.connector.open_count(), 20u);
		load.play(22 * S);
		EXPECT_LE(load.connector.open_count(), 20u);
		EXPECT_EQ(0u, load.foreign) << seed;
		const TeamOutcome all = load.without({});

		EXPECT_EQ(0u, all.failed) << seed;
		EXPECT_LE(all.percentile(.99), 200 * MS) << seed;
	}
}

/* Another target takes over; the old connections do not count there. */
TEST(PoolTeamsLoad, ThePoolMovesToAnotherTargetUnderLoad)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		TeamLoad load(SLOTS, 70);

		load.add_skewed(TEAMS, HOT, EXPONENT, 20 * S, seed);
		load.play(10 * S);
		load.bind("t2");
		EXPECT_LE(load.connector.open_count(), SLOTS);
		load.play(22 * S);
		EXPECT_EQ(0u, load.foreign) << seed;
		const TeamOutcome all = load.without({});

		/* Only what had been sent to the former target. */
		EXPECT_LE(all.failed, 2 * SLOTS) << seed;
		EXPECT_LE(all.percentile(.99), 200 * MS) << seed;
	}
}

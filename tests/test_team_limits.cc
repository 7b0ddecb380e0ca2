#include "limit_simulation.h"

#include <gtest/gtest.h>

static constexpr kb_time_t S = LimitSimulation::S;
static constexpr kb_time_t MS = LimitSimulation::MS;

/* A few large teams and many small ones at the usual part of their limits. */
static void add_teams(LimitSimulation &sim, size_t count)
{
	for (size_t t = 0; t < count; t++) {
		double rate = t < 3 ? 237 : 2 + 40.0 / (double)(t + 1);

		sim.teams.push_back({ rate, rate, rate / 1.6, {}, {}, {} });
	}
}

static void expect_within(LimitSimulation &sim, const char *what)
{
	for (size_t t = 0; t < sim.teams.size(); t++)
		EXPECT_LE(sim.excess(t, sim.teams[t].rate, sim.teams[t].burst),
			  0)
			<< what << " team " << t;
}

class TeamLimits : public testing::TestWithParam<std::tuple<size_t, int>>
{
      protected:
	size_t hosts = std::get<0>(GetParam());
	LimitSimulation sim{ hosts, (uint64_t)std::get<1>(GetParam()) };
};

TEST_P(TeamLimits, RefuseNothingOnACalmDay)
{
	size_t refused = 0, asked = 0;

	add_teams(sim, 12);
	sim.run_until(14 * S);
	for (auto &team : sim.teams)
		team.refused = 0;
	sim.run_until(60 * S);
	for (auto &team : sim.teams) {
		refused += team.refused;
		asked += team.asked.size();
	}
	expect_within(sim, "calm");
	EXPECT_EQ(refused, 0u) << "of " << asked;
}

TEST_P(TeamLimits, OfferWhatIsOwedToATeamThatAsksTooMuch)
{
	add_teams(sim, 6);
	sim.at(14 * S, [this] { sim.teams[0].demand = 7 * 237 / 1.6; });
	sim.at(44 * S, [this] { sim.teams[5].demand *= 7; });
	sim.run_until(60 * S);
	expect_within(sim, "hot");
	for (size_t t = 0; t < sim.teams.size(); t++)
		EXPECT_GE((double)sim.teams[t].run.size(), 0.99 * sim.owed(t))
			<< t;
}

TEST_P(TeamLimits, HoldThroughFaults)
{
	sim.loss = 0.02;
	sim.late = 100 * MS;
	sim.skew = 0.3;
	add_teams(sim, 6);
	for (size_t t = 0; t < 3; t++)
		sim.teams[t].demand *= 7;
	for (kb_time_t time = 14 * S; time < 60 * S; time += 700 * MS)
		sim.at(time, [this] {
			size_t host = sim.random(2) ? sim.holder(sim.random(8))
						    : sim.random(sim.hosts());

			switch (sim.random(3)) {
			case 0:
				sim.kill(host, 3 * S);
				break;
			case 1:
				sim.cut(host, 4 * S);
				break;
			default:
				sim.freeze(host, 2 * S);
			}
		});
	sim.run_until(70 * S);
	expect_within(sim, "faults");
}

INSTANTIATE_TEST_SUITE_P(Fleets, TeamLimits,
			 testing::Combine(testing::Values(3, 66, 300),
					  testing::Values(1, 2)));

/* Callers that ask seven times the limit of three large teams. */
struct Overload {
	LimitSimulation sim;

	Overload(LimitDefect defect, size_t hosts, uint64_t seed)
	    : sim(hosts, seed)
	{
		sim.defect = defect;
		add_teams(sim, 3);
		demand(7);
	}

	void demand(double times)
	{
		for (LimitTeam &team : sim.teams)
			team.demand = times * 237 / 1.6;
	}

	double excess()
	{
		double worst = -1e9;

		for (size_t t = 0; t < sim.teams.size(); t++)
			worst = std::max(worst, sim.excess(t, 237, 237));
		return worst;
	}
};

/* The holders of all groups change by planned stops, time and again. */
static double excess_with_handovers(LimitDefect defect, uint64_t seed)
{
	Overload load(defect, 66, seed);
	LimitSimulation &sim = load.sim;

	for (kb_time_t time = 14 * S; time < 40 * S; time += 2 * S)
		sim.at(time, [&sim] {
			for (size_t g = 0; g < sim.GROUPS; g++)
				sim.hand_over(g);
		});
	sim.run_until(40 * S);
	return load.excess();
}

/*
 * Callers come for a moment, twice, and leave before the answers arrive, which
 * take `late` each way. Then many callers come.
 */
static double excess_after_late_answers(LimitDefect defect, uint64_t seed,
					kb_time_t late)
{
	Overload load(defect, 300, seed);
	LimitSimulation &sim = load.sim;
	kb_time_t start = 14 * S;

	load.demand(0);
	for (kb_time_t time : { start, start + 1300 * MS }) {
		sim.at(time, [&sim, &load, late] {
			sim.late_min = sim.late = late;
			load.demand(30);
		});
		sim.at(time + 100 * MS, [&load] { load.demand(0); });
	}
	sim.at(start + 2 * late, [&sim, &load] {
		sim.late_min = sim.late = 0;
		load.demand(30);
	});
	sim.run_until(start + 12 * S);
	return load.excess();
}

static double excess_with_late_answers(LimitDefect defect, uint64_t seed)
{
	return excess_after_late_answers(defect, seed, 1500 * MS);
}

static double excess_after_a_pause(LimitDefect defect, uint64_t seed)
{
	Overload load(defect, 300, seed);
	LimitSimulation &sim = load.sim;
	kb_time_t start = 14 * S;

	load.demand(0);
	sim.at(start, [&] {
		sim.late_min = sim.late = 200 * MS;
		load.demand(30);
	});
	sim.at(start + 150 * MS, [&] { load.demand(0); });
	sim.at(start + 3 * S, [&] {
		sim.late_min = sim.late = 0;
		load.demand(30);
	});
	sim.run_until(start + 12 * S);
	return load.excess();
}

static double excess_with_lost_keepers(LimitDefect defect, uint64_t seed)
{
	Overload load(defect, 66, seed);
	LimitSimulation &sim = load.sim;

	for (kb_time_t time = 14 * S; time < 40 * S; time += 4 * S)
		sim.at(time, [&sim] {
			for (size_t g = 0; g < sim.GROUPS; g++)
				sim.cut(sim.holder(g), 2 * S);
		});
	sim.run_until(40 * S);
	return load.excess();
}

TEST(TeamLimitDefects, AreFound)
{
	const struct {
		LimitDefect defect;
		double (*excess)(LimitDefect, uint64_t);
	} cases[] = {
		{ LimitDefect::full_bucket, excess_with_handovers },
		{ LimitDefect::counted_from_answer, excess_with_late_answers },
		{ LimitDefect::endless_loans, excess_after_a_pause },
		{ LimitDefect::two_keepers, excess_with_lost_keepers },
	};

	for (const auto &c : cases)
		for (uint64_t seed = 1; seed <= 2; seed++) {
			EXPECT_LE(c.excess(LimitDefect::none, seed), 0)
				<< (int)c.defect << " seed " << seed;
			EXPECT_GT(c.excess(c.defect, seed), 0)
				<< (int)c.defect << " seed " << seed;
		}
}

TEST_P(TeamLimits, HoldWhileHalfOfTheHostsAreCutOff)
{
	add_teams(sim, 6);
	sim.at(14 * S, [this] { sim.teams[0].demand *= 9; });
	sim.at(20 * S, [this] {
		for (size_t h = 0; h < hosts / 2; h++)
			sim.cut(h, 10 * S);
	});
	sim.run_until(45 * S);
	expect_within(sim, "cut");
}

TEST_P(TeamLimits, HoldWhileAllHostsRestart)
{
	add_teams(sim, 6);
	sim.at(14 * S, [this] { sim.teams[0].demand *= 9; });
	for (kb_time_t time : { 20 * S, 24 * S, 27 * S })
		sim.at(time, [this] {
			for (size_t h = 0; h < hosts; h++)
				sim.kill(h, 500 * MS);
		});
	sim.run_until(45 * S);
	expect_within(sim, "restart");
}

TEST_P(TeamLimits, ALowerLimitBindsOneWindowLater)
{
	add_teams(sim, 3);
	for (LimitTeam &team : sim.teams)
		team.demand *= 7;
	sim.at(20 * S, [this] {
		for (size_t t = 0; t < sim.teams.size(); t++)
			sim.set_limit(t, 10, 10);
	});
	sim.run_until(45 * S);
	for (size_t t = 0; t < sim.teams.size(); t++) {
		EXPECT_LE(sim.excess(t, 237, 237), 0) << t;
		EXPECT_LE(sim.excess(t, 10, 10, 20 * S + 500 * MS), 0) << t;
	}
}

/*
 * Two of three shares carry what teams usually ask. A host of a small fleet
 * keeps two shares of a team.
 */
TEST_P(TeamLimits, ALostKeeperCostsLittle)
{
	size_t refused = 0, asked = 0;

	add_teams(sim, 12);
	sim.run_until(14 * S);
	for (LimitTeam &team : sim.teams) {
		team.refused = 0;
		team.asked.clear();
	}
	sim.at(15 * S, [this] { sim.kill(sim.holder(0), 30 * S); });
	sim.run_until(30 * S);
	for (LimitTeam &team : sim.teams) {
		refused += team.refused;
		asked += team.asked.size();
	}
	EXPECT_LE((double)refused,
		  (hosts > sim.GROUPS ? 0.01 : 0.05) * (double)asked)
		<< asked;
}

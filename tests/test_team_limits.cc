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

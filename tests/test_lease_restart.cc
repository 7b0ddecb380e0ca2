#include "lease_simulation.h"

using namespace lease_simulation;

namespace
{

/* All hosts lose power at once and return within 0.4 s of each other. */
class PowerCut
{
      public:
	Simulation simulation;
	size_t holder;

	explicit PowerCut(uint64_t seed) : simulation(5, seed)
	{
		simulation.run(4 * KB_NS_PER_S);
		holder = simulation.serving_host();
		for (auto &host : simulation.hosts) {
			host->alive = false;
			host->down_until =
				simulation.now +
				(kb_time_t)(500 + simulation.below(400)) * MS;
		}
	}
};

} // namespace

/*
 * Its former process has ended, so that nobody can use the former lease: it
 * needs the grants of a majority of voters that have read the key, but no wait.
 */
TEST(LeaseRestart, TheFormerHolderServesSoonAfterAPowerCut)
{
	for (uint64_t seed = 1; seed <= 100; seed++) {
		PowerCut cut(seed);
		Simulation &simulation = cut.simulation;
		int64_t revision = simulation.key_revision;
		kb_time_t limit = simulation.now + 900 * MS + 300 * MS;

		ASSERT_LT(cut.holder, simulation.hosts.size());
		while (simulation.now < limit &&
		       simulation.serving_host() == simulation.hosts.size())
			simulation.step();
		EXPECT_EQ("", simulation.violation) << "seed " << seed;
		EXPECT_EQ(cut.holder, simulation.serving_host())
			<< "seed " << seed;
		/* It took up the key as it was, without a takeover. */
		EXPECT_EQ(revision, simulation.hosts[cut.holder]->lease.token)
			<< "seed " << seed;
	}
}

/* The holder keeps its power, cut off from the hosts that return. */
TEST(LeaseRestart, VotersThatReturnDoNotReplaceAHolderThatStillServes)
{
	for (uint64_t seed = 1; seed <= 100; seed++) {
		Simulation simulation(5, seed);
		size_t holder;

		simulation.run(4 * KB_NS_PER_S);
		holder = simulation.serving_host();
		ASSERT_LT(holder, simulation.hosts.size());
		simulation.hosts[holder]->store_unreachable = true;
		for (size_t i = 0; i < simulation.hosts.size(); i++) {
			Simulation::Host &host = *simulation.hosts[i];

			if (i == holder)
				continue;
			simulation.cut(i, holder);
			host.alive = false;
			host.down_until =
				simulation.now +
				(kb_time_t)(10 + simulation.below(100)) * MS;
		}
		simulation.run(3 * KB_NS_PER_S);
		EXPECT_EQ("", simulation.violation) << "seed " << seed;
		EXPECT_LT(simulation.serving_host(), simulation.hosts.size())
			<< "seed " << seed;
		EXPECT_NE(holder, simulation.serving_host()) << "seed " << seed;
	}
}

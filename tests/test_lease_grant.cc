#include "lease_simulation.h"

using namespace lease_simulation;

namespace
{

/* A group whose holder, h0, is cut off from the store and all other hosts. */
class CutOff : public Simulation
{
      public:
	explicit CutOff(uint64_t seed) : Simulation(3, seed)
	{
		run(4 * KB_NS_PER_S);
		away = serving_host();
		set_cut(true);
	}

	void set_cut(bool cut)
	{
		hosts[away]->store_unreachable = cut;
		for (size_t i = 0; i < hosts.size(); i++)
			if (i != away)
				broken_links[{ std::min(i, away),
					       std::max(i, away) }] = cut;
	}

	kb_lease_t &lease()
	{
		return hosts[away]->lease;
	}

	bool away_serves()
	{
		return serving_host() == away;
	}

	/* Another host takes the lease over and names the one that is away. */
	void name_again()
	{
		kb_name_t name = name_of(hosts[away]->name);
		size_t holder = away;

		while (holder == away || holder == hosts.size()) {
			step();
			holder = serving_host();
		}
		kb_lease_release(&hosts[holder]->lease, &name, now);
		while (!kb_name_is(&record.holder, kb_name_str(&name)))
			step();
	}

      private:
	size_t away;
};

} // namespace

/*
 * review/8: a holder that was cut off is named again meanwhile, and serves on
 * with the token and the state from before the others held the lease.
 */
TEST(LeaseGrant, AHolderThatIsNamedAgainTakesANewToken)
{
	size_t named = 0;

	for (uint64_t seed = 1; seed <= 50; seed++)
		for (kb_time_t wait = 0; wait <= 800 * MS; wait += 100 * MS) {
			CutOff simulation(seed);
			int64_t token = simulation.lease().token;
			bool lost = false;

			simulation.name_again();
			simulation.run(wait);
			simulation.set_cut(false);
			for (int i = 0; i < 300; i++) {
				simulation.step();
				lost |= simulation.lease().role !=
					KB_LEASE_SERVING;
			}
			ASSERT_EQ("", simulation.violation) << seed;
			EXPECT_TRUE(lost) << seed;
			/* Else another host took over before it was back. */
			if (!simulation.away_serves())
				continue;
			named++;
			EXPECT_GT(simulation.lease().token, token);
		}
	EXPECT_GT(named, 50u);
}

/* The holder's own rewrites are no new grant: it serves on. */
TEST(LeaseGrant, ARewriteOfTheHolderKeepsItsGrant)
{
	Simulation simulation(5, 7);
	int64_t grant;
	int64_t token;
	size_t holder;

	simulation.run(4 * KB_NS_PER_S);
	holder = simulation.serving_host();
	grant = simulation.record.grant;
	token = simulation.hosts[holder]->lease.token;
	EXPECT_NE(0, grant);
	for (size_t i = 1; i < 5; i++) {
		int64_t revision = simulation.key_revision;

		/* A voter is lost, and another host takes its place or not. */
		simulation.stop_host((holder + i) % 5, 3 * KB_NS_PER_S);
		simulation.run(6 * KB_NS_PER_S);
		EXPECT_EQ(holder, simulation.serving_host());
		EXPECT_LT(revision, simulation.key_revision);
		EXPECT_EQ(grant, simulation.record.grant);
		EXPECT_EQ(token, simulation.hosts[holder]->lease.token);
	}
}

/* Each takeover and each release is a grant of its own. */
TEST(LeaseGrant, EachChangeOfTheHolderIsANewGrant)
{
	Simulation simulation(3, 3);
	int64_t last = 0;

	for (int i = 0; i < 6; i++) {
		simulation.run(4 * KB_NS_PER_S);
		ASSERT_LT(simulation.serving_host(), simulation.hosts.size());
		EXPECT_GT(simulation.record.grant, last);
		last = simulation.record.grant;
		if (i % 2) {
			kb_lease_release(
				&simulation.hosts[simulation.serving_host()]
					 ->lease,
				nullptr, simulation.now);
		} else {
			simulation.stop_host(simulation.serving_host(),
					     3 * KB_NS_PER_S);
		}
	}
}

/*
 * A write of this host is not answered, and its record arrives from another
 * host: it is the grant that was written, in each role.
 */
TEST(LeaseGrant, ARecordOfTheOwnWriteIsNoNewGrant)
{
	for (uint64_t seed = 1; seed <= 30; seed++) {
		Simulation simulation(3, seed);
		size_t holder;
		int64_t token;

		simulation.run(4 * KB_NS_PER_S);
		holder = simulation.serving_host();
		token = simulation.hosts[holder]->lease.token;
		simulation.update_key(*simulation.hosts[holder]);
		EXPECT_EQ(KB_LEASE_SERVING,
			  simulation.hosts[holder]->lease.role);
		/* An order is written; the record comes before the answer. */
		kb_promotion_order_t next = { 0, 1, name_of("t"), {}, {}, 1 };
		kb_lease_announce_order(&simulation.hosts[holder]->lease, &next,
					simulation.now);
		for (int i = 0; i < 20; i++) {
			simulation.step();
			simulation.update_key(*simulation.hosts[holder]);
		}
		EXPECT_EQ(KB_LEASE_SERVING,
			  simulation.hosts[holder]->lease.role);
		EXPECT_EQ(token, simulation.hosts[holder]->lease.token);
		EXPECT_EQ("", simulation.violation);
	}
}

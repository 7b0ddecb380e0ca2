#include "lease_simulation.h"

using namespace lease_simulation;

namespace
{

std::string run_seed(uint64_t seed, BrokenRule broken_rule)
{
	Simulation simulation(3 + seed % 5, seed, broken_rule);

	simulation.run(3 * KB_NS_PER_S);
	for (int i = 0; i < 12 && simulation.violation.empty(); i++) {
		simulation.random_fault();
		simulation.run((kb_time_t)(100 + simulation.below(2500)) * MS);
	}
	return simulation.violation;
}

/* A partitioned holder regains the links to its voters but not the store. */
std::string return_of_partitioned_holder(uint64_t seed, BrokenRule broken_rule)
{
	Simulation simulation(5, seed, broken_rule);
	size_t old = 5;
	size_t next = 5;

	simulation.run(4 * KB_NS_PER_S);
	for (size_t i = 0; i < 5; i++)
		if (simulation.hosts[i]->lease.role == KB_LEASE_SERVING)
			old = i;
	simulation.hosts[old]->store_unreachable = true;
	for (size_t i = 0; i < 5; i++)
		if (i != old)
			simulation.broken_links[{ std::min(i, old),
						  std::max(i, old) }] = true;
	simulation.run(4 * KB_NS_PER_S);
	for (size_t i = 0; i < 5; i++)
		if (i != old &&
		    simulation.hosts[i]->lease.role == KB_LEASE_SERVING)
			next = i;
	EXPECT_NE(old, next);
	simulation.broken_links.clear();
	simulation.broken_links[{ std::min(next, old), std::max(next, old) }] =
		true;
	simulation.run(4 * KB_NS_PER_S);
	return simulation.violation;
}

} // namespace

TEST(Lease, AReturningHolderGetsNoGrantForItsEarlierRevision)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		EXPECT_EQ("", return_of_partitioned_holder(
				      seed, BrokenRule::NOTHING));
		EXPECT_NE("",
			  return_of_partitioned_holder(
				  seed, BrokenRule::GRANTS_EARLIER_REVISIONS));
	}
}

TEST(Lease, TwoHostsNeverServeAGroupAtOnce)
{
	for (uint64_t seed = 1; seed <= 400; seed++)
		ASSERT_EQ("", run_seed(seed, BrokenRule::NOTHING))
			<< "seed " << seed;
}

TEST(Lease, EveryBrokenRuleIsDetected)
{
	for (BrokenRule broken_rule :
	     { BrokenRule::NO_WAIT, BrokenRule::ONE_GRANT,
	       BrokenRule::HIDES_OTHER_GRANTS }) {
		bool found = false;

		for (uint64_t seed = 1; seed <= 400 && !found; seed++)
			found = !run_seed(seed, broken_rule).empty();
		EXPECT_TRUE(found) << (int)broken_rule;
	}
}

TEST(Lease, AGroupIsServedSoonAfterTheClusterStarts)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		Simulation simulation(7, seed);

		simulation.run(2 * KB_NS_PER_S);
		EXPECT_GT(simulation.served_at, simulation.now - 100 * MS)
			<< seed;
	}
}

TEST(Lease, ServiceContinuesThroughAStoreOutageWithoutOneVoter)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		Simulation simulation(7, seed);
		kb_time_t gap = 0;

		simulation.run(4 * KB_NS_PER_S);
		simulation.store_down = true;
		for (auto &host : simulation.hosts)
			if (host->lease.role != KB_LEASE_SERVING) {
				host->alive = false;
				host->down_until = KB_TIME_NEVER;
				break;
			}
		for (int i = 0; i < 800; i++) {
			simulation.step();
			gap = std::max(gap,
				       simulation.now - simulation.served_at);
		}
		EXPECT_LE(gap, 50 * MS) << seed;
	}
}

TEST(Lease, AnotherHostServesSoonAfterTheHolderDies)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		Simulation simulation(7, seed);
		kb_time_t died;

		simulation.run(4 * KB_NS_PER_S);
		for (auto &host : simulation.hosts)
			if (host->lease.role == KB_LEASE_SERVING) {
				host->alive = false;
				host->down_until = KB_TIME_NEVER;
			}
		died = simulation.now;
		simulation.run(3 * KB_NS_PER_S);
		EXPECT_GT(simulation.served_at, died + KB_NS_PER_S) << seed;
		EXPECT_GT(simulation.served_at, simulation.now - 100 * MS)
			<< seed;
	}
}

/* Stops the serving host for good; returns the time. */
static kb_time_t stop_holder(Simulation &simulation)
{
	for (auto &host : simulation.hosts)
		if (host->lease.role == KB_LEASE_SERVING) {
			host->alive = false;
			host->down_until = KB_TIME_NEVER;
		}
	return simulation.now;
}

/* Time from `since` until a host serves the group. */
static kb_time_t gap_after(Simulation &simulation, kb_time_t since)
{
	while (simulation.served_at <= since &&
	       simulation.now - since < 60 * KB_NS_PER_S)
		simulation.step();
	return simulation.served_at - since;
}

TEST(Lease, ANewHolderWaitsNoLongerThanTheFormerCouldServe)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		Simulation simulation(7, seed);
		kb_time_t died;

		simulation.run(4 * KB_NS_PER_S);
		died = stop_holder(simulation);
		EXPECT_LE(gap_after(simulation, died),
			  (KB_LEASE_DURATION_MS + 350) * MS)
			<< seed;
	}
}

TEST(Lease, AGroupWhoseHolderDiedInAStoreOutageIsServedOnceThatEnds)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		Simulation simulation(7, seed);
		kb_time_t back;

		simulation.run(4 * KB_NS_PER_S);
		simulation.store_down = true;
		simulation.store_silent = true;
		stop_holder(simulation);
		simulation.run(6 * KB_NS_PER_S);
		simulation.store_down = false;
		back = simulation.now;
		EXPECT_LE(gap_after(simulation, back), 1000 * MS) << seed;
	}
}

TEST(Lease, AGroupIsServedAgainAfterEveryHostRestarts)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		Simulation simulation(7, seed);

		simulation.run(4 * KB_NS_PER_S);
		for (auto &host : simulation.hosts) {
			host->alive = false;
			host->down_until = simulation.now + KB_NS_PER_S;
		}
		simulation.run(1600 * MS);
		EXPECT_GT(simulation.served_at, simulation.now - 100 * MS)
			<< seed;
	}
}

TEST(Lease, AGroupIsServedAgainOnceFaultsHaveEnded)
{
	for (uint64_t seed = 1; seed <= 200; seed++) {
		Simulation simulation(3 + seed % 5, seed);

		simulation.run(3 * KB_NS_PER_S);
		for (int i = 0; i < 10; i++) {
			simulation.random_fault();
			simulation.run(
				(kb_time_t)(100 + simulation.below(1500)) * MS);
		}
		simulation.heal();
		simulation.run(10 * KB_NS_PER_S);
		EXPECT_GT(simulation.served_at, simulation.now - 500 * MS)
			<< "seed " << seed;
	}
}

TEST(Lease, ADeletedKeyIsWrittenAgainWithoutAGap)
{
	Simulation simulation(5, 3);
	kb_time_t gap = 0;

	simulation.run(4 * KB_NS_PER_S);
	simulation.exists = false;
	simulation.revision++;
	for (auto &host : simulation.hosts)
		kb_lease_on_key(&host->lease, nullptr, simulation.revision,
				simulation.now);
	for (int i = 0; i < 300; i++) {
		simulation.step();
		gap = std::max(gap, simulation.now - simulation.served_at);
	}
	EXPECT_LE(gap, 50 * MS);
	EXPECT_TRUE(simulation.exists);
	EXPECT_EQ("", simulation.violation);
}

TEST(Lease, AReleaseMovesTheGroupWithoutWaiting)
{
	Simulation simulation(5, 7);
	kb_time_t gap = 0;

	simulation.run(4 * KB_NS_PER_S);
	for (auto &host : simulation.hosts)
		if (host->lease.role == KB_LEASE_SERVING) {
			kb_lease_release(&host->lease, nullptr, simulation.now);
			break;
		}
	for (int i = 0; i < 200; i++) {
		simulation.step();
		gap = std::max(gap, simulation.now - simulation.served_at);
	}
	EXPECT_LE(gap, 250 * MS);
	EXPECT_EQ("", simulation.violation);
}

namespace
{

/* A single voter; its calls are not answered. */
struct Voter {
	kb_lease_t lease;
	int reads = 0;
	kb_lease_ops_t ops{};
	kb_time_t now = 100 * KB_NS_PER_S;

	Voter()
	{
		kb_name_t group = name_of("g");
		kb_name_t self = name_of("c");

		ops.read = [](void *ctx, kb_lease_t *, kb_time_t) {
			static_cast<Voter *>(ctx)->reads++;
		};
		ops.changed = [](void *, kb_lease_t *) {};
		kb_lease_init(&lease, &ops, this, &group, &self, 0, now);
	}

	static kb_lease_record_t record_of(const char *holder)
	{
		kb_lease_record_t record = {};

		record.holder = name_of(holder);
		record.settled = 1;
		record.voters.count = 2;
		record.voters.hosts[0] = record.holder;
		record.voters.hosts[1] = name_of("c");
		return record;
	}

	int grant(const char *holder, int64_t revision)
	{
		kb_name_t name = name_of(holder);

		return kb_lease_grant(&lease, &name, revision, 1, now);
	}
};

} // namespace

TEST(Lease, AVoterGrantsNothingBeforeItHasReadTheKeyItself)
{
	Voter voter;
	kb_lease_record_t record = Voter::record_of("a");

	kb_lease_on_key(&voter.lease, &record, 5, voter.now);
	EXPECT_FALSE(voter.grant("a", 5));
	EXPECT_EQ(1, voter.reads);
	kb_lease_on_read(&voter.lease, voter.now, KB_OK, &record, 5, voter.now);
	EXPECT_TRUE(voter.grant("a", 5));
}

TEST(Lease, AVoterThatGrantedALaterRevisionGrantsNoEarlierOne)
{
	Voter voter;
	kb_lease_record_t record = Voter::record_of("a");

	kb_lease_on_read(&voter.lease, voter.now, KB_OK, &record, 5, voter.now);
	EXPECT_TRUE(voter.grant("a", 5));
	/* It learns of the next holder only from the request. */
	EXPECT_TRUE(voter.grant("b", 6));
	EXPECT_FALSE(voter.grant("a", 5));
	EXPECT_TRUE(voter.grant("b", 6));
}

TEST(Lease, AVoterReportsTheTimeSinceItsLastGrantToOthers)
{
	Voter voter;
	kb_lease_record_t record = Voter::record_of("a");

	kb_lease_on_read(&voter.lease, voter.now, KB_OK, &record, 5, voter.now);
	voter.now += 300 * MS;
	/* An earlier process may have granted until this one started. */
	EXPECT_EQ(300 * MS, kb_lease_exclusive_time(&voter.lease, voter.now));
	EXPECT_TRUE(voter.grant("a", 5));
	voter.now += 700 * MS;
	EXPECT_TRUE(voter.grant("b", 6));
	EXPECT_EQ(700 * MS, kb_lease_exclusive_time(&voter.lease, voter.now));
	voter.now += 100 * MS;
	EXPECT_TRUE(voter.grant("b", 6));
	EXPECT_EQ(800 * MS, kb_lease_exclusive_time(&voter.lease, voter.now));
	EXPECT_TRUE(voter.grant("a", 7));
	EXPECT_EQ(0, kb_lease_exclusive_time(&voter.lease, voter.now));
}

TEST(Lease, VotersWithoutTheStoreAreReplacedOnceEach)
{
	Simulation simulation(8, 1, BrokenRule::NOTHING);
	Cluster::Host *holder = nullptr;
	int64_t before;

	simulation.run(4 * KB_NS_PER_S);
	for (auto &host : simulation.hosts)
		if (host->lease.role == KB_LEASE_SERVING)
			holder = host.get();
	ASSERT_NE(nullptr, holder);
	before = simulation.key_revision;
	/* Five hosts cannot reach the store, and say so while they vote. */
	for (int i = 0; i < 100; i++) {
		simulation.run(100 * MS);
		for (int j = 0, lost = 0; j < 8 && lost < 5; j++) {
			kb_name_t name = name_of("h" + std::to_string(j));

			if (holder->name == name.data)
				continue;
			lost++;
			if (!kb_voter_set_contains(&holder->lease.record.voters,
						   &name))
				continue;
			kb_lease_on_voter_store_age(&holder->lease, &name,
						    10 * KB_NS_PER_S,
						    simulation.now);
		}
	}
	EXPECT_LE(simulation.key_revision - before, 6);
	EXPECT_TRUE(kb_lease_may_serve(&holder->lease, simulation.now));
}

TEST(Lease, AHolderWithoutConfirmationByTheStoreStopsServing)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		Simulation simulation(5, seed);
		kb_time_t down;

		simulation.run(4 * KB_NS_PER_S);
		simulation.store_down = true;
		down = simulation.now;
		simulation.run(30 * KB_NS_PER_S);
		EXPECT_GT(simulation.served_at, down + 14 * KB_NS_PER_S)
			<< seed;
		EXPECT_LE(simulation.served_at,
			  down + KB_LEASE_MAX_UNCONFIRMED_S * KB_NS_PER_S)
			<< seed;
	}
}

/* After the write takes effect a successor needs only the new voters. */
TEST(Lease, WhileVotersAreReplacedBothSetsMustGrant)
{
	Voter host;
	kb_lease_t *lease = &host.lease;
	kb_lease_record_t record = Voter::record_of("c");
	kb_lease_grant_t *grant = lease->grants;

	record.voters.count = 3;
	record.voters.hosts[1] = name_of("old1");
	record.voters.hosts[2] = name_of("old2");
	lease->record = record;
	lease->role = KB_LEASE_SERVING;
	lease->confirmed = 1;
	lease->confirmed_at = host.now;
	grant->voter = name_of("old1");
	grant->granted = 1;
	grant->sent_at = host.now;
	lease->grant_count = 1;
	EXPECT_TRUE(kb_lease_may_serve(lease, host.now));
	lease->pending = record;
	lease->pending.voters.hosts[1] = name_of("new1");
	lease->pending.voters.hosts[2] = name_of("new2");
	lease->rewriting = 1;
	EXPECT_FALSE(kb_lease_may_serve(lease, host.now));
	grant++;
	grant->voter = name_of("new1");
	grant->granted = 1;
	grant->sent_at = host.now;
	lease->grant_count = 2;
	EXPECT_TRUE(kb_lease_may_serve(lease, host.now));
}

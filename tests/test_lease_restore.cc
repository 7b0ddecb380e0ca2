#include "lease_simulation.h"

using namespace lease_simulation;

namespace
{

/* The store returns from an older copy at some of the faults. */
std::string run_restores(uint64_t seed, BrokenRule broken_rule)
{
	Simulation simulation(3 + seed % 5, seed, broken_rule);

	simulation.run(3 * KB_NS_PER_S);
	for (int i = 0; i < 12 && simulation.violation.empty(); i++) {
		simulation.random_fault();
		simulation.run((kb_time_t)(100 + simulation.below(2500)) * MS);
		if (simulation.below(3))
			continue;
		simulation.restore((kb_time_t)simulation.below(12000) * MS);
		simulation.run((kb_time_t)simulation.below(1500) * MS);
	}
	return simulation.violation;
}

/*
 * The holder serves on with two of its voters, cut off from all others, while
 * the store returns from a copy without its record.
 */
std::string restore_without_holder(uint64_t seed, BrokenRule broken_rule,
				   kb_time_t *replaced_after)
{
	Simulation simulation(7, seed, broken_rule);
	const kb_lease_record_t &record = simulation.record;
	std::vector<size_t> isolated;
	kb_time_t restored_at;

	simulation.run(4 * KB_NS_PER_S);
	for (size_t i = 0; i < 3; i++)
		isolated.push_back(simulation.index(
			*simulation.find(&record.voters.hosts[i])));
	for (size_t i : isolated) {
		simulation.hosts[i]->store_unreachable = true;
		for (size_t j = 0; j < simulation.hosts.size(); j++)
			if (std::find(isolated.begin(), isolated.end(), j) ==
			    isolated.end())
				simulation.broken_links[{ std::min(i, j),
							  std::max(i, j) }] =
					true;
	}
	simulation.restore(KB_NS_PER_S * 60);
	restored_at = simulation.now;
	*replaced_after = KB_TIME_NEVER;
	while (simulation.now - restored_at < 30 * KB_NS_PER_S &&
	       simulation.violation.empty()) {
		simulation.step();
		for (auto &host : simulation.hosts)
			if (*replaced_after == KB_TIME_NEVER &&
			    !host->store_unreachable &&
			    kb_lease_may_serve(&host->lease, simulation.now))
				*replaced_after = simulation.now - restored_at;
	}
	return simulation.violation;
}

/*
 * The holder changes its voters, without an answer, and loses all but one of
 * them; another host takes over by the new ones. Then two of the former voters
 * return to the former holder, and the store is restored.
 */
std::string restore_after_unanswered_voter_change(uint64_t seed)
{
	Simulation simulation(7, seed);
	std::vector<size_t> voters;
	size_t holder;
	int64_t revision;

	simulation.run(4 * KB_NS_PER_S);
	holder = simulation.serving_host();
	revision = simulation.key_revision;
	if (holder == simulation.hosts.size())
		return "no holder";
	for (size_t i = 0; i < simulation.hosts.size(); i++) {
		kb_name_t name = name_of(simulation.hosts[i]->name);

		if (i != holder &&
		    kb_voter_set_contains(&simulation.record.voters, &name))
			voters.push_back(i);
	}
	for (size_t lost : { voters[2], voters[3] }) {
		simulation.hosts[lost]->store_unreachable = true;
		for (size_t i = 0; i < simulation.hosts.size(); i++)
			if (i != voters[2] && i != voters[3])
				simulation.cut(i, lost);
	}
	Cluster::Host &former = *simulation.hosts[holder];
	while (!former.lease.rewriting)
		simulation.step();
	/* Drops the answers that are on their way. */
	former.generation++;
	for (int i = 0; i < 60 && simulation.key_revision == revision; i++)
		simulation.step();
	former.generation++;
	former.store_unreachable = true;
	for (size_t i = 0; i < simulation.hosts.size(); i++)
		if (i != holder)
			simulation.cut(i, holder);
	for (int i = 0; i < 1500; i++) {
		simulation.step();
		if (simulation.serving_host() < simulation.hosts.size() &&
		    simulation.serving_host() != holder)
			break;
	}
	simulation.cut(holder, voters[2], false);
	simulation.cut(holder, voters[3], false);
	simulation.run(600 * MS);
	simulation.restore(simulation.now);
	former.store_unreachable = false;
	simulation.run(3 * KB_NS_PER_S);
	return simulation.violation;
}

/*
 * Hosts of a first start that know nothing of the group, as they could not
 * reach the store, find its key missing after a restore.
 */
std::string restore_in_first_start(uint64_t seed, BrokenRule broken_rule)
{
	Simulation simulation(7, seed, broken_rule);
	size_t holder;

	for (size_t i = 0; i < 7; i++) {
		simulation.learn_era(*simulation.hosts[i]);
		simulation.hosts[i]->store_unreachable = i >= 3;
	}
	simulation.run(4 * KB_NS_PER_S);
	holder = simulation.serving_host();
	for (size_t i = 0; i < 3; i++) {
		simulation.hosts[i]->store_unreachable = true;
		for (size_t j = 3; j < 7; j++)
			simulation.cut(i, j);
	}
	simulation.restore(simulation.now);
	for (size_t i = 3; i < 7; i++)
		simulation.hosts[i]->store_unreachable = false;
	simulation.run(4 * KB_NS_PER_S);
	return holder < 3 ? simulation.violation : "no holder";
}

} // namespace

TEST(LeaseRestore, TwoHostsNeverServeAGroupAtOnceAcrossRestoresOfTheStore)
{
	for (uint64_t seed = 1; seed <= 300; seed++)
		ASSERT_EQ("", run_restores(seed, BrokenRule::NOTHING))
			<< "seed " << seed;
}

TEST(LeaseRestore, ARestoredRecordIsNoProofOfTheLastHolder)
{
	bool found = false;

	for (uint64_t seed = 1; seed <= 600 && !found; seed++)
		found = !run_restores(seed, BrokenRule::TRUSTS_RESTORED_RECORD)
				 .empty();
	EXPECT_TRUE(found);
}

/* Nothing but time shows that such a holder has stopped. */
TEST(LeaseRestore, AnUnreachableHolderIsReplacedWhenItsLeaseHasEnded)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		kb_time_t after;

		EXPECT_EQ("", restore_without_holder(seed, BrokenRule::NOTHING,
						     &after));
		EXPECT_GE(after,
			  (KB_LEASE_MAX_UNCONFIRMED_S - 7) * KB_NS_PER_S);
		EXPECT_LE(after, 26 * KB_NS_PER_S);
		EXPECT_NE("",
			  restore_without_holder(
				  seed, BrokenRule::ONE_FENCED_HOST, &after));
	}
}

/* The holder writes its record again and is not interrupted. */
TEST(LeaseRestore, ServiceContinuesWhenTheStoreReturnsFromAnOlderCopy)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		Simulation simulation(7, seed);
		kb_time_t gap = 0;

		simulation.run((kb_time_t)(2 + seed % 5) * KB_NS_PER_S);
		simulation.store_down = true;
		simulation.run(2 * KB_NS_PER_S);
		simulation.store_down = false;
		simulation.restore((kb_time_t)simulation.below(9000) * MS);
		simulation.served_at = simulation.now;
		for (int i = 0; i < 3000; i++) {
			simulation.step();
			gap = std::max(gap,
				       simulation.now - simulation.served_at);
		}
		EXPECT_LE(gap, 50 * MS) << seed;
	}
}

/* Its process has restarted, so that all hosts can tell that none serves. */
TEST(LeaseRestore, AHolderKilledBeforeTheStoreIsRestoredIsReplacedSoon)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		Simulation simulation(7, seed);

		simulation.run(4 * KB_NS_PER_S);
		simulation.store_down = true;
		for (auto &host : simulation.hosts)
			if (host->lease.role == KB_LEASE_SERVING) {
				host->alive = false;
				host->down_until = simulation.now + KB_NS_PER_S;
			}
		simulation.run(2 * KB_NS_PER_S);
		simulation.store_down = false;
		simulation.restore((kb_time_t)simulation.below(9000) * MS);
		simulation.run(7 * KB_NS_PER_S);
		EXPECT_GT(simulation.served_at, simulation.now - 100 * MS)
			<< seed;
	}
}

TEST(LeaseRestore, AnUnansweredChangeOfVotersIsNotForgotten)
{
	for (uint64_t seed = 1; seed <= 200; seed++)
		ASSERT_EQ("", restore_after_unanswered_voter_change(seed))
			<< "seed " << seed;
}

TEST(LeaseRestore, AMissingKeyIsNoFirstStartAfterARestore)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		ASSERT_EQ("", restore_in_first_start(seed, BrokenRule::NOTHING))
			<< "seed " << seed;
		ASSERT_NE("", restore_in_first_start(
				      seed, BrokenRule::REMAINS_FIRST_START))
			<< "seed " << seed;
	}
}

/* Hosts whose keys were lost have to register again before they are known. */
TEST(LeaseRestore, AHostThatHasStartedWaitsForUnregisteredHosts)
{
	Simulation simulation(3, 1);
	Cluster::Host &host = *simulation.hosts[0];
	kb_time_t started;

	simulation.run(2 * KB_NS_PER_S);
	for (size_t i = 1; i < 3; i++) {
		simulation.hosts[i]->alive = false;
		simulation.hosts[i]->down_until = KB_TIME_NEVER;
	}
	simulation.restore(simulation.now);
	simulation.start(host, false);
	started = simulation.now;
	while (host.lease.role != KB_LEASE_WAITING)
		simulation.step();
	kb_lease_on_fenced(&host.lease, host.lease.revision, 0, simulation.now);
	EXPECT_GE(host.lease.wait_until,
		  started + KB_LEASE_RESTORED_DELAY_MS * MS);
}

/* A group must not be released to a store that cannot name the successor. */
TEST(LeaseRestore, AHolderWithoutTheStoreIsNotConfirmedForAHandOver)
{
	Simulation simulation(5, 1);
	kb_time_t started;
	size_t i;

	simulation.run(4 * KB_NS_PER_S);
	i = simulation.serving_host();
	ASSERT_LT(i, simulation.hosts.size());
	kb_lease_t *lease = &simulation.hosts[i]->lease;
	simulation.store_down = true;
	started = simulation.now;
	for (int n = 0; n < 200; n++) {
		simulation.step();
		ASSERT_FALSE(kb_lease_confirm(lease, started, simulation.now));
	}
	simulation.restore(2 * KB_NS_PER_S);
	simulation.store_down = false;
	for (int n = 0; n < 200; n++) {
		simulation.step();
		if (kb_lease_confirm(lease, started, simulation.now))
			break;
	}
	EXPECT_TRUE(kb_lease_confirm(lease, started, simulation.now));
	EXPECT_EQ(i, simulation.serving_host());
	EXPECT_EQ(kb_store_era(simulation.revision), lease->record.era);
}

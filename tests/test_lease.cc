#include "lease_simulation.h"

using namespace lease_simulation;

namespace
{

std::string run_seed(uint64_t seed, Broken broken)
{
	World world(3 + seed % 5, seed, broken);

	world.run(3 * KB_NS_PER_S);
	for (int i = 0; i < 12 && world.violation.empty(); i++) {
		world.random_fault();
		world.run((kb_time_t)(100 + world.below(2500)) * MS);
	}
	return world.violation;
}

/* A partitioned holder regains the links to its voters but not the store. */
std::string return_of_a_holder(uint64_t seed, Broken broken)
{
	World world(5, seed, broken);
	size_t old = 5;
	size_t next = 5;

	world.run(4 * KB_NS_PER_S);
	for (size_t i = 0; i < 5; i++)
		if (world.hosts[i]->hold.role == KB_LEASE_SERVING)
			old = i;
	world.hosts[old]->store_cut = true;
	for (size_t i = 0; i < 5; i++)
		if (i != old)
			world.cuts[{ std::min(i, old), std::max(i, old) }] =
				true;
	world.run(4 * KB_NS_PER_S);
	for (size_t i = 0; i < 5; i++)
		if (i != old && world.hosts[i]->hold.role == KB_LEASE_SERVING)
			next = i;
	EXPECT_NE(old, next);
	world.cuts.clear();
	world.cuts[{ std::min(next, old), std::max(next, old) }] = true;
	world.run(4 * KB_NS_PER_S);
	return world.violation;
}

} // namespace

TEST(Hold, AHolderThatReturnsGetsNoGrantOfItsEarlierRevision)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		EXPECT_EQ("", return_of_a_holder(seed, Broken::NOTHING));
		EXPECT_NE("", return_of_a_holder(seed, Broken::GRANTS_OLD));
	}
}

TEST(Hold, TwoHostsNeverServeAGroupAtOnce)
{
	for (uint64_t seed = 1; seed <= 400; seed++)
		ASSERT_EQ("", run_seed(seed, Broken::NOTHING))
			<< "seed " << seed;
}

TEST(Hold, EveryBrokenRuleIsFound)
{
	for (Broken broken :
	     { Broken::NO_WAIT, Broken::ONE_GRANT, Broken::CLAIMS_QUIET }) {
		bool found = false;

		for (uint64_t seed = 1; seed <= 400 && !found; seed++)
			found = !run_seed(seed, broken).empty();
		EXPECT_TRUE(found) << (int)broken;
	}
}

TEST(Hold, IsServedSoonAfterTheFleetStarts)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		World world(7, seed);

		world.run(2 * KB_NS_PER_S);
		EXPECT_GT(world.served_at, world.now - 100 * MS) << seed;
	}
}

TEST(Hold, GoesOnThroughAStoreOutageWithoutOneCandidate)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		World world(7, seed);
		kb_time_t gap = 0;

		world.run(4 * KB_NS_PER_S);
		world.store_down = true;
		for (auto &host : world.hosts)
			if (host->hold.role != KB_LEASE_SERVING) {
				host->alive = false;
				host->down_until = KB_TIME_NEVER;
				break;
			}
		for (int i = 0; i < 800; i++) {
			world.step();
			gap = std::max(gap, world.now - world.served_at);
		}
		EXPECT_LE(gap, 50 * MS) << seed;
	}
}

TEST(Hold, AnotherHostServesSoonAfterTheHolderDies)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		World world(7, seed);
		kb_time_t died;

		world.run(4 * KB_NS_PER_S);
		for (auto &host : world.hosts)
			if (host->hold.role == KB_LEASE_SERVING) {
				host->alive = false;
				host->down_until = KB_TIME_NEVER;
			}
		died = world.now;
		world.run(3 * KB_NS_PER_S);
		EXPECT_GT(world.served_at, died + KB_NS_PER_S) << seed;
		EXPECT_GT(world.served_at, world.now - 100 * MS) << seed;
	}
}

/* Stops the serving host for good; returns the time. */
static kb_time_t end_holder(World &world)
{
	for (auto &host : world.hosts)
		if (host->hold.role == KB_LEASE_SERVING) {
			host->alive = false;
			host->down_until = KB_TIME_NEVER;
		}
	return world.now;
}

/* Time from `since` until a host serves the group. */
static kb_time_t gap_after(World &world, kb_time_t since)
{
	while (world.served_at <= since && world.now - since < 60 * KB_NS_PER_S)
		world.step();
	return world.served_at - since;
}

TEST(Hold, ANewHolderWaitsNoLongerThanTheFormerCouldServe)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		World world(7, seed);
		kb_time_t died;

		world.run(4 * KB_NS_PER_S);
		died = end_holder(world);
		EXPECT_LE(gap_after(world, died),
			  (KB_LEASE_DURATION_MS + 350) * MS)
			<< seed;
	}
}

TEST(Hold, AGroupWhoseHolderDiedInAStoreOutageIsServedOnceThatEnds)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		World world(7, seed);
		kb_time_t back;

		world.run(4 * KB_NS_PER_S);
		world.store_down = true;
		world.store_silent = true;
		end_holder(world);
		world.run(6 * KB_NS_PER_S);
		world.store_down = false;
		back = world.now;
		EXPECT_LE(gap_after(world, back), 1000 * MS) << seed;
	}
}

TEST(Hold, IsServedAgainAfterEveryHostRestarts)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		World world(7, seed);

		world.run(4 * KB_NS_PER_S);
		for (auto &host : world.hosts) {
			host->alive = false;
			host->down_until = world.now + KB_NS_PER_S;
		}
		world.run(1600 * MS);
		EXPECT_GT(world.served_at, world.now - 100 * MS) << seed;
	}
}

TEST(Hold, IsServedAgainOnceFaultsHaveEnded)
{
	for (uint64_t seed = 1; seed <= 200; seed++) {
		World world(3 + seed % 5, seed);

		world.run(3 * KB_NS_PER_S);
		for (int i = 0; i < 10; i++) {
			world.random_fault();
			world.run((kb_time_t)(100 + world.below(1500)) * MS);
		}
		world.heal();
		world.run(10 * KB_NS_PER_S);
		EXPECT_GT(world.served_at, world.now - 500 * MS)
			<< "seed " << seed;
	}
}

TEST(Hold, ADeletedKeyIsWrittenAnewWithoutAGap)
{
	World world(5, 3);
	kb_time_t gap = 0;

	world.run(4 * KB_NS_PER_S);
	world.exists = false;
	world.revision++;
	for (auto &host : world.hosts)
		kb_lease_on_key(&host->hold, nullptr, world.revision,
				world.now);
	for (int i = 0; i < 300; i++) {
		world.step();
		gap = std::max(gap, world.now - world.served_at);
	}
	EXPECT_LE(gap, 50 * MS);
	EXPECT_TRUE(world.exists);
	EXPECT_EQ("", world.violation);
}

TEST(Hold, AReleaseMovesTheGroupWithoutWaiting)
{
	World world(5, 7);
	kb_time_t gap = 0;

	world.run(4 * KB_NS_PER_S);
	for (auto &host : world.hosts)
		if (host->hold.role == KB_LEASE_SERVING) {
			kb_lease_release(&host->hold, nullptr, world.now);
			break;
		}
	for (int i = 0; i < 200; i++) {
		world.step();
		gap = std::max(gap, world.now - world.served_at);
	}
	EXPECT_LE(gap, 250 * MS);
	EXPECT_EQ("", world.violation);
}

namespace
{

/* A single voter; its calls are not answered. */
struct Candidate {
	kb_lease_t hold;
	int reads = 0;
	kb_lease_ops_t ops{};
	kb_time_t now = 100 * KB_NS_PER_S;

	Candidate()
	{
		kb_name_t group = name_of("g");
		kb_name_t self = name_of("c");

		ops.read = [](void *ctx, kb_lease_t *, kb_time_t) {
			static_cast<Candidate *>(ctx)->reads++;
		};
		ops.changed = [](void *, kb_lease_t *) {};
		kb_lease_init(&hold, &ops, this, &group, &self, 0, now);
	}

	static kb_lease_record_t record_of(const char *holder)
	{
		kb_lease_record_t record = {};

		record.holder = name_of(holder);
		record.settled = 1;
		record.candidates.count = 2;
		record.candidates.hosts[0] = record.holder;
		record.candidates.hosts[1] = name_of("c");
		return record;
	}

	int grant(const char *holder, int64_t revision)
	{
		kb_name_t name = name_of(holder);

		return kb_lease_grant(&hold, &name, revision, 1, now);
	}
};

} // namespace

TEST(Hold, ACandidateGrantsNothingBeforeItHasReadTheKeyItself)
{
	Candidate candidate;
	kb_lease_record_t record = Candidate::record_of("a");

	kb_lease_on_key(&candidate.hold, &record, 5, candidate.now);
	EXPECT_FALSE(candidate.grant("a", 5));
	EXPECT_EQ(1, candidate.reads);
	kb_lease_on_read(&candidate.hold, candidate.now, KB_OK, &record, 5,
			 candidate.now);
	EXPECT_TRUE(candidate.grant("a", 5));
}

TEST(Hold, ACandidateThatGrantedALaterRevisionGrantsNoEarlierOne)
{
	Candidate candidate;
	kb_lease_record_t record = Candidate::record_of("a");

	kb_lease_on_read(&candidate.hold, candidate.now, KB_OK, &record, 5,
			 candidate.now);
	EXPECT_TRUE(candidate.grant("a", 5));
	/* It learns of the next holder only from the request. */
	EXPECT_TRUE(candidate.grant("b", 6));
	EXPECT_FALSE(candidate.grant("a", 5));
	EXPECT_TRUE(candidate.grant("b", 6));
}

TEST(Hold, ACandidateTellsForHowLongItGrantedNothingToOthers)
{
	Candidate candidate;
	kb_lease_record_t record = Candidate::record_of("a");

	kb_lease_on_read(&candidate.hold, candidate.now, KB_OK, &record, 5,
			 candidate.now);
	candidate.now += 300 * MS;
	/* An earlier process may have granted until this one started. */
	EXPECT_EQ(300 * MS,
		  kb_lease_exclusive_time(&candidate.hold, candidate.now));
	EXPECT_TRUE(candidate.grant("a", 5));
	candidate.now += 700 * MS;
	EXPECT_TRUE(candidate.grant("b", 6));
	EXPECT_EQ(700 * MS,
		  kb_lease_exclusive_time(&candidate.hold, candidate.now));
	candidate.now += 100 * MS;
	EXPECT_TRUE(candidate.grant("b", 6));
	EXPECT_EQ(800 * MS,
		  kb_lease_exclusive_time(&candidate.hold, candidate.now));
	EXPECT_TRUE(candidate.grant("a", 7));
	EXPECT_EQ(0, kb_lease_exclusive_time(&candidate.hold, candidate.now));
}

TEST(Hold, AHolderWithoutAWordFromTheStoreEndsItsService)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		World world(5, seed);
		kb_time_t down;

		world.run(4 * KB_NS_PER_S);
		world.store_down = true;
		down = world.now;
		world.run(30 * KB_NS_PER_S);
		EXPECT_GT(world.served_at, down + 14 * KB_NS_PER_S) << seed;
		EXPECT_LE(world.served_at,
			  down + KB_LEASE_MAX_UNCONFIRMED_S * KB_NS_PER_S)
			<< seed;
	}
}

/* After the write takes effect a successor needs only the new voters. */
TEST(Hold, WhileCandidatesAreReplacedBothSetsMustGrant)
{
	Candidate host;
	kb_lease_t *hold = &host.hold;
	kb_lease_record_t record = Candidate::record_of("c");
	kb_lease_grant_t *grant = hold->grants;

	record.candidates.count = 3;
	record.candidates.hosts[1] = name_of("old1");
	record.candidates.hosts[2] = name_of("old2");
	hold->record = record;
	hold->role = KB_LEASE_SERVING;
	hold->confirmed = 1;
	hold->confirmed_at = host.now;
	grant->candidate = name_of("old1");
	grant->granted = 1;
	grant->asked_at = host.now;
	hold->grant_count = 1;
	EXPECT_TRUE(kb_lease_may_serve(hold, host.now));
	hold->wanted = record;
	hold->wanted.candidates.hosts[1] = name_of("new1");
	hold->wanted.candidates.hosts[2] = name_of("new2");
	hold->rewriting = 1;
	EXPECT_FALSE(kb_lease_may_serve(hold, host.now));
	grant++;
	grant->candidate = name_of("new1");
	grant->granted = 1;
	grant->asked_at = host.now;
	hold->grant_count = 2;
	EXPECT_TRUE(kb_lease_may_serve(hold, host.now));
}

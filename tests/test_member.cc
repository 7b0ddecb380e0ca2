#include "fake_fleet.h"

#include <gtest/gtest.h>

static void expect_all_alive(FakeFleet *fleet, const std::string &what)
{
	for (auto &viewer : fleet->hosts) {
		for (auto &host : fleet->hosts) {
			if (!viewer.second->running || !host.second->running)
				continue;
			EXPECT_EQ(KB_MEMBER_ALIVE,
				  fleet->state(viewer.first, host.first))
				<< what << ": " << viewer.first << " of "
				<< host.first;
		}
	}
}

struct NetworkFault {
	const char *name;
	double loss;
	double duplicate;
	int64_t jitter_ms;
};

static const NetworkFault network_faults[] = {
	{ "none", 0, 0, 4 },	     { "loss", 0.05, 0, 4 },
	{ "duplicates", 0, 0.3, 4 }, { "reordering", 0, 0, 80 },
	{ "all", 0.05, 0.3, 80 },
};

TEST(Member, LiveHostsStayAliveAndDeadOnesAreDetected)
{
	for (const NetworkFault &fault : network_faults) {
		for (uint64_t seed = 1; seed <= 5; seed++) {
			FakeFleet fleet(seed);
			std::string what = std::string(fault.name) + " seed " +
					   std::to_string(seed);

			fleet.loss = fault.loss;
			fleet.duplicate = fault.duplicate;
			fleet.jitter = fault.jitter_ms * KB_NS_PER_MS;
			fleet.start_all(9);
			fleet.loop.run_for_ms(20000);
			for (auto &host : fleet.hosts)
				EXPECT_EQ(0u,
					  fleet.count_in_state(host.first,
							       KB_MEMBER_DEAD))
					<< what;
			fleet.kill("h4");
			fleet.loop.run_for_ms(12000);
			EXPECT_EQ(8u,
				  fleet.count_in_state("h4", KB_MEMBER_DEAD))
				<< what;
		}
	}
}

TEST(Member, FailedCallSpeedsUpDetection)
{
	FakeFleet fleet(3);
	FakeHost *caller;

	fleet.start_all(9);
	fleet.loop.run_for_ms(5000);
	fleet.kill("h2");
	caller = fleet.hosts["h0"].get();
	kb_members_on_call_failed(&caller->members, KB_STR("h2"),
				  fleet.loop.now);
	fleet.loop.run_for_ms(3500);
	EXPECT_EQ(8u, fleet.count_in_state("h2", KB_MEMBER_DEAD));
}

TEST(Member, PausedProcessRejoins)
{
	static const int64_t pauses_ms[] = { 250, 1000, 10000, 60000 };

	for (int64_t pause : pauses_ms) {
		FakeFleet fleet(11);

		fleet.start_all(9);
		fleet.loop.run_for_ms(5000);
		fleet.pause("h1", pause);
		fleet.loop.run_for_ms(pause - 1);
		if (pause >= 10000) {
			EXPECT_EQ(8u,
				  fleet.count_in_state("h1", KB_MEMBER_DEAD));
		} else if (pause < 300) {
			EXPECT_EQ(0u,
				  fleet.count_in_state("h1", KB_MEMBER_DEAD));
		}
		fleet.loop.run_for_ms(15000);
		expect_all_alive(&fleet, "pause " + std::to_string(pause));
	}
}

TEST(Member, PausedProcessDoesNotSuspectOthers)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		FakeFleet fleet(seed);
		kb_members_t *members;

		fleet.start_all(9);
		fleet.loop.run_for_ms(5000);
		members = &fleet.hosts["h1"]->members;
		/* The pause begins while an answer is on its way. */
		while (members->probe.index == KB_MEMBER_NONE)
			fleet.loop.run_for_ms(1);
		fleet.pause("h1", 10000);
		fleet.loop.run_for_ms(9999);
		fleet.hosts["h1"]->backlog.clear();
		fleet.loop.run_for_ms(2);
		EXPECT_EQ(9u, kb_members_live_count(members));
		EXPECT_EQ(0u, members->table.state_count[KB_MEMBER_SUSPECT]);
	}
}

TEST(Member, RestartAtTheSameAddressIsANewInstance)
{
	FakeFleet fleet(7);

	fleet.start_all(9);
	fleet.loop.run_for_ms(5000);
	/* The clock of the new process may be behind the old one's. */
	for (uint64_t instance : { 100, 50 }) {
		fleet.start(FakeFleet::record_of(3, instance));
		fleet.hint(fleet.hosts["h3"].get(), FakeFleet::record_of(0, 0));
		fleet.loop.run_for_ms(12000);
		expect_all_alive(&fleet, "restart");
	}
	for (auto &viewer : fleet.hosts) {
		const kb_member_t *member =
			kb_members_find(&viewer.second->members, KB_STR("h3"));

		EXPECT_GE(member->instance, 100u);
		EXPECT_EQ(
			member->instance,
			kb_members_self(&fleet.hosts["h3"]->members)->instance);
	}
	EXPECT_TRUE(kb_members_is_synced(&fleet.hosts["h3"]->members));
}

TEST(Member, ProcessReplacedAtAnotherAddressIsSuperseded)
{
	FakeFleet fleet(8);
	FakeHost *old;
	kb_member_message_t message;
	kb_member_record_t newer = FakeFleet::record_of(3, 100);

	fleet.start_all(3);
	old = fleet.start(FakeFleet::record_of(3, 1));
	kb_name_set(&newer.address, KB_STR("ip-elsewhere"));
	kb_member_message_init(&message);
	message.type = KB_MEMBER_GOSSIP;
	message.from = FakeFleet::record_of(0, 1);
	kb_name_set(&message.to, KB_STR("h3"));
	message.record_count = 1;
	message.records[0] = newer;
	kb_members_on_message(&old->members, &message, fleet.loop.now);
	EXPECT_TRUE(old->superseded);
	EXPECT_EQ(1u, kb_members_self(&old->members)->instance);
}

TEST(Member, SplitRegionsHeal)
{
	for (int64_t split_ms : { 2000, 60000, 3600000 }) {
		FakeFleet fleet(13);
		auto side = [](const std::string &name) {
			return std::stoi(name.substr(1)) % 3 == 2;
		};

		fleet.start_all(12);
		fleet.loop.run_for_ms(5000);
		fleet.cut = [side](const std::string &a, const std::string &b) {
			return side(a) != side(b);
		};
		fleet.loop.run_for_ms(split_ms);
		if (split_ms >= 60000) {
			EXPECT_EQ(8u,
				  fleet.count_in_state("h2", KB_MEMBER_DEAD));
			EXPECT_EQ(4u,
				  fleet.count_in_state("h0", KB_MEMBER_DEAD));
		}
		fleet.cut = nullptr;
		fleet.loop.run_for_ms(20000);
		expect_all_alive(&fleet, "split " + std::to_string(split_ms));
	}
}

TEST(Member, OneCutPathMakesNoHostDead)
{
	FakeFleet fleet(17);

	fleet.start_all(9);
	fleet.cut = [](const std::string &a, const std::string &b) {
		return (a == "h0" && b == "h1") || (a == "h1" && b == "h0");
	};
	for (int i = 0; i < 300; i++) {
		fleet.loop.run_for_ms(100);
		EXPECT_EQ(0u, fleet.count_in_state("h0", KB_MEMBER_DEAD));
		EXPECT_EQ(0u, fleet.count_in_state("h1", KB_MEMBER_DEAD));
	}
}

TEST(Member, TheHostListIsOnlyAHint)
{
	FakeFleet fleet(19);

	fleet.start_all(6);
	/* The hints name a host that is down and lack a running one. */
	for (auto &host : fleet.hosts)
		fleet.hint(host.second.get(), FakeFleet::record_of(7, 0));
	fleet.start(FakeFleet::record_of(6, 1));
	fleet.hint(fleet.hosts["h6"].get(), FakeFleet::record_of(0, 0));
	fleet.loop.run_for_ms(15000);
	EXPECT_EQ(6u, fleet.count_in_state("h7", KB_MEMBER_DEAD));
	EXPECT_EQ(6u, fleet.count_in_state("h6", KB_MEMBER_ALIVE));
	/* A repeated hint does not change the state to alive, a start does. */
	for (size_t i = 0; i < 6; i++)
		fleet.hint(fleet.hosts["h" + std::to_string(i)].get(),
			   FakeFleet::record_of(7, 0));
	EXPECT_EQ(6u, fleet.count_in_state("h7", KB_MEMBER_DEAD));
	fleet.start(FakeFleet::record_of(7, 1));
	fleet.loop.run_for_ms(10000);
	expect_all_alive(&fleet, "after the start");
}

TEST(Member, LeavingPropagatesAndSurvivesSuspicion)
{
	FakeFleet fleet(23);

	fleet.loss = 0.01;
	fleet.start_all(9);
	fleet.loop.run_for_ms(5000);
	kb_members_set_leaving(&fleet.hosts["h5"]->members, true,
			       fleet.loop.now);
	fleet.loop.run_for_ms(3000);
	EXPECT_EQ(8u, fleet.count_in_state("h5", KB_MEMBER_LEAVING));
	fleet.pause("h5", 2500);
	fleet.loop.run_for_ms(2400);
	for (auto &host : fleet.hosts)
		EXPECT_FALSE(kb_member_is_eligible(
			kb_members_find(&host.second->members, KB_STR("h5"))));
	fleet.loop.run_for_ms(10000);
	EXPECT_EQ(8u, fleet.count_in_state("h5", KB_MEMBER_LEAVING));
	kb_members_set_leaving(&fleet.hosts["h5"]->members, false,
			       fleet.loop.now);
	fleet.loop.run_for_ms(3000);
	EXPECT_EQ(8u, fleet.count_in_state("h5", KB_MEMBER_ALIVE));
	kb_members_announce_exit(&fleet.hosts["h5"]->members);
	fleet.kill("h5");
	fleet.loop.run_for_ms(2000);
	EXPECT_EQ(8u, fleet.count_in_state("h5", KB_MEMBER_DEAD));
}

TEST(Member, JoiningHostGetsAllRecordsFromOneHostWithinByteLimits)
{
	enum { HOSTS = 120, JOIN_MS = 30000 };
	FakeFleet fleet(29);
	FakeHost *joiner;
	uint64_t sent = 0;

	fleet.start_all(HOSTS);
	fleet.loop.run_for_ms(20000);
	joiner = fleet.start(FakeFleet::record_of(HOSTS, 1));
	fleet.hint(joiner, FakeFleet::record_of(0, 0));
	for (auto &host : fleet.hosts)
		host.second->bytes_sent = 0;
	fleet.loop.run_for_ms(JOIN_MS);
	EXPECT_EQ(HOSTS + 1u, kb_members_live_count(&joiner->members));
	EXPECT_TRUE(kb_members_is_synced(&joiner->members));
	for (auto &host : fleet.hosts) {
		sent = std::max(sent, host.second->bytes_sent);
		EXPECT_LE(host.second->largest_message,
			  (size_t)KB_MEMBER_MESSAGE_MAX_BYTES);
	}
	EXPECT_LT(sent * 1000 / JOIN_MS, 18000u);
}

TEST(Member, RemovesDeadHostsAfterTheRetention)
{
	FakeFleet fleet(31);

	fleet.start_all(4);
	fleet.loop.run_for_ms(3000);
	fleet.kill("h3");
	fleet.loop.run_for_ms(10000);
	EXPECT_EQ(3u, fleet.count_in_state("h3", KB_MEMBER_DEAD));
	fleet.loop.run_for_ms(KB_MEMBER_DEAD_RETENTION_S * INT64_C(1000));
	EXPECT_EQ(3u, fleet.count_in_state("h3", -1));
	expect_all_alive(&fleet, "after the retention");
}

TEST(Member, IgnoresClaimsThatCannotBeRefuted)
{
	FakeFleet fleet(37);
	FakeHost *host = fleet.start(FakeFleet::record_of(0, 5));
	kb_member_message_t message;

	kb_member_message_init(&message);
	message.type = KB_MEMBER_GOSSIP;
	message.from = FakeFleet::record_of(1, 1);
	kb_name_set(&message.to, KB_STR("h0"));
	message.record_count = 1;
	message.records[0] = FakeFleet::record_of(0, UINT64_MAX);
	message.records[0].state = KB_MEMBER_DEAD;
	kb_members_on_message(&host->members, &message, fleet.loop.now);
	EXPECT_EQ(5u, kb_members_self(&host->members)->instance);
	message.records[0] = FakeFleet::record_of(0, 5);
	message.records[0].incarnation = UINT32_MAX;
	kb_members_on_message(&host->members, &message, fleet.loop.now);
	EXPECT_EQ(6u, kb_members_self(&host->members)->instance);
	EXPECT_EQ(0u, kb_members_self(&host->members)->incarnation);
}

TEST(Member, RejectsAnIncompleteSelf)
{
	kb_members_t members;
	kb_member_record_t self = FakeFleet::record_of(0, 0);
	static const kb_members_ops_t ops = {};

	EXPECT_EQ(KB_ERR_INVALID, kb_members_init(&members, &ops, &self, 1, 0));
}

#include "fake_config_gossip.h"

struct ConfigGossipFault {
	const char *name;
	double loss;
	int64_t jitter_ms;
	/* Delay of the store's watch at the first relay. */
	int64_t race_ms;
};

static const ConfigGossipFault faults[] = {
	{ "none", 0, 5, 0 },	     { "loss", 0.05, 5, 0 },
	{ "reordering", 0, 200, 0 }, { "one relay is late", 0, 5, 700 },
	{ "all", 0.05, 200, 700 },
};

TEST(ConfigGossip, ChangesReachAllHostsWithinSeconds)
{
	for (const ConfigGossipFault &fault : faults) {
		for (uint64_t seed = 1; seed <= 5; seed++) {
			ConfigGossipFleet fleet(seed, 30);
			std::string what = std::string(fault.name) + " seed " +
					   std::to_string(seed);

			fleet.loss = fault.loss;
			fleet.jitter = fault.jitter_ms * KB_NS_PER_MS;
			fleet.put("a", "1");
			fleet.start_all();
			fleet.loop.run_for_ms(5000);
			EXPECT_EQ(30u, fleet.complete(1)) << what;
			EXPECT_EQ(6u, fleet.watchers().size());
			fleet.watch_delay[*fleet.watchers().begin()] =
				fault.race_ms * KB_NS_PER_MS;
			for (int i = 0; i < 20; i++) {
				fleet.put("a", std::to_string(i));
				fleet.loop.run_for_ms(100);
				fleet.put("b" + std::to_string(i % 4), "x",
					  i % 3 == 0);
			}
			fleet.loop.run_for_ms(6000);
			EXPECT_EQ(30u, fleet.complete(41)) << what;
			for (auto &host : fleet.hosts)
				EXPECT_EQ("19", fleet.value(host.first, "a"));
			fleet.expect_no_reversion();
			fleet.expect_equal_content();
		}
	}
}

TEST(ConfigGossip, HostStartedDuringAStoreOutageCatchesUpFromPeers)
{
	ConfigGossipFleet fleet(3, 9);

	for (int i = 0; i < 40; i++)
		fleet.put("g" + std::to_string(i), std::string(2000, 'x'));
	fleet.put("g1", "new");
	fleet.put("g2", "", true);
	fleet.start_all();
	fleet.loop.run_for_ms(5000);
	fleet.store_down = true;
	/* The hosts that restart include relays. */
	for (size_t i = 0; i < 6; i++) {
		fleet.start(i, 2);
		fleet.loop.run_for_ms(2000);
	}
	EXPECT_EQ(9u, fleet.complete(42));
	EXPECT_EQ("new", fleet.value("h0", "g1"));
	EXPECT_EQ("", fleet.value("h1", "g2"));
	fleet.expect_equal_content();
	fleet.store_up();
	fleet.put("g3", "after");
	fleet.loop.run_for_ms(3000);
	EXPECT_EQ(9u, fleet.complete(43));
}

TEST(ConfigGossip, StaleReadOfTheStoreRevertsNothing)
{
	ConfigGossipFleet fleet(5, 9);
	std::string relay;

	fleet.put("a", "old");
	fleet.put("b", "b");
	fleet.start_all();
	fleet.loop.run_for_ms(5000);
	fleet.put("a", "new");
	fleet.put("b", "", true);
	fleet.loop.run_for_ms(5000);
	/* A relay reloads after a compaction and gets stale data. */
	fleet.stale_load = 2;
	relay = *fleet.watchers().begin();
	fleet.load(fleet.hosts[relay].get());
	EXPECT_EQ("new", fleet.value(relay, "a"));
	EXPECT_EQ("", fleet.value(relay, "b"));
	/* A relay that restarts empty and loads stale data gets the newest
	 * revision from its peers. */
	fleet.start((size_t)std::stoi(relay.substr(1)), 2);
	fleet.loop.run_for_ms(5000);
	EXPECT_EQ("new", fleet.value(relay, "a"));
	fleet.expect_equal_content();
	fleet.expect_no_reversion();
}

TEST(ConfigGossip, EmptyFleetThatLoadsStaleDataCatchesUp)
{
	ConfigGossipFleet fleet(6, 9);

	fleet.put("a", "old");
	fleet.put("b", "b");
	fleet.put("a", "new");
	fleet.put("b", "", true);
	fleet.stale_load = 2;
	fleet.start_all();
	fleet.loop.run_for_ms(5000);
	EXPECT_EQ(9u, fleet.complete(4));
	EXPECT_EQ("new", fleet.value("h0", "a"));
	EXPECT_EQ("", fleet.value("h8", "b"));
	fleet.expect_no_reversion();
}

TEST(ConfigGossip, RelaysLoadAllResourcesAfterACompaction)
{
	ConfigGossipFleet fleet(7, 9);

	fleet.put("gone", "x");
	fleet.start_all();
	fleet.loop.run_for_ms(5000);
	fleet.store_down = true;
	for (int i = 0; i < 10; i++)
		fleet.put("g" + std::to_string(i), "x");
	fleet.put("gone", "", true);
	fleet.compacted = fleet.log.size();
	fleet.loop.run_for_ms(60000);
	fleet.store_up();
	fleet.loop.run_for_ms(5000);
	EXPECT_EQ(9u, fleet.complete(12));
	for (auto &host : fleet.hosts)
		EXPECT_EQ("", fleet.value(host.first, "gone"));
	fleet.expect_equal_content();
	fleet.expect_no_reversion();
}

TEST(ConfigGossip, AnotherHostBecomesRelayWhenARelayLeaves)
{
	ConfigGossipFleet fleet(11, 30);
	std::set<std::string> before;
	std::string relay;

	fleet.put("a", "1");
	fleet.start_all();
	fleet.loop.run_for_ms(5000);
	before = fleet.watchers();
	relay = *before.begin();
	fleet.stop(relay, true);
	fleet.loop.run_for_ms(100);
	EXPECT_EQ(6u, fleet.watchers().size());
	EXPECT_EQ(0u, fleet.watchers().count(relay));
	/* A leaving host gives up the role as well. */
	relay = *fleet.watchers().begin();
	for (auto &host : fleet.hosts)
		if (host.second->running && host.first != relay)
			fleet.claim(host.second.get(), relay,
				    KB_MEMBER_LEAVING);
	kb_members_set_leaving(&fleet.hosts[relay]->peers.members, true,
			       fleet.loop.now);
	EXPECT_EQ(6u, fleet.watchers().size());
	EXPECT_EQ(0u, fleet.watchers().count(relay));
	fleet.put("a", "2");
	fleet.loop.run_for_ms(5000);
	EXPECT_EQ(29u, fleet.complete(2));
}

TEST(ConfigGossip, ChangesArriveDespiteUndetectedDeadRelays)
{
	ConfigGossipFleet fleet(13, 30);
	std::set<std::string> relays;

	fleet.put("a", "1");
	fleet.start_all();
	fleet.loop.run_for_ms(5000);
	relays = fleet.watchers();
	/* Stops both relays of the data centre of h0. */
	for (const std::string &name : relays)
		if (std::stoi(name.substr(1)) % 3 == 0)
			fleet.stop(name, false);
	fleet.put("a", "2");
	fleet.loop.run_for_ms(6000);
	EXPECT_EQ(28u, fleet.complete(2));
}

TEST(ConfigGossip, PartitionedRegionCatchesUp)
{
	ConfigGossipFleet fleet(17, 12);
	auto side = [](const std::string &name) {
		return std::stoi(name.substr(1)) % 3 == 2;
	};

	fleet.put("a", "1");
	fleet.start_all();
	fleet.loop.run_for_ms(5000);
	fleet.cut = [side](const std::string &a, const std::string &b) {
		return side(a) != side(b);
	};
	for (auto &host : fleet.hosts)
		if (side(host.first))
			fleet.watch_delay[host.first] = KB_NS_PER_S * 3600;
	fleet.put("a", "2");
	fleet.loop.run_for_ms(60000);
	EXPECT_EQ(8u, fleet.complete(2));
	fleet.cut = nullptr;
	fleet.loop.run_for_ms(6000);
	EXPECT_EQ(12u, fleet.complete(2));
}

TEST(ConfigGossip, StatusCountsHostsAndNamesThoseThatLag)
{
	ConfigGossipFleet fleet(19, 12);
	ConfigGossipHost *viewer;
	kb_config_gossip_status_t status;

	fleet.put("a", "1");
	fleet.start_all();
	viewer = fleet.hosts["h0"].get();
	EXPECT_EQ(KB_OK, kb_config_gossip_watch_status(&viewer->gossip, true,
						       fleet.loop.now));
	kb_config_gossip_get_status(&viewer->gossip, 1, fleet.loop.now,
				    &status);
	EXPECT_EQ(0u, status.in_force);
	fleet.loop.run_for_ms(8000);
	kb_config_gossip_get_status(&viewer->gossip, 1, fleet.loop.now,
				    &status);
	EXPECT_EQ(12u, status.hosts);
	EXPECT_EQ(12u, status.in_force);
	EXPECT_EQ(0u, status.missing_count);
	/* h7 receives no messages. */
	fleet.cut = [](const std::string &a, const std::string &b) {
		return a == "h7" || b == "h7";
	};
	fleet.watch_delay["h7"] = KB_NS_PER_S * 3600;
	fleet.put("a", "2");
	fleet.loop.run_for_ms(4000);
	kb_config_gossip_get_status(&viewer->gossip, 2, fleet.loop.now,
				    &status);
	EXPECT_EQ(12u, status.hosts);
	EXPECT_EQ(11u, status.in_force);
	ASSERT_EQ(1u, status.missing_count);
	EXPECT_EQ("h7", to_string(kb_name_str(&status.missing[0])));
	kb_config_gossip_get_status(&viewer->gossip, 1, fleet.loop.now,
				    &status);
	EXPECT_EQ(12u, status.in_force);
	/* The status of a data centre that does not answer is unknown. */
	fleet.cut = [](const std::string &a, const std::string &b) {
		return std::stoi(a.substr(1)) % 3 == 2 ||
		       std::stoi(b.substr(1)) % 3 == 2;
	};
	fleet.loop.run_for_ms(8000);
	kb_config_gossip_get_status(&viewer->gossip, 2, fleet.loop.now,
				    &status);
	EXPECT_EQ(12u, status.hosts);
	EXPECT_EQ(4u, status.unknown);
}

TEST(ConfigGossip, DataCentreWithOnlyALeavingHostReportsStatus)
{
	ConfigGossipFleet fleet(23, 3);
	ConfigGossipHost *viewer;
	kb_config_gossip_status_t status;

	fleet.put("a", "1");
	fleet.start_all();
	viewer = fleet.hosts["h0"].get();
	EXPECT_EQ(KB_OK, kb_config_gossip_watch_status(&viewer->gossip, true,
						       fleet.loop.now));
	fleet.loop.run_for_ms(5000);
	for (auto &host : fleet.hosts)
		if (host.first != "h2")
			fleet.claim(host.second.get(), "h2", KB_MEMBER_LEAVING);
	kb_members_set_leaving(&fleet.hosts["h2"]->peers.members, true,
			       fleet.loop.now);
	fleet.loop.run_for_ms(2000);
	fleet.put("a", "2");
	fleet.loop.run_for_ms(6000);
	kb_config_gossip_get_status(&viewer->gossip, 2, fleet.loop.now,
				    &status);
	EXPECT_EQ(3u, status.hosts);
	EXPECT_EQ(3u, status.in_force);
	EXPECT_EQ(0u, status.unknown);
}

TEST(ConfigGossip, LostResourceIsRepaired)
{
	ConfigGossipFleet fleet(23, 9);
	kb_config_set_t *set;

	fleet.put("a", "1");
	fleet.put("b", "1");
	fleet.start_all();
	fleet.loop.run_for_ms(5000);
	set = &fleet.hosts["h4"]->gossip.set;
	kb_config_set_finish(set);
	kb_config_set_advance(set, 0, 2);
	fleet.loop.run_for_ms(60000);
	EXPECT_EQ("1", fleet.value("h4", "a"));
	fleet.expect_equal_content();
}

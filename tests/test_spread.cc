#include "fake_fleet.h"
#include "spread.h"

#include <gtest/gtest.h>

struct SpreadFleet;

/* The membership of a host; ops cast back to it. */
struct SpreadMembers {
	kb_members_t members;
	struct SpreadHost *host;
};

/* A host with the configuration; it knows its peers from the host list. */
struct SpreadHost {
	kb_spread_t spread;
	SpreadMembers peers;
	SpreadFleet *fleet;
	std::string name;
	uint64_t instance;
	bool running = true;
	bool watching = false;
	uint64_t watch_after = 0;
	size_t watches = 0;
	std::map<std::string, std::vector<uint64_t>> applied;
};

/* Hosts that spread configuration, with a stand-in for the store. */
struct SpreadFleet {
	struct Change {
		std::string name;
		uint64_t revision;
		bool deleted;
		std::string value;
	};

	FakeLoop loop;
	std::mt19937_64 random;
	double loss = 0;
	kb_time_t jitter = 10 * KB_NS_PER_MS;
	std::function<bool(const std::string &, const std::string &)> cut;
	std::map<std::string, std::unique_ptr<SpreadHost>> hosts;
	size_t host_count;

	/* The store. */
	std::vector<Change> log;
	uint64_t compacted = 0;
	bool store_down = false;
	/* A load answers as of this revision if it is not 0. */
	uint64_t stale_load = 0;
	std::map<std::string, kb_time_t> watch_delay;

	SpreadFleet(uint64_t seed, size_t count)
	    : random(seed), host_count(count)
	{
	}

	~SpreadFleet()
	{
		for (auto &host : hosts)
			finish(host.second.get());
	}

	static void finish(SpreadHost *host)
	{
		kb_spread_finish(&host->spread);
		kb_members_finish(&host->peers.members);
	}

	void start_all()
	{
		for (size_t i = 0; i < host_count; i++)
			start(i, 1);
	}

	SpreadHost *start(size_t n, uint64_t instance)
	{
		static const kb_members_ops_t member_ops = {
			[](auto *, auto *, auto *) {}, member_changed,
			[](auto *) {}
		};
		static const kb_spread_ops_t ops = { send, watch, unwatch,
						     in_force };
		kb_member_record_t self = FakeFleet::record_of(n, instance);
		std::string name = to_string(kb_name_str(&self.name));
		auto host = std::make_unique<SpreadHost>();
		SpreadHost *raw = host.get();

		raw->fleet = this;
		raw->peers.host = raw;
		raw->name = name;
		raw->instance = instance;
		EXPECT_EQ(KB_OK,
			  kb_members_init(&raw->peers.members, &member_ops,
					  &self, random(), loop.now));
		kb_spread_init(&raw->spread, &ops, &raw->peers.members,
			       random(), loop.now);
		if (hosts.count(name))
			finish(hosts[name].get());
		hosts[name] = std::move(host);
		for (size_t i = 0; i < host_count; i++) {
			kb_member_record_t record = FakeFleet::record_of(i, 0);

			kb_members_on_hint(&raw->peers.members, &record,
					   loop.now);
		}
		tick(name, instance);
		return raw;
	}

	/* Stops a host; `noticed` tells the others. */
	void stop(const std::string &name, bool noticed)
	{
		hosts[name]->running = false;
		hosts[name]->watching = false;
		for (auto &host : hosts)
			if (noticed && host.second->running)
				claim(host.second.get(), name, KB_MEMBER_DEAD);
	}

	/* The first running host that is not concerned by a claim. */
	size_t sender(SpreadHost *host, const std::string &name)
	{
		std::string from = "h0";
		size_t n = 0;

		while (from == host->name || from == name ||
		       !hosts[from]->running)
			from = "h" + std::to_string(++n);
		return n;
	}

	void claim(SpreadHost *host, const std::string &name,
		   kb_member_state_t state)
	{
		kb_member_message_t message;
		const kb_member_t *member = kb_members_find(
			&host->peers.members, kb_str_from(name.c_str()));

		kb_member_message_init(&message);
		message.type = KB_MEMBER_GOSSIP;
		kb_name_set(&message.to, kb_str_from(host->name.c_str()));
		message.from = FakeFleet::record_of(sender(host, name), 1);
		message.record_count = 1;
		kb_member_to_record(member, &message.records[0]);
		message.records[0].incarnation++;
		message.records[0].state = state;
		kb_members_on_message(&host->peers.members, &message, loop.now);
	}

	uint64_t put(const std::string &name, const std::string &value,
		     bool deleted = false)
	{
		log.push_back({ name, log.size() + 1, deleted, value });
		for (auto &host : hosts)
			if (host.second->watching)
				serve_watch(host.second.get());
		return log.size();
	}

	static kb_config_change_t view(const Change &change)
	{
		return { KB_STR("group"),
			 { change.name.data(), change.name.size() },
			 change.revision,
			 change.deleted,
			 { change.value.data(), change.value.size() } };
	}

	/* Sends a watcher what it has not had yet. */
	void serve_watch(SpreadHost *host)
	{
		std::string name = host->name;
		kb_time_t delay = 2 * KB_NS_PER_MS + watch_delay[name];

		if (store_down)
			return;
		loop.at(loop.now + delay, [this, name] {
			SpreadHost *host = hosts[name].get();
			std::vector<kb_config_change_t> changes;
			uint64_t revision = log.size();

			if (!host->running || !host->watching || store_down)
				return;
			for (uint64_t r = host->watch_after; r < revision; r++)
				changes.push_back(view(log[r]));
			host->watch_after = revision;
			EXPECT_EQ(KB_OK,
				  kb_spread_on_store_changes(
					  &host->spread, changes.data(),
					  changes.size(), revision, loop.now));
		});
	}

	void load(SpreadHost *host)
	{
		uint64_t revision = stale_load ? stale_load : log.size();
		std::map<std::string, Change> live;
		kb_spread_t *spread = &host->spread;

		host->watch_after = kb_spread_revision(spread);
		if (!kb_spread_on_load_begin(spread, revision))
			return;
		for (uint64_t r = 0; r < revision; r++) {
			live[log[r].name] = log[r];
			if (log[r].deleted)
				live.erase(log[r].name);
		}
		for (auto &resource : live) {
			kb_config_change_t change = view(resource.second);

			EXPECT_EQ(KB_OK, kb_spread_on_load(spread, &change, 1));
		}
		EXPECT_EQ(KB_OK,
			  kb_spread_on_load_end(spread, revision, loop.now));
		host->watch_after = revision;
	}

	void store_up()
	{
		store_down = false;
		for (auto &host : hosts)
			if (host.second->watching)
				begin_watch(host.second.get());
	}

	void begin_watch(SpreadHost *host)
	{
		std::string name = host->name;

		if (store_down)
			return;
		loop.at(loop.now + 5 * KB_NS_PER_MS, [this, name] {
			SpreadHost *host = hosts[name].get();

			if (!host->running || !host->watching)
				return;
			if (!host->watch_after || host->watch_after < compacted)
				load(host);
			serve_watch(host);
		});
	}

	std::set<std::string> watchers()
	{
		std::set<std::string> names;

		for (auto &host : hosts)
			if (host.second->running && host.second->watching)
				names.insert(host.first);
		return names;
	}

	/* Returns how many running hosts have all changes up to `revision`. */
	size_t complete(uint64_t revision)
	{
		size_t count = 0;

		for (auto &host : hosts)
			count += host.second->running &&
				 kb_spread_revision(&host.second->spread) >=
					 revision;
		return count;
	}

	std::string value(const std::string &host, const std::string &name)
	{
		const kb_config_entry_t *entry = kb_config_set_find(
			&hosts[host]->spread.set, KB_STR("group"),
			kb_str_from(name.c_str()));

		if (!entry || entry->deleted)
			return "";
		return std::string(entry->value, entry->value_len);
	}

	void expect_no_reversion()
	{
		for (auto &host : hosts)
			for (auto &resource : host.second->applied)
				EXPECT_TRUE(
					std::is_sorted(resource.second.begin(),
						       resource.second.end()))
					<< host.first << " " << resource.first;
	}

	void expect_equal_content()
	{
		const kb_config_set_t *first = &hosts["h0"]->spread.set;

		for (auto &host : hosts) {
			const kb_config_set_t *set = &host.second->spread.set;

			if (!host.second->running)
				continue;
			EXPECT_EQ(first->complete, set->complete) << host.first;
			EXPECT_EQ(kb_config_set_digest(first),
				  kb_config_set_digest(set))
				<< host.first;
		}
	}

	static SpreadHost *of(kb_spread_t *spread)
	{
		return reinterpret_cast<SpreadHost *>(spread);
	}

	void tick(const std::string &name, uint64_t instance)
	{
		SpreadHost *host = hosts[name].get();
		kb_time_t wake;

		if (!host->running || host->instance != instance)
			return;
		wake = kb_spread_on_timer(&host->spread, loop.now);
		loop.at(wake, [this, name, instance] { tick(name, instance); });
	}

	static void member_changed(kb_members_t *members,
				   const kb_member_t *member)
	{
		SpreadHost *host =
			reinterpret_cast<SpreadMembers *>(members)->host;

		kb_spread_on_member(&host->spread, member,
				    host->fleet->loop.now);
	}

	static void send(kb_spread_t *spread, const kb_member_t *to,
			 const kb_spread_message_t *message)
	{
		SpreadFleet *fleet = of(spread)->fleet;
		std::string name = to_string(kb_member_name(to));
		kb_time_t delay =
			KB_NS_PER_MS + fleet->random() % fleet->jitter;
		char *buffer;
		size_t len;

		ASSERT_EQ(KB_OK, kb_spread_wire_encode(message, &buffer, &len));
		std::string bytes(buffer, len);
		free(buffer);
		if (std::uniform_real_distribution<>()(fleet->random) <
			    fleet->loss ||
		    (fleet->cut && fleet->cut(of(spread)->name, name)))
			return;
		fleet->loop.at(fleet->loop.now + delay, [=] {
			kb_spread_message_t copy;
			auto found = fleet->hosts.find(name);
			SpreadHost *host = found == fleet->hosts.end()
						   ? nullptr
						   : found->second.get();

			if (!host || !host->running)
				return;
			ASSERT_EQ(KB_OK,
				  kb_spread_wire_decode(&copy, bytes.data(),
							bytes.size()));
			kb_spread_on_message(&host->spread, &copy,
					     fleet->loop.now);
			kb_spread_message_finish(&copy);
		});
	}

	static void watch(kb_spread_t *spread, uint64_t after)
	{
		of(spread)->watching = true;
		of(spread)->watches++;
		of(spread)->watch_after = after;
		of(spread)->fleet->begin_watch(of(spread));
	}

	static void unwatch(kb_spread_t *spread)
	{
		of(spread)->watching = false;
	}

	static void in_force(kb_spread_t *spread,
			     const kb_config_entry_t *entry)
	{
		of(spread)
			->applied[to_string(kb_config_entry_name(entry))]
			.push_back(entry->revision);
	}
};

struct SpreadFault {
	const char *name;
	double loss;
	int64_t jitter_ms;
	/* Delay of the watch at the first relay. */
	int64_t race_ms;
};

static const SpreadFault spread_faults[] = {
	{ "none", 0, 5, 0 },	     { "loss", 0.05, 5, 0 },
	{ "reordering", 0, 200, 0 }, { "one relay is late", 0, 5, 700 },
	{ "all", 0.05, 200, 700 },
};

TEST(Spread, AChangeIsInForceEverywhereWithinSeconds)
{
	for (const SpreadFault &fault : spread_faults) {
		for (uint64_t seed = 1; seed <= 5; seed++) {
			SpreadFleet fleet(seed, 30);
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

TEST(Spread, AHostThatStartsInAnOutageLearnsFromItsPeers)
{
	SpreadFleet fleet(3, 9);

	for (int i = 0; i < 40; i++)
		fleet.put("g" + std::to_string(i), std::string(2000, 'x'));
	fleet.put("g1", "new");
	fleet.put("g2", "", true);
	fleet.start_all();
	fleet.loop.run_for_ms(5000);
	fleet.store_down = true;
	/* Relays are among those that restart. */
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

TEST(Spread, AStaleReadOfTheStoreRevertsNothing)
{
	SpreadFleet fleet(5, 9);
	std::string relay;

	fleet.put("a", "old");
	fleet.put("b", "b");
	fleet.start_all();
	fleet.loop.run_for_ms(5000);
	fleet.put("a", "new");
	fleet.put("b", "", true);
	fleet.loop.run_for_ms(5000);
	/* A relay is told that its history is gone and reads an old state. */
	fleet.stale_load = 2;
	relay = *fleet.watchers().begin();
	fleet.load(fleet.hosts[relay].get());
	EXPECT_EQ("new", fleet.value(relay, "a"));
	EXPECT_EQ("", fleet.value(relay, "b"));
	/* One that starts empty and reads it gets the newest from peers. */
	fleet.start((size_t)std::stoi(relay.substr(1)), 2);
	fleet.loop.run_for_ms(5000);
	EXPECT_EQ("new", fleet.value(relay, "a"));
	fleet.expect_equal_content();
	fleet.expect_no_reversion();
}

TEST(Spread, AnEmptyFleetThatReadsStaleCatchesUp)
{
	SpreadFleet fleet(6, 9);

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

TEST(Spread, CompactionIsBridgedByALoad)
{
	SpreadFleet fleet(7, 9);

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

TEST(Spread, TheRoleOfARelayMovesOnWhenItsHostGoes)
{
	SpreadFleet fleet(11, 30);
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
	/* A leaving host gives the role up as well. */
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

TEST(Spread, DeadRelaysThatNobodyHasNoticedDelayButLoseNothing)
{
	SpreadFleet fleet(13, 30);
	std::set<std::string> relays;

	fleet.put("a", "1");
	fleet.start_all();
	fleet.loop.run_for_ms(5000);
	relays = fleet.watchers();
	/* Both relays of the data centre of h0. */
	for (const std::string &name : relays)
		if (std::stoi(name.substr(1)) % 3 == 0)
			fleet.stop(name, false);
	fleet.put("a", "2");
	fleet.loop.run_for_ms(6000);
	EXPECT_EQ(28u, fleet.complete(2));
}

TEST(Spread, ARegionThatIsCutOffCatchesUp)
{
	SpreadFleet fleet(17, 12);
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

TEST(Spread, StatusCountsAndNamesWhereARevisionIsInForce)
{
	SpreadFleet fleet(19, 12);
	SpreadHost *viewer;
	kb_spread_status_t status;

	fleet.put("a", "1");
	fleet.start_all();
	viewer = fleet.hosts["h0"].get();
	EXPECT_EQ(KB_OK, kb_spread_watch_status(&viewer->spread, true,
						fleet.loop.now));
	kb_spread_get_status(&viewer->spread, 1, fleet.loop.now, &status);
	EXPECT_EQ(0u, status.in_force);
	fleet.loop.run_for_ms(8000);
	kb_spread_get_status(&viewer->spread, 1, fleet.loop.now, &status);
	EXPECT_EQ(12u, status.hosts);
	EXPECT_EQ(12u, status.in_force);
	EXPECT_EQ(0u, status.missing_count);
	/* h7 no longer hears anything. */
	fleet.cut = [](const std::string &a, const std::string &b) {
		return a == "h7" || b == "h7";
	};
	fleet.watch_delay["h7"] = KB_NS_PER_S * 3600;
	fleet.put("a", "2");
	fleet.loop.run_for_ms(4000);
	kb_spread_get_status(&viewer->spread, 2, fleet.loop.now, &status);
	EXPECT_EQ(12u, status.hosts);
	EXPECT_EQ(11u, status.in_force);
	ASSERT_EQ(1u, status.missing_count);
	EXPECT_EQ("h7", to_string(kb_name_str(&status.missing[0])));
	kb_spread_get_status(&viewer->spread, 1, fleet.loop.now, &status);
	EXPECT_EQ(12u, status.in_force);
	/* A data centre that does not answer is unknown. */
	fleet.cut = [](const std::string &a, const std::string &b) {
		return std::stoi(a.substr(1)) % 3 == 2 ||
		       std::stoi(b.substr(1)) % 3 == 2;
	};
	fleet.loop.run_for_ms(8000);
	kb_spread_get_status(&viewer->spread, 2, fleet.loop.now, &status);
	EXPECT_EQ(12u, status.hosts);
	EXPECT_EQ(4u, status.unknown);
}

TEST(Spread, ADataCentreWithOnlyALeavingHostStillReports)
{
	SpreadFleet fleet(23, 3);
	SpreadHost *viewer;
	kb_spread_status_t status;

	fleet.put("a", "1");
	fleet.start_all();
	viewer = fleet.hosts["h0"].get();
	EXPECT_EQ(KB_OK, kb_spread_watch_status(&viewer->spread, true,
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
	kb_spread_get_status(&viewer->spread, 2, fleet.loop.now, &status);
	EXPECT_EQ(3u, status.hosts);
	EXPECT_EQ(3u, status.in_force);
	EXPECT_EQ(0u, status.unknown);
}

TEST(Spread, ALostResourceIsRepaired)
{
	SpreadFleet fleet(23, 9);
	kb_config_set_t *set;

	fleet.put("a", "1");
	fleet.put("b", "1");
	fleet.start_all();
	fleet.loop.run_for_ms(5000);
	set = &fleet.hosts["h4"]->spread.set;
	kb_config_set_finish(set);
	kb_config_set_advance(set, 0, 2);
	fleet.loop.run_for_ms(60000);
	EXPECT_EQ("1", fleet.value("h4", "a"));
	fleet.expect_equal_content();
}

static std::string encode(const kb_spread_message_t &message)
{
	char *buffer;
	size_t len;

	EXPECT_EQ(KB_OK, kb_spread_wire_encode(&message, &buffer, &len));
	std::string bytes(buffer, len);
	free(buffer);
	return bytes;
}

static kb_result_t decode(const std::string &bytes)
{
	kb_spread_message_t message;
	std::vector<char> copy(bytes.begin(), bytes.end());
	kb_result_t result =
		kb_spread_wire_decode(&message, copy.data(), copy.size());

	if (!result)
		kb_spread_message_finish(&message);
	return result;
}

TEST(SpreadWire, RefusesMalformedMessages)
{
	kb_config_change_t change = { KB_STR("group"), KB_STR("a"), 4, false,
				      KB_STR("{\"x\": 1}") };
	kb_spread_message_t message;
	std::mt19937_64 random(1);
	std::string good;

	kb_spread_message_init(&message, KB_SPREAD_PAGE);
	kb_name_set(&message.from, KB_STR("h1"));
	message.change_count = 1;
	message.changes = &change;
	message.lagging_count = 1;
	kb_name_set(&message.lagging[0].host, KB_STR("h2"));
	message.lagging[0].revision = 3;
	good = encode(message);
	EXPECT_EQ(KB_OK, decode(good));
	for (size_t len = 0; len < good.size(); len++)
		EXPECT_EQ(KB_ERR_PROTOCOL, decode(good.substr(0, len)));
	EXPECT_EQ(KB_ERR_PROTOCOL, decode(good + std::string(4, '\0')));
	for (int i = 0; i < 20000; i++) {
		std::string spoiled = good;

		spoiled[4 + random() % (good.size() - 4)] = (char)random();
		decode(spoiled);
	}
	message.from.len = 0;
	EXPECT_EQ(KB_ERR_PROTOCOL, decode(encode(message)));
	kb_name_set(&message.from, KB_STR("h1"));
	message.type = (kb_spread_message_type_t)42;
	EXPECT_EQ(KB_ERR_PROTOCOL, decode(encode(message)));
	message.type = KB_SPREAD_PAGE;
	change.revision = 0;
	EXPECT_EQ(KB_ERR_PROTOCOL, decode(encode(message)));
	change.revision = 4;
	change.name.len = 0;
	EXPECT_EQ(KB_ERR_PROTOCOL, decode(encode(message)));
	good[3] = 7;
	EXPECT_EQ(KB_ERR_VERSION, decode(good));
}

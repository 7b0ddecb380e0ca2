#ifndef KB_FAKE_CONFIG_GOSSIP_H
#define KB_FAKE_CONFIG_GOSSIP_H

#include "fake_fleet.h"
#include "config_gossip.h"

#include <gtest/gtest.h>

struct ConfigGossipFleet;

/* The membership of a host; the callbacks cast back to it. */
struct ConfigGossipMembers {
	kb_members_t members;
	struct ConfigGossipHost *host;
};

/* A host with its configuration. Its members are all hosts of the fleet. */
struct ConfigGossipHost {
	kb_config_gossip_t gossip;
	ConfigGossipMembers peers;
	ConfigGossipFleet *fleet;
	std::string name;
	uint64_t instance;
	bool running = true;
	bool watching = false;
	uint64_t watch_after = 0;
	size_t watches = 0;
	std::map<std::string, std::vector<uint64_t>> applied;
};

/* Simulated hosts that replicate the configuration, and a simulated store. */
struct ConfigGossipFleet {
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
	std::map<std::string, std::unique_ptr<ConfigGossipHost>> hosts;
	size_t host_count;

	/* The store. */
	std::vector<Change> log;
	uint64_t compacted = 0;
	bool store_down = false;
	/* If not 0, a load returns stale data as of this revision. */
	uint64_t stale_load = 0;
	std::map<std::string, kb_time_t> watch_delay;

	ConfigGossipFleet(uint64_t seed, size_t count)
	    : random(seed), host_count(count)
	{
	}

	~ConfigGossipFleet()
	{
		for (auto &host : hosts)
			finish(host.second.get());
	}

	static void finish(ConfigGossipHost *host)
	{
		kb_config_gossip_finish(&host->gossip);
		kb_members_finish(&host->peers.members);
	}

	void start_all()
	{
		for (size_t i = 0; i < host_count; i++)
			start(i, 1);
	}

	ConfigGossipHost *start(size_t n, uint64_t instance)
	{
		static const kb_members_ops_t member_ops = {
			[](auto *, auto *, auto *) {}, member_changed,
			[](auto *) {}
		};
		static const kb_config_gossip_ops_t ops = { send, watch,
							    unwatch, in_force };
		kb_member_record_t self = FakeFleet::record_of(n, instance);
		std::string name = to_string(kb_name_str(&self.name));
		auto host = std::make_unique<ConfigGossipHost>();
		ConfigGossipHost *raw = host.get();

		raw->fleet = this;
		raw->peers.host = raw;
		raw->name = name;
		raw->instance = instance;
		EXPECT_EQ(KB_OK,
			  kb_members_init(&raw->peers.members, &member_ops,
					  &self, random(), loop.now));
		kb_config_gossip_init(&raw->gossip, &ops, &raw->peers.members,
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

	/* Stops a host; if `noticed`, the others receive its death. */
	void stop(const std::string &name, bool noticed)
	{
		hosts[name]->running = false;
		hosts[name]->watching = false;
		for (auto &host : hosts)
			if (noticed && host.second->running)
				claim(host.second.get(), name, KB_MEMBER_DEAD);
	}

	/* Returns the first running host that is neither receiver nor subject
	 * of a claim. */
	size_t sender(ConfigGossipHost *host, const std::string &name)
	{
		std::string from = "h0";
		size_t n = 0;

		while (from == host->name || from == name ||
		       !hosts[from]->running)
			from = "h" + std::to_string(++n);
		return n;
	}

	void claim(ConfigGossipHost *host, const std::string &name,
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

	/* Sends a watcher the changes that it has not received yet. */
	void serve_watch(ConfigGossipHost *host)
	{
		std::string name = host->name;
		kb_time_t delay = 2 * KB_NS_PER_MS + watch_delay[name];

		if (store_down)
			return;
		loop.at(loop.now + delay, [this, name] {
			ConfigGossipHost *host = hosts[name].get();
			std::vector<kb_config_change_t> changes;
			uint64_t revision = log.size();

			if (!host->running || !host->watching || store_down)
				return;
			for (uint64_t r = host->watch_after; r < revision; r++)
				changes.push_back(view(log[r]));
			host->watch_after = revision;
			EXPECT_EQ(KB_OK,
				  kb_config_gossip_on_store_changes(
					  &host->gossip, changes.data(),
					  changes.size(), revision, loop.now));
		});
	}

	void load(ConfigGossipHost *host)
	{
		uint64_t revision = stale_load ? stale_load : log.size();
		std::map<std::string, Change> live;
		kb_config_gossip_t *gossip = &host->gossip;

		host->watch_after = kb_config_gossip_revision(gossip);
		if (!kb_config_gossip_on_load_begin(gossip, revision))
			return;
		for (uint64_t r = 0; r < revision; r++) {
			live[log[r].name] = log[r];
			if (log[r].deleted)
				live.erase(log[r].name);
		}
		for (auto &resource : live) {
			kb_config_change_t change = view(resource.second);

			EXPECT_EQ(KB_OK,
				  kb_config_gossip_on_load(gossip, &change, 1));
		}
		EXPECT_EQ(KB_OK, kb_config_gossip_on_load_end(gossip, revision,
							      loop.now));
		host->watch_after = revision;
	}

	void store_up()
	{
		store_down = false;
		for (auto &host : hosts)
			if (host.second->watching)
				begin_watch(host.second.get());
	}

	void begin_watch(ConfigGossipHost *host)
	{
		std::string name = host->name;

		if (store_down)
			return;
		loop.at(loop.now + 5 * KB_NS_PER_MS, [this, name] {
			ConfigGossipHost *host = hosts[name].get();

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

	/* Returns the number of running hosts that are complete up to
	 * `revision`. */
	size_t complete(uint64_t revision)
	{
		size_t count = 0;

		for (auto &host : hosts)
			count += host.second->running &&
				 kb_config_gossip_revision(
					 &host.second->gossip) >= revision;
		return count;
	}

	std::string value(const std::string &host, const std::string &name)
	{
		const kb_config_entry_t *entry = kb_config_set_find(
			&hosts[host]->gossip.set, KB_STR("group"),
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
		const kb_config_set_t *first = &hosts["h0"]->gossip.set;

		for (auto &host : hosts) {
			const kb_config_set_t *set = &host.second->gossip.set;

			if (!host.second->running)
				continue;
			EXPECT_EQ(first->complete, set->complete) << host.first;
			EXPECT_EQ(kb_config_set_digest(first),
				  kb_config_set_digest(set))
				<< host.first;
		}
	}

	static ConfigGossipHost *of(kb_config_gossip_t *gossip)
	{
		return reinterpret_cast<ConfigGossipHost *>(gossip);
	}

	void tick(const std::string &name, uint64_t instance)
	{
		ConfigGossipHost *host = hosts[name].get();
		kb_time_t wake;

		if (!host->running || host->instance != instance)
			return;
		wake = kb_config_gossip_on_timer(&host->gossip, loop.now);
		loop.at(wake, [this, name, instance] { tick(name, instance); });
	}

	static void member_changed(kb_members_t *members,
				   const kb_member_t *member)
	{
		ConfigGossipHost *host =
			reinterpret_cast<ConfigGossipMembers *>(members)->host;

		kb_config_gossip_on_member(&host->gossip, member,
					   host->fleet->loop.now);
	}

	static void send(kb_config_gossip_t *gossip, const kb_member_t *to,
			 const kb_config_gossip_message_t *message)
	{
		ConfigGossipFleet *fleet = of(gossip)->fleet;
		std::string name = to_string(kb_member_name(to));
		kb_time_t delay =
			KB_NS_PER_MS + fleet->random() % fleet->jitter;
		char *buffer;
		size_t len;

		ASSERT_EQ(KB_OK,
			  kb_config_gossip_wire_encode(message, &buffer, &len));
		std::string bytes(buffer, len);
		free(buffer);
		if (std::uniform_real_distribution<>()(fleet->random) <
			    fleet->loss ||
		    (fleet->cut && fleet->cut(of(gossip)->name, name)))
			return;
		fleet->loop.at(fleet->loop.now + delay, [=] {
			kb_config_gossip_message_t copy;
			auto found = fleet->hosts.find(name);
			ConfigGossipHost *host = found == fleet->hosts.end()
							 ? nullptr
							 : found->second.get();

			if (!host || !host->running)
				return;
			ASSERT_EQ(KB_OK,
				  kb_config_gossip_wire_decode(
					  &copy, bytes.data(), bytes.size()));
			kb_config_gossip_on_message(&host->gossip, &copy,
						    fleet->loop.now);
			kb_config_gossip_message_finish(&copy);
		});
	}

	static void watch(kb_config_gossip_t *gossip, uint64_t after)
	{
		of(gossip)->watching = true;
		of(gossip)->watches++;
		of(gossip)->watch_after = after;
		of(gossip)->fleet->begin_watch(of(gossip));
	}

	static void unwatch(kb_config_gossip_t *gossip)
	{
		of(gossip)->watching = false;
	}

	static void in_force(kb_config_gossip_t *gossip,
			     const kb_config_entry_t *entry)
	{
		of(gossip)
			->applied[to_string(kb_config_entry_name(entry))]
			.push_back(entry->revision);
	}
};

#endif

#ifndef KB_TESTS_HOLD_WORLD_H
#define KB_TESTS_HOLD_WORLD_H

#include "hold.h"
#include "hold_record.h"
#include "rng.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/* Hosts that hold one group, for tests of their decisions. */
namespace hold_world
{

constexpr kb_time_t MS = KB_NS_PER_MS;
constexpr kb_time_t STEP = 10 * MS;

inline kb_name_t name_of(const std::string &text)
{
	kb_name_t name;

	kb_name_set(&name, { text.data(), text.size() });
	return name;
}

/* Which rule a broken variant of the hosts leaves out. */
enum class Broken {
	NOTHING,
	/* A new holder serves as soon as its write took effect. */
	NO_WAIT,
	/* Any candidate's grant counts as a majority's. */
	ONE_GRANT,
	/* A candidate grants to holders of earlier revisions too. */
	GRANTS_OLD,
	/* A candidate claims that it granted nothing to others lately. */
	CLAIMS_QUIET,
};

/* A store with one key, hosts that may take the group over, and faults. */
class World
{
      public:
	struct Host {
		World *world;
		std::string name;
		kb_hold_t hold;
		bool alive = true;
		kb_time_t frozen_until = 0;
		kb_time_t down_until = 0;
		bool store_cut = false;
		int generation = 0;
	};

	struct Event {
		kb_time_t at;
		std::function<void()> run;
	};

	std::vector<std::unique_ptr<Host>> hosts;
	kb_time_t now = KB_NS_PER_S;
	kb_rng_t rng;
	Broken broken = Broken::NOTHING;
	bool exists = false;
	kb_hold_record_t record{};
	int64_t revision = 10;
	int64_t key_revision = 0;
	bool store_down = false;
	/* A store that is not reached answers writes never, not with errors. */
	bool store_silent = false;
	int lost_percent = 0;
	std::map<std::pair<size_t, size_t>, bool> cuts;
	std::multimap<kb_time_t, std::function<void()>> events;
	std::string violation;
	kb_time_t served_at = 0;
	kb_hold_ops_t ops{};

	World(size_t count, uint64_t seed, Broken how = Broken::NOTHING)
	    : broken(how)
	{
		kb_rng_init(&rng, seed);
		ops.read = on_read;
		ops.write = on_write;
		ops.ask = on_ask;
		ops.inquire = on_inquire;
		ops.tell = on_tell;
		ops.changed = [](void *, kb_hold_t *) {};
		ops.rank = rank;
		for (size_t i = 0; i < count; i++) {
			hosts.push_back(std::make_unique<Host>());
			hosts[i]->world = this;
			hosts[i]->name = "h" + std::to_string(i);
			start(*hosts[i], true);
		}
	}

	uint64_t below(uint64_t bound)
	{
		return kb_rng_below(&rng, bound);
	}

	void start(Host &host, bool first)
	{
		kb_name_t group = name_of("g");
		kb_name_t self = name_of(host.name);

		host.generation++;
		host.alive = true;
		kb_hold_init(&host.hold, &ops, &host, &group, &self, first,
			     now);
	}

	size_t index(const Host &host) const
	{
		return (size_t)std::stoul(host.name.substr(1));
	}

	bool linked(size_t a, size_t b)
	{
		return !cuts[{ a < b ? a : b, a < b ? b : a }];
	}

	bool runs(const Host &host) const
	{
		return host.alive && now >= host.frozen_until;
	}

	void after(kb_time_t delay, std::function<void()> run)
	{
		events.emplace(now + delay, std::move(run));
	}

	/* Runs at a host when it next runs, unless it restarts before. */
	void deliver(Host &host, kb_time_t delay, std::function<void()> run)
	{
		int generation = host.generation;

		after(delay, [this, &host, generation, run] {
			if (host.generation != generation)
				return;
			if (!runs(host))
				deliver(host, 50 * MS, run);
			else
				run();
		});
	}

	kb_time_t delay()
	{
		return (kb_time_t)(1 + below(20)) * MS;
	}

	bool reaches_store(const Host &host) const
	{
		return !store_down && !host.store_cut;
	}

	static void on_read(void *ctx, kb_hold_t *, kb_time_t sent_at)
	{
		Host &host = *static_cast<Host *>(ctx);
		World &world = *host.world;

		world.after(world.delay(), [&host, &world, sent_at] {
			bool ok = world.reaches_store(host);
			bool found = world.exists;
			kb_hold_record_t seen = world.record;
			int64_t revision =
				found ? world.key_revision : world.revision;

			world.deliver(host, world.delay(), [=, &host, &world] {
				kb_hold_on_read(&host.hold, sent_at,
						ok ? KB_OK : KB_ERR_TIMEOUT,
						found ? &seen : nullptr,
						revision, world.now);
			});
		});
	}

	static void on_write(void *ctx, kb_hold_t *,
			     const kb_hold_record_t *record, int64_t expected,
			     uint64_t number)
	{
		Host &host = *static_cast<Host *>(ctx);
		World &world = *host.world;
		kb_hold_record_t copy = *record;
		kb_time_t late = 0;

		/* The text is what the store keeps. */
		char *text = kb_hold_record_format(record);
		EXPECT_EQ(KB_OK,
			  kb_hold_record_parse(&copy, kb_str_from(text)));
		free(text);
		if (world.below(100) < (uint64_t)world.lost_percent)
			late = (kb_time_t)(1 + world.below(4)) * KB_NS_PER_S;
		world.after(world.delay() + late, [=, &host, &world] {
			bool reached = late || world.reaches_store(host);
			int64_t present = world.exists ? world.key_revision : 0;
			bool done = reached && present == expected;
			int64_t revision;

			if (done) {
				world.exists = true;
				world.record = copy;
				world.key_revision = ++world.revision;
			}
			revision = world.revision;
			if (late || (!reached && world.store_silent))
				return;
			world.deliver(host, world.delay(), [=, &host, &world] {
				kb_hold_on_written(&host.hold, number,
						   !reached ? KB_ERR_UNKNOWN
						   : done   ? KB_OK
							    : KB_ERR_CONFLICT,
						   revision, world.now);
			});
		});
	}

	Host *find(const kb_name_t *name)
	{
		for (auto &host : hosts)
			if (kb_name_is(name, { host->name.data(),
					       host->name.size() }))
				return host.get();
		return nullptr;
	}

	static void on_ask(void *ctx, kb_hold_t *hold,
			   const kb_name_t *candidate, kb_time_t asked_at)
	{
		Host &host = *static_cast<Host *>(ctx);
		World &world = *host.world;
		Host &other = *world.find(candidate);
		kb_name_t self = hold->self;
		int64_t revision = hold->revision;
		int live = kb_hold_is_live(hold, asked_at);

		if (!world.linked(world.index(host), world.index(other)))
			return;
		world.deliver(other, world.delay(), [=, &host, &other, &world] {
			kb_name_t from = name_of(other.name);

			int64_t told = revision;

			if (world.broken == Broken::GRANTS_OLD)
				told = std::max(
					{ told, other.hold.revision,
					  other.hold.granted_revision });
			int granted = kb_hold_grant(&other.hold, &self, told,
						    live, world.now);
			kb_time_t quiet =
				world.broken == Broken::CLAIMS_QUIET
					? KB_NS_PER_S
					: kb_hold_quiet(&other.hold, world.now);

			if (!world.linked(world.index(host),
					  world.index(other)))
				return;
			world.deliver(host, world.delay(), [=, &host, &world] {
				kb_hold_on_grant(&host.hold, &from, asked_at,
						 granted, quiet, world.now);
				if (world.broken == Broken::ONE_GRANT)
					for (size_t i = 0;
					     i < host.hold.grant_count; i++)
						kb_hold_on_grant(
							&host.hold,
							&host.hold.grants[i]
								 .candidate,
							asked_at, granted,
							quiet, world.now);
			});
		});
	}

	static void on_inquire(void *ctx, kb_hold_t *hold)
	{
		Host &host = *static_cast<Host *>(ctx);
		World &world = *host.world;

		for (size_t i = 0; i < hold->record.candidates.count; i++) {
			Host *other =
				world.find(&hold->record.candidates.hosts[i]);

			if (other == &host ||
			    !world.linked(world.index(host),
					  world.index(*other)))
				continue;
			kb_time_t heard = other->hold.heard_at;

			world.deliver(host, 2 * world.delay(), [=, &host] {
				kb_hold_on_heard(&host.hold, 1, heard);
			});
		}
	}

	static void on_tell(void *ctx, kb_hold_t *, const kb_name_t *name)
	{
		Host &host = *static_cast<Host *>(ctx);
		World &world = *host.world;
		Host &other = *world.find(name);

		if (!world.linked(world.index(host), world.index(other)))
			return;
		world.deliver(other, world.delay(), [&other, &world] {
			kb_hold_look(&other.hold, world.now);
		});
	}

	/* What spreads between hosts beside the store. */
	void gossip(Host &host)
	{
		if (!exists || !reaches_store(host))
			return;
		kb_hold_on_key(&host.hold, &record, key_revision, now);
	}

	/* All hosts that run, in one order. */
	static void rank(void *ctx, kb_hold_t *, kb_hold_ranking_t *ranking)
	{
		ranking->count = 0;
		for (auto &other : static_cast<Host *>(ctx)->world->hosts)
			if (other->alive)
				ranking->hosts[ranking->count++] =
					name_of(other->name);
	}

	void tick_host(Host &host)
	{
		if (!host.hold.known && reaches_store(host) && !exists)
			kb_hold_on_key(&host.hold, nullptr, revision, now);
		/* A host that starts reads the whole store first. */
		if (!host.hold.known || below(25) == 0)
			gossip(host);
		kb_hold_tick(&host.hold, now);
		if (broken == Broken::NO_WAIT &&
		    host.hold.role == KB_HOLD_WAITING)
			host.hold.serve_at = now;
	}

	void check()
	{
		std::string serving;

		for (auto &host : hosts) {
			if (!host->alive ||
			    !kb_hold_may_serve(&host->hold, now))
				continue;
			served_at = now;
			if (!serving.empty() && violation.empty())
				violation = serving + " and " + host->name +
					    " serve at " +
					    std::to_string(now / MS) + " ms";
			serving = host->name;
		}
		for (auto &host : hosts)
			if (!serving.empty() && violation.empty() &&
			    is_vacant(host->hold))
				violation = serving +
					    " serves a group without holder";
	}

	/*
	 * Whether the candidates show no holder to a host that knows the
	 * newest record. An older one may have lost its majority and been
	 * replaced unseen; then the terms of the targets decide.
	 */
	bool is_vacant(const kb_hold_t &view)
	{
		const kb_hold_set_t &set = view.record.candidates;
		size_t denials = 0;

		if (!view.revision || view.revision != key_revision)
			return false;
		for (size_t i = 0; i < set.count; i++) {
			Host *host = find(&set.hosts[i]);
			kb_time_t since;

			if (host->alive && now >= host->frozen_until &&
			    kb_hold_granted(&host->hold, view.revision,
					    &since) &&
			    now - since >= (KB_HOLD_VALID_MS + 100) * MS)
				denials++;
		}
		return denials > set.count / 2;
	}

	void step()
	{
		now += STEP;
		while (!events.empty() && events.begin()->first <= now) {
			auto run = events.begin()->second;

			events.erase(events.begin());
			run();
			check();
		}
		for (auto &host : hosts) {
			if (!host->alive && now >= host->down_until)
				start(*host, false);
			if (runs(*host))
				tick_host(*host);
			check();
		}
	}

	void run(kb_time_t duration)
	{
		for (kb_time_t end = now + duration; now < end;)
			step();
	}

	void random_fault()
	{
		Host &host = *hosts[below(hosts.size())];
		size_t other = below(hosts.size());

		switch (below(8)) {
		case 0:
			host.alive = false;
			host.down_until =
				now + (kb_time_t)(300 + below(4000)) * MS;
			break;
		case 1:
			host.frozen_until =
				now + (kb_time_t)(200 + below(4000)) * MS;
			break;
		case 2:
			host.store_cut = !host.store_cut;
			break;
		case 3:
			store_down = !store_down;
			break;
		case 4:
			lost_percent = lost_percent ? 0 : 40;
			break;
		case 5:
		case 6:
			for (size_t i = 0; i < hosts.size(); i++)
				if (i != index(host) && below(2))
					cuts[{ std::min(i, index(host)),
					       std::max(i, index(host)) }] =
						below(2) == 0;
			break;
		default:
			if (other != index(host))
				cuts[{ std::min(other, index(host)),
				       std::max(other, index(host)) }] = true;
			break;
		}
	}

	void heal()
	{
		cuts.clear();
		store_down = false;
		lost_percent = 0;
		for (auto &host : hosts)
			host->store_cut = false;
	}
};

} // namespace hold_world

#endif

#ifndef KB_TESTS_LEASE_CLUSTER_H
#define KB_TESTS_LEASE_CLUSTER_H

#include "lease.h"
#include "lease_record.h"
#include "rng.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/* Simulation of hosts that compete for the lease on one group. */
namespace lease_simulation
{

constexpr kb_time_t MS = KB_NS_PER_MS;
constexpr kb_time_t STEP = 10 * MS;

inline kb_name_t name_of(const std::string &text)
{
	kb_name_t name;

	kb_name_set(&name, { text.data(), text.size() });
	return name;
}

/* Rule that a faulty variant of the hosts violates. */
enum class Broken {
	NOTHING,
	/* A new holder serves as soon as its write has taken effect. */
	NO_WAIT,
	/* The grant of any one voter counts as that of a majority. */
	ONE_GRANT,
	/* A voter also grants renewals of earlier revisions. */
	GRANTS_OLD,
	/* A voter reports that it has granted nothing to others lately. */
	CLAIMS_QUIET,
};

/* A store with the key of the lease, and hosts that may take it over. */
class Fleet
{
      public:
	struct Host {
		Fleet *fleet;
		std::string name;
		kb_lease_t hold;
		bool alive = true;
		kb_time_t frozen_until = 0;
		kb_time_t down_until = 0;
		bool store_cut = false;
		int generation = 0;
	};

	std::vector<std::unique_ptr<Host>> hosts;
	kb_time_t now = KB_NS_PER_S;
	kb_rng_t rng;
	Broken broken = Broken::NOTHING;
	bool exists = false;
	kb_lease_record_t record{};
	int64_t revision = 10;
	int64_t key_revision = 0;
	bool store_down = false;
	/* Writes to an unreachable store get no answer instead of an error. */
	bool store_silent = false;
	int lost_percent = 0;
	std::map<std::pair<size_t, size_t>, bool> cuts;
	std::multimap<kb_time_t, std::function<void()>> events;
	kb_lease_ops_t ops{};

	Fleet(size_t count, uint64_t seed, Broken how = Broken::NOTHING)
	    : broken(how)
	{
		kb_rng_init(&rng, seed);
		ops.read = on_read;
		ops.write = on_write;
		ops.ask = on_ask;
		ops.inquire = on_inquire;
		ops.tell = on_tell;
		ops.changed = [](void *, kb_lease_t *) {};
		ops.rank = rank;
		for (size_t i = 0; i < count; i++) {
			hosts.push_back(std::make_unique<Host>());
			hosts[i]->fleet = this;
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
		kb_lease_init(&host.hold, &ops, &host, &group, &self, first,
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

	/* Runs `run` when the host is not frozen; dropped if it restarts. */
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

	static void on_read(void *ctx, kb_lease_t *, kb_time_t sent_at)
	{
		Host &host = *static_cast<Host *>(ctx);
		Fleet &fleet = *host.fleet;

		fleet.after(fleet.delay(), [&host, &fleet, sent_at] {
			bool ok = fleet.reaches_store(host);
			bool found = fleet.exists;
			kb_lease_record_t seen = fleet.record;
			int64_t revision =
				found ? fleet.key_revision : fleet.revision;

			fleet.deliver(host, fleet.delay(), [=, &host, &fleet] {
				kb_lease_on_read(&host.hold, sent_at,
						 ok ? KB_OK : KB_ERR_TIMEOUT,
						 found ? &seen : nullptr,
						 revision, fleet.now);
			});
		});
	}

	static void on_write(void *ctx, kb_lease_t *,
			     const kb_lease_record_t *record, int64_t expected,
			     uint64_t number)
	{
		Host &host = *static_cast<Host *>(ctx);
		Fleet &fleet = *host.fleet;
		kb_lease_record_t copy = *record;
		kb_time_t late = 0;

		/* The store holds the record as text. */
		char *text = kb_lease_record_format(record);
		EXPECT_EQ(KB_OK,
			  kb_lease_record_parse(&copy, kb_str_from(text)));
		free(text);
		if (fleet.below(100) < (uint64_t)fleet.lost_percent)
			late = (kb_time_t)(1 + fleet.below(4)) * KB_NS_PER_S;
		fleet.after(fleet.delay() + late, [=, &host, &fleet] {
			bool reached = late || fleet.reaches_store(host);
			int64_t present = fleet.exists ? fleet.key_revision : 0;
			bool done = reached && present == expected;
			int64_t revision;

			if (done) {
				fleet.exists = true;
				fleet.record = copy;
				fleet.key_revision = ++fleet.revision;
			}
			revision = fleet.revision;
			if (late || (!reached && fleet.store_silent))
				return;
			fleet.deliver(host, fleet.delay(), [=, &host, &fleet] {
				kb_lease_on_written(&host.hold, number,
						    !reached ? KB_ERR_UNKNOWN
						    : done   ? KB_OK
							     : KB_ERR_CONFLICT,
						    revision, fleet.now);
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

	static void on_ask(void *ctx, kb_lease_t *hold,
			   const kb_name_t *candidate, kb_time_t asked_at)
	{
		Host &host = *static_cast<Host *>(ctx);
		Fleet &fleet = *host.fleet;
		Host &other = *fleet.find(candidate);
		kb_name_t self = hold->self;
		int64_t revision = hold->revision;
		int live = kb_lease_is_live(hold, asked_at);

		if (!fleet.linked(fleet.index(host), fleet.index(other)))
			return;
		fleet.deliver(other, fleet.delay(), [=, &host, &other, &fleet] {
			kb_name_t from = name_of(other.name);

			int64_t told = revision;

			if (fleet.broken == Broken::GRANTS_OLD)
				told = std::max(
					{ told, other.hold.revision,
					  other.hold.granted_revision });
			int granted = kb_lease_grant(&other.hold, &self, told,
						     live, fleet.now);
			kb_time_t quiet =
				fleet.broken == Broken::CLAIMS_QUIET
					? KB_NS_PER_S
					: kb_lease_exclusive_time(&other.hold,
								  fleet.now);

			if (!fleet.linked(fleet.index(host),
					  fleet.index(other)))
				return;
			fleet.deliver(host, fleet.delay(), [=, &host, &fleet] {
				kb_lease_on_grant(&host.hold, &from, asked_at,
						  granted, quiet, fleet.now);
				if (fleet.broken == Broken::ONE_GRANT)
					for (size_t i = 0;
					     i < host.hold.grant_count; i++)
						kb_lease_on_grant(
							&host.hold,
							&host.hold.grants[i]
								 .candidate,
							asked_at, granted,
							quiet, fleet.now);
			});
		});
	}

	static void on_inquire(void *ctx, kb_lease_t *hold)
	{
		Host &host = *static_cast<Host *>(ctx);
		Fleet &fleet = *host.fleet;

		for (size_t i = 0; i < hold->record.candidates.count; i++) {
			Host *other =
				fleet.find(&hold->record.candidates.hosts[i]);

			if (other == &host ||
			    !fleet.linked(fleet.index(host),
					  fleet.index(*other)))
				continue;
			kb_time_t heard = other->hold.heard_at;

			fleet.deliver(host, 2 * fleet.delay(), [=, &host] {
				kb_lease_on_holder_seen(&host.hold, 1, heard);
			});
		}
	}

	static void on_tell(void *ctx, kb_lease_t *, const kb_name_t *name)
	{
		Host &host = *static_cast<Host *>(ctx);
		Fleet &fleet = *host.fleet;
		Host &other = *fleet.find(name);

		if (!fleet.linked(fleet.index(host), fleet.index(other)))
			return;
		fleet.deliver(other, fleet.delay(), [&other, &fleet] {
			kb_lease_refresh(&other.hold, fleet.now);
		});
	}

	/* All live hosts, in the same order at each host. */
	static void rank(void *ctx, kb_lease_t *, kb_lease_ranking_t *ranking)
	{
		ranking->count = 0;
		for (auto &other : static_cast<Host *>(ctx)->fleet->hosts)
			if (other->alive)
				ranking->hosts[ranking->count++] =
					name_of(other->name);
	}
};

} // namespace lease_simulation

#endif

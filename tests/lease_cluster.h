#ifndef KB_TESTS_LEASE_CLUSTER_H
#define KB_TESTS_LEASE_CLUSTER_H

#include "lease_order.h"
#include "lease_record.h"
#include "rng.h"
#include "store.h"

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
enum class BrokenRule {
	NOTHING,
	/* A new holder serves as soon as its write has taken effect. */
	NO_WAIT,
	/* The grant of any one voter counts as that of a majority. */
	ONE_GRANT,
	/* A voter also grants renewals of earlier revisions. */
	GRANTS_EARLIER_REVISIONS,
	/* A voter reports that it has granted nothing to others lately. */
	HIDES_OTHER_GRANTS,
	/* Hosts take a record of an earlier era for that of the last holder. */
	TRUSTS_RESTORED_RECORD,
	/* A restore does not end the first start. */
	REMAINS_FIRST_START,
	/* All known hosts count as fenced when the first one grants. */
	ONE_FENCED_HOST,
	/* A voter does not remember the orders of a holder. */
	FORGETS_ORDERS,
	/* An order counts as announced before anybody knows it. */
	UNANNOUNCED_ORDERS,
	/* A process that has just started claims to know all orders. */
	CLAIMS_TO_BE_INFORMED,
	/* An order is announced to the voters for any target. */
	ORDERS_ANY_TARGET,
};

/* A store with the key of the lease, and hosts that may take it over. */
class Cluster
{
      public:
	struct Host {
		Cluster *cluster;
		std::string name;
		kb_lease_t lease;
		bool alive = true;
		kb_time_t frozen_until = 0;
		kb_time_t down_until = 0;
		bool store_unreachable = false;
		int generation = 0;
		/* Era of the store that its process has seen, or -1. */
		int64_t era = -1;
	};

	/* A former state of the store. */
	struct Copy {
		kb_time_t at;
		bool exists;
		kb_lease_record_t record;
		int64_t number;
		int64_t key_number;
	};

	std::vector<std::unique_ptr<Host>> hosts;
	kb_time_t now = KB_NS_PER_S;
	kb_rng_t rng;
	BrokenRule broken_rule = BrokenRule::NOTHING;
	bool exists = false;
	kb_lease_record_t record{};
	int64_t revision = 10;
	int64_t key_revision = 0;
	std::vector<Copy> copies;
	bool store_down = false;
	/* Writes to an unreachable store get no answer instead of an error. */
	bool store_silent = false;
	/* Share of the writes that take effect late and get no answer. */
	int late_write_percent = 0;
	std::map<std::pair<size_t, size_t>, bool> broken_links;
	std::multimap<kb_time_t, std::function<void()>> events;
	kb_lease_ops_t ops{};

	Cluster(size_t count, uint64_t seed,
		BrokenRule rule = BrokenRule::NOTHING)
	    : broken_rule(rule)
	{
		kb_rng_init(&rng, seed);
		ops.read = on_read;
		ops.write = on_write;
		ops.request_renewal = on_request_renewal;
		ops.query_holder = on_query_holder;
		ops.fence_hosts = on_fence_hosts;
		ops.notify_holder = on_notify_holder;
		ops.changed = [](void *, kb_lease_t *) {};
		ops.rank = rank;
		for (size_t i = 0; i < count; i++) {
			hosts.push_back(std::make_unique<Host>());
			hosts[i]->cluster = this;
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
		host.era = -1;
		kb_lease_init(&host.lease, &ops, &host, &group, &self, first,
			      now);
	}

	size_t index(const Host &host) const
	{
		return (size_t)std::stoul(host.name.substr(1));
	}

	bool is_linked(size_t a, size_t b)
	{
		return !broken_links[{ a < b ? a : b, a < b ? b : a }];
	}

	bool is_running(const Host &host) const
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
			if (!is_running(host))
				deliver(host, 50 * MS, run);
			else
				run();
		});
	}

	kb_time_t delay()
	{
		return (kb_time_t)(1 + below(20)) * MS;
	}

	/* Puts a record into the store; other keys change in between. */
	void put_record(const kb_lease_record_t &next)
	{
		revision += 1 + (int64_t)below(2);
		exists = true;
		record = next;
		key_revision = revision;
		copies.push_back({ now, exists, record,
				   kb_store_number(revision),
				   kb_store_number(key_revision) });
	}

	/* The store comes back from a copy of `age` ago, in a new era. */
	void restore(kb_time_t age)
	{
		int64_t era = kb_store_era(revision) + 1;
		Copy copy = { 0, false, {}, 10, 0 };

		for (const Copy &each : copies)
			if (each.at <= now - age)
				copy = each;
		exists = copy.exists;
		record = copy.record;
		revision = kb_store_revision(era, copy.number);
		key_revision = kb_store_revision(era, copy.key_number);
	}

	/* The host's copy of the store shows the present era. */
	void learn_era(Host &host)
	{
		int64_t era = kb_store_era(revision);

		if (host.era >= 0 && host.era < era &&
		    broken_rule != BrokenRule::REMAINS_FIRST_START)
			kb_lease_on_restore(&host.lease);
		host.era = era;
	}

	/* As a host that does not know of eras sees a record. */
	kb_lease_record_t seen_record() const
	{
		kb_lease_record_t seen = record;

		if (broken_rule == BrokenRule::TRUSTS_RESTORED_RECORD)
			seen.era = kb_store_era(key_revision);
		return seen;
	}

	bool reaches_store(const Host &host) const
	{
		return !store_down && !host.store_unreachable;
	}

	static void on_read(void *ctx, kb_lease_t *, kb_time_t sent_at);
	static void on_write(void *ctx, kb_lease_t *,
			     const kb_lease_record_t *record, int64_t expected,
			     uint64_t number);

	Host *find(const kb_name_t *name)
	{
		for (auto &host : hosts)
			if (kb_name_is(name, { host->name.data(),
					       host->name.size() }))
				return host.get();
		return nullptr;
	}

	static void on_request_renewal(void *ctx, kb_lease_t *lease,
				       const kb_name_t *voter,
				       kb_time_t sent_at);
	static void on_fence_hosts(void *ctx, kb_lease_t *lease, kb_time_t);
	static void on_query_holder(void *ctx, kb_lease_t *lease);
	static void on_notify_holder(void *ctx, kb_lease_t *,
				     const kb_name_t *name);

	/* All live hosts, in the same order at each host. */
	static void rank(void *ctx, kb_lease_t *, kb_lease_ranking_t *ranking)
	{
		ranking->count = 0;
		for (auto &other : static_cast<Host *>(ctx)->cluster->hosts)
			if (other->alive)
				ranking->hosts[ranking->count++] =
					name_of(other->name);
	}
};

} // namespace lease_simulation

#endif

#ifndef KB_TESTS_LEASE_SIMULATION_H
#define KB_TESTS_LEASE_SIMULATION_H

#include "lease_cluster_ops.h"

namespace lease_simulation
{

/* Advances the time of a cluster, injects faults and checks invariants. */
class Simulation : public Cluster
{
      public:
	/* First violation of an invariant, or empty. */
	std::string violation;
	/* Last time at which a host served the group. */
	kb_time_t served_at = 0;
	/* Highest fencing token of a host that has served. */
	int64_t highest_token = 0;

	using Cluster::Cluster;

	/* Delivers the current record, as the copy of the store does. */
	void update_key(Host &host)
	{
		if (!exists || !reaches_store(host))
			return;
		kb_lease_record_t seen = seen_record();

		kb_lease_on_key(&host.lease, &seen, key_revision, now);
	}

	void tick_host(Host &host)
	{
		/* As in the daemon, before the lease acts on the new copy. */
		if (reaches_store(host))
			learn_era(host);
		if (reaches_store(host) && !exists &&
		    (!host.lease.known || below(25) == 0))
			kb_lease_on_key(&host.lease, nullptr, revision, now);
		/* A starting host reads the whole store first. */
		if (!host.lease.known || below(25) == 0)
			update_key(host);
		kb_lease_tick(&host.lease, now);
		if (broken_rule == BrokenRule::NO_WAIT &&
		    host.lease.role == KB_LEASE_WAITING)
			host.lease.wait_until = now;
	}

	void check()
	{
		std::string serving;

		for (auto &host : hosts) {
			if (!host->alive ||
			    !kb_lease_may_serve(&host->lease, now))
				continue;
			served_at = now;
			if (host->lease.token < highest_token &&
			    violation.empty())
				violation = host->name + " serves with token " +
					    std::to_string(host->lease.token) +
					    " after " +
					    std::to_string(highest_token);
			highest_token =
				std::max(highest_token, host->lease.token);
			if (!serving.empty() && violation.empty())
				violation = serving + " and " + host->name +
					    " serve at " +
					    std::to_string(now / MS) + " ms";
			serving = host->name;
		}
		for (auto &host : hosts)
			if (!serving.empty() && violation.empty() &&
			    is_vacant(host->lease))
				violation = serving +
					    " serves a group without holder";
	}

	/*
	 * Whether a majority of the voters reports no holder to a host that
	 * has the newest record. Hosts with an older record are exempt: its
	 * holder may have lost its majority and been replaced without their
	 * noticing, and then the terms of the targets decide.
	 */
	/* Index of the host that serves, or the number of hosts. */
	size_t serving_host() const
	{
		size_t i = 0;

		while (i < hosts.size() &&
		       !(hosts[i]->alive &&
			 kb_lease_may_serve(&hosts[i]->lease, now)))
			i++;
		return i;
	}

	void stop_host(size_t host, kb_time_t duration)
	{
		hosts[host]->alive = false;
		hosts[host]->down_until = now + duration;
	}

	void cut(size_t a, size_t b, bool broken = true)
	{
		broken_links[{ std::min(a, b), std::max(a, b) }] = broken;
	}

	bool is_vacant(const kb_lease_t &lease)
	{
		kb_lease_denials_t possible;
		kb_lease_denials_t denials = {};

		if (!lease.revision || lease.revision != key_revision)
			return false;
		kb_lease_possible_denials(&lease, &possible);
		for (size_t i = 0; i < possible.count; i++) {
			Host *host = find(&possible.hosts[i]);
			kb_time_t since;

			if (host->alive && now >= host->frozen_until &&
			    kb_lease_last_grant(&host->lease, lease.revision,
						&since) &&
			    now - since >= (KB_LEASE_DURATION_MS + 100) * MS)
				denials.hosts[denials.count++] =
					possible.hosts[i];
		}
		return kb_lease_is_denied(&lease, &denials);
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
			if (is_running(*host))
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
			host.store_unreachable = !host.store_unreachable;
			break;
		case 3:
			store_down = !store_down;
			break;
		case 4:
			late_write_percent = late_write_percent ? 0 : 40;
			break;
		case 5:
		case 6:
			for (size_t i = 0; i < hosts.size(); i++)
				if (i != index(host) && below(2))
					broken_links[{
						std::min(i, index(host)),
						std::max(i, index(host)) }] =
						below(2) == 0;
			break;
		default:
			if (other != index(host))
				broken_links[{ std::min(other, index(host)),
					       std::max(other, index(host)) }] =
					true;
			break;
		}
	}

	void heal()
	{
		broken_links.clear();
		store_down = false;
		late_write_percent = 0;
		for (auto &host : hosts)
			host->store_unreachable = false;
	}
};

} // namespace lease_simulation

#endif

#ifndef KB_TESTS_LEASE_ORDER_SIMULATION_H
#define KB_TESTS_LEASE_ORDER_SIMULATION_H

#include "lease_simulation.h"

namespace lease_simulation
{

/* Hosts that give an order to promote whenever they begin to serve. */
class OrderSimulation : public Simulation
{
      public:
	/* Highest number of an order that was announced. */
	uint64_t announced = 0;
	/* Host that is announcing an order, and the order's term. */
	size_t announcer = SIZE_MAX;
	uint64_t term = 0;

	using Simulation::Simulation;

	/* Targets that have an entry. */
	std::vector<std::string> targets = { "t" };
	/* A holder may lack an order if it knows that it may. */
	bool may_lack_orders = false;

	/* The holder names the targets, as the daemon lets it do. */
	void name_standbys()
	{
		size_t holder = serving_host();
		kb_target_names_t standbys = {};

		if (holder == hosts.size())
			return;
		for (const std::string &target : targets) {
			kb_name_t name = name_of(target);

			kb_target_names_add(&standbys, &name);
		}
		kb_lease_set_standbys(&hosts[holder]->lease, &standbys);
	}

	/* Whether the holder watches the target without knowing the order. */
	bool expects_order(const kb_lease_t &lease)
	{
		kb_name_t target = name_of("t");

		return may_lack_orders && !lease.knowledge.known &&
		       kb_target_names_contain(&lease.standbys, &target);
	}

	/* Lets the host that serves begin to announce an order. */
	void begin_order()
	{
		announcer = serving_host();
		term++;
	}

	/* Whether each other voter has granted a renewal with the order. */
	static bool is_told(const kb_lease_t &lease)
	{
		for (size_t i = 0; i < lease.grant_count; i++)
			if (!lease.grants[i].granted ||
			    lease.grants[i].sent_at < lease.ordered_at)
				return false;
		return lease.grant_count > 0;
	}

	bool is_announced()
	{
		kb_name_t target = name_of("t");
		kb_lease_t &lease = hosts[announcer]->lease;

		if (!is_running(*hosts[announcer]) ||
		    !kb_lease_may_serve(&lease, now))
			return false;
		kb_promotion_order_t next = { 0, term, target, {}, {}, 0 };
		int known = kb_lease_announce_order(&lease, &next, now);
		return known || broken_rule == BrokenRule::UNANNOUNCED_ORDERS ||
		       (broken_rule == BrokenRule::ORDERS_ANY_TARGET &&
			is_told(lease));
	}

	/* Each host that serves knows the orders that were announced. */
	void check_orders()
	{
		size_t holder = serving_host();

		if (announcer < hosts.size() && is_announced())
			announced =
				std::max(announced,
					 hosts[announcer]->lease.order.number);
		if (holder < hosts.size() && violation.empty() &&
		    hosts[holder]->lease.order.number < announced &&
		    !expects_order(hosts[holder]->lease))
			violation = hosts[holder]->name +
				    " serves without order " +
				    std::to_string(announced) + " at " +
				    std::to_string(now / MS) + " ms";
	}

	void run_checked(kb_time_t duration)
	{
		for (kb_time_t end = now + duration; now < end;) {
			step();
			name_standbys();
			check_orders();
		}
	}

	void stop(size_t host, kb_time_t duration)
	{
		hosts[host]->alive = false;
		hosts[host]->down_until = now + duration;
	}
};

} // namespace lease_simulation

#endif

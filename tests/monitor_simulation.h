#ifndef KB_TESTS_MONITOR_SIMULATION_H
#define KB_TESTS_MONITOR_SIMULATION_H

#include "monitor.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace monitor_simulation
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A group of three simulated targets and the monitor of its primary. */
class MonitorSimulation
{
      public:
	struct Target {
		bool alive = true;
		/* If it is down: refuses connections, else does not answer. */
		bool refuses = true;
		bool primary = false;
		uint64_t term = 1;
		uint64_t position = 100;
		kb_time_t lag = 10 * MS;
		bool promotable = true;
		kb_time_t promoted_at = 0;
		kb_time_t answer_delay = 5 * MS;
	};

	kb_monitor_t monitor;
	kb_target_list_t targets{};
	std::map<std::string, Target> state;
	kb_time_t now = KB_NS_PER_S;
	std::string bound = "?";
	int paused = 0;
	int aborts = 0;
	unsigned active = 0;
	kb_time_t lease_left = 900 * MS;
	kb_time_t promotion_delay = 300 * MS;
	/* The last order that this holder knows, and that later ones know. */
	kb_promotion_order_t order{};
	kb_promotion_order_t recorded{};
	bool announceable = true;
	/* Requests to promote are neither answered nor carried out. */
	bool platform_silent = false;
	std::string handed_over_to;
	std::string reached_by;
	std::vector<std::string> promotions;
	std::vector<std::string> stepped_down;
	std::multimap<kb_time_t, std::function<void()>> events;

	MonitorSimulation()
	{
		static const kb_monitor_ops_t ops = {
			on_probe,
			on_step_down,
			on_announce,
			on_promote,
			on_query_reachability,
			on_hand_over,
			on_bind,
			on_pause,
			on_abort,
			on_active,
			on_lease_left,
		};
		kb_name_t group;

		kb_name_set(&group, KB_STR("g"));
		kb_monitor_init(&monitor, &ops, this, &group);
		for (const char *name : { "a", "b", "c" })
			add(name);
		state["a"].primary = true;
		kb_monitor_set_active(&monitor, 1, now);
	}

	~MonitorSimulation()
	{
		kb_target_list_finish(&targets);
	}

	/* `address_of`: the target whose address it has, else its own. */
	void add(const std::string &name, bool leaving = false,
		 const std::string &address_of = "", uint64_t started_at = 0)
	{
		kb_target_entry_t entry = {};
		const std::string &at = address_of.empty() ? name : address_of;

		kb_name_set(&entry.place.group, KB_STR("g"));
		kb_name_set(&entry.place.target, { name.data(), name.size() });
		kb_name_set(&entry.place.endpoint.address,
			    { at.data(), at.size() });
		entry.started_at_ms = started_at;
		entry.leaving = leaving;
		entry.slots = 2;
		kb_target_list_put(&targets, &entry);
		state[name];
	}

	void run(kb_time_t duration)
	{
		for (kb_time_t end = now + duration; now < end;) {
			now += 20 * MS;
			while (!events.empty() &&
			       events.begin()->first <= now) {
				auto event = events.begin()->second;

				events.erase(events.begin());
				event();
			}
			kb_monitor_set_order(&monitor, &order, now);
			kb_monitor_tick(&monitor, &targets, now);
		}
	}

	kb_time_t until(const std::function<bool()> &done)
	{
		kb_time_t began = now;

		while (!done() && now < began + 30 * KB_NS_PER_S)
			run(20 * MS);
		return now - began;
	}

	/* Another process of a host takes the lease over. */
	void change_holder()
	{
		const kb_monitor_ops_t *ops = monitor.ops;
		kb_name_t group = monitor.group;

		kb_monitor_init(&monitor, ops, this, &group);
		bound = "";
		order = recorded;
		kb_monitor_set_order(&monitor, &order, now);
		kb_monitor_set_active(&monitor, 1, now);
	}

	/* The order that a former holder has announced. */
	void announce(const char *target, uint64_t term)
	{
		kb_name_t name;

		kb_name_set(&name, kb_str_from(target));
		kb_promotion_order_replace(&order, &name, term);
		recorded = order;
	}

	/* Runs until the first order, and returns its target. */
	std::string first_order()
	{
		until([&] { return !promotions.empty(); });
		return promotions.empty() ? "" : promotions[0];
	}

	/* The platform carries out a promotion. */
	void promote(const std::string &name, kb_time_t delay)
	{
		events.emplace(now + delay, [this, name] {
			uint64_t highest = 0;

			for (auto &target : state)
				highest = std::max(highest, target.second.term);
			if (state[name].primary && state[name].term == highest)
				return;
			state[name].primary = true;
			state[name].term = highest + 1;
			/* A former primary leads its own term. */
			for (auto &other : state)
				if (!other.second.primary)
					other.second.term = highest + 1;
		});
	}

	bool serves(const std::string &name)
	{
		return monitor.state == KB_MONITOR_SERVING && bound == name;
	}

	void kill(const std::string &name, bool refuses)
	{
		state[name].alive = false;
		state[name].refuses = refuses;
		kb_monitor_on_connection_error(&monitor, 0, now);
	}

      private:
	static MonitorSimulation &self(void *ctx)
	{
		return *static_cast<MonitorSimulation *>(ctx);
	}

	static std::string name_of(const kb_target_entry_t *target)
	{
		return target ? target->place.target.data : "";
	}

	static void on_probe(void *ctx, const kb_target_entry_t *target)
	{
		MonitorSimulation &simulation = self(ctx);
		std::string name = name_of(target);
		Target &t = simulation.state[name];

		if (!t.alive && !t.refuses)
			return;
		simulation.events.emplace(
			simulation.now + t.answer_delay,
			[&simulation, name, asked_at = simulation.now] {
				Target &t = simulation.state[name];
				kb_target_report_t report = {};

				report.is_primary = t.primary;
				report.term = t.term;
				report.received = { t.term, t.position };
				report.lag = t.lag;
				kb_monitor_on_probe(
					&simulation.monitor,
					{ name.data(), name.size() },
					t.alive ? KB_OK : KB_ERR_UNREACHABLE,
					t.alive ? &report : nullptr, asked_at,
					simulation.now);
			});
	}

	static void on_step_down(void *ctx, const kb_target_entry_t *target,
				 uint64_t)
	{
		self(ctx).stepped_down.push_back(name_of(target));
	}

	static int on_announce(void *ctx, const kb_promotion_order_t *next)
	{
		MonitorSimulation &simulation = self(ctx);
		kb_promotion_order_t &order = simulation.order;

		if (!kb_promotion_order_says(&order, next))
			kb_promotion_order_update(&order, next);
		if (simulation.announceable)
			simulation.recorded = order;
		return kb_promotion_order_equal(&order, &simulation.recorded);
	}

	static void on_promote(void *ctx, const kb_target_entry_t *target)
	{
		MonitorSimulation &simulation = self(ctx);
		std::string name = name_of(target);

		simulation.promotions.push_back(name);
		if (simulation.platform_silent) {
			simulation.events.emplace(
				simulation.now + KB_NS_PER_S,
				[&simulation, name] {
					kb_monitor_on_promoted(
						&simulation.monitor,
						{ name.data(), name.size() },
						KB_ERR_UNKNOWN, simulation.now);
				});
			return;
		}
		simulation.events.emplace(
			simulation.now + 10 * MS, [&simulation, name] {
				kb_monitor_on_promoted(
					&simulation.monitor,
					{ name.data(), name.size() },
					simulation.state[name].promotable
						? KB_OK
						: KB_ERR_CONFLICT,
					simulation.now);
			});
		if (!simulation.state[name].promotable)
			return;
		simulation.promote(name, simulation.promotion_delay);
	}

	static void on_query_reachability(void *ctx,
					  const kb_target_entry_t *target)
	{
		MonitorSimulation &simulation = self(ctx);
		std::string name = name_of(target);

		if (simulation.reached_by.empty())
			return;
		simulation.events.emplace(
			simulation.now + 10 * MS, [&simulation, name] {
				kb_name_t host;

				kb_name_set(
					&host,
					kb_str_from(
						simulation.reached_by.c_str()));
				kb_monitor_on_reachable(
					&simulation.monitor,
					{ name.data(), name.size() }, &host, 1);
			});
	}

	static void on_hand_over(void *ctx, const kb_name_t *host)
	{
		self(ctx).handed_over_to = host->data;
		kb_monitor_set_active(&self(ctx).monitor, 0, self(ctx).now);
	}

	static void on_bind(void *ctx, const kb_target_entry_t *primary)
	{
		self(ctx).bound = name_of(primary);
	}

	static void on_pause(void *ctx, int paused)
	{
		self(ctx).paused = paused;
	}

	static void on_abort(void *ctx)
	{
		self(ctx).aborts++;
		self(ctx).active = 0;
	}

	static unsigned on_active(void *ctx)
	{
		return self(ctx).active;
	}

	static kb_time_t on_lease_left(void *ctx)
	{
		return self(ctx).lease_left;
	}
};

} // namespace monitor_simulation

#endif

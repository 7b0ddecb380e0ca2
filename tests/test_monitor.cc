#include "monitor.h"

#include <gtest/gtest.h>
#include <functional>
#include <map>
#include <string>

namespace
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
	std::string handed_over_to;
	std::string reached_by;
	std::vector<std::string> promotions;
	std::vector<std::string> stepped_down;
	std::multimap<kb_time_t, std::function<void()>> events;

	MonitorSimulation()
	{
		static const kb_monitor_ops_t ops = {
			on_probe,     on_step_down,
			on_promote,   on_query_reachability,
			on_hand_over, on_bind,
			on_pause,     on_abort,
			on_active,    on_lease_left,
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

	void add(const std::string &name, bool leaving = false)
	{
		kb_target_entry_t entry = {};

		kb_name_set(&entry.place.group, KB_STR("g"));
		kb_name_set(&entry.place.target, { name.data(), name.size() });
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
		simulation.events.emplace(simulation.now + 5 * MS, [&simulation,
								    name] {
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
				t.alive ? &report : nullptr, simulation.now);
		});
	}

	static void on_step_down(void *ctx, const kb_target_entry_t *target,
				 uint64_t)
	{
		self(ctx).stepped_down.push_back(name_of(target));
	}

	static void on_promote(void *ctx, const kb_target_entry_t *target)
	{
		MonitorSimulation &simulation = self(ctx);
		std::string name = name_of(target);

		simulation.promotions.push_back(name);
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
		simulation.events.emplace(
			simulation.now + simulation.promotion_delay,
			[&simulation, name] {
				/* The old primary leads its own term. */
				for (auto &other : simulation.state)
					if (!other.second.primary)
						other.second.term = 2;
				simulation.state[name].primary = true;
			});
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

} // namespace

TEST(Monitor, FindsThePrimaryWithTheHighestTerm)
{
	MonitorSimulation simulation;

	/* Target a has been replaced but still reports that it is primary. */
	simulation.state["b"].primary = true;
	simulation.state["b"].term = 3;
	simulation.state["c"].term = 3;
	EXPECT_LE(simulation.until([&] { return simulation.serves("b"); }),
		  200 * MS);
	EXPECT_EQ(3u, simulation.monitor.term);
}

TEST(Monitor, APrimaryWithAnObsoleteTermIsNotUsed)
{
	MonitorSimulation simulation;

	simulation.state["b"].term = 2;
	simulation.run(400 * MS);
	EXPECT_FALSE(simulation.serves("a"));
}

/* The new primary and what follows it do not answer this holder. */
TEST(Monitor, AnEarlierPrimaryIsNotUsedThoughTheNewOneIsSilent)
{
	MonitorSimulation simulation;

	for (const char *name : { "b", "c" }) {
		simulation.state[name].alive = false;
		simulation.state[name].refuses = false;
	}
	kb_monitor_require_term(&simulation.monitor, 2);
	while (simulation.now < 4 * KB_NS_PER_S) {
		simulation.run(20 * MS);
		ASSERT_FALSE(simulation.serves("a") &&
			     simulation.promotions.empty());
	}
}

TEST(Monitor, ACrashedPrimaryIsReplacedByTheNewestLog)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["b"].position = 150;
	simulation.state["c"].position = 151;
	simulation.kill("a", true);
	EXPECT_LE(simulation.until([&] { return simulation.serves("c"); }),
		  1100 * MS);
	EXPECT_EQ((std::vector<std::string>{ "c" }), simulation.promotions);
	EXPECT_GE(simulation.aborts, 1);
	simulation.state["a"].alive = true;
	simulation.run(1500 * MS);
	EXPECT_FALSE(simulation.stepped_down.empty());
}

TEST(Monitor, ASilentPrimaryIsReplacedWithinTwoSeconds)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.kill("a", false);
	EXPECT_LE(simulation.until([&] {
		return simulation.serves("b") || simulation.serves("c");
	}),
		  2000 * MS);
}

TEST(Monitor, APrimaryThatStallsForLessThanASecondIsKept)
{
	for (kb_time_t pause = 100 * MS; pause <= 950 * MS; pause += 50 * MS) {
		MonitorSimulation simulation;

		simulation.until([&] { return simulation.serves("a"); });
		simulation.kill("a", false);
		simulation.run(pause);
		simulation.state["a"].alive = true;
		simulation.run(2 * KB_NS_PER_S);
		EXPECT_TRUE(simulation.serves("a")) << pause / MS;
		EXPECT_TRUE(simulation.promotions.empty()) << pause / MS;
	}
}

TEST(Monitor, TheLeaseIsHandedToAHostThatReachesThePrimary)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.reached_by = "h2";
	simulation.kill("a", false);
	simulation.run(2 * KB_NS_PER_S);
	EXPECT_EQ("h2", simulation.handed_over_to);
	EXPECT_TRUE(simulation.promotions.empty());
}

TEST(Monitor, NothingIsPromotedShortlyBeforeTheLeaseExpires)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.lease_left = 300 * MS;
	simulation.kill("a", true);
	simulation.run(3 * KB_NS_PER_S);
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.lease_left = 900 * MS;
	EXPECT_LE(simulation.until([&] {
		return simulation.serves("b") || simulation.serves("c");
	}),
		  3 * KB_NS_PER_S);
}

TEST(Monitor, ATargetWhosePromotionIsRefusedIsSkipped)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["b"].position = 150;
	simulation.state["b"].promotable = false;
	simulation.kill("a", true);
	EXPECT_LE(simulation.until([&] { return simulation.serves("c"); }),
		  3 * KB_NS_PER_S);
	EXPECT_EQ((std::vector<std::string>{ "b", "c" }),
		  simulation.promotions);
}

TEST(Monitor, ADurableGroupWaitsForEachTargetThatMayHaveACommit)
{
	MonitorSimulation simulation;

	simulation.monitor.durable = 1;
	simulation.until([&] { return simulation.serves("a"); });
	kb_monitor_on_answer(&simulation.monitor, { 1, 120 });
	simulation.state["b"].position = 110;
	simulation.state["c"].position = 120;
	simulation.state["c"].alive = false;
	simulation.state["c"].refuses = false;
	simulation.kill("a", true);
	simulation.run(1500 * MS);
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.state["c"].alive = true;
	EXPECT_LE(simulation.until([&] { return simulation.serves("c"); }),
		  4 * KB_NS_PER_S);
}

TEST(Monitor, ADurableGroupIsNotSwitchedOverToAnIncompleteLog)
{
	MonitorSimulation simulation;

	simulation.monitor.durable = 1;
	simulation.until([&] { return simulation.serves("a"); });
	kb_monitor_on_answer(&simulation.monitor, { 1, 130 });
	simulation.state["b"].position = 128;
	simulation.state["c"].position = 129;
	simulation.add("a", true);
	simulation.run(8 * KB_NS_PER_S);
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.state["c"].position = 130;
	simulation.until([&] { return simulation.serves("c"); });
	EXPECT_EQ((std::vector<std::string>{ "c" }), simulation.promotions);
}

TEST(Monitor, StatementsContinueWhileADurableGroupWaitsForTheWholeLog)
{
	MonitorSimulation simulation;
	kb_time_t paused = 0;

	simulation.monitor.durable = 1;
	simulation.until([&] { return simulation.serves("a"); });
	kb_monitor_on_answer(&simulation.monitor, { 1, 130 });
	simulation.add("a", true);
	for (int i = 0; i < 500; i++) {
		simulation.run(20 * MS);
		paused += simulation.paused ? 20 * MS : 0;
		if (simulation.paused)
			continue;
		paused = 0;
	}
	EXPECT_LE(paused, 1100 * MS);
	EXPECT_TRUE(simulation.promotions.empty());
}

TEST(Monitor, ADurableGroupPromotesNoLogThatIsOlderThanALeavingReplicas)
{
	MonitorSimulation simulation;

	simulation.monitor.durable = 1;
	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["b"].position = 110;
	simulation.state["c"].position = 120;
	simulation.add("c", true);
	simulation.kill("a", true);
	simulation.run(1500 * MS);
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.state["b"].position = 120;
	simulation.until([&] { return simulation.serves("b"); });
	EXPECT_EQ((std::vector<std::string>{ "b" }), simulation.promotions);
}

TEST(Monitor, ALeavingPrimaryIsReplacedWithoutLostCommits)
{
	MonitorSimulation simulation;
	kb_time_t gap = 0;
	kb_time_t paused_at = 0;

	simulation.until([&] { return simulation.serves("a"); });
	kb_monitor_on_answer(&simulation.monitor, { 1, 130 });
	simulation.state["b"].position = 128;
	simulation.active = 1;
	simulation.add("a", true);
	while (!simulation.serves("b") && !simulation.serves("c") &&
	       simulation.now < 60 * KB_NS_PER_S) {
		simulation.run(20 * MS);
		if (simulation.paused && !paused_at)
			paused_at = simulation.now;
		/* The replica catches up, and the transaction ends. */
		if (paused_at && simulation.now - paused_at > 60 * MS) {
			simulation.state["b"].position = 130;
			simulation.active = 0;
		}
	}
	gap = simulation.now - paused_at;
	EXPECT_EQ((std::vector<std::string>{ "b" }), simulation.promotions);
	EXPECT_LE(gap, 700 * MS);
	EXPECT_EQ(0, simulation.paused);
}

TEST(Monitor, ALeavingPrimaryWaitsForAReplicaThatIsFarBehind)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	for (const char *name : { "b", "c" }) {
		simulation.state[name].lag = 2 * KB_NS_PER_S;
		simulation.state[name].position = 90;
	}
	simulation.add("a", true);
	simulation.run(2 * KB_NS_PER_S);
	/* Statements continue in the meantime. */
	EXPECT_EQ(0, simulation.paused);
	EXPECT_TRUE(simulation.promotions.empty());
	simulation.run(4 * KB_NS_PER_S);
	EXPECT_EQ(1u, simulation.promotions.size());
}

TEST(Monitor, AReplicaIsPromotedInAGroupWithoutAPrimary)
{
	MonitorSimulation simulation;

	simulation.state["a"].primary = false;
	simulation.state["c"].position = 105;
	EXPECT_LE(simulation.until([&] { return simulation.serves("c"); }),
		  2 * KB_NS_PER_S);
}

TEST(Monitor, AHostThatLosesTheLeaseSendsNothingMore)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	kb_monitor_set_active(&simulation.monitor, 0, simulation.now);
	EXPECT_EQ("", simulation.bound);
	simulation.kill("a", true);
	simulation.run(3 * KB_NS_PER_S);
	EXPECT_TRUE(simulation.promotions.empty());
	EXPECT_EQ(1, simulation.paused);
}

TEST(Monitor, AGroupIsNotReleasedWhileAnOrderToPromoteIsOpen)
{
	MonitorSimulation simulation;
	kb_monitor_t *monitor = &simulation.monitor;

	simulation.until([&] { return simulation.serves("a"); });
	EXPECT_TRUE(kb_monitor_prepare_release(monitor, simulation.now));
	monitor->releasing = 0;
	simulation.add("a", true);
	simulation.until([&] { return !simulation.promotions.empty(); });
	/* The platform has accepted the order; a still leads. */
	simulation.run(100 * MS);
	ASSERT_FALSE(simulation.state["b"].primary);
	EXPECT_FALSE(kb_monitor_prepare_release(monitor, simulation.now));
	simulation.until([&] { return simulation.serves("b"); });
	EXPECT_TRUE(kb_monitor_prepare_release(monitor, simulation.now));
}

TEST(Monitor, AnOrderWithoutEffectDelaysAReleaseForABoundedTime)
{
	MonitorSimulation simulation;
	kb_monitor_t *monitor = &simulation.monitor;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.promotion_delay = 60 * KB_NS_PER_S;
	simulation.kill("a", true);
	simulation.until([&] { return !simulation.promotions.empty(); });
	EXPECT_LE(simulation.until([&] {
		return kb_monitor_prepare_release(monitor, simulation.now) != 0;
	}),
		  2 * KB_NS_PER_S);
	simulation.run(3 * KB_NS_PER_S);
	EXPECT_EQ(1u, simulation.promotions.size());
	EXPECT_TRUE(kb_monitor_prepare_release(monitor, simulation.now));
}

TEST(Monitor, AGroupMayBeReleasedOnceThePlatformHasRefusedTheOrder)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["b"].promotable = false;
	simulation.state["c"].promotable = false;
	simulation.kill("a", true);
	simulation.until([&] { return !simulation.promotions.empty(); });
	simulation.run(20 * MS);
	EXPECT_TRUE(kb_monitor_prepare_release(&simulation.monitor,
					       simulation.now));
}

TEST(Monitor, AHostThatRegainsTheLeaseWaitsForItsOwnOrder)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.promotion_delay = KB_NS_PER_S;
	simulation.kill("a", false);
	simulation.until([&] { return !simulation.promotions.empty(); });
	simulation.state["a"].alive = true;
	kb_monitor_set_active(&simulation.monitor, 0, simulation.now);
	kb_monitor_set_active(&simulation.monitor, 1, simulation.now);
	while (!simulation.serves("b") && simulation.now < 60 * KB_NS_PER_S) {
		simulation.run(20 * MS);
		ASSERT_FALSE(simulation.serves("a"));
	}
	EXPECT_EQ((std::vector<std::string>{ "b" }), simulation.promotions);
}

TEST(Monitor, APromotionThatTakesEffectLateIsSeenWhileReplicasArePolled)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.state["c"].position = 150;
	simulation.promotion_delay = 2040 * MS;
	simulation.kill("a", true);
	simulation.until([&] { return !simulation.promotions.empty(); });
	/* Another replica reports as new a log before it is polled. */
	simulation.state["b"].position = 151;
	simulation.run(4 * KB_NS_PER_S);
	EXPECT_EQ((std::vector<std::string>{ "c" }), simulation.promotions);
	EXPECT_TRUE(simulation.serves("c"));
}

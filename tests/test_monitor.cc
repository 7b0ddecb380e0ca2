#include "monitor.h"

#include <gtest/gtest.h>
#include <functional>
#include <map>
#include <string>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A group of three simulated targets and the monitor of its primary. */
class Watch
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

	kb_monitor_t lead;
	kb_target_list_t targets{};
	std::map<std::string, Target> state;
	kb_time_t now = KB_NS_PER_S;
	std::string bound = "?";
	int paused = 0;
	int aborts = 0;
	unsigned active = 0;
	kb_time_t hold_left = 900 * MS;
	std::string handed_to;
	std::string reached_by;
	std::vector<std::string> promotions;
	std::vector<std::string> stepped_down;
	std::multimap<kb_time_t, std::function<void()>> events;

	Watch()
	{
		static const kb_monitor_ops_t ops = {
			on_probe,     on_step_down, on_promote, on_inquire,
			on_hand_over, on_bind,	    on_pause,	on_abort,
			on_active,    on_hold_left,
		};
		kb_name_t group;

		kb_name_set(&group, KB_STR("g"));
		kb_monitor_init(&lead, &ops, this, &group);
		for (const char *name : { "a", "b", "c" })
			add(name);
		state["a"].primary = true;
		kb_monitor_set_active(&lead, 1, now);
	}

	~Watch()
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
			kb_monitor_tick(&lead, &targets, now);
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
		return lead.state == KB_MONITOR_SERVING && bound == name;
	}

	void kill(const std::string &name, bool refuses)
	{
		state[name].alive = false;
		state[name].refuses = refuses;
		kb_monitor_on_connection_error(&lead, 0, now);
	}

      private:
	static Watch &self(void *ctx)
	{
		return *static_cast<Watch *>(ctx);
	}

	static std::string name_of(const kb_target_entry_t *target)
	{
		return target ? target->place.target.data : "";
	}

	static void on_probe(void *ctx, const kb_target_entry_t *target)
	{
		Watch &watch = self(ctx);
		std::string name = name_of(target);
		Target &t = watch.state[name];

		if (!t.alive && !t.refuses)
			return;
		watch.events.emplace(watch.now + 5 * MS, [&watch, name] {
			Target &t = watch.state[name];
			kb_target_report_t report = {};

			report.is_primary = t.primary;
			report.term = t.term;
			report.received = { t.term, t.position };
			report.lag = t.lag;
			kb_monitor_on_probe(
				&watch.lead, { name.data(), name.size() },
				t.alive ? KB_OK : KB_ERR_UNREACHABLE,
				t.alive ? &report : nullptr, watch.now);
		});
	}

	static void on_step_down(void *ctx, const kb_target_entry_t *target,
				 uint64_t)
	{
		self(ctx).stepped_down.push_back(name_of(target));
	}

	static void on_promote(void *ctx, const kb_target_entry_t *target)
	{
		Watch &watch = self(ctx);
		std::string name = name_of(target);

		watch.promotions.push_back(name);
		watch.events.emplace(watch.now + 10 * MS, [&watch, name] {
			kb_monitor_on_promoted(
				&watch.lead, { name.data(), name.size() },
				watch.state[name].promotable ? KB_OK
							     : KB_ERR_CONFLICT,
				watch.now);
		});
		if (!watch.state[name].promotable)
			return;
		watch.events.emplace(watch.now + 300 * MS, [&watch, name] {
			for (auto &other : watch.state)
				other.second.term = 2;
			watch.state[name].primary = true;
		});
	}

	static void on_inquire(void *ctx, const kb_target_entry_t *target)
	{
		Watch &watch = self(ctx);
		std::string name = name_of(target);

		if (watch.reached_by.empty())
			return;
		watch.events.emplace(watch.now + 10 * MS, [&watch, name] {
			kb_name_t host;

			kb_name_set(&host,
				    kb_str_from(watch.reached_by.c_str()));
			kb_monitor_on_reachable(&watch.lead,
						{ name.data(), name.size() },
						&host, 1);
		});
	}

	static void on_hand_over(void *ctx, const kb_name_t *host)
	{
		self(ctx).handed_to = host->data;
		kb_monitor_set_active(&self(ctx).lead, 0, self(ctx).now);
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

	static kb_time_t on_hold_left(void *ctx)
	{
		return self(ctx).hold_left;
	}
};

} // namespace

TEST(Lead, FindsThePrimaryOfTheHighestTerm)
{
	Watch watch;

	/* Target a has been replaced but still reports that it is primary. */
	watch.state["b"].primary = true;
	watch.state["b"].term = 3;
	watch.state["c"].term = 3;
	EXPECT_LE(watch.until([&] { return watch.serves("b"); }), 200 * MS);
	EXPECT_EQ(3u, watch.lead.term);
}

TEST(Lead, APrimaryThatAHigherTermContradictsIsNotServed)
{
	Watch watch;

	watch.state["b"].term = 2;
	watch.run(400 * MS);
	EXPECT_FALSE(watch.serves("a"));
}

TEST(Lead, ACrashedPrimaryIsReplacedByTheNewestLog)
{
	Watch watch;

	watch.until([&] { return watch.serves("a"); });
	watch.state["b"].position = 150;
	watch.state["c"].position = 151;
	watch.kill("a", true);
	EXPECT_LE(watch.until([&] { return watch.serves("c"); }), 1100 * MS);
	EXPECT_EQ((std::vector<std::string>{ "c" }), watch.promotions);
	EXPECT_GE(watch.aborts, 1);
	watch.state["a"].alive = true;
	watch.run(1500 * MS);
	EXPECT_FALSE(watch.stepped_down.empty());
}

TEST(Lead, ASilentPrimaryIsReplacedWithinTwoSeconds)
{
	Watch watch;

	watch.until([&] { return watch.serves("a"); });
	watch.kill("a", false);
	EXPECT_LE(watch.until([&] {
		return watch.serves("b") || watch.serves("c");
	}),
		  2000 * MS);
}

TEST(Lead, APrimaryThatStandsStillForUnderASecondIsKept)
{
	for (kb_time_t pause = 100 * MS; pause <= 950 * MS; pause += 50 * MS) {
		Watch watch;

		watch.until([&] { return watch.serves("a"); });
		watch.kill("a", false);
		watch.run(pause);
		watch.state["a"].alive = true;
		watch.run(2 * KB_NS_PER_S);
		EXPECT_TRUE(watch.serves("a")) << pause / MS;
		EXPECT_TRUE(watch.promotions.empty()) << pause / MS;
	}
}

TEST(Lead, AReachedPrimaryIsLeftToTheHostThatReachesIt)
{
	Watch watch;

	watch.until([&] { return watch.serves("a"); });
	watch.reached_by = "h2";
	watch.kill("a", false);
	watch.run(2 * KB_NS_PER_S);
	EXPECT_EQ("h2", watch.handed_to);
	EXPECT_TRUE(watch.promotions.empty());
}

TEST(Lead, NothingIsPromotedNearTheEndOfTheHold)
{
	Watch watch;

	watch.until([&] { return watch.serves("a"); });
	watch.hold_left = 300 * MS;
	watch.kill("a", true);
	watch.run(3 * KB_NS_PER_S);
	EXPECT_TRUE(watch.promotions.empty());
	watch.hold_left = 900 * MS;
	EXPECT_LE(watch.until([&] {
		return watch.serves("b") || watch.serves("c");
	}),
		  3 * KB_NS_PER_S);
}

TEST(Lead, ARefusedTargetIsPassedOver)
{
	Watch watch;

	watch.until([&] { return watch.serves("a"); });
	watch.state["b"].position = 150;
	watch.state["b"].promotable = false;
	watch.kill("a", true);
	EXPECT_LE(watch.until([&] { return watch.serves("c"); }),
		  3 * KB_NS_PER_S);
	EXPECT_EQ((std::vector<std::string>{ "b", "c" }), watch.promotions);
}

TEST(Lead, ADurableGroupWaitsForAllThatMayHoldACommit)
{
	Watch watch;

	watch.lead.durable = 1;
	watch.until([&] { return watch.serves("a"); });
	kb_monitor_on_answer(&watch.lead, { 1, 120 });
	watch.state["b"].position = 110;
	watch.state["c"].position = 120;
	watch.state["c"].alive = false;
	watch.state["c"].refuses = false;
	watch.kill("a", true);
	watch.run(1500 * MS);
	EXPECT_TRUE(watch.promotions.empty());
	watch.state["c"].alive = true;
	EXPECT_LE(watch.until([&] { return watch.serves("c"); }),
		  4 * KB_NS_PER_S);
}

TEST(Lead, ALeavingPrimaryIsReplacedWithoutALoss)
{
	Watch watch;
	kb_time_t gap = 0;
	kb_time_t paused_at = 0;

	watch.until([&] { return watch.serves("a"); });
	kb_monitor_on_answer(&watch.lead, { 1, 130 });
	watch.state["b"].position = 128;
	watch.active = 1;
	watch.add("a", true);
	while (!watch.serves("b") && !watch.serves("c") &&
	       watch.now < 60 * KB_NS_PER_S) {
		watch.run(20 * MS);
		if (watch.paused && !paused_at)
			paused_at = watch.now;
		/* The replica catches up, and the transaction ends. */
		if (paused_at && watch.now - paused_at > 60 * MS) {
			watch.state["b"].position = 130;
			watch.active = 0;
		}
	}
	gap = watch.now - paused_at;
	EXPECT_EQ((std::vector<std::string>{ "b" }), watch.promotions);
	EXPECT_LE(gap, 700 * MS);
	EXPECT_EQ(0, watch.paused);
}

TEST(Lead, ALeavingPrimaryWaitsForAReplicaThatIsFarBehind)
{
	Watch watch;

	watch.until([&] { return watch.serves("a"); });
	for (const char *name : { "b", "c" }) {
		watch.state[name].lag = 2 * KB_NS_PER_S;
		watch.state[name].position = 90;
	}
	watch.add("a", true);
	watch.run(2 * KB_NS_PER_S);
	/* Statements continue in the meantime. */
	EXPECT_EQ(0, watch.paused);
	EXPECT_TRUE(watch.promotions.empty());
	watch.run(4 * KB_NS_PER_S);
	EXPECT_EQ(1u, watch.promotions.size());
}

TEST(Lead, AGroupWithoutAPrimaryIsGivenOne)
{
	Watch watch;

	watch.state["a"].primary = false;
	watch.state["c"].position = 105;
	EXPECT_LE(watch.until([&] { return watch.serves("c"); }),
		  2 * KB_NS_PER_S);
}

TEST(Lead, AHostThatLosesTheGroupSendsNothingMore)
{
	Watch watch;

	watch.until([&] { return watch.serves("a"); });
	kb_monitor_set_active(&watch.lead, 0, watch.now);
	EXPECT_EQ("", watch.bound);
	watch.kill("a", true);
	watch.run(3 * KB_NS_PER_S);
	EXPECT_TRUE(watch.promotions.empty());
	EXPECT_EQ(1, watch.paused);
}

#include "monitor_simulation.h"

using namespace monitor_simulation;

namespace
{

/* A group whose primary commits at each step, as seen by callers. */
class CommitSimulation : public MonitorSimulation
{
      public:
	size_t acknowledged = 0;
	/* Acknowledged, though a primary of a later term led at the commit. */
	size_t late = 0;
	/* The same, and the later primary's log lacks the commit. */
	size_t lost = 0;

	void step()
	{
		run(20 * MS);
		if (!bound.empty() && state[bound].alive &&
		    state[bound].primary && monitor.state == KB_MONITOR_SERVING)
			waits.push_back({ now, state[bound].term, later() });
		for (size_t i = 0; i < waits.size();) {
			if (waits[i].term != monitor.term ||
			    !monitor.has_primary) {
				waits.erase(waits.begin() + (ptrdiff_t)i);
				continue;
			}
			if (kb_monitor_is_watching(&monitor) &&
			    !kb_monitor_confirms(&monitor, waits[i].at, {})) {
				i++;
				continue;
			}
			acknowledged++;
			late += waits[i].late;
			waits.erase(waits.begin() + (ptrdiff_t)i);
		}
	}

	void step_for(kb_time_t duration)
	{
		for (kb_time_t end = now + duration; now < end;)
			step();
	}

	void replace_holder()
	{
		waits.clear();
		change_holder();
	}

	/*
	 * Replaces the primary. The platform does not answer the order, and the
	 * ordered target is down for `down`. Returns that target.
	 */
	std::string lose_order(bool planned, bool refuses, kb_time_t down)
	{
		std::string ordered;

		until([&] { return serves("a"); });
		platform_silent = true;
		if (planned)
			add("a", true);
		else
			kill("a", true);
		ordered = first_order();
		state[ordered].alive = false;
		state[ordered].refuses = refuses;
		events.emplace(now + down, [this, ordered] {
			state[ordered].alive = true;
		});
		platform_silent = false;
		return ordered;
	}

      private:
	struct Wait {
		kb_time_t at;
		uint64_t term;
		bool late;
	};
	std::vector<Wait> waits;

	/* Whether another target leads a later term than the bound one. */
	bool later()
	{
		for (const auto &target : state)
			if (target.second.primary &&
			    target.second.term > state[bound].term)
				return true;
		return false;
	}
};

} // namespace

/*
 * review/6: an order without an answer takes effect while another target is
 * served; what that one commits from then on must not be acknowledged. Also if
 * the holder dies at any step.
 */
TEST(MonitorWatch, NothingIsAcknowledgedAfterALateEffect)
{
	size_t acknowledged = 0;

	for (bool planned : { false, true })
		for (bool refuses : { false, true })
			for (kb_time_t effect = 4500; effect <= 9000;
			     effect += 300)
				for (kb_time_t life = 0; life <= 7000;
				     life += 700) {
					CommitSimulation simulation;
					std::string ordered =
						simulation.lose_order(
							planned, refuses,
							4000 * MS);

					simulation.promote(ordered,
							   effect * MS);
					simulation.step_for(life * MS);
					if (life)
						simulation.replace_holder();
					simulation.step_for(11000 * MS -
							    life * MS);
					ASSERT_EQ(0u, simulation.late)
						<< planned << refuses << effect
						<< " " << life;
					acknowledged += simulation.acknowledged;
					EXPECT_TRUE(simulation.serves(ordered));
				}
	EXPECT_GT(acknowledged, 0u);
}

/* While the ordered target is silent, nothing of another one is confirmed. */
TEST(MonitorWatch, CommitsWaitForTheTargetOfAnOpenOrder)
{
	CommitSimulation simulation;
	std::string ordered = simulation.lose_order(false, false, 6000 * MS);

	simulation.until([&] {
		return simulation.acknowledged == 0 &&
		       kb_monitor_is_watching(&simulation.monitor);
	});
	simulation.step_for(600 * MS);
	EXPECT_NE(ordered, simulation.bound);
	EXPECT_EQ(0u, simulation.acknowledged);
	EXPECT_TRUE(
		kb_monitor_is_unconfirmed(&simulation.monitor, simulation.now));
	simulation.until([&] { return simulation.state[ordered].alive; });
	simulation.step_for(600 * MS);
	EXPECT_GT(simulation.acknowledged, 5u);
	EXPECT_FALSE(
		kb_monitor_is_unconfirmed(&simulation.monitor, simulation.now));
}

/* A process that does not run leads nothing: commits go on meanwhile. */
TEST(MonitorWatch, ATargetThatRefusesConnectionsDelaysNoCommit)
{
	CommitSimulation simulation;

	simulation.lose_order(false, true, 60 * KB_NS_PER_S);
	simulation.until(
		[&] { return kb_monitor_is_watching(&simulation.monitor); });
	simulation.step_for(1000 * MS);
	EXPECT_GT(simulation.acknowledged, 30u);
}

/* Its log lacks the commits of the other target until they are shipped. */
TEST(MonitorWatch, ADurableCommitNeedsTheLogOfTheTargetOfAnOpenOrder)
{
	CommitSimulation simulation;
	std::string ordered = simulation.lose_order(false, false, 4000 * MS);

	simulation.until(
		[&] { return kb_monitor_is_watching(&simulation.monitor); });
	simulation.step_for(3000 * MS);
	simulation.monitor.durable = 1;
	simulation.state[ordered].position = 150;
	simulation.step_for(200 * MS);
	EXPECT_TRUE(kb_monitor_confirms(&simulation.monitor,
					simulation.now - 100 * MS, { 2, 150 }));
	EXPECT_FALSE(kb_monitor_confirms(
		&simulation.monitor, simulation.now - 100 * MS, { 2, 151 }));
	simulation.state[ordered].alive = false;
	simulation.state[ordered].refuses = true;
	simulation.step_for(200 * MS);
	EXPECT_FALSE(kb_monitor_confirms(&simulation.monitor,
					 simulation.now - 100 * MS, { 2, 1 }));
}

/* An order that was answered is over after its time, and no record names it. */
TEST(MonitorWatch, AnAnsweredOrderIsNotWatched)
{
	MonitorSimulation simulation;

	simulation.until([&] { return simulation.serves("a"); });
	simulation.promotion_delay = 60 * KB_NS_PER_S;
	simulation.kill("a", true);
	simulation.state[simulation.first_order()].alive = false;
	simulation.promotion_delay = 300 * MS;
	simulation.until([&] {
		return simulation.serves("b") || simulation.serves("c");
	});
	simulation.run(2000 * MS);
	EXPECT_FALSE(kb_monitor_is_watching(&simulation.monitor));
	EXPECT_EQ(0u, simulation.recorded.unanswered.count);
}

/* The watch ends, and a later holder does not begin it again. */
TEST(MonitorWatch, TheWatchEndsForLaterHoldersToo)
{
	CommitSimulation simulation;

	simulation.lose_order(false, false, 3000 * MS);
	simulation.until(
		[&] { return kb_monitor_is_watching(&simulation.monitor); });
	EXPECT_EQ(1u, simulation.recorded.unanswered.count);
	simulation.step_for(KB_OPEN_ORDERS_UNANSWERED_MAX_S * KB_NS_PER_S);
	EXPECT_FALSE(kb_monitor_is_watching(&simulation.monitor));
	EXPECT_EQ(0u, simulation.recorded.unanswered.count);
	simulation.replace_holder();
	simulation.until([&] { return !simulation.bound.empty(); });
	EXPECT_FALSE(kb_monitor_is_watching(&simulation.monitor));
}

/* Of three orders of a term none is forgotten, also by a later holder. */
TEST(MonitorWatch, EachOfSeveralOpenOrdersIsWatched)
{
	for (bool is_replaced : { false, true }) {
		CommitSimulation simulation;
		size_t count = 0;

		simulation.add("d");
		simulation.lose_order(false, false, 14000 * MS);
		simulation.platform_silent = true;
		simulation.until(
			[&] { return simulation.promotions.size() == 2; });
		simulation.state[simulation.promotions[1]].alive = false;
		simulation.state[simulation.promotions[1]].refuses = false;
		simulation.run(100 * MS);
		if (is_replaced)
			simulation.replace_holder();
		simulation.platform_silent = false;
		simulation.until([&] {
			return kb_monitor_is_watching(&simulation.monitor);
		});
		for (size_t i = 0; i < simulation.order.unanswered.count; i++)
			for (size_t j : { 0, 1 })
				count += simulation.promotions[j] ==
					 simulation.order.unanswered.names[i]
						 .data;
		EXPECT_EQ(2u, count) << is_replaced;
	}
}

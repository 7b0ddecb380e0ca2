#include "fake_link_connector.h"
#include "load/link_pool.h"
#include "load/return_pace.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <vector>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* Callers that a target with a queue refuses, and when they are to return. */
class ReturnPace : public ::testing::Test
{
      protected:
	FakeTime time;
	FakeLinkConnector connector;
	kb_link_pool_t pool;
	std::vector<int64_t> returns;

	ReturnPace()
	{
		static const kb_link_pool_ops_t ops = { may_serve,
							on_target_event };
		kb_link_place_t place = {};

		kb_link_pool_init(&pool, &ops, this, &connector.base,
				  &time.base, 1000);
		kb_name_set(&place.target, KB_STR("t1"));
		kb_name_set(&place.endpoint.address, KB_STR("127.0.0.1"));
		place.endpoint.port = 1;
		kb_link_pool_bind(&pool, &place, 2, 4);
	}

	~ReturnPace() override
	{
		kb_link_pool_finish(&pool);
	}

	void run(kbs_run_args *args, kb_time_t left)
	{
		args->time_left_us = left / KB_NS_PER_US;
		args->objective_left_us = left / KB_NS_PER_US;
		kb_link_pool_run(&pool, args, on_done, this);
	}

      private:
	static int may_serve(void *, kb_time_t)
	{
		return 1;
	}

	static void on_target_event(void *, kb_target_event_t, kb_point_t)
	{
	}

	static void on_done(void *ctx, const kbs_run_res *res)
	{
		if (res->result == KB_ERR_OVERLOADED)
			static_cast<ReturnPace *>(ctx)->returns.push_back(
				res->retry_us);
	}
};

} // namespace

/* After a restart a target is asked for 300 statements that have 1 s. */
TEST_F(ReturnPace, RefusedCallersDoNotReturnTogether)
{
	std::vector<kbs_run_args> args(300);
	int64_t service_us = pool.service_time / KB_NS_PER_US;
	size_t in_first_100_ms = 0;

	for (kbs_run_args &each : args)
		run(&each, 1000 * MS);
	ASSERT_GE(returns.size(), 50u);
	EXPECT_TRUE(std::is_sorted(returns.begin(), returns.end()));
	for (int64_t at : returns)
		in_first_100_ms += at < returns[0] + 100000;
	/* Two slots: no more than are served in that time. */
	EXPECT_LE(in_first_100_ms, (size_t)(2 * 100000 / service_us + 2));
}

TEST(ReturnPaceTurns, TheFirstTurnIsAtTheEndOfTheQueue)
{
	kb_return_pace_t pace = {};

	EXPECT_EQ(210 * MS, kb_return_pace_next(&pace, 200 * MS, 10 * MS, 0));
	EXPECT_EQ(220 * MS, kb_return_pace_next(&pace, 200 * MS, 10 * MS, 0));
	/* Turns pass whether they were used or not. */
	EXPECT_EQ(10 * MS, kb_return_pace_next(&pace, 0, 10 * MS, KB_NS_PER_S));
}

TEST(ReturnPaceTurns, NobodyIsSentAwayForLong)
{
	kb_return_pace_t pace = {};

	for (int i = 0; i < 2000; i++)
		EXPECT_LE(kb_return_pace_next(&pace, 0, 10 * MS, 0),
			  KB_RETURN_PACE_MAX_MS * MS);
}

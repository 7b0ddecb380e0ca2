#include "wakeup.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <vector>

struct Wakeup : ::testing::Test {
	Wakeup()
	{
		kb_clock_init_system(&clock);
		loop = event_base_new();
		EXPECT_EQ(KB_OK,
			  kb_wakeup_init(&wakeup, loop, &clock, fired, this));
		start = kb_clock_monotonic(&clock);
	}

	~Wakeup() override
	{
		kb_wakeup_finish(&wakeup);
		event_base_free(loop);
	}

	static void fired(void *ctx, kb_time_t now)
	{
		static_cast<Wakeup *>(ctx)->times.push_back(now);
	}

	kb_time_t after_ms(int ms) const
	{
		return start + ms * KB_NS_PER_MS;
	}

	kb_clock_t clock;
	struct event_base *loop;
	kb_wakeup_t wakeup;
	kb_time_t start;
	std::vector<kb_time_t> times;
};

TEST_F(Wakeup, FiresOnceAtTheEarliestTimeAndNeverBefore)
{
	kb_wakeup_schedule(&wakeup, after_ms(3600 * 1000));
	kb_wakeup_schedule(&wakeup, after_ms(5));
	kb_wakeup_schedule(&wakeup, after_ms(3600 * 1000));
	event_base_dispatch(loop);
	ASSERT_EQ(1u, times.size());
	EXPECT_GE(times[0], after_ms(5));
	EXPECT_EQ(KB_TIME_NEVER, wakeup.at);
}

TEST_F(Wakeup, TimeThatHasPassedFiresAtOnce)
{
	kb_wakeup_schedule(&wakeup, start - KB_NS_PER_S);
	event_base_dispatch(loop);
	EXPECT_EQ(1u, times.size());
}

TEST_F(Wakeup, ReschedulingReplacesTheEarlierTime)
{
	kb_wakeup_schedule(&wakeup, start);
	kb_wakeup_reschedule(&wakeup, after_ms(5));
	event_base_dispatch(loop);
	ASSERT_EQ(1u, times.size());
	EXPECT_GE(times[0], after_ms(5));
}

TEST_F(Wakeup, NeverCancelsTheSchedule)
{
	kb_wakeup_schedule(&wakeup, after_ms(5));
	kb_wakeup_reschedule(&wakeup, KB_TIME_NEVER);
	event_base_dispatch(loop);
	EXPECT_TRUE(times.empty());
	kb_wakeup_schedule(&wakeup, start);
	event_base_dispatch(loop);
	EXPECT_EQ(1u, times.size());
}

#include "load/retry_pause.h"

#include <gtest/gtest.h>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

int attempts_in(kb_time_t time)
{
	int attempts = 0;

	for (kb_time_t waited = 0; waited < time;
	     waited += kb_retry_pause(waited))
		attempts++;
	return attempts;
}

} // namespace

TEST(RetryPause, DelaysByAtMostAQuarterOfTheTimeWaited)
{
	EXPECT_EQ(30 * MS, kb_retry_pause(0));
	EXPECT_EQ(30 * MS, kb_retry_pause(120 * MS));
	EXPECT_EQ(100 * MS, kb_retry_pause(400 * MS));
	EXPECT_EQ(500 * MS, kb_retry_pause(60000 * MS));
}

/* A group without a holder for as long as its callers wait. */
TEST(RetryPause, AttemptsOfOneStatementStayFew)
{
	EXPECT_LE(attempts_in(1000 * MS), 16);
	EXPECT_LE(attempts_in(3000 * MS), 22);
	EXPECT_LE(attempts_in(10000 * MS), 36);
}

#include "load/replica_lag.h"
#include "watermarks.h"

#include <gtest/gtest.h>

namespace
{
constexpr kb_time_t MS = KB_NS_PER_MS;
}

TEST(ReplicaLag, HoldGrowsWithTheDeficitWithinItsBounds)
{
	EXPECT_EQ(100 * MS, kb_replica_lag_hold(0));
	EXPECT_EQ(100 * MS, kb_replica_lag_hold(300 * MS));
	EXPECT_EQ(250 * MS, kb_replica_lag_hold(1000 * MS));
	EXPECT_EQ(500 * MS, kb_replica_lag_hold(60000 * MS));
}

TEST(ReplicaLag, OnlyALogThatMayBeThereInTimeIsWaitedFor)
{
	EXPECT_TRUE(kb_replica_lag_is_worth_waiting(0, 1 * MS));
	EXPECT_TRUE(kb_replica_lag_is_worth_waiting(1000 * MS, 300 * MS));
	EXPECT_FALSE(kb_replica_lag_is_worth_waiting(1300 * MS, 300 * MS));
	EXPECT_FALSE(kb_replica_lag_is_worth_waiting(0, 0));
}

TEST(ReplicaLag, DeficitIsTheTimeInWhichThePrimaryWroteWhatIsMissing)
{
	kb_watermarks_t watermarks = {};

	for (uint64_t i = 1; i <= 20; i++)
		kb_watermarks_add(&watermarks, 1, (kb_time_t)i * 100 * MS,
				  { 1, i * 10 });
	EXPECT_EQ(0, kb_watermarks_deficit(&watermarks, { 1, 50 }, { 1, 50 }));
	EXPECT_EQ(300 * MS,
		  kb_watermarks_deficit(&watermarks, { 1, 60 }, { 1, 95 }));
	/* The log ends before all watermarks, or after them. */
	EXPECT_EQ(1900 * MS,
		  kb_watermarks_deficit(&watermarks, { 1, 1 }, { 1, 200 }));
	EXPECT_EQ(0,
		  kb_watermarks_deficit(&watermarks, { 1, 300 }, { 1, 301 }));
}

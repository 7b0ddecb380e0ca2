#include "watermarks.h"

#include <gtest/gtest.h>

constexpr kb_time_t MS = KB_NS_PER_MS;

TEST(Stamps, TheOldestThatIsNewEnoughIsUsed)
{
	kb_watermarks_t stamps = {};
	kb_point_t point;

	EXPECT_FALSE(kb_watermarks_lower_bound(&stamps, 0, &point));
	for (uint64_t i = 1; i <= 10; i++)
		kb_watermarks_add(&stamps, 1, (kb_time_t)i * 100 * MS,
				  { 1, i });
	ASSERT_TRUE(kb_watermarks_lower_bound(&stamps, 450 * MS, &point));
	EXPECT_EQ(5u, point.position);
	ASSERT_TRUE(kb_watermarks_lower_bound(&stamps, 500 * MS, &point));
	EXPECT_EQ(5u, point.position);
	ASSERT_TRUE(kb_watermarks_lower_bound(&stamps, 0, &point));
	EXPECT_EQ(1u, point.position);
	/* None is known to bound what was acknowledged before then. */
	EXPECT_FALSE(kb_watermarks_lower_bound(&stamps, 1001 * MS, &point));
}

TEST(Stamps, ANewTermDropsTheOldOnesAndAnOldOneIsIgnored)
{
	kb_watermarks_t stamps = {};
	kb_point_t point;

	kb_watermarks_add(&stamps, 2, 100 * MS, { 2, 9 });
	kb_watermarks_add(&stamps, 1, 200 * MS, { 1, 50 });
	ASSERT_TRUE(kb_watermarks_lower_bound(&stamps, 0, &point));
	EXPECT_EQ(9u, point.position);
	EXPECT_FALSE(kb_watermarks_lower_bound(&stamps, 150 * MS, &point));
	/* A promotion may roll positions back. */
	kb_watermarks_add(&stamps, 3, 300 * MS, { 2, 7 });
	ASSERT_TRUE(kb_watermarks_lower_bound(&stamps, 0, &point));
	EXPECT_EQ(7u, point.position);
}

TEST(Stamps, ManyStampsKeepTheNewestSeconds)
{
	kb_watermarks_t stamps = {};
	kb_point_t point;

	for (uint64_t i = 1; i <= 5000; i++)
		kb_watermarks_add(&stamps, 1, (kb_time_t)i * 5 * MS, { 1, i });
	EXPECT_LE(24900 * MS, kb_watermarks_newest(&stamps));
	ASSERT_TRUE(kb_watermarks_lower_bound(&stamps, 22500 * MS, &point));
	EXPECT_LE(4500u, point.position);
	EXPECT_GE(4505u, point.position);
}

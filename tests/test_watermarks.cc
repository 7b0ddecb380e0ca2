#include "watermarks.h"

#include <gtest/gtest.h>

constexpr kb_time_t MS = KB_NS_PER_MS;

TEST(Watermarks, UsesTheOldestThatIsNewEnough)
{
	kb_watermarks_t watermarks = {};
	kb_point_t point;

	EXPECT_FALSE(kb_watermarks_lower_bound(&watermarks, 0, &point));
	for (uint64_t i = 1; i <= 10; i++)
		kb_watermarks_add(&watermarks, 1, (kb_time_t)i * 100 * MS,
				  { 1, i });
	ASSERT_TRUE(kb_watermarks_lower_bound(&watermarks, 450 * MS, &point));
	EXPECT_EQ(5u, point.position);
	ASSERT_TRUE(kb_watermarks_lower_bound(&watermarks, 500 * MS, &point));
	EXPECT_EQ(5u, point.position);
	ASSERT_TRUE(kb_watermarks_lower_bound(&watermarks, 0, &point));
	EXPECT_EQ(1u, point.position);
	/* No watermark is that new. */
	EXPECT_FALSE(kb_watermarks_lower_bound(&watermarks, 1001 * MS, &point));
}

TEST(Watermarks, ALaterTermDiscardsTheOthersAndAnOlderOneIsIgnored)
{
	kb_watermarks_t watermarks = {};
	kb_point_t point;

	kb_watermarks_add(&watermarks, 2, 100 * MS, { 2, 9 });
	kb_watermarks_add(&watermarks, 1, 200 * MS, { 1, 50 });
	ASSERT_TRUE(kb_watermarks_lower_bound(&watermarks, 0, &point));
	EXPECT_EQ(9u, point.position);
	EXPECT_FALSE(kb_watermarks_lower_bound(&watermarks, 150 * MS, &point));
	/* Positions may decrease at a promotion. */
	kb_watermarks_add(&watermarks, 3, 300 * MS, { 2, 7 });
	ASSERT_TRUE(kb_watermarks_lower_bound(&watermarks, 0, &point));
	EXPECT_EQ(7u, point.position);
}

TEST(Watermarks, KeepsTheNewestSeconds)
{
	kb_watermarks_t watermarks = {};
	kb_point_t point;

	for (uint64_t i = 1; i <= 5000; i++)
		kb_watermarks_add(&watermarks, 1, (kb_time_t)i * 5 * MS,
				  { 1, i });
	EXPECT_LE(24900 * MS, kb_watermarks_newest(&watermarks));
	ASSERT_TRUE(kb_watermarks_lower_bound(&watermarks, 22500 * MS, &point));
	EXPECT_LE(4500u, point.position);
	EXPECT_GE(4505u, point.position);
}

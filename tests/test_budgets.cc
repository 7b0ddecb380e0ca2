#include "class_defaults.h"
#include "load/bandwidth_limiter.h"
#include "load/retry_budget.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <string>

static const kb_time_t MS = KB_NS_PER_MS;

TEST(RetryBudget, RetriesAreAShareOfTheSuccesses)
{
	kb_retry_budget_t budget;
	int spent = 0;

	kb_retry_budget_init(&budget, 0.1, 10);
	for (int i = 0; i < 1000; i++)
		spent += kb_retry_budget_spend(&budget);
	EXPECT_EQ(10, spent);
	for (int i = 0; i < 1000; i++) {
		kb_retry_budget_succeeded(&budget);
		spent += kb_retry_budget_spend(&budget);
	}
	EXPECT_NEAR(110, spent, 1);
	for (int i = 0; i < 100000; i++)
		kb_retry_budget_succeeded(&budget);
	EXPECT_LE(budget.tokens, 10);
}

static kb_bandwidth_limiter_t
link(uint64_t rate = 1000000, uint64_t burst = 100000, uint64_t reserve = 40000)
{
	kb_bandwidth_limiter_settings_t settings = { rate, burst, reserve };
	kb_bandwidth_limiter_t budget;

	kb_bandwidth_limiter_init(&budget, &settings, 0);
	return budget;
}

TEST(LinkBudget, BulkLeavesTheReserveToOthers)
{
	kb_bandwidth_limiter_t budget = link();

	kb_bandwidth_limiter_charge(&budget, 60000, 0);
	EXPECT_EQ(0, kb_bandwidth_limiter_wait(&budget, 0, 0));
	EXPECT_NEAR(0.001 * MS,
		    (double)kb_bandwidth_limiter_wait(&budget, 1, 0),
		    0.001 * MS);
	kb_bandwidth_limiter_charge(&budget, 50000, 0);
	EXPECT_NEAR(10 * MS, (double)kb_bandwidth_limiter_wait(&budget, 0, 0),
		    0.01 * MS);
	EXPECT_NEAR(50 * MS, (double)kb_bandwidth_limiter_wait(&budget, 1, 0),
		    0.01 * MS);
	EXPECT_EQ(0, kb_bandwidth_limiter_wait(&budget, 0, 11 * MS));
	EXPECT_NE(0, kb_bandwidth_limiter_wait(&budget, 1, 11 * MS));
	EXPECT_EQ(0, kb_bandwidth_limiter_wait(&budget, 1, 51 * MS));
}

TEST(LinkBudget, WaitIsLongEnoughAndTheRateHolds)
{
	struct {
		uint64_t rate;
		uint64_t size;
		int bulk;
	} cases[] = { { 3750000, 1500, 0 },
		      { 3750000, 65536, 1 },
		      { 1000, 7, 1 },
		      { 3, 1, 0 } };

	for (const auto &c : cases) {
		kb_bandwidth_limiter_t budget = link(c.rate, 100000, 40000);
		kb_time_t now = 0;
		double sent = 0;

		while (sent < 3e6 && now < 1000000 * MS) {
			kb_time_t wait =
				kb_bandwidth_limiter_wait(&budget, c.bulk, now);

			now += wait;
			ASSERT_EQ(0, kb_bandwidth_limiter_wait(&budget, c.bulk,
							       now));
			kb_bandwidth_limiter_charge(&budget, c.size, now);
			sent += (double)c.size;
		}
		EXPECT_LE(sent, 100000 + (double)c.size +
					(double)c.rate * (double)now / 1e9);
		EXPECT_GE(sent, 0.99 * (double)c.rate * (double)now / 1e9);
	}
}

TEST(LinkBudget, TheBucketDoesNotOverflow)
{
	kb_bandwidth_limiter_t budget = link();

	kb_bandwidth_limiter_wait(&budget, 0, 1000000 * MS);
	EXPECT_EQ(100000, budget.bytes);
	budget = link(0, 10, 0);
	kb_bandwidth_limiter_charge(&budget, 10, 0);
	EXPECT_EQ(KB_TIME_NEVER, kb_bandwidth_limiter_wait(&budget, 0, MS));
	budget = link(10, 10, 10);
	EXPECT_EQ(KB_TIME_NEVER, kb_bandwidth_limiter_wait(&budget, 1, MS));
}

TEST(ClassDefaults, EveryReadKindHasItsClassAndBulkWeighsLeast)
{
	size_t class_count, kind_count;
	const kb_traffic_class_t *classes = kb_class_defaults(&class_count);
	const kb_read_kind_t *kinds = kb_read_kind_defaults(&kind_count);
	kb_str_t write = KB_STR(KB_CLASS_DEFAULT_WRITE);
	bool found = false;

	for (size_t i = 0; i < class_count; i++) {
		EXPECT_EQ(strlen(classes[i].name.data), classes[i].name.len);
		EXPECT_GT(classes[i].queue_limit, 0u);
		EXPECT_GT(classes[i].deadline, 0);
		EXPECT_EQ(classes[i].bulk, classes[i].weight == 1);
		found |= !!kb_name_is(&classes[i].name, write);
	}
	EXPECT_TRUE(found);
	for (size_t i = 0; i < kind_count; i++)
		EXPECT_TRUE(std::any_of(
			classes, classes + class_count,
			[&](const kb_traffic_class_t &c) {
				return kb_name_is(
					&c.name,
					kb_name_str(&kinds[i].traffic_class));
			}));
}

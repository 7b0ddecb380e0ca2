#include "backoff.h"

#include <gtest/gtest.h>

static const kb_backoff_settings_t settings = {
	10 * KB_NS_PER_MS,
	100 * KB_NS_PER_MS,
	3,
	KB_NS_PER_S,
};

TEST(Backoff, DelaysDoubleWithJitterUpToTheLimit)
{
	const kb_time_t limits[] = { 10, 20, 40, 80, 100, 100, 100 };

	for (uint64_t seed = 1; seed <= 200; seed++) {
		kb_backoff_t backoff;

		kb_backoff_init(&backoff, &settings, seed, 0);
		for (unsigned i = 0; i < 7; i++) {
			kb_time_t delay = kb_backoff_delay(&backoff, i);
			kb_time_t limit = limits[i] * KB_NS_PER_MS;

			EXPECT_GE(delay, limit / 2) << seed << " " << i;
			EXPECT_LE(delay, limit) << seed << " " << i;
		}
		EXPECT_LE(kb_backoff_delay(&backoff, 4000000000u),
			  settings.max);
	}
}

TEST(Backoff, DelaysDependOnTheSeed)
{
	kb_backoff_t a, b, c;

	kb_backoff_init(&a, &settings, 1, 0);
	kb_backoff_init(&b, &settings, 1, 0);
	kb_backoff_init(&c, &settings, 2, 0);
	kb_time_t first = kb_backoff_delay(&a, 3);

	EXPECT_EQ(first, kb_backoff_delay(&b, 3));
	EXPECT_NE(first, kb_backoff_delay(&c, 3));
}

TEST(Backoff, BudgetIsSpentAndRefilledByTime)
{
	kb_backoff_t backoff;
	struct {
		kb_time_t now;
		kb_result_t result;
	} steps[] = {
		{ 0, KB_OK },
		{ 0, KB_OK },
		{ 0, KB_OK },
		{ 0, KB_ERR_OVERLOADED },
		{ KB_NS_PER_S - 1, KB_ERR_OVERLOADED },
		{ KB_NS_PER_S, KB_OK },
		{ KB_NS_PER_S, KB_ERR_OVERLOADED },
		{ KB_NS_PER_S * 5 / 2, KB_OK },
		{ KB_NS_PER_S * 3, KB_OK },
		{ KB_NS_PER_S * 3600, KB_OK },
		{ KB_NS_PER_S * 3600, KB_OK },
		{ KB_NS_PER_S * 3600, KB_OK },
		{ KB_NS_PER_S * 3600, KB_ERR_OVERLOADED },
	};

	kb_backoff_init(&backoff, &settings, 1, 0);
	for (const auto &step : steps)
		EXPECT_EQ(step.result, kb_backoff_take(&backoff, step.now))
			<< step.now;
}

TEST(Backoff, RetryThatCannotMeetItsDeadlineIsNotMade)
{
	kb_backoff_t backoff;
	kb_time_t delay;

	kb_backoff_init(&backoff, &settings, 1, 0);
	EXPECT_EQ(KB_ERR_DEADLINE,
		  kb_backoff_retry(&backoff, 0, 0, 5 * KB_NS_PER_MS, &delay));
	EXPECT_EQ(3u, backoff.budget);
	EXPECT_EQ(KB_OK, kb_backoff_retry(&backoff, 0, 0, KB_NS_PER_S, &delay));
	EXPECT_EQ(2u, backoff.budget);
}

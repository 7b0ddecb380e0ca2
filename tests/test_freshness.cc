#include "freshness.h"

#include <gtest/gtest.h>
#include <gsl/gsl_rng.h>
#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

static const kb_time_t MS = KB_NS_PER_MS;

static kb_report_t report(kb_role_t role, uint64_t term, uint64_t received,
			  uint64_t applied, const char *history)
{
	kb_report_t r = {};

	r.role = role;
	r.term = term;
	r.received = received;
	r.applied = applied;
	EXPECT_EQ(KB_OK,
		  kb_history_parse(&r.history, history, strlen(history)));
	return r;
}

static kb_report_t primary(uint64_t position, uint64_t term = 1,
			   const char *history = "1:1")
{
	return report(KB_ROLE_PRIMARY, term, position, position, history);
}

static kb_report_t replica(uint64_t applied, const char *history = "1:1",
			   uint64_t received = 1000000)
{
	return report(KB_ROLE_REPLICA, 1, received, applied, history);
}

/* Samples at 10, 20 and 30 ms with positions 100, 200 and 300. */
static kb_freshness_t sampled()
{
	kb_freshness_t f;

	kb_freshness_init(&f);
	for (uint64_t i = 1; i <= 3; i++) {
		kb_report_t r = primary(i * 100);

		EXPECT_EQ(KB_FRESHNESS_ADDED,
			  kb_freshness_add_sample(&f, (kb_time_t)i * 10 * MS,
						  &r, 1));
	}
	return f;
}

TEST(Freshness, AgeIsCountedFromTheNewestSampleReached)
{
	kb_freshness_t f = sampled();
	struct {
		uint64_t applied;
		kb_time_t age;
	} cases[] = {
		{ 99, KB_TIME_NEVER }, { 100, 30 * MS }, { 199, 30 * MS },
		{ 200, 20 * MS },      { 300, 10 * MS }, { 900, 10 * MS }
	};

	for (const auto &c : cases) {
		kb_report_t r = replica(c.applied);

		EXPECT_EQ(c.age, kb_freshness_age(&f, &r, 40 * MS))
			<< c.applied;
	}
}

TEST(Freshness, UnknownWithoutSamples)
{
	kb_freshness_t f;
	kb_report_t r = replica(100);

	kb_freshness_init(&f);
	EXPECT_EQ(KB_TIME_NEVER, kb_freshness_age(&f, &r, 40 * MS));
	EXPECT_EQ(KB_TIME_NEVER, kb_freshness_confirmed_at(&f));
	EXPECT_FALSE(kb_freshness_accepts(KB_TIME_NEVER, KB_TIME_NEVER, 0, 0));
}

TEST(Freshness, UnconfirmedAnswersAreIgnored)
{
	kb_report_t good = primary(400), lower = primary(250);
	kb_report_t follower = replica(400);
	kb_report_t replaced = primary(900, 1);
	kb_report_t next = primary(310, 2, "1:1,2:301");
	struct {
		const char *name;
		kb_report_t report;
		kb_time_t sent;
		int confirmed;
		int after_change;
		kb_freshness_outcome_t outcome;
	} cases[] = {
		{ "in order", good, 40, 1, 0, KB_FRESHNESS_ADDED },
		{ "not confirmed", good, 40, 0, 0, KB_FRESHNESS_UNCONFIRMED },
		{ "replica", follower, 40, 1, 0, KB_FRESHNESS_UNCONFIRMED },
		{ "overtaken by a later probe", good, 25, 1, 0,
		  KB_FRESHNESS_OUT_OF_ORDER },
		{ "the same probe twice", good, 30, 1, 0,
		  KB_FRESHNESS_OUT_OF_ORDER },
		{ "position went back", lower, 40, 1, 0,
		  KB_FRESHNESS_OUT_OF_ORDER },
		{ "new primary", next, 50, 1, 0, KB_FRESHNESS_ADDED },
		{ "replaced primary still answers", replaced, 60, 1, 1,
		  KB_FRESHNESS_OLD_TERM },
		{ "replaced primary answers late", replaced, 45, 1, 1,
		  KB_FRESHNESS_OLD_TERM },
	};

	for (const auto &c : cases) {
		kb_freshness_t f = sampled();
		size_t before;

		if (c.after_change)
			kb_freshness_add_sample(&f, 50 * MS, &next, 1);
		before = f.count;
		EXPECT_EQ(c.outcome,
			  kb_freshness_add_sample(&f, c.sent * MS, &c.report,
						  c.confirmed))
			<< c.name;
		EXPECT_EQ(before + (c.outcome == KB_FRESHNESS_ADDED), f.count)
			<< c.name;
	}
}

TEST(Freshness, LostEntriesOfAReplacedPrimaryDoNotCount)
{
	kb_freshness_t f = sampled();
	kb_report_t next = primary(260, 2, "1:1,2:251");
	/* Holds entries up to 300 that the new primary never had. */
	kb_report_t forked = replica(300, "1:1", 300);
	kb_report_t follows = replica(260, "1:1,2:251", 260);
	kb_report_t behind = replica(255, "1:1,2:251", 260);

	EXPECT_EQ(KB_FRESHNESS_ADDED,
		  kb_freshness_add_sample(&f, 50 * MS, &next, 1));
	EXPECT_EQ(10 * MS, kb_freshness_age(&f, &follows, 60 * MS));
	/*
	 * Its position 300 is of term 1, as in the last sample of that term, so
	 * its data is as old as that sample.
	 */
	EXPECT_EQ(30 * MS, kb_freshness_age(&f, &forked, 60 * MS));
	/* Position 300 of term 1 is not in its log; 200 is. */
	EXPECT_EQ(40 * MS, kb_freshness_age(&f, &behind, 60 * MS));
}

TEST(Freshness, NewPrimaryThatHasNotAppliedItsLogIsNotFresh)
{
	kb_freshness_t f = sampled();
	kb_report_t next = report(KB_ROLE_PRIMARY, 2, 301, 150, "1:1,2:301");

	EXPECT_EQ(KB_FRESHNESS_ADDED,
		  kb_freshness_add_sample(&f, 40 * MS, &next, 1));
	EXPECT_EQ(40 * MS, kb_freshness_age(&f, &next, 50 * MS));
}

TEST(Freshness, AgeOfReplicasFarBehindIsKnown)
{
	kb_freshness_t f;
	kb_report_t slow = replica(5), none = replica(0);

	kb_freshness_init(&f);
	for (kb_time_t t = 1; t <= 60000; t += 10) {
		kb_report_t r = primary((uint64_t)t);

		kb_freshness_add_sample(&f, t * MS, &r, 1);
	}
	EXPECT_EQ(59999 * MS, kb_freshness_age(&f, &slow, 60000 * MS));
	EXPECT_EQ(KB_TIME_NEVER, kb_freshness_age(&f, &none, 60000 * MS));
}

TEST(Freshness, AcceptsFreshEnoughOrAsOfTheArrival)
{
	struct {
		kb_time_t as_of, max_age, arrival, now;
		bool accepted;
	} cases[] = {
		{ 100, 50, 140, 150, true }, { 100, 49, 140, 150, false },
		{ 100, 0, 100, 150, true },  { 99, 0, 100, 150, false },
		{ 101, 0, 100, 9999, true }, { KB_TIME_NEVER, 50, 1, 2, false },
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.accepted, !!kb_freshness_accepts(c.as_of, c.max_age,
							     c.arrival, c.now))
			<< c.as_of << " " << c.now;
}

TEST(Freshness, IncludesAppliedPointsOfTheSameHistory)
{
	struct {
		const char *history;
		uint64_t received, applied;
		kb_point_t point;
		bool included;
	} cases[] = {
		{ "1:1", 100, 50, { 1, 50 }, true },
		/* Received and not yet visible to reads. */
		{ "1:1", 100, 50, { 1, 51 }, false },
		{ "1:1,2:40", 100, 90, { 1, 39 }, true },
		/* Lost in the change of primary. */
		{ "1:1,2:40", 100, 90, { 1, 40 }, false },
		{ "1:1,2:40", 100, 90, { 2, 40 }, true },
		{ "1:1", 100, 90, { 2, 40 }, false },
		{ "1:1", 100, 90, { 0, 0 }, true },
	};

	for (const auto &c : cases) {
		kb_report_t r = replica(c.applied, c.history, c.received);
#ifdef KB_BREAK_TOKEN
		EXPECT_TRUE(kb_freshness_includes(&r, c.point));
#else
		EXPECT_EQ(c.included, !!kb_freshness_includes(&r, c.point))
			<< c.history << " " << c.point.position;
#endif
	}
}

/*
 * The position of the primary is known at every millisecond and it is probed
 * with random delays: the bound must never be below the true age, and not far
 * above it.
 */
TEST(Freshness, BoundHoldsUnderRandomDelaysForEveryLag)
{
	const int end = 30000;
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);

	for (int lag : { 5, 100, 1000, 10000 }) {
		std::vector<uint64_t> position(end + 1);
		std::vector<std::pair<int, std::pair<int, uint64_t>>> answers;
		kb_freshness_t f;
		size_t next = 0;

		kb_freshness_init(&f);
		gsl_rng_set(rng, (unsigned long)lag);
		for (int t = 1; t <= end; t++)
			position[t] =
				position[t - 1] + gsl_rng_uniform_int(rng, 3);
		for (int t = 0; t + 60 < end; t += 20) {
			int seen = t + (int)gsl_rng_uniform_int(rng, 20);
			int back = seen + (int)gsl_rng_uniform_int(rng, 40);

			answers.push_back({ back, { t, position[seen] } });
		}
		std::sort(answers.begin(), answers.end());
		for (int now = 1; now < end; now++) {
			kb_report_t r =
				replica(now > lag ? position[now - lag] : 0);
			kb_time_t age;
			int true_age = 0;

			for (; next < answers.size() &&
			       answers[next].first <= now;
			     next++) {
				kb_report_t p =
					primary(answers[next].second.second);

				kb_freshness_add_sample(
					&f, answers[next].second.first * MS, &p,
					1);
			}
			age = kb_freshness_age(&f, &r, now * MS);
			if (age == KB_TIME_NEVER)
				continue;
			while (true_age < now &&
			       position[now - true_age] > r.applied)
				true_age++;
			ASSERT_GE(age, (true_age - 1) * MS);
			if (now <= lag + 1000)
				continue;
			ASSERT_LE(age, (lag + 130 + lag / 5) * MS);
		}
	}
	gsl_rng_free(rng);
}

#include "freshness_sampler.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

static const kb_time_t NEVER = KB_TIME_NEVER;

struct Answer {
	size_t target;
	kb_time_t sent;
	bool primary;
	uint64_t term;
	uint64_t position;
};

static kb_report_t report(const Answer &answer)
{
	kb_report_t result = {};

	result.role = answer.primary ? KB_ROLE_PRIMARY : KB_ROLE_REPLICA;
	result.term = answer.term;
	result.received = result.applied = answer.position;
	kb_history_append(&result.history, 1, 1);
	if (answer.term > 1)
		kb_history_append(&result.history, answer.term, 51);
	return result;
}

TEST(Sampler, TakesOnlyWhatAMajorityConfirms)
{
	struct {
		const char *name;
		std::vector<Answer> answers;
		/* Time of the newest sample. */
		kb_time_t confirmed;
	} cases[] = {
		{ "primary alone", { { 0, 10, true, 1, 9 } }, NEVER },
		{ "primary and one other",
		  { { 0, 10, true, 1, 9 }, { 1, 10, false, 1, 5 } },
		  10 },
		{ "the other first",
		  { { 1, 12, false, 1, 5 }, { 0, 10, true, 1, 9 } },
		  10 },
		{ "the other was probed earlier",
		  { { 1, 9, false, 1, 5 }, { 0, 10, true, 1, 9 } },
		  NEVER },
		{ "the same target twice is no majority",
		  { { 0, 10, true, 1, 9 }, { 0, 20, true, 1, 9 } },
		  NEVER },
		{ "confirmed later",
		  { { 0, 10, true, 1, 9 },
		    { 0, 20, true, 1, 9 },
		    { 1, 15, false, 1, 5 } },
		  10 },
		{ "others in a newer term",
		  { { 0, 10, true, 1, 9 },
		    { 1, 10, false, 2, 5 },
		    { 2, 10, false, 2, 5 } },
		  NEVER },
		{ "one of the others in a newer term",
		  { { 0, 10, true, 1, 9 },
		    { 1, 10, false, 2, 5 },
		    { 2, 10, false, 1, 5 } },
		  10 },
		{ "others in an older term",
		  { { 0, 10, true, 2, 60 },
		    { 1, 10, false, 1, 5 },
		    { 2, 10, false, 1, 5 } },
		  NEVER },
		{ "no primary",
		  { { 0, 10, false, 1, 9 }, { 1, 10, false, 1, 9 } },
		  NEVER },
		{ "an old answer comes late and does not undo a newer term",
		  { { 0, 10, true, 1, 9 },
		    { 1, 20, false, 2, 5 },
		    { 1, 12, false, 1, 5 } },
		  NEVER },
		{ "replaced primary beside its successor",
		  { { 0, 10, true, 1, 90 },
		    { 1, 10, true, 2, 60 },
		    { 2, 10, false, 2, 5 },
		    { 0, 20, true, 1, 95 } },
		  10 },
		{ "no such target",
		  { { 0, 10, true, 1, 9 }, { 3, 10, false, 1, 9 } },
		  NEVER },
	};

	for (const auto &c : cases) {
		kb_freshness_sampler_t sampler;

		kb_freshness_sampler_init(&sampler, 3);
		for (const Answer &answer : c.answers) {
			kb_report_t r = report(answer);

			kb_freshness_sampler_on_reply(&sampler, answer.target,
						      answer.sent, &r);
		}
		EXPECT_EQ(c.confirmed,
			  kb_freshness_confirmed_at(&sampler.freshness))
			<< c.name;
	}
}

TEST(Sampler, OfTwoPrimariesOnlyTheConfirmedOneCounts)
{
	kb_freshness_sampler_t sampler;
	Answer answers[] = { { 0, 10, true, 1, 90 },
			     { 1, 10, true, 2, 60 },
			     { 2, 10, false, 2, 60 } };
	Answer own = { 2, 10, false, 2, 60 },
	       old_side = { 0, 20, false, 1, 95 };

	kb_freshness_sampler_init(&sampler, 3);
	for (const Answer &answer : answers) {
		kb_report_t r = report(answer);

		kb_freshness_sampler_on_reply(&sampler, answer.target,
					      answer.sent, &r);
	}
	kb_report_t follows = report(own), replaced = report(old_side);

	EXPECT_EQ(10, kb_freshness_as_of(&sampler.freshness, &follows));
	EXPECT_EQ(NEVER, kb_freshness_as_of(&sampler.freshness, &replaced));
}

TEST(Sampler, PendingReportsAreBounded)
{
	kb_freshness_sampler_t sampler;
	kb_report_t other = report({ 1, 0, false, 1, 5 });

	kb_freshness_sampler_init(&sampler, 3);
	for (kb_time_t t = 1; t <= 1000; t++) {
		kb_report_t r = report({ 0, t, true, 1, (uint64_t)t });

		EXPECT_EQ(0u,
			  kb_freshness_sampler_on_reply(&sampler, 0, t, &r));
	}
	EXPECT_EQ((size_t)KB_FRESHNESS_SAMPLER_MAX_PENDING,
		  sampler.pending_count);
	EXPECT_EQ((size_t)KB_FRESHNESS_SAMPLER_MAX_PENDING,
		  kb_freshness_sampler_on_reply(&sampler, 1, 1000, &other));
	EXPECT_EQ(0u, sampler.pending_count);
	EXPECT_EQ(1000, kb_freshness_confirmed_at(&sampler.freshness));
}

#include "answer.h"
#include "history.h"

#include <gtest/gtest.h>
#include <string>

/* Passes responses and reads to a history and checks the violations. */
class LoadHistory : public testing::Test
{
      protected:
	void SetUp() override
	{
		kl_history_init(&history, 7);
		EXPECT_EQ(KB_OK, kl_history_add_insert(&history, 0, &write));
		EXPECT_EQ(KB_OK, kl_history_add_part(&history, &part));
		kl_history_record_part(&history, part);
		EXPECT_EQ(KB_OK, kl_history_add_take(&history, part, &first));
		EXPECT_EQ(KB_OK, kl_history_add_take(&history, part, &second));
	}
	void TearDown() override
	{
		kl_history_finish(&history);
	}
	std::string violation_counts() const
	{
		const kl_violations_t *v = &history.violations;

		return std::to_string(v->lost) + std::to_string(v->doubled) +
		       std::to_string(v->stale) +
		       std::to_string(v->wrong_not_run);
	}
	std::string body_of(size_t take) const
	{
		char text[KL_TEXT_BYTES];

		kl_history_body(&history, take, text);
		return text;
	}
	void answer(size_t index, kb_outcome_t outcome, int64_t affected = 1)
	{
		kl_history_record_answer(&history, index, outcome, affected,
					 now);
	}

	kl_history_t history;
	size_t write, part, first, second;
	kb_time_t now = 10 * KB_NS_PER_S;
};

TEST_F(LoadHistory, DetectsEachViolationOfInserts)
{
	static const kb_outcome_t done = KB_OUTCOME_DONE;
	static const kb_outcome_t not_run = KB_OUTCOME_NOT_RUN;
	static const kb_outcome_t unknown = KB_OUTCOME_UNKNOWN;
	struct {
		std::vector<kb_outcome_t> answers;
		size_t rows;
		/* Counts of lost, doubled, stale and wrong_not_run. */
		const char *expected;
	} cases[] = {
		{ { done }, 1, "0000" },
		{ { done }, 0, "1000" },
		{ { done }, 2, "0100" },
		{ { unknown }, 0, "0000" },
		{ { unknown }, 1, "0000" },
		{ { unknown }, 2, "0100" },
		{ { unknown, done }, 0, "1000" },
		{ { not_run }, 0, "0000" },
		{ { not_run }, 1, "0001" },
		{ { not_run, not_run }, 2, "0101" },
		{ { not_run, done }, 1, "0000" },
		{ { not_run, done }, 2, "0100" },
		{ { not_run, unknown }, 1, "0000" },
		{ {}, 0, "0000" },
	};

	for (const auto &c : cases) {
		kl_history_finish(&history);
		SetUp();
		for (kb_outcome_t outcome : c.answers)
			answer(write, outcome);
		kl_history_check_insert(&history, write, c.rows);
		EXPECT_EQ(c.expected, violation_counts())
			<< c.answers.size() << " answers, " << c.rows;
		EXPECT_EQ(kl_violations_total(&history.violations),
			  history.note_count);
	}
}

TEST_F(LoadHistory, AtMostOneTakeOfAPartSucceeds)
{
	struct {
		kb_outcome_t first, second;
		int64_t first_won, second_won;
		/* State of the part: 0 free, 1 first, 2 second, 3 missing. */
		int holder;
		const char *expected;
	} cases[] = {
		{ KB_OUTCOME_DONE, KB_OUTCOME_DONE, 1, 0, 1, "0000" },
		{ KB_OUTCOME_DONE, KB_OUTCOME_DONE, 1, 1, 1, "1100" },
		{ KB_OUTCOME_DONE, KB_OUTCOME_DONE, 1, 0, 0, "1000" },
		{ KB_OUTCOME_DONE, KB_OUTCOME_DONE, 1, 0, 2, "1001" },
		{ KB_OUTCOME_DONE, KB_OUTCOME_UNKNOWN, 1, 0, 2, "1000" },
		{ KB_OUTCOME_DONE, KB_OUTCOME_UNKNOWN, 0, 0, 2, "0000" },
		{ KB_OUTCOME_NOT_RUN, KB_OUTCOME_DONE, 0, 0, 1, "0001" },
		{ KB_OUTCOME_NOT_RUN, KB_OUTCOME_NOT_RUN, 0, 0, 0, "0000" },
		{ KB_OUTCOME_UNKNOWN, KB_OUTCOME_UNKNOWN, 0, 0, 3, "1000" },
	};

	for (const auto &c : cases) {
		kl_history_finish(&history);
		SetUp();
		answer(first, c.first, c.first_won);
		answer(second, c.second, c.second_won);
		std::string body =
			c.holder == 0 ? KL_PART_FREE
				      : body_of(c.holder == 1 ? first : second);
		kl_history_check_part(&history, part,
				      c.holder == 3 ? nullptr : body.c_str());
		EXPECT_EQ(c.expected, violation_counts())
			<< c.first_won << c.second_won << c.holder;
	}
}

TEST_F(LoadHistory, DetectsStaleReads)
{
	struct {
		bool acknowledged, own;
		/* In milliseconds; the write is acknowledged at 10000. */
		int64_t started, took, max_age, age;
		size_t rows;
		const char *expected;
	} cases[] = {
		{ true, true, 10000, 5, 2000, 0, 1, "0000" },
		{ true, true, 10000, 5, 2000, 0, 0, "0010" },
		{ true, true, 9999, 5, 2000, 0, 0, "0000" },
		{ false, true, 10500, 5, 2000, 0, 0, "0000" },
		{ true, false, 11999, 5, 2000, 0, 0, "0000" },
		{ true, false, 12000, 5, 2000, 0, 0, "0010" },
		{ true, false, 10000, 5, 0, 0, 0, "0010" },
		{ true, false, 11000, 5, 2000, 2000, 1, "0000" },
		{ true, false, 11000, 5, 2000, 2001, 1, "0010" },
		{ true, false, 11000, 5, 0, 5, 1, "0000" },
		{ true, false, 11000, 5, 0, 6, 1, "0010" },
		{ true, true, 11000, 5, 2000, 2001, 0, "0020" },
		{ true, false, 11000, 5, 2000, KL_AGE_UNKNOWN, 1, "0000" },
	};

	for (const auto &c : cases) {
		kl_history_finish(&history);
		SetUp();
		if (c.acknowledged)
			answer(write, KB_OUTCOME_DONE);
		kl_read_t read = {};
		read.write = write;
		read.own = c.own;
		read.started = c.started * KB_NS_PER_MS;
		read.finished = read.started + c.took * KB_NS_PER_MS;
		read.max_age = c.max_age * KB_NS_PER_MS;
		read.age_ms = c.age;
		read.rows = c.rows;
		kl_history_check_read(&history, &read);
		EXPECT_EQ(c.expected, violation_counts())
			<< c.started << " " << c.age;
	}
}

TEST_F(LoadHistory, BulkReadsAreCheckedForAgeOnly)
{
	kl_read_t read = {};

	read.write = KL_NO_WRITE;
	read.max_age = KB_NS_PER_S;
	read.age_ms = 1000;
	kl_history_check_read(&history, &read);
	EXPECT_EQ("0000", violation_counts());
	read.age_ms = 1001;
	kl_history_check_read(&history, &read);
	EXPECT_EQ("0010", violation_counts());
}

TEST(LoadAnswer, AcceptsOnlyCompleteAnswersAsSuccess)
{
	struct {
		int status;
		const char *body;
		kb_outcome_t outcome;
		int code;
	} cases[] = {
		{ 200,
		  R"({"rows":[["1","x"]],"affected":1,"role":"replica",)"
		  R"("ageMs":3})",
		  KB_OUTCOME_DONE, 0 },
		{ 200, R"({"rows":[["1","x"]],"affe)", KB_OUTCOME_UNKNOWN,
		  403 },
		{ 200, R"({"rows":[]})", KB_OUTCOME_UNKNOWN, 403 },
		{ 200, "", KB_OUTCOME_UNKNOWN, 403 },
		{ 503, R"({"code":201,"outcome":"not run"})",
		  KB_OUTCOME_NOT_RUN, 201 },
		{ 504, R"({"code":301,"outcome":"unknown"})",
		  KB_OUTCOME_UNKNOWN, 301 },
		{ 503, R"({"code":201})", KB_OUTCOME_UNKNOWN, 403 },
		{ 502, "<html>", KB_OUTCOME_UNKNOWN, 403 },
		{ 0, "", KB_OUTCOME_UNKNOWN, 405 },
	};
	kl_answer_t answer;

	for (const auto &c : cases) {
		kl_answer_init(&answer, c.status, { c.body, strlen(c.body) });
		EXPECT_EQ(c.outcome, answer.outcome) << c.body;
		EXPECT_EQ(c.code, answer.code) << c.body;
		if (c.outcome == KB_OUTCOME_DONE) {
			EXPECT_EQ(1u, kl_answer_rows(&answer));
			EXPECT_STREQ("x", kl_answer_cell(&answer, 1));
			EXPECT_EQ(3, answer.age_ms);
			EXPECT_TRUE(answer.from_replica);
		}
		kl_answer_finish(&answer);
	}
}

TEST(LoadAnswer, UnsentRequestIsNotRun)
{
	kl_answer_t answer;

	kl_answer_init_unsent(&answer);
	EXPECT_EQ(KB_OUTCOME_NOT_RUN, answer.outcome);
	EXPECT_EQ(KB_ERR_UNREACHABLE, answer.code);
	kl_answer_finish(&answer);
}

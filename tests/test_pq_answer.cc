#include "pq_answer.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

/* Builds results like those of libpq. */
class PqAnswer : public testing::Test
{
      protected:
	static constexpr size_t limit = 1000;
	kb_pq_answer_t answer;

	void SetUp() override
	{
		kb_pq_answer_init(&answer, limit);
	}

	void TearDown() override
	{
		kb_pq_answer_finish(&answer);
	}

	static PGresult *rows(ExecStatusType status,
			      const std::vector<std::string> &values)
	{
		char name[] = "body";
		PGresAttDesc column = {};
		PGresult *result = PQmakeEmptyPGresult(nullptr, status);

		column.name = name;
		column.typlen = -1;
		EXPECT_TRUE(PQsetResultAttrs(result, 1, &column));
		for (size_t i = 0; i < values.size(); i++)
			EXPECT_TRUE(
				PQsetvalue(result, (int)i, 0,
					   const_cast<char *>(values[i].data()),
					   (int)values[i].size()));
		return result;
	}

	void add(const std::string &value)
	{
		PGresult *result = rows(PGRES_SINGLE_TUPLE, { value });

		kb_pq_answer_add(&answer, result);
		PQclear(result);
	}

	kb_answer_t end()
	{
		PGresult *result = rows(PGRES_TUPLES_OK, {});
		kb_answer_t out;

		kb_pq_answer_end(&answer, result, &out);
		PQclear(result);
		return out;
	}
};

TEST_F(PqAnswer, RowsWithinTheLimitAreKept)
{
	for (int i = 0; i < 5; i++)
		add(std::string(100, 'x'));
	kb_answer_t out = end();

	EXPECT_EQ(KB_OK, out.result);
	EXPECT_EQ(5u, json_array_size(out.rows));
	EXPECT_EQ(1u, json_array_size(out.columns));
}

TEST_F(PqAnswer, AnswerBeyondTheLimitFailsWithoutRows)
{
	for (int i = 0; i < 50; i++) {
		add(std::string(100, 'x'));
		EXPECT_GE(limit, json_array_size(answer.rows) * 100);
	}
	kb_answer_t out = end();

	EXPECT_EQ(KB_ERR_TOO_LARGE, out.result);
	EXPECT_EQ(0u, json_array_size(out.rows));
	kb_pq_answer_reset(&answer);
	add("x");
	EXPECT_EQ(KB_OK, end().result) << "the limit is per statement";
}

TEST_F(PqAnswer, ManyShortRowsCountTheirOverhead)
{
	for (int i = 0; i < 100; i++)
		add("");
	EXPECT_EQ(KB_ERR_TOO_LARGE, end().result);
}

TEST_F(PqAnswer, ValueThatIsNotUtf8IsAnError)
{
	add("\xff\xfe");
	EXPECT_NE(KB_OK, end().result);
}

TEST_F(PqAnswer, ErrorAfterRowsIsAnError)
{
	PGresult *result = PQmakeEmptyPGresult(nullptr, PGRES_FATAL_ERROR);
	kb_answer_t out;

	add("x");
	kb_pq_answer_end(&answer, result, &out);
	EXPECT_EQ(KB_ERR_STATEMENT, out.result);
	PQclear(result);
}

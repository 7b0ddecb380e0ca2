#include "point.h"

#include <gtest/gtest.h>
#include <cstring>
#include <string>

static kb_history_t parse(const char *text)
{
	kb_history_t history;

	EXPECT_EQ(KB_OK, kb_history_parse(&history, text, strlen(text)));
	return history;
}

TEST(Point, ContainsFollowsTermsAndNotBarePositions)
{
	struct {
		const char *history;
		uint64_t end, term, position;
		bool held;
	} cases[] = {
		{ "1:1,3:10", 20, 1, 9, true },
		{ "1:1,3:10", 20, 1, 10, false },
		{ "1:1,3:10", 20, 3, 10, true },
		{ "1:1,3:10", 20, 3, 21, false },
		{ "1:1,3:10", 20, 2, 5, false },
		{ "1:1,3:10", 20, 4, 5, false },
		{ "5:100", 120, 2, 99, true },
		{ "5:100", 120, 2, 100, false },
		{ "", 0, 1, 1, false },
		{ "", 0, 0, 0, true },
	};

	for (const auto &c : cases) {
		kb_history_t history = parse(c.history);
		kb_point_t point = { c.term, c.position };

		EXPECT_EQ(c.held, !!kb_history_contains(&history, c.end, point))
			<< c.history << " " << c.term << ":" << c.position;
	}
}

TEST(Point, ParseRefusesMalformedHistories)
{
	const char *cases[] = { ",",	    "1",
				"1:",	    ":1",
				"1:1,",	    "1:1,1:2",
				"2:5,3:5",  "1:x",
				"1:1,,2:2", "99999999999999999999:1" };
	kb_history_t history;

	for (const char *text : cases)
		EXPECT_EQ(KB_ERR_INVALID,
			  kb_history_parse(&history, text, strlen(text)))
			<< text;
}

TEST(Point, FormatIsTheInverseOfParse)
{
	char buffer[64], small[4];
	kb_history_t history = parse("1:1,3:10,9:44");

	EXPECT_EQ(KB_OK, kb_history_format(&history, buffer, sizeof(buffer)));
	EXPECT_STREQ("1:1,3:10,9:44", buffer);
	EXPECT_EQ(KB_ERR_TOO_LARGE,
		  kb_history_format(&history, small, sizeof(small)));
}

TEST(Point, FullHistoryDropsItsOldestTerm)
{
	kb_history_t history = {};

	for (uint64_t term = 1; term <= KB_HISTORY_MAX_TERMS + 1; term++)
		kb_history_append(&history, term, term * 10);
	EXPECT_EQ(KB_HISTORY_MAX_TERMS, history.count);
	EXPECT_EQ(2u, history.entries[0].term);
}

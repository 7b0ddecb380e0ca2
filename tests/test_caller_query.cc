#include "caller_query.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

struct Case {
	const char *text;
	kb_query_verb_t verb;
	const char *id, *name, *body;
};

std::string text_of(kb_str_t s)
{
	return std::string(s.data ? s.data : "", s.len);
}

} // namespace

TEST(CallerQuery, ReadsEveryKindOfText)
{
	const Case cases[] = {
		{ "q1 BEGIN", KB_QUERY_BEGIN, "q1", "", "" },
		{ "q1 BEGIN READ", KB_QUERY_BEGIN_READ_ONLY, "q1", "", "" },
		{ "q1 COMMIT", KB_QUERY_COMMIT, "q1", "", "" },
		{ "q1 ROLLBACK", KB_QUERY_ROLLBACK, "q1", "", "" },
		{ "q1 READ item 7", KB_QUERY_READ, "q1", "", "item 7" },
		{ "q1 WRITE item a b", KB_QUERY_WRITE, "q1", "", "item a b" },
		{ "q1 SET zone a b", KB_QUERY_SET, "q1", "zone", "a b" },
		{ "q1 SET zone", KB_QUERY_SET, "q1", "zone", "" },
		{ "q1 PREPARE p READ shape", KB_QUERY_PREPARE_READ, "q1", "p",
		  "shape" },
		{ "q1 PREPARE p WRITE shape", KB_QUERY_PREPARE_WRITE, "q1", "p",
		  "shape" },
		{ "q1 EXEC p item data", KB_QUERY_EXECUTE, "q1", "p",
		  "item data" },
		{ "q1 DEALLOC p", KB_QUERY_CLOSE_STATEMENT, "q1", "p", "" },
	};

	for (const Case &c : cases) {
		kb_query_t query;

		kb_caller_query_parse(kb_str_from(c.text), &query);
		EXPECT_EQ(c.verb, query.verb) << c.text;
		EXPECT_EQ(c.id, text_of(query.id)) << c.text;
		EXPECT_EQ(c.name, text_of(query.name)) << c.text;
		EXPECT_EQ(c.body, text_of(query.body)) << c.text;
	}
}

TEST(CallerQuery, WhatCannotBeUnderstoodNamesNothingToRun)
{
	const char *const texts[] = {
		"",
		"q1",
		"q1 ",
		"q1 DROP t",
		"q1 BEGIN WRITE",
		"q1 COMMIT now",
		"q1 ROLLBACK now",
		"q1 READ",
		"q1 WRITE",
		"q1 SET",
		"q1 PREPARE p",
		"q1 PREPARE p READ",
		"q1 PREPARE p DELETE shape",
		"q1 EXEC p",
		"q1 EXEC",
		"q1 DEALLOC",
		"q1 begin",
	};

	for (const char *text : texts) {
		kb_query_t query;

		kb_caller_query_parse(kb_str_from(text), &query);
		EXPECT_EQ(KB_QUERY_MALFORMED, query.verb) << text;
	}
}

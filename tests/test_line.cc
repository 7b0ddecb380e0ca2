#include "line.h"

#include <event2/buffer.h>
#include <gtest/gtest.h>
#include <string>

TEST(Line, CompleteLinesAreReadAndOthersRejected)
{
	struct {
		const char *name;
		std::string input;
		kb_result_t result;
		std::string line;
	} cases[] = {
		{ "complete", "READY I -\r\n", KB_OK, "READY I -" },
		{ "without CR", "BYE\n", KB_OK, "BYE" },
		{ "incomplete", "READY I", KB_ERR_TIMEOUT, "" },
		{ "empty", "\r\n", KB_OK, "" },
		{ "with a NUL byte", std::string("A\0B\r\n", 5),
		  KB_ERR_PROTOCOL, "" },
		{ "endless", std::string(KB_LINE_MAX_BYTES, 'x'),
		  KB_ERR_TOO_LARGE, "" },
		{ "too long", std::string(KB_LINE_MAX_BYTES, 'x') + "\r\n",
		  KB_ERR_TOO_LARGE, "" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		struct evbuffer *input = evbuffer_new();
		char *line = nullptr;
		size_t len = 0;

		evbuffer_add(input, c.input.data(), c.input.size());
		EXPECT_EQ(c.result, kb_line_read(input, &line, &len));
		if (c.result == KB_OK) {
			EXPECT_EQ(c.line, std::string(line, len));
		}
		free(line);
		evbuffer_free(input);
	}
}

TEST(Line, WordsEndAtOneBlank)
{
	kb_str_t rest = KB_STR("READ  1a4 x y");

	EXPECT_TRUE(kb_str_equal(KB_STR("READ"), kb_line_word(&rest)));
	EXPECT_TRUE(kb_str_equal(KB_STR(""), kb_line_word(&rest)));
	EXPECT_TRUE(kb_str_equal(KB_STR("1a4"), kb_line_word(&rest)));
	EXPECT_TRUE(kb_str_equal(KB_STR("x y"), rest));
}

TEST(Line, PointsAreParsedAndFormatted)
{
	struct {
		const char *text;
		kb_result_t result;
		kb_point_t point;
	} cases[] = {
		{ "3.1207", KB_OK, { 3, 1207 } },
		{ "-", KB_OK, { 0, 0 } },
		{ "3", KB_ERR_PROTOCOL, { 0, 0 } },
		{ ".5", KB_ERR_PROTOCOL, { 0, 0 } },
		{ "3.", KB_ERR_PROTOCOL, { 3, 0 } },
		{ "3.-1", KB_ERR_PROTOCOL, { 3, 0 } },
		{ "", KB_ERR_PROTOCOL, { 0, 0 } },
	};

	for (const auto &c : cases) {
		char buffer[KB_LINE_POINT_BYTES];
		kb_point_t point;

		EXPECT_EQ(c.result,
			  kb_line_parse_point(kb_str_from(c.text), &point))
			<< c.text;
		if (c.result != KB_OK)
			continue;
		EXPECT_EQ(0, kb_point_compare(c.point, point)) << c.text;
		EXPECT_TRUE(kb_str_equal(kb_str_from(c.text),
					 kb_line_format_point(point, buffer)));
	}
}

TEST(Line, NotRunCodesAreSentOnlyForRequestsNotRun)
{
	static const char *const not_run_codes[] = { "BUSY",	  "ABORTED",
						     "LAGGING",	  "READONLY",
						     "WRONGNODE", "TOOMANY" };

	for (int i = KB_ERR_INVALID; i <= KB_ERR_SETTINGS; i++) {
		auto result = (kb_result_t)i;
		std::string code = kb_line_code(result);

		if (!std::string("unknown").compare(kb_result_name(result)))
			continue;
		for (const char *not_run_code : not_run_codes)
			if (code == not_run_code) {
				EXPECT_EQ(KB_OUTCOME_NOT_RUN,
					  kb_result_outcome(result))
					<< kb_result_name(result);
			}
	}
	EXPECT_STREQ("INDOUBT", kb_line_code(KB_ERR_UNKNOWN));
	EXPECT_STREQ("INDOUBT", kb_line_code(KB_ERR_CLOSED));
	EXPECT_EQ(KB_ERR_PROTOCOL, kb_line_result(KB_STR("PERHAPS")));
}

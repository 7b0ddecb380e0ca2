#include "line.h"

#include <event2/buffer.h>
#include <gtest/gtest.h>
#include <string>
#include <vector>

TEST(Line, CompleteLinesAreReadAndOthersRejected)
{
	struct {
		const char *name;
		std::string input;
		kb_result_t result;
		std::string line;
	} cases[] = {
		{ "complete", "READY I -\r\n", KB_OK, "READY I -" },
		{ "without CR", "BYE\n", KB_ERR_TIMEOUT, "" },
		{ "without LF", "BYE\r", KB_ERR_TIMEOUT, "" },
		{ "LF in a text", "WRITE a b\nQUERY c\r\n", KB_OK,
		  "WRITE a b\nQUERY c" },
		{ "CR in a text", "WRITE a b\rc\r\r\n", KB_OK,
		  "WRITE a b\rc\r" },
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
		size_t searched = 0;
		size_t len = 0;

		evbuffer_add(input, c.input.data(), c.input.size());
		EXPECT_EQ(c.result,
			  kb_line_read(input, &searched, &line, &len));
		if (c.result == KB_OK) {
			EXPECT_EQ(c.line, std::string(line, len));
		}
		free(line);
		evbuffer_free(input);
	}
}

/* Guards against a text with a line feed that ran as two requests. */
TEST(Line, ALineFeedInATextDoesNotEndTheRequest)
{
	const std::string texts[] = { "WRITE a x\nQUERY i WRITE b y",
				      "\nBYE",
				      "x\n",
				      "x\r",
				      "\r\r",
				      "\n\r" };

	for (const std::string &text : texts) {
		struct evbuffer *stream = evbuffer_new();
		kb_str_t fields[] = { KB_STR("QUERY"),
				      { text.data(), text.size() } };
		char *line = nullptr;
		size_t searched = 0;
		size_t len = 0;

		kb_line_write(stream, fields, 2);
		ASSERT_EQ(KB_OK, kb_line_read(stream, &searched, &line, &len));
		EXPECT_EQ("QUERY " + text, std::string(line, len));
		EXPECT_EQ(0u, evbuffer_get_length(stream));
		free(line);
		evbuffer_free(stream);
	}
}

/* Guards against a search that begins anew with each byte that arrives. */
TEST(Line, NoByteOfALineInPiecesIsSearchedTwice)
{
	const std::string input = "READ a\r\r\nQUERY\n\r\n\r\n";
	struct evbuffer *stream = evbuffer_new();
	std::vector<std::string> lines;
	size_t searched = 0;

	for (char byte : input) {
		char *line = nullptr;
		size_t len = 0;

		evbuffer_add(stream, &byte, 1);
		if (kb_line_read(stream, &searched, &line, &len)) {
			EXPECT_EQ(evbuffer_get_length(stream) - 1, searched);
			continue;
		}
		EXPECT_EQ(0u, searched);
		lines.emplace_back(line, len);
		free(line);
	}
	EXPECT_EQ((std::vector<std::string>{ "READ a\r", "QUERY\n", "" }),
		  lines);
	evbuffer_free(stream);
}

/* Guards against a field that its reader takes for several. */
TEST(Line, AFieldThatWouldBeSeveralIsNotWritten)
{
	struct {
		const char *first, *last;
		kb_result_t result;
	} cases[] = {
		{ "ERR", "a b\nc\r", KB_OK },
		{ "SET", "", KB_OK },
		{ "ROW", "x\r\nDONE y", KB_ERR_INVALID },
		{ "a b", "c", KB_ERR_INVALID },
		{ "a\r\nBYE", "c", KB_ERR_INVALID },
	};

	for (const auto &c : cases) {
		struct evbuffer *output = evbuffer_new();
		kb_str_t fields[] = { kb_str_from(c.first),
				      kb_str_from(c.last) };
		size_t len =
			c.result ? 0 : strlen(c.first) + strlen(c.last) + 3;

		EXPECT_EQ(c.result, kb_line_write(output, fields, 2))
			<< c.first;
		EXPECT_EQ(len, evbuffer_get_length(output)) << c.first;
		evbuffer_free(output);
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

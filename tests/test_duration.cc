#include "duration.h"

#include <gtest/gtest.h>
#include <cstring>

TEST(Duration, ParsesAndFormatsWithUnits)
{
	struct {
		const char *text, *formatted;
		kb_time_t value;
	} cases[] = {
		{ "0s", "0s", 0 },
		{ "250ms", "250ms", 250 * KB_NS_PER_MS },
		{ "1500ms", "1500ms", 1500 * KB_NS_PER_MS },
		{ "2000ms", "2s", 2 * KB_NS_PER_S },
		{ "1m", "1m", 60 * KB_NS_PER_S },
		{ "90s", "90s", 90 * KB_NS_PER_S },
		{ "2h", "2h", 7200 * KB_NS_PER_S },
		{ "7us", "7us", 7 * KB_NS_PER_US },
		{ "3ns", "3ns", 3 },
	};
	char text[KB_DURATION_TEXT_BYTES];

	for (const auto &c : cases) {
		kb_time_t value = -1;

		EXPECT_EQ(KB_OK,
			  kb_duration_parse(kb_str_from(c.text), &value));
		EXPECT_EQ(c.value, value) << c.text;
		kb_duration_format(value, text);
		EXPECT_STREQ(c.formatted, text);
	}
}

TEST(Duration, RefusesMalformedText)
{
	const char *cases[] = { "",
				"s",
				"1",
				"-1s",
				"1.5s",
				"1 s",
				"1S",
				" 1s",
				"1sec",
				"1s1ms",
				"1KiB",
				"0x10s",
				"9999999999h",
				"99999999999999999999ns" };
	kb_time_t value;

	for (const char *text : cases)
		EXPECT_EQ(KB_ERR_INVALID,
			  kb_duration_parse(kb_str_from(text), &value))
			<< text;
}

TEST(Duration, ParsesAndFormatsSizes)
{
	struct {
		const char *text, *formatted;
		uint64_t value;
	} cases[] = {
		{ "0B", "0B", 0 },	     { "100B", "100B", 100 },
		{ "64KiB", "64KiB", 65536 }, { "1024KiB", "1MiB", 1048576 },
		{ "3MiB", "3MiB", 3 << 20 }, { "1GiB", "1GiB", 1 << 30 },
	};
	const char *faults[] = { "",   "1",   "1KB",	       "1kib",
				 "1s", "-1B", "99999999999GiB" };
	char text[KB_DURATION_TEXT_BYTES];
	uint64_t value;

	for (const auto &c : cases) {
		EXPECT_EQ(KB_OK,
			  kb_duration_parse_size(kb_str_from(c.text), &value));
		EXPECT_EQ(c.value, value) << c.text;
		kb_duration_format_size(value, text);
		EXPECT_STREQ(c.formatted, text);
	}
	for (const char *fault : faults)
		EXPECT_EQ(KB_ERR_INVALID,
			  kb_duration_parse_size(kb_str_from(fault), &value))
			<< fault;
}

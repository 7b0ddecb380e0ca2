#include "kumquatbridge.h"
#include "log.h"
#include "settings_value.h"

#include <gtest/gtest.h>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

static std::string read_file(const std::string &path)
{
	std::ifstream file(KB_SOURCE_DIR "/" + path);
	std::stringstream text;

	EXPECT_TRUE(file.good()) << path;
	text << file.rdbuf();
	return text.str();
}

/* Returns the "| number | name |" rows of a page as "number name". */
static std::set<std::string> rows_of(const std::string &path)
{
	static const std::regex row("\\| *([0-9]+) *\\| *([A-Za-z_-]+) *\\|");
	std::string text = read_file(path);
	std::set<std::string> rows;

	for (std::sregex_iterator i(text.begin(), text.end(), row), end;
	     i != end; ++i)
		rows.insert((*i)[1].str() + " " + (*i)[2].str());
	return rows;
}

TEST(DocsTables, LogEventsHaveNumbersOfTheirOwn)
{
	size_t count;
	const kb_event_info_t *events = kb_log_catalogue(&count);
	std::set<int> numbers;

	for (size_t i = 0; i < count; i++)
		EXPECT_TRUE(numbers.insert((int)events[i].event).second)
			<< events[i].name;
}

TEST(DocsTables, LogEventsMatchTheCatalogue)
{
	std::set<std::string> expected;
	std::set<int> numbers;
	size_t count;
	const kb_event_info_t *events = kb_log_catalogue(&count);

	for (size_t i = 0; i < count; i++) {
		EXPECT_TRUE(numbers.insert(events[i].event).second)
			<< events[i].name << " has the number of another event";
		expected.insert(std::to_string(events[i].event) + " " +
				events[i].name);
	}
	EXPECT_EQ(count, expected.size()) << "duplicate event";
	EXPECT_EQ(expected, rows_of("docs/LOG-EVENTS.md"));
}

TEST(DocsTables, ResultCodesMatchTheHeader)
{
	static const std::regex code("KB_[A-Z_]+ = ([0-9]+),");
	std::string header = read_file("include/kumquatbridge.h");
	std::set<std::string> expected;

	for (std::sregex_iterator i(header.begin(), header.end(), code), end;
	     i != end; ++i) {
		auto result = (kb_result_t)std::stoi((*i)[1].str());

		EXPECT_STRNE("unknown", kb_result_name(result)) << (*i)[0];
		expected.insert((*i)[1].str() + " " + kb_result_name(result));
	}
	EXPECT_FALSE(expected.empty());
	EXPECT_EQ(expected, rows_of("docs/RESULT-CODES.md"));
}

static void add_setting(void *ctx, const char *section, const char *name,
			const char *form)
{
	static_cast<std::set<std::string> *>(ctx)->insert(
		std::string(section) + " " + name + " " + form);
}

TEST(DocsTables, SettingsMatchTheKnownKeys)
{
	static const std::regex row(
		"\\| (\\w+) \\| ([\\w*]+) \\| ([a-z ]+) \\|");
	std::string text = read_file("docs/SETTINGS.md");
	std::set<std::string> expected, rows;

	kb_settings_value_each(add_setting, &expected);
	for (std::sregex_iterator i(text.begin(), text.end(), row), end;
	     i != end; ++i)
		if ((*i)[1] != "section")
			rows.insert((*i)[1].str() + " " + (*i)[2].str() + " " +
				    (*i)[3].str());
	EXPECT_EQ(expected, rows);
}

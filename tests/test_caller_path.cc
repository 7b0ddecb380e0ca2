#include "caller_path.h"

#include <gtest/gtest.h>
#include <string>

TEST(CallerPath, ParsesKnownPaths)
{
	const std::string longest(KB_NAME_MAX_BYTES, 'g');
	struct {
		std::string path;
		kbx_action action;
		std::string group, transaction;
		bool has_body;
	} cases[] = {
		{ "/v1/groups/race-1/statements", KBX_ACTION_WRITE, "race-1",
		  "", true },
		{ "/v1/groups/race-1/transactions", KBX_ACTION_BEGIN, "race-1",
		  "", false },
		{ "/v1/groups/race-1/transactions/h1~t~5/statements",
		  KBX_ACTION_STATEMENT, "race-1", "h1~t~5", true },
		{ "/v1/groups/race-1/transactions/x/commit", KBX_ACTION_COMMIT,
		  "race-1", "x", false },
		{ "/v1/groups/race-1/transactions/x/rollback",
		  KBX_ACTION_ROLLBACK, "race-1", "x", false },
		{ "/v1/groups/" + longest + "/statements", KBX_ACTION_WRITE,
		  longest, "", true },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.path);
		kb_caller_path_t parsed;

		ASSERT_EQ(KB_OK,
			  kb_caller_path_parse({ c.path.data(), c.path.size() },
					       &parsed));
		EXPECT_EQ(c.action, parsed.action);
		EXPECT_EQ(c.group,
			  std::string(parsed.group.data, parsed.group.len));
		EXPECT_EQ(c.transaction, std::string(parsed.transaction.data,
						     parsed.transaction.len));
		EXPECT_EQ(c.has_body, !!parsed.has_body);
	}
}

TEST(CallerPath, OtherPathsAreNotFound)
{
	const std::string long_name(KB_NAME_MAX_BYTES + 1, 'g');
	const std::string paths[] = {
		"",
		"/",
		"/v1",
		"/v1/groups",
		"/v1/groups/",
		"/v1/groups/race-1",
		"/v1/groups/race-1/",
		"/v1/groups//statements",
		"/v1/groups/race-1/statements/",
		"/v1/groups/race-1/statement",
		"/v1/groups/race-1/Statements",
		"/v2/groups/race-1/statements",
		"/v1/groups/race-1/transactions/x",
		"/v1/groups/race-1/transactions/x/",
		"/v1/groups/race-1/transactions/x/abort",
		"/v1/groups/race-1/transactions/x/commit/y",
		"/v1/groups/race-1/transactions/x/y/commit",
		"/v1/groups/a/b/c/d/e/f/g/h/i/j",
		"/v1/groups/" + long_name + "/statements",
		std::string("/v1/groups/race-1/statements\0", 29),
	};

	for (const std::string &path : paths) {
		SCOPED_TRACE(path);
		kb_caller_path_t parsed;

		EXPECT_EQ(KB_ERR_NOT_FOUND,
			  kb_caller_path_parse({ path.data(), path.size() },
					       &parsed));
	}
}

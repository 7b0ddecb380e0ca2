#include "problem.h"

#include <gtest/gtest.h>
#include <cstdlib>
#include <string>

TEST(Problem, StatusAndOutcomeFollowTheResult)
{
	struct {
		kb_result_t result;
		int status;
		const char *outcome;
	} cases[] = {
		{ KB_ERR_INVALID, 400, "not run" },
		{ KB_ERR_TOO_LARGE, 413, "not run" },
		{ KB_ERR_UNAUTHENTICATED, 401, "not run" },
		{ KB_ERR_FORBIDDEN, 403, "not run" },
		{ KB_ERR_NOT_FOUND, 404, "not run" },
		{ KB_ERR_CONFLICT, 409, "not run" },
		{ KB_ERR_KEY_REUSED, 422, "not run" },
		{ KB_ERR_OVERLOADED, 503, "not run" },
		{ KB_ERR_UNREACHABLE, 503, "not run" },
		{ KB_ERR_UNKNOWN, 504, "unknown" },
		{ KB_ERR_TIMEOUT, 504, "unknown" },
		{ KB_ERR_NO_MEMORY, 500, "unknown" },
	};

	for (const auto &c : cases) {
		EXPECT_EQ(c.status, kb_problem_status(c.result)) << c.result;
		EXPECT_STREQ(c.outcome, kb_problem_outcome(c.result));
	}
}

TEST(Problem, BodyHasTheFieldAndExtraMembers)
{
	json_t *members = json_pack("{s:{s:i}}", "current", "revision", 7);
	kb_problem_t problem = {};
	int status;

	problem.result = KB_ERR_CONFLICT;
	problem.status = 412;
	problem.detail = "changed";
	problem.field = "spec";
	problem.members = members;
	char *text = kb_problem_format(&problem, &status);

	EXPECT_EQ(412, status);
	EXPECT_STREQ(
		"{\"type\":\"urn:kumquatbridge:problem:conflict\","
		"\"title\":\"the resource has changed\",\"status\":412,"
		"\"code\":106,\"outcome\":\"not run\",\"detail\":\"changed\","
		"\"field\":\"spec\",\"current\":{\"revision\":7}}",
		text);
	free(text);
	json_decref(members);
}

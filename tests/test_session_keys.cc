#include "caller_session_fixture.h"

namespace
{

const std::vector<KeyOfTeam> red = { { "red", "r1" } };
const std::vector<KeyOfTeam> blue = { { "blue", "r1" } };
const std::vector<KeyOfTeam> others = { { "red", "r2" }, { "blue", "b1" } };

/* Runs a single statement and returns the team that it ran for, or "!". */
std::string run_single(Caller *caller)
{
	int before = caller->runs;

	caller->query(KB_QUERY_READ, "", "1a4");
	if (caller->runs == before) {
		EXPECT_EQ(KB_ERR_UNAUTHENTICATED, caller->answer.result);
		EXPECT_EQ(KB_TXN_NONE, caller->answer.state);
		return "!";
	}
	caller->ran(KB_OK);
	return caller->team();
}

} // namespace

TEST(SessionKeys, ASessionNeedsAKeyOfATeam)
{
	struct {
		const char *name, *key;
		std::vector<KeyOfTeam> keys;
		kb_result_t result;
	} cases[] = {
		{ "known", "r1", red, KB_OK },
		{ "unknown", "r9", red, KB_ERR_UNAUTHENTICATED },
		{ "missing", "", red, KB_ERR_UNAUTHENTICATED },
		{ "of no team", "r1", {}, KB_ERR_UNAUTHENTICATED },
		{ "of two teams",
		  "r1",
		  { { "red", "r1" }, { "blue", "r1" } },
		  KB_ERR_UNAUTHENTICATED },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Caller caller(c.key, c.keys);

		EXPECT_EQ(c.result, caller.opened);
		if (c.result == KB_OK) {
			EXPECT_EQ("red", run_single(&caller));
		}
	}
}

TEST(SessionKeys, APublicDatabaseNeedsNone)
{
	for (const char *key : { "", "r1", "r9" }) {
		Caller caller(key, red, true);

		EXPECT_EQ(KB_OK, caller.opened) << key;
		EXPECT_EQ("", run_single(&caller)) << key;
	}
}

TEST(SessionKeys, ADatabaseThatIsNoLongerPublicNeedsAKey)
{
	Caller with("r1", red, true), without("", red, true);

	with.database.is_public = without.database.is_public = 0;
	EXPECT_EQ("red", run_single(&with));
	EXPECT_EQ("!", run_single(&without));
	with.database.is_public = without.database.is_public = 1;
	EXPECT_EQ("", run_single(&with));
	EXPECT_EQ("", run_single(&without));
}

TEST(SessionKeys, ARemovedKeyEndsSingleStatements)
{
	Caller caller("r1", red);

	EXPECT_EQ("red", run_single(&caller));
	caller.set_keys(others);
	EXPECT_EQ("!", run_single(&caller));
	EXPECT_EQ("id", caller.authenticated_id);
	EXPECT_EQ("!", run_single(&caller));
	caller.set_keys(red);
	EXPECT_EQ("red", run_single(&caller));
}

TEST(SessionKeys, ARemovedKeyEndsPreparedStatements)
{
	Caller caller("r1", red);

	caller.query(KB_QUERY_PREPARE_READ, "s1", "q2c");
	caller.set_keys(others);
	caller.query(KB_QUERY_EXECUTE, "s1", "1a4");
	EXPECT_EQ(KB_ERR_UNAUTHENTICATED, caller.answer.result);
	EXPECT_EQ(0, caller.runs);
}

TEST(SessionKeys, AnOpenTransactionOutlivesItsKey)
{
	Caller caller("r1", red);

	caller.query(KB_QUERY_BEGIN);
	caller.set_keys(others);
	caller.query(KB_QUERY_WRITE, "", "1a4 x");
	EXPECT_EQ("red", caller.team());
	caller.ran(KB_OK, 3);
	caller.query(KB_QUERY_COMMIT);
	EXPECT_EQ("red", caller.team());
	caller.ran(KB_OK);
	EXPECT_EQ(KB_OK, caller.answer.result);
	caller.query(KB_QUERY_BEGIN);
	EXPECT_EQ(KB_ERR_UNAUTHENTICATED, caller.answer.result);
	EXPECT_EQ(KB_TXN_NONE, caller.answer.state);
	EXPECT_EQ(2, caller.runs);
}

TEST(SessionKeys, AKeyMovesToAnotherTeamFromTheNextTransactionOn)
{
	Caller caller("r1", red);

	caller.query(KB_QUERY_BEGIN);
	caller.query(KB_QUERY_READ, "", "1a4");
	EXPECT_EQ("red", caller.team());
	caller.ran(KB_OK, 3);
	caller.set_keys(blue);
	caller.query(KB_QUERY_READ, "", "1a4");
	EXPECT_EQ("red", caller.team());
	caller.ran(KB_OK, 3);
	caller.query(KB_QUERY_COMMIT);
	EXPECT_EQ("red", caller.team());
	caller.ran(KB_OK);
	EXPECT_EQ("blue", run_single(&caller));
}

TEST(SessionKeys, AKeyThatBecomesAmbiguousIdentifiesNobody)
{
	Caller caller("r1", red);

	caller.set_keys({ { "red", "r1" }, { "blue", "r1" } });
	EXPECT_EQ("!", run_single(&caller));
	caller.set_keys(blue);
	EXPECT_EQ("blue", run_single(&caller));
}

TEST(SessionKeys, AConfigurationMayLoseAndGetTeams)
{
	Caller caller("r1", red), keyless;

	EXPECT_EQ("", run_single(&keyless));
	keyless.set_keys(red);
	EXPECT_EQ("!", run_single(&keyless));
	caller.teams.configured = keyless.teams.configured = 0;
	EXPECT_EQ("", run_single(&caller));
	EXPECT_EQ("", run_single(&keyless));
	caller.teams.configured = 1;
	EXPECT_EQ("red", run_single(&caller));
}

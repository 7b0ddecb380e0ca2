#include "caller_session_fixture.h"

#include <gtest/gtest.h>

TEST(CallerSession, AnswersLocallyWhatNeedsNoTarget)
{
	Caller caller;

	caller.query(KB_QUERY_SET, "zone", "a");
	caller.query(KB_QUERY_PREPARE_READ, "s1", "q2c");
	caller.query(KB_QUERY_BEGIN);
	EXPECT_EQ(KB_TXN_OPEN, caller.answer.state);
	caller.query(KB_QUERY_ROLLBACK);
	caller.query(KB_QUERY_CLOSE_STATEMENT, "s1");
	EXPECT_EQ(5, caller.answer.count);
	EXPECT_EQ(KB_OK, caller.answer.result);
	EXPECT_EQ("", caller.answer.signature);
	EXPECT_EQ(0, caller.runs);
	EXPECT_EQ(0, caller.rollbacks);
}

TEST(CallerSession, TransactionStates)
{
	struct {
		const char *name;
		kb_result_t result;
		/* Id of the transaction if it is still open at the gate, or 0.
		 */
		uint64_t open;
		kb_txn_state_t state;
	} cases[] = {
		{ "success", KB_OK, 5, KB_TXN_OPEN },
		{ "failure in the transaction", KB_ERR_STATEMENT, 5,
		  KB_TXN_OPEN },
		{ "failure that ends the transaction", KB_ERR_STATEMENT, 0,
		  KB_TXN_FAILED },
		{ "connection lost", KB_ERR_CLOSED, 0, KB_TXN_FAILED },
		{ "not run", KB_ERR_OVERLOADED, 0, KB_TXN_FAILED },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Caller caller;

		caller.query(KB_QUERY_BEGIN);
		caller.query(KB_QUERY_READ, "", "1a4");
		EXPECT_TRUE(caller.session.args.transactional);
		caller.ran(c.result, c.open);
		EXPECT_EQ(c.state, caller.answer.state);
		if (c.state != KB_TXN_FAILED)
			continue;
		caller.query(KB_QUERY_READ, "", "1a4");
		EXPECT_EQ(KB_ERR_INVALID, caller.answer.result);
		EXPECT_EQ(1, caller.runs);
		caller.query(KB_QUERY_COMMIT);
		EXPECT_EQ(KB_ERR_ROLLED_BACK, caller.answer.result);
		EXPECT_EQ(KB_TXN_NONE, caller.answer.state);
		EXPECT_EQ(1, caller.runs);
	}
}

TEST(CallerSession, UncertainResultDependsOnTheStatement)
{
	struct {
		bool transactional;
		kb_query_verb_t verb;
		kb_result_t reported;
	} cases[] = {
		{ false, KB_QUERY_WRITE, KB_ERR_UNKNOWN },
		{ false, KB_QUERY_READ, KB_ERR_TIMEOUT },
		{ true, KB_QUERY_WRITE, KB_ERR_ROLLED_BACK },
		{ true, KB_QUERY_READ, KB_ERR_ROLLED_BACK },
		{ true, KB_QUERY_COMMIT, KB_ERR_UNKNOWN },
	};

	for (const auto &c : cases)
		for (kb_result_t result :
		     { KB_ERR_CLOSED, KB_ERR_TIMEOUT, KB_ERR_PROTOCOL }) {
			Caller caller;

			if (c.transactional)
				caller.query(KB_QUERY_BEGIN);
			caller.query(c.verb, "", "1a4 x");
			caller.ran(result);
			EXPECT_EQ(c.reported, caller.answer.result)
				<< c.verb << " " << result;
		}
}

TEST(CallerSession, OnlyWritesAdvanceTheCommittedPoint)
{
	Caller caller;

	caller.query(KB_QUERY_READ, "", "1a4");
	caller.ran(KB_OK, 0, { 3, 20 });
	EXPECT_EQ(0u, caller.session.committed.position);
	caller.query(KB_QUERY_WRITE, "", "1a4 x");
	caller.ran(KB_OK, 0, { 3, 21 });
	EXPECT_EQ(21u, caller.session.committed.position);
	caller.query(KB_QUERY_BEGIN_READ_ONLY);
	caller.query(KB_QUERY_READ, "", "1a4");
	caller.ran(KB_OK, 7);
	caller.query(KB_QUERY_COMMIT);
	caller.ran(KB_OK, 0, { 3, 30 });
	EXPECT_EQ(21u, caller.session.committed.position);
	caller.query(KB_QUERY_BEGIN);
	caller.query(KB_QUERY_WRITE, "", "1a4 x");
	caller.ran(KB_OK, 8);
	caller.query(KB_QUERY_COMMIT);
	caller.ran(KB_OK, 0, { 3, 31 });
	EXPECT_EQ(31u, caller.session.committed.position);
}

TEST(CallerSession, NeedsPrimary)
{
	struct {
		kb_read_consistency_t rule;
		int begin;
		kb_query_verb_t verb;
		int needed;
	} cases[] = {
		{ KB_READ_STRONG, -1, KB_QUERY_READ, 1 },
		{ KB_READ_STRONG, KB_QUERY_BEGIN_READ_ONLY, KB_QUERY_READ, 1 },
		{ KB_READ_BOUNDED_STALENESS, -1, KB_QUERY_READ, 0 },
		{ KB_READ_BOUNDED_STALENESS, -1, KB_QUERY_WRITE, 1 },
		{ KB_READ_YOUR_WRITES, KB_QUERY_BEGIN_READ_ONLY, KB_QUERY_READ,
		  0 },
		{ KB_READ_YOUR_WRITES, KB_QUERY_BEGIN_READ_ONLY,
		  KB_QUERY_COMMIT, 0 },
		{ KB_READ_YOUR_WRITES, KB_QUERY_BEGIN, KB_QUERY_READ, 1 },
		{ KB_READ_YOUR_WRITES, KB_QUERY_BEGIN, KB_QUERY_COMMIT, 1 },
	};

	for (const auto &c : cases) {
		Caller caller(c.rule);

		if (c.begin >= 0)
			caller.query((kb_query_verb_t)c.begin);
		caller.query(c.verb, "", "1a4 x");
		ASSERT_EQ(1, caller.runs);
		EXPECT_EQ(c.needed,
			  kb_caller_session_needs_primary(&caller.session))
			<< c.rule << " " << c.begin << " " << c.verb;
		caller.ran(KB_ERR_OVERLOADED);
	}
}

TEST(CallerSession, AWriteInAReadOnlyTransactionRollsItBack)
{
	Caller caller;

	caller.query(KB_QUERY_BEGIN_READ_ONLY);
	caller.query(KB_QUERY_READ, "", "1a4");
	caller.ran(KB_OK, 9);
	caller.query(KB_QUERY_WRITE, "", "1a4 x");
	EXPECT_EQ(KB_ERR_READ_ONLY, caller.answer.result);
	EXPECT_EQ(KB_TXN_FAILED, caller.answer.state);
	EXPECT_EQ(1, caller.rollbacks);
	EXPECT_EQ(1, caller.runs);
}

TEST(CallerSession, PreparedStatementsBelongToTheSession)
{
	Caller a, b;

	a.query(KB_QUERY_PREPARE_READ, "s1", "q2c");
	b.query(KB_QUERY_PREPARE_WRITE, "s1", "q9");
	a.query(KB_QUERY_EXECUTE, "s1", "1a4");
	b.query(KB_QUERY_EXECUTE, "s1", "1a4 x");
	EXPECT_EQ(KBS_READ, a.session.args.kind);
	EXPECT_TRUE(
		kb_str_equal(KB_STR("q2c"), kb_text_str(a.session.args.shape)));
	EXPECT_EQ(KBS_WRITE, b.session.args.kind);
	a.ran(KB_OK);
	b.ran(KB_OK);
	a.query(KB_QUERY_CLOSE_STATEMENT, "s1");
	a.query(KB_QUERY_EXECUTE, "s1", "1a4");
	EXPECT_EQ(KB_ERR_NO_STATEMENT, a.answer.result);
	EXPECT_EQ(1, a.runs);
}

TEST(CallerSession, AConfigurationAppliesFromTheNextTransactionOn)
{
	Caller caller;

	caller.query(KB_QUERY_BEGIN);
	caller.query(KB_QUERY_READ, "", "1a4");
	caller.ran(KB_OK, 3);
	caller.configured = false;
	caller.query(KB_QUERY_READ, "", "1a4");
	EXPECT_EQ(2, caller.runs);
	caller.ran(KB_OK, 3);
	caller.query(KB_QUERY_COMMIT);
	caller.ran(KB_OK);
	caller.query(KB_QUERY_READ, "", "1a4");
	EXPECT_EQ(KB_ERR_NOT_FOUND, caller.answer.result);
	EXPECT_EQ(3, caller.runs);
}

TEST(CallerSession, ACommitThatTheTargetRefusedIsRolledBack)
{
	Caller caller;

	caller.query(KB_QUERY_BEGIN);
	caller.query(KB_QUERY_WRITE, "", "1a4 x");
	caller.ran(KB_OK, 4);
	caller.query(KB_QUERY_COMMIT);
	caller.ran(KB_ERR_OVERLOADED, 4);
	EXPECT_EQ(KB_TXN_NONE, caller.answer.state);
	EXPECT_EQ(1, caller.rollbacks);
}

TEST(CallerSession, FinishRollsBackAnOpenTransaction)
{
	int rollbacks;
	{
		Caller caller;

		caller.query(KB_QUERY_BEGIN);
		caller.query(KB_QUERY_WRITE, "", "1a4 x");
		caller.ran(KB_OK, 4);
		kb_caller_session_finish(&caller.session);
		rollbacks = caller.rollbacks;
	}
	EXPECT_EQ(1, rollbacks);
}

#include "caller_session.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

/* A session whose statements a test answers. */
class Caller
{
      public:
	kb_caller_session_t session;
	kb_database_t database{};
	bool configured = true;
	int runs = 0;
	int rollbacks = 0;
	struct {
		int count = 0;
		kb_result_t result = KB_OK;
		kb_txn_state_t state = KB_TXN_NONE;
		std::string signature;
	} answer;

	explicit Caller(kb_read_consistency_t rule = KB_READ_YOUR_WRITES)
	{
		static const kb_caller_session_ops_t ops = {
			on_run, on_roll_back, on_find, on_answer
		};

		kb_name_set(&database.name, KB_STR("db"));
		kb_name_set(&database.group, KB_STR("group"));
		database.rule = rule;
		EXPECT_EQ(KB_OK, kb_caller_session_init(&session, &ops, this,
							KB_STR("db")));
	}

	~Caller()
	{
		kb_caller_session_finish(&session);
	}

	void ask(kb_query_verb_t verb, const char *name = "",
		 const char *body = "")
	{
		kb_query_t query = { verb, KB_STR("id"), kb_str_from(name),
				     kb_str_from(body) };

		kb_caller_session_query(&session, &query);
	}

	void ran(kb_result_t result, uint64_t transaction = 0,
		 kb_point_t point = {})
	{
		kbs_run_res res = {};

		res.result = result;
		res.transaction = transaction;
		res.point = kb_point_to(point);
		res.signature = kb_text_view(KB_STR("mark"));
		kb_caller_session_on_result(&session, &res);
	}

      private:
	static void on_run(void *ctx, kb_caller_session_t *)
	{
		static_cast<Caller *>(ctx)->runs++;
	}

	static void on_roll_back(void *ctx, kb_caller_session_t *)
	{
		static_cast<Caller *>(ctx)->rollbacks++;
	}

	static const kb_database_t *on_find(void *ctx, kb_str_t)
	{
		auto *caller = static_cast<Caller *>(ctx);

		return caller->configured ? &caller->database : nullptr;
	}

	static void on_answer(void *ctx, const kb_query_answer_t *given)
	{
		auto *caller = static_cast<Caller *>(ctx);

		caller->answer.count++;
		caller->answer.result = given->result;
		caller->answer.state = given->state;
		caller->answer.signature = std::string(
			given->signature.data ? given->signature.data : "",
			given->signature.len);
	}
};

} // namespace

TEST(CallerSession, WhatNeedsNoTargetIsAnsweredHere)
{
	Caller caller;

	caller.ask(KB_QUERY_SET, "zone", "a");
	caller.ask(KB_QUERY_PREPARE_READ, "s1", "q2c");
	caller.ask(KB_QUERY_BEGIN);
	EXPECT_EQ(KB_TXN_OPEN, caller.answer.state);
	caller.ask(KB_QUERY_ROLLBACK);
	caller.ask(KB_QUERY_CLOSE_STATEMENT, "s1");
	EXPECT_EQ(5, caller.answer.count);
	EXPECT_EQ(KB_OK, caller.answer.result);
	EXPECT_EQ("", caller.answer.signature);
	EXPECT_EQ(0, caller.runs);
	EXPECT_EQ(0, caller.rollbacks);
}

TEST(CallerSession, StatesFollowTheTable)
{
	struct {
		const char *name;
		kb_result_t result;
		/* Transaction that the gate keeps, or 0. */
		uint64_t kept;
		kb_txn_state_t state;
	} cases[] = {
		{ "success", KB_OK, 5, KB_TXN_OPEN },
		{ "failure inside", KB_ERR_STATEMENT, 5, KB_TXN_OPEN },
		{ "failure that ends it", KB_ERR_STATEMENT, 0, KB_TXN_FAILED },
		{ "lost", KB_ERR_CLOSED, 0, KB_TXN_FAILED },
		{ "not run", KB_ERR_OVERLOADED, 0, KB_TXN_FAILED },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Caller caller;

		caller.ask(KB_QUERY_BEGIN);
		caller.ask(KB_QUERY_READ, "", "1a4");
		EXPECT_TRUE(caller.session.args.transactional);
		caller.ran(c.result, c.kept);
		EXPECT_EQ(c.state, caller.answer.state);
		if (c.state != KB_TXN_FAILED)
			continue;
		caller.ask(KB_QUERY_READ, "", "1a4");
		EXPECT_EQ(KB_ERR_INVALID, caller.answer.result);
		EXPECT_EQ(1, caller.runs);
		caller.ask(KB_QUERY_COMMIT);
		EXPECT_EQ(KB_ERR_ROLLED_BACK, caller.answer.result);
		EXPECT_EQ(KB_TXN_NONE, caller.answer.state);
		EXPECT_EQ(1, caller.runs);
	}
}

TEST(CallerSession, AnUncertainEndIsToldForWhatTheStatementWas)
{
	struct {
		bool transactional;
		kb_query_verb_t verb;
		kb_result_t told;
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
				caller.ask(KB_QUERY_BEGIN);
			caller.ask(c.verb, "", "1a4 x");
			caller.ran(result);
			EXPECT_EQ(c.told, caller.answer.result)
				<< c.verb << " " << result;
		}
}

TEST(CallerSession, OnlyWritesMoveItsOwnPoint)
{
	Caller caller;

	caller.ask(KB_QUERY_READ, "", "1a4");
	caller.ran(KB_OK, 0, { 3, 20 });
	EXPECT_EQ(0u, caller.session.committed.position);
	caller.ask(KB_QUERY_WRITE, "", "1a4 x");
	caller.ran(KB_OK, 0, { 3, 21 });
	EXPECT_EQ(21u, caller.session.committed.position);
	caller.ask(KB_QUERY_BEGIN_READ_ONLY);
	caller.ask(KB_QUERY_READ, "", "1a4");
	caller.ran(KB_OK, 7);
	caller.ask(KB_QUERY_COMMIT);
	caller.ran(KB_OK, 0, { 3, 30 });
	EXPECT_EQ(21u, caller.session.committed.position);
	caller.ask(KB_QUERY_BEGIN);
	caller.ask(KB_QUERY_WRITE, "", "1a4 x");
	caller.ran(KB_OK, 8);
	caller.ask(KB_QUERY_COMMIT);
	caller.ran(KB_OK, 0, { 3, 31 });
	EXPECT_EQ(31u, caller.session.committed.position);
}

TEST(CallerSession, ThePrimaryIsNeededByTheTable)
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
			caller.ask((kb_query_verb_t)c.begin);
		caller.ask(c.verb, "", "1a4 x");
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

	caller.ask(KB_QUERY_BEGIN_READ_ONLY);
	caller.ask(KB_QUERY_READ, "", "1a4");
	caller.ran(KB_OK, 9);
	caller.ask(KB_QUERY_WRITE, "", "1a4 x");
	EXPECT_EQ(KB_ERR_READ_ONLY, caller.answer.result);
	EXPECT_EQ(KB_TXN_FAILED, caller.answer.state);
	EXPECT_EQ(1, caller.rollbacks);
	EXPECT_EQ(1, caller.runs);
}

TEST(CallerSession, PreparedNamesAreItsOwn)
{
	Caller a, b;

	a.ask(KB_QUERY_PREPARE_READ, "s1", "q2c");
	b.ask(KB_QUERY_PREPARE_WRITE, "s1", "q9");
	a.ask(KB_QUERY_EXECUTE, "s1", "1a4");
	b.ask(KB_QUERY_EXECUTE, "s1", "1a4 x");
	EXPECT_EQ(KBS_READ, a.session.args.kind);
	EXPECT_TRUE(
		kb_str_equal(KB_STR("q2c"), kb_text_str(a.session.args.shape)));
	EXPECT_EQ(KBS_WRITE, b.session.args.kind);
	a.ran(KB_OK);
	b.ran(KB_OK);
	a.ask(KB_QUERY_CLOSE_STATEMENT, "s1");
	a.ask(KB_QUERY_EXECUTE, "s1", "1a4");
	EXPECT_EQ(KB_ERR_NO_STATEMENT, a.answer.result);
	EXPECT_EQ(1, a.runs);
}

TEST(CallerSession, AConfigurationAppliesFromTheNextTransactionOn)
{
	Caller caller;

	caller.ask(KB_QUERY_BEGIN);
	caller.ask(KB_QUERY_READ, "", "1a4");
	caller.ran(KB_OK, 3);
	caller.configured = false;
	caller.ask(KB_QUERY_READ, "", "1a4");
	EXPECT_EQ(2, caller.runs);
	caller.ran(KB_OK, 3);
	caller.ask(KB_QUERY_COMMIT);
	caller.ran(KB_OK);
	caller.ask(KB_QUERY_READ, "", "1a4");
	EXPECT_EQ(KB_ERR_NOT_FOUND, caller.answer.result);
	EXPECT_EQ(3, caller.runs);
}

TEST(CallerSession, ACommitThatTheTargetRefusedIsRolledBack)
{
	Caller caller;

	caller.ask(KB_QUERY_BEGIN);
	caller.ask(KB_QUERY_WRITE, "", "1a4 x");
	caller.ran(KB_OK, 4);
	caller.ask(KB_QUERY_COMMIT);
	caller.ran(KB_ERR_OVERLOADED, 4);
	EXPECT_EQ(KB_TXN_NONE, caller.answer.state);
	EXPECT_EQ(1, caller.rollbacks);
}

TEST(CallerSession, AnOpenTransactionIsRolledBackWithItsCaller)
{
	int rollbacks;
	{
		Caller caller;

		caller.ask(KB_QUERY_BEGIN);
		caller.ask(KB_QUERY_WRITE, "", "1a4 x");
		caller.ran(KB_OK, 4);
		kb_caller_session_finish(&caller.session);
		rollbacks = caller.rollbacks;
	}
	EXPECT_EQ(1, rollbacks);
}

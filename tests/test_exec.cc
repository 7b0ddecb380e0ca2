#include "exec.h"
#include "fake_conn.h"
#include "idempotency_record.h"

#include <gtest/gtest.h>
#include <cstring>

#define POSITION "SELECT * FROM kumquat.position()"
#define RECORD_INSERT "INSERT INTO kumquat_requests (id, body) VALUES ($1, $2)"
#define RECORD_UPDATE "UPDATE kumquat_requests SET body = $2 WHERE id = $1"
#define RECORD_SELECT "SELECT id, body FROM kumquat_requests WHERE id = $1"
#define STATEMENT "INSERT INTO clockings (body) VALUES ($1)"

static void on_finished(kb_exec_t *exec, int in_transaction);
static const kb_exec_events_t events = { on_finished };

class Exec : public testing::Test
{
      public:
	int finished = 0;
	int in_transaction = 0;

      protected:
	FakeConn conn;
	kb_exec_t exec;
	kbx_execute_args args = {};
	kbx_statement statement = {};
	kbx_param param = {};

	void SetUp() override
	{
		kb_exec_init(&exec, &events, this);
		args.caller = const_cast<char *>("kalahari");
		args.key = const_cast<char *>("");
		statement.sql = const_cast<char *>(STATEMENT);
		param.text = const_cast<char *>("ring-1");
		statement.params.params_val = &param;
		statement.params.params_len = 1;
		args.statements.statements_val = &statement;
		args.statements.statements_len = 1;
	}

	void TearDown() override
	{
		kb_exec_finish(&exec);
	}

	void start(kbx_action action, const char *key)
	{
		args.action = action;
		args.key = const_cast<char *>(key);
		kb_exec_start(&exec, &conn.base, &args);
	}

	void answer(size_t index, const std::vector<const char *> &cells = {})
	{
		FakeAnswer fake(cells);

		kb_exec_on_answer(&exec, index, &fake.value);
	}

	void error(size_t index, const char *sqlstate)
	{
		kb_answer_t fake = fake_error(sqlstate);

		kb_exec_on_answer(&exec, index, &fake);
	}

	/* Body of the record that an earlier, completed submission stored. */
	std::string stored(const char *digest_of)
	{
		unsigned char digest[KB_IDEMPOTENCY_RECORD_DIGEST_BYTES] = {};
		kb_str_t text = kb_str_from("ring-1");
		kb_statement_t sql = { kb_str_from(digest_of), 1, &text };
		kb_idempotency_record_t record;

		kb_idempotency_record_digest(digest, &sql);
		kb_idempotency_record_init(&record, KB_STR("kalahari"),
					   KB_STR("k1"), digest);
		std::string body = std::string("{\"digest\":\"") +
				   record.digest +
				   "\",\"answer\":{\"affected\":7}}";

		kb_idempotency_record_finish(&record);
		return body;
	}
};

static void on_finished(kb_exec_t *exec, int in_transaction)
{
	auto *test = static_cast<Exec *>(exec->owner);

	test->finished++;
	test->in_transaction = in_transaction;
}

TEST_F(Exec, WriteCommitsAndReturnsItsPoint)
{
	start(KBX_ACTION_WRITE, "");
	EXPECT_EQ("BEGIN; " STATEMENT "; COMMIT; " POSITION, conn.last());
	answer(0);
	answer(1);
	answer(2);
	answer(3, { "4", "17" });
	kb_exec_on_batch_end(&exec, 0);
	EXPECT_EQ(1, finished);
	EXPECT_EQ(KB_OK, exec.result);
	EXPECT_TRUE(exec.committed);
	EXPECT_EQ(4u, exec.point.term);
	EXPECT_EQ(17u, exec.point.position);
}

TEST_F(Exec, KeyedWriteStoresItsAnswerInTheSameTransaction)
{
	start(KBX_ACTION_WRITE, "k1");
	EXPECT_EQ("BEGIN; " RECORD_INSERT "; " STATEMENT, conn.last());
	answer(0);
	answer(1);
	answer(2);
	kb_exec_on_batch_end(&exec, 1);
	EXPECT_EQ(0, finished);
	EXPECT_EQ(RECORD_UPDATE "; COMMIT; " POSITION, conn.last());
	answer(0);
	answer(1);
	answer(2, { "1", "2" });
	kb_exec_on_batch_end(&exec, 0);
	EXPECT_EQ(KB_OK, exec.result);
	EXPECT_FALSE(exec.replayed);
}

TEST_F(Exec, SecondSubmissionGetsTheStoredAnswer)
{
	start(KBX_ACTION_WRITE, "k1");
	answer(0);
	error(1, "23505");
	kb_exec_on_batch_end(&exec, 1);
	EXPECT_EQ("ROLLBACK; " RECORD_SELECT "; " POSITION, conn.last());
	answer(0);
	answer(1, { "id", stored(STATEMENT).c_str() });
	answer(2, { "3", "9" });
	kb_exec_on_batch_end(&exec, 0);
	EXPECT_EQ(KB_OK, exec.result);
	EXPECT_TRUE(exec.replayed);
	EXPECT_FALSE(exec.committed);
	EXPECT_EQ(9u, exec.point.position);
	EXPECT_STREQ("{\"affected\":7}", exec.answer);
}

TEST_F(Exec, SameKeyWithAnotherRequestIsRefused)
{
	start(KBX_ACTION_WRITE, "k1");
	answer(0);
	error(1, "23505");
	kb_exec_on_batch_end(&exec, 1);
	answer(0);
	answer(1, { "id", stored("DELETE FROM clockings").c_str() });
	answer(2, { "3", "9" });
	kb_exec_on_batch_end(&exec, 0);
	EXPECT_EQ(KB_ERR_KEY_REUSED, exec.result);
	EXPECT_EQ(nullptr, exec.answer);
}

/* An earlier request used the key, but its stored answer cannot be read. */
TEST_F(Exec, StoredAnswerThatCannotBeReadIsUnknown)
{
	kb_answer_t faults[] = { fake_error("57014"), fake_error("40001"), {} };

	faults[2].result = KB_ERR_TOO_LARGE;
	for (const kb_answer_t &fault : faults) {
		start(KBX_ACTION_WRITE, "k1");
		answer(0);
		error(1, "23505");
		kb_exec_on_batch_end(&exec, 1);
		answer(0);
		kb_exec_on_answer(&exec, 1, &fault);
		kb_exec_on_batch_end(&exec, 0);
		EXPECT_EQ(KB_ERR_UNKNOWN, exec.result);
		EXPECT_EQ(nullptr, exec.answer);
	}
	EXPECT_EQ(3, finished);
}

TEST_F(Exec, RecordsOfTwoCallersHaveDifferentIds)
{
	unsigned char digest[KB_IDEMPOTENCY_RECORD_DIGEST_BYTES] = {};
	kb_idempotency_record_t a, b;

	kb_idempotency_record_init(&a, KB_STR("kalahari"), KB_STR("k1"),
				   digest);
	kb_idempotency_record_init(&b, KB_STR("kalaharik"), KB_STR("1"),
				   digest);
	EXPECT_STRNE(a.id, b.id);
	kb_idempotency_record_finish(&a);
	kb_idempotency_record_finish(&b);
}

/* A fault at a statement, and the result reported to the caller. */
struct ExecFault {
	const char *name;
	const char *key;
	/* Statements of the first batch that are answered before the fault. */
	size_t answered;
	/* Error of the target, or NULL if the connection is lost. */
	const char *sqlstate;
	kb_result_t expected;
	bool rolls_back;
};

TEST_F(Exec, EachFaultHasItsResult)
{
	const ExecFault faults[] = {
		{ "lost after send", "", 0, nullptr, KB_ERR_UNKNOWN, false },
		{ "lost after statement", "", 2, nullptr, KB_ERR_UNKNOWN,
		  false },
		{ "lost after commit", "", 3, nullptr, KB_ERR_UNKNOWN, false },
		{ "keyed, lost after statement", "k1", 2, nullptr,
		  KB_ERR_UNKNOWN, false },
		{ "statement refused", "", 1, "42601", KB_ERR_STATEMENT, true },
		{ "serialization failure", "", 1, "40001", KB_ERR_ROLLED_BACK,
		  true },
		{ "not the primary", "", 1, "25006", KB_ERR_NO_PRIMARY, true },
		{ "commit refused", "", 2, "40001", KB_ERR_ROLLED_BACK, false },
		{ "keyed, conflict with a running request", "k1", 1, "40001",
		  KB_ERR_ROLLED_BACK, true },
		{ "keyed, statement refused", "k1", 2, "23505",
		  KB_ERR_STATEMENT, true },
		{ "position refused", "", 3, "57P01", KB_ERR_UNKNOWN, false },
	};

	for (const ExecFault &fault : faults) {
		SCOPED_TRACE(fault.name);
		finished = 0;
		start(KBX_ACTION_WRITE, fault.key);
		for (size_t i = 0; i < fault.answered; i++)
			answer(i);
		if (!fault.sqlstate) {
			kb_exec_on_lost(&exec);
		} else {
			error(fault.answered, fault.sqlstate);
			kb_exec_on_batch_end(&exec, fault.rolls_back);
		}
		if (fault.rolls_back) {
			EXPECT_EQ("ROLLBACK", conn.last());
			answer(0);
			kb_exec_on_batch_end(&exec, 0);
		}
		EXPECT_EQ(1, finished);
		EXPECT_EQ(fault.expected, exec.result);
	}
}

TEST_F(Exec, NothingSentMeansNotRun)
{
	conn.send_result = KB_ERR_UNREACHABLE;
	start(KBX_ACTION_WRITE, "");
	EXPECT_EQ(1, finished);
	EXPECT_EQ(KB_ERR_UNREACHABLE, exec.result);
	EXPECT_EQ(KB_OUTCOME_NOT_RUN, kb_result_outcome(exec.result));
}

TEST_F(Exec, LostBetweenTheBatchesOfAKeyedWriteIsUnknown)
{
	start(KBX_ACTION_WRITE, "k1");
	answer(0);
	answer(1);
	answer(2);
	conn.send_result = KB_ERR_UNREACHABLE;
	kb_exec_on_batch_end(&exec, 1);
	EXPECT_EQ(1, finished);
	EXPECT_EQ(KB_ERR_UNKNOWN, exec.result);
}

TEST_F(Exec, ReadRunsInAReadOnlyTransaction)
{
	start(KBX_ACTION_READ, "");
	EXPECT_EQ("BEGIN READ ONLY; " STATEMENT "; COMMIT", conn.last());
	answer(0);
	answer(1, { "1", "ring-1" });
	answer(2);
	kb_exec_on_batch_end(&exec, 0);
	EXPECT_EQ(KB_OK, exec.result);
	EXPECT_NE(nullptr, strstr(exec.answer, "ring-1"));
}

#include "gate_fixture.h"

/* Returns the number of the connection that ran `sql` last. */
static std::string connection_of(const std::vector<std::string> &executed,
				 const std::string &sql)
{
	std::string found;

	for (const std::string &entry : executed)
		if (entry.substr(entry.find(' ') + 1) == sql)
			found = entry.substr(0, entry.find(' '));
	return found;
}

TEST_F(TargetGate, StatementsOfTransactionsStayOnTheirConnections)
{
	const auto &executed = connector.targets[1].executed;
	BEGIN(first);
	BEGIN(second);
	GateRequest a = within(first, KBX_ACTION_STATEMENT, "A");
	GateRequest b = within(second, KBX_ACTION_STATEMENT, "B");
	GateRequest alone(KBX_ACTION_WRITE, INSERT_SQL);
	GateRequest a2 = within(first, KBX_ACTION_STATEMENT, "A2");
	GateRequest b2 = within(second, KBX_ACTION_STATEMENT, "B2");
	GateRequest end = within(first, KBX_ACTION_COMMIT, "");

	for (GateRequest *request : { &a, &b, &alone, &a2, &b2, &end })
		submit(*request);
	advance(200);
	for (GateRequest *request : { &a, &b, &alone, &a2, &b2, &end }) {
		EXPECT_EQ(1, request->ended);
		EXPECT_EQ(KB_OK, request->result);
	}
	EXPECT_EQ(connection_of(executed, "A"), connection_of(executed, "A2"));
	EXPECT_EQ(connection_of(executed, "B"), connection_of(executed, "B2"));
	EXPECT_NE(connection_of(executed, "A"), connection_of(executed, "B"));
	EXPECT_NE(connection_of(executed, "B"),
		  connection_of(executed, INSERT_SQL));
}

TEST_F(TargetGate, TransactionIsFoundOnlyByItsCaller)
{
	BEGIN(first);
	GateRequest other_caller = within(first, KBX_ACTION_STATEMENT, "A");

	other_caller.args.caller = GateRequest::text("lofts");
	submit(other_caller);
	EXPECT_EQ(KB_ERR_NOT_FOUND, other_caller.result);
	EXPECT_EQ(std::string::npos, ran().find("A"));
}

/* A caller may repeat a COMMIT whose answer it has not received. */
TEST_F(TargetGate, SecondCommitIsUnknown)
{
	BEGIN(first);
	GateRequest commit = within(first, KBX_ACTION_COMMIT, "");
	GateRequest again = within(first, KBX_ACTION_COMMIT, "");
	GateRequest rollback = within(first, KBX_ACTION_ROLLBACK, "");

	submit(commit);
	advance(100);
	EXPECT_EQ(KB_OK, commit.result);
	submit(again);
	submit(rollback);
	EXPECT_EQ(KB_ERR_UNKNOWN, again.result);
	EXPECT_EQ(KB_ERR_NOT_FOUND, rollback.result);
}

TEST_F(TargetGate, TransactionOfACallerThatVanishedIsRolledBack)
{
	BEGIN(first);
	size_t before = connector.targets[1].executed.size();

	advance(11000);
	EXPECT_NE(std::string::npos, ran(before).find("ROLLBACK"));
	EXPECT_EQ(0u, host->gates[0]->transactions.count);
	EXPECT_TRUE(kb_target_gate_is_idle(host->gates[0]));
	GateRequest late = within(first, KBX_ACTION_COMMIT, "");

	submit(late);
	EXPECT_EQ(KB_ERR_UNKNOWN, late.result);
	EXPECT_EQ(std::string::npos, ran(before).find("COMMIT"));
}

TEST_F(TargetGate, TransactionWhoseConnectionBrokeNeverRunsOnAnother)
{
	BEGIN(first);
	connector.cut(1);
	advance(300);
	BEGIN(second);
	size_t before = connector.targets[1].executed.size();
	GateRequest lost = within(first, KBX_ACTION_STATEMENT, "A");
	GateRequest commit = within(first, KBX_ACTION_COMMIT, "");

	submit(lost);
	submit(commit);
	EXPECT_EQ(KB_ERR_NOT_FOUND, lost.result);
	EXPECT_EQ(KB_ERR_UNKNOWN, commit.result);
	EXPECT_EQ("", ran(before));
	GateRequest kept = within(second, KBX_ACTION_STATEMENT, "B");

	submit(kept);
	EXPECT_EQ(KB_OK, kept.result);
}

TEST_F(TargetGate, QueuedStatementOfALostTransactionIsNotRun)
{
	BEGIN(first);
	GateRequest full[] = { { KBX_ACTION_WRITE, INSERT_SQL },
			       { KBX_ACTION_WRITE, INSERT_SQL } };
	GateRequest queued = within(first, KBX_ACTION_STATEMENT, "A");

	connector.targets[1].ignores_statements = true;
	for (GateRequest &request : full)
		submit(request);
	submit(queued);
	EXPECT_EQ(0, queued.ended);
	connector.cut(1);
	connector.targets[1].ignores_statements = false;
	advance(300);
	EXPECT_EQ(1, queued.ended);
	EXPECT_EQ(KB_ERR_ROLLED_BACK, queued.result);
	EXPECT_EQ(std::string::npos, ran().find("A;"));
	EXPECT_EQ(0u, host->gates[0]->transactions.count);
}

TEST_F(TargetGate, IdleTransactionHoldsNoSlot)
{
	BEGIN(first);
	BEGIN(second);
	GateRequest write(KBX_ACTION_WRITE, INSERT_SQL);

	submit(write);
	advance(100);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_OK, write.result);
}

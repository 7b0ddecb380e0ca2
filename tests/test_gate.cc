#include "gate_fixture.h"
#include "read_check.h"

#define WORK "INSERT INTO clockings VALUES (1)"
#define QUERY "SELECT * FROM clockings"

TEST_F(TargetGate, WriteIsAnsweredOnlyAfterProbesSentAfterItsCommit)
{
	GateRequest write(KBX_ACTION_WRITE, WORK);

	connector.targets[2].mute = true;
	connector.targets[3].mute = true;
	submit(write);
	advance(50);
	EXPECT_NE(std::string::npos, ran().find("COMMIT"));
	EXPECT_EQ(0, write.ended);
	connector.targets[2].mute = false;
	advance(400);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_OK, write.result);
	EXPECT_EQ(1u, host->gates[0]->counters.confirm_waits);
	EXPECT_LE(50 * KB_NS_PER_MS, host->gates[0]->counters.confirm_wait);
}

TEST_F(TargetGate, WriteWaitsUntilAMajorityHoldsItsPosition)
{
	GateRequest write(KBX_ACTION_WRITE, WORK);

	connector.replicates = false;
	submit(write);
	advance(200);
	EXPECT_EQ(0, write.ended);
	connector.replicates = true;
	advance(50);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_OK, write.result);
}

struct GateFault {
	const char *name;
	void (*strike)(FakeConnector &connector);
};

class TargetGateFault : public TargetGate,
			public testing::WithParamInterface<GateFault>
{
};

TEST_P(TargetGateFault, AfterTheSendingIsNeverAcknowledged)
{
	GateRequest write(KBX_ACTION_WRITE, WORK);

	connector.targets[1].holds = true;
	submit(write);
	EXPECT_EQ(0, write.ended);
	GetParam().strike(connector);
	connector.targets[1].holds = false;
	advance(6000);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_ERR_UNKNOWN, write.result);
}

static const GateFault faults[] = {
	{ "lost_before_the_answer", [](FakeConnector &c) { c.cut(1, true); } },
	{ "replaced_between_commit_and_acknowledgement",
	  [](FakeConnector &c) {
		  c.replicates = false;
		  c.targets[1].holds = false;
		  c.pump();
		  c.targets[2].term = c.targets[3].term = 2;
		  c.targets[2].primary = true;
		  c.targets[2].history = "1:1,2:11";
	  } },
	{ "replaced_and_unaware_behind_a_partition",
	  [](FakeConnector &c) {
		  c.replicates = false;
		  c.targets[3].term = 2;
		  c.targets[2].mute = true;
	  } },
	{ "cut_off_from_the_majority",
	  [](FakeConnector &c) {
		  c.targets[2].mute = c.targets[3].mute = true;
	  } },
	{ "both_replicas_far_behind",
	  [](FakeConnector &c) { c.replicates = false; } },
	{ "stalled_half_way",
	  [](FakeConnector &c) {
		  c.targets[1].mute = c.targets[2].mute = true;
	  } },
};

INSTANTIATE_TEST_SUITE_P(Faults, TargetGateFault, testing::ValuesIn(faults),
			 [](const testing::TestParamInfo<GateFault> &info) {
				 return std::string(info.param.name);
			 });

TEST_F(TargetGate, ReplicaServesOnlyDataYoungEnough)
{
	struct {
		const char *name;
		int lag_ms;
		int max_age_ms;
		kb_result_t expected;
	} cases[] = {
		{ "fresh", 0, 1000, KB_OK },
		{ "behind within the limit", 500, 2000, KB_OK },
		{ "far behind", 1500, 1000, KB_ERR_NOT_FRESH },
		{ "as of the request", 0, 0, KB_OK },
		{ "as of the request, behind", 500, 0, KB_ERR_NOT_FRESH },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		GateRequest read(KBX_ACTION_READ, QUERY);

		connector.replicates = true;
		advance(300);
		connector.replicates = false;
		for (int i = 0; i < c.lag_ms; i += 100) {
			connector.targets[1].received++;
			connector.targets[1].applied++;
			advance(100);
		}
		read.args.max_age_us = c.max_age_ms * 1000;
		submit(read, 1);
		advance(KB_READ_CHECK_WAIT_MS);
		EXPECT_EQ(1, read.ended);
		EXPECT_EQ(c.expected, read.result);
		/* Data as of the arrival is young enough for every read. */
		if (!c.expected) {
			EXPECT_LE(c.lag_ms * KB_NS_PER_MS, read.age);
			EXPECT_GE(
				std::max(c.max_age_ms, KB_READ_CHECK_WAIT_MS) *
					KB_NS_PER_MS,
				read.age);
		}
	}
}

TEST_F(TargetGate, AgeIncludesTheTimeOfTheExecution)
{
	GateRequest read(KBX_ACTION_READ, QUERY);
	GateRequest late(KBX_ACTION_READ, QUERY);

	read.args.max_age_us = late.args.max_age_us = 1000000;
	connector.targets[2].holds = true;
	submit(read, 1);
	advance(400);
	connector.targets[2].holds = false;
	settle();
	EXPECT_EQ(KB_OK, read.result);
	EXPECT_LE(400 * KB_NS_PER_MS, read.age);
	EXPECT_EQ(400000, read.service);
	connector.targets[2].holds = true;
	submit(late, 1);
	advance(1100);
	connector.targets[2].holds = false;
	settle();
	EXPECT_EQ(1, late.ended);
	EXPECT_EQ(KB_ERR_NOT_FRESH, late.result);
}

TEST_F(TargetGate, ReadAtATargetThatGoesSilentEndsLongBeforeItsDeadline)
{
	GateRequest running(KBX_ACTION_READ, QUERY);
	GateRequest later(KBX_ACTION_READ, QUERY);

	running.args.max_age_us = later.args.max_age_us = 5000000;
	connector.targets[2].holds = true;
	submit(running, 1);
	EXPECT_EQ(0, running.ended);
	connector.targets[2].mute = true;
	advance(1000);
	EXPECT_EQ(1, running.ended);
	EXPECT_EQ(KB_ERR_CLOSED, running.result);
	submit(later, 1);
	EXPECT_EQ(1, later.ended);
	EXPECT_EQ(KB_OUTCOME_NOT_RUN, kb_result_outcome(later.result));
}

TEST_F(TargetGate, WriteInExecutionIsUnknownAsSoonAsThePrimaryIsReplaced)
{
	GateRequest write(KBX_ACTION_WRITE, WORK);

	connector.targets[1].holds = connector.targets[1].mute = true;
	submit(write);
	advance(300);
	EXPECT_EQ(0, write.ended);
	connector.replicates = false;
	connector.targets[2].term = connector.targets[3].term = 2;
	connector.targets[2].primary = true;
	connector.targets[2].history = "1:1,2:11";
	advance(500);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_ERR_UNKNOWN, write.result);
}

TEST_F(TargetGate, SlowReadAtTheConfirmedPrimaryIsAsOfItsSending)
{
	GateRequest read(KBX_ACTION_READ, QUERY);

	read.args.max_age_us = 1000000;
	connector.targets[1].holds = true;
	submit(read);
	advance(2000);
	connector.targets[1].holds = false;
	settle();
	EXPECT_EQ(1, read.ended);
	EXPECT_EQ(KB_OK, read.result);
	EXPECT_LE(2000 * KB_NS_PER_MS, read.age);
}

TEST_F(TargetGate, CurrentReadAtThePrimaryWaitsForConfirmation)
{
	GateRequest read(KBX_ACTION_READ, QUERY);

	connector.targets[2].mute = connector.targets[3].mute = true;
	submit(read);
	advance(60);
	EXPECT_EQ(0, read.ended);
	connector.targets[2].mute = false;
	advance(300);
	EXPECT_EQ(1, read.ended);
	EXPECT_EQ(KB_OK, read.result);
	EXPECT_LE(60 * KB_NS_PER_MS, read.age);
}

/* The primary is found to be replaced before the read got a connection. */
TEST_F(TargetGate, CurrentReadIsNotServedOnceConfirmationFailed)
{
	GateRequest read(KBX_ACTION_READ, QUERY);

	connector.targets[1].holds_open = true;
	connector.targets[2].mute = connector.targets[3].mute = true;
	submit(read);
	connector.replicates = false;
	connector.targets[2].mute = connector.targets[3].mute = false;
	connector.targets[2].term = connector.targets[3].term = 2;
	connector.targets[2].primary = true;
	advance(400);
	connector.targets[1].holds_open = false;
	settle();
	advance(50);
	EXPECT_EQ(1, read.ended);
	EXPECT_EQ(KB_ERR_NOT_FRESH, read.result);
}

TEST_F(TargetGate, WriteIsRefusedWhereThePrimaryIsNot)
{
	GateRequest write(KBX_ACTION_WRITE, WORK);

	submit(write, 1);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_ERR_NO_PRIMARY, write.result);
	EXPECT_EQ(-1, write.service);
	EXPECT_TRUE(connector.targets[2].executed.empty());
}

TEST_F(TargetGate, UnreachableTargetMeansNotRun)
{
	GateRequest write(KBX_ACTION_WRITE, WORK);

	connector.targets[1].refuses = true;
	submit(write);
	advance(100);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_ERR_UNREACHABLE, write.result);
	EXPECT_EQ("", ran());
}

/* Begins a transaction and returns its name at the gate. */
#define BEGIN(name)                                     \
	GateRequest begin_##name(KBX_ACTION_BEGIN, ""); \
	submit(begin_##name);                           \
	ASSERT_EQ(1, begin_##name.ended);               \
	ASSERT_EQ(KB_OK, begin_##name.result);          \
	std::string name = begin_##name.transaction

static GateRequest within(const std::string &transaction, kbx_action action,
			  const char *sql)
{
	GateRequest request(action, sql);

	request.args.transaction = GateRequest::text(transaction.c_str());
	return request;
}

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
	GateRequest alone(KBX_ACTION_WRITE, WORK);
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
	EXPECT_NE(connection_of(executed, "B"), connection_of(executed, WORK));
}

TEST_F(TargetGate, TransactionIsFoundOnlyByItsCaller)
{
	BEGIN(first);
	GateRequest stranger = within(first, KBX_ACTION_STATEMENT, "A");

	stranger.args.caller = GateRequest::text("lofts");
	submit(stranger);
	EXPECT_EQ(KB_ERR_NOT_FOUND, stranger.result);
	EXPECT_EQ(std::string::npos, ran().find("A"));
}

/* The answer to the first COMMIT may have been lost on its way. */
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
	GateRequest full[] = { { KBX_ACTION_WRITE, WORK },
			       { KBX_ACTION_WRITE, WORK } };
	GateRequest queued = within(first, KBX_ACTION_STATEMENT, "A");

	connector.targets[1].holds = true;
	for (GateRequest &request : full)
		submit(request);
	submit(queued);
	EXPECT_EQ(0, queued.ended);
	connector.cut(1);
	connector.targets[1].holds = false;
	advance(300);
	EXPECT_EQ(1, queued.ended);
	EXPECT_EQ(KB_ERR_ROLLED_BACK, queued.result);
	EXPECT_EQ(std::string::npos, ran().find("A;"));
	EXPECT_EQ(0u, host->gates[0]->transactions.count);
}

TEST_F(TargetGate, StalledTransactionLeavesSlotsToOthers)
{
	BEGIN(first);
	BEGIN(second);
	GateRequest write(KBX_ACTION_WRITE, WORK);

	submit(write);
	advance(100);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_OK, write.result);
}

TEST_F(TargetGate, TwoGatesOfOneTargetStayWithinItsConnections)
{
	GateHost other(loop, &clock, &connector, &group);
	std::list<GateRequest> requests;
	kb_admission_limits_t limits = { 16, 16, 16 };

	other.open(0);
	kb_admission_set_limits(&other.gates[0]->admission, &limits, clock.now);
	kb_admission_set_limits(&host->gates[0]->admission, &limits, clock.now);
	for (int i = 0; i < 60; i++) {
		other.tick();
		advance(5);
	}
	ASSERT_EQ(0u, kb_agent_primary(&other.agent));
	connector.targets[1].holds = true;
	for (int i = 0; i < 40; i++) {
		requests.emplace_back(KBX_ACTION_WRITE, WORK);
		kb_target_gate_execute(i % 2 ? other.gates[0] : host->gates[0],
				       &requests.back().args,
				       GateRequest::on_done, &requests.back());
		settle();
	}
	EXPECT_EQ(16u, connector.targets[1].most);
	connector.targets[1].holds = false;
	for (int i = 0; i < 60; i++) {
		other.tick();
		advance(5);
	}
	for (const GateRequest &request : requests)
		EXPECT_EQ(1, request.ended);
	EXPECT_EQ(16u, connector.targets[1].most);
}

TEST_F(TargetGate, ClosingEndsEachRequestByWhatMayHaveRun)
{
	GateRequest confirming(KBX_ACTION_WRITE, WORK);
	GateRequest reading(KBX_ACTION_READ, QUERY);
	GateRequest running[] = { { KBX_ACTION_WRITE, WORK },
				  { KBX_ACTION_READ, QUERY } };
	GateRequest queued(KBX_ACTION_WRITE, WORK);
	BEGIN(open);
	GateRequest statement = within(open, KBX_ACTION_STATEMENT, "A");

	connector.targets[2].mute = connector.targets[3].mute = true;
	submit(confirming);
	submit(reading);
	connector.targets[1].holds = true;
	for (GateRequest &request : running)
		submit(request);
	submit(queued);
	submit(statement);
	host->close(0);
	for (GateRequest *request : { &confirming, &reading, &running[0],
				      &running[1], &queued, &statement })
		EXPECT_EQ(1, request->ended);
	EXPECT_EQ(KB_ERR_UNKNOWN, confirming.result);
	EXPECT_EQ(KB_ERR_NOT_FRESH, reading.result);
	EXPECT_EQ(KB_ERR_UNKNOWN, running[0].result);
	EXPECT_EQ(KB_ERR_CLOSED, running[1].result);
	EXPECT_EQ(KB_ERR_DRAINING, queued.result);
	EXPECT_EQ(KB_ERR_DRAINING, statement.result);
	settle();
	EXPECT_EQ(1u, connector.targets[1].open) << "the control connection";
	connector.targets[2].mute = connector.targets[3].mute = false;
	advance(300);
}

TEST_F(TargetGate, AnswerBeyondTheLimitIsNeverAShortSuccess)
{
	GateRequest read(KBX_ACTION_READ, QUERY);
	GateRequest write(KBX_ACTION_WRITE, WORK);
	GateRequest keyed(KBX_ACTION_WRITE, WORK);
	BEGIN(open);
	GateRequest statement = within(open, KBX_ACTION_STATEMENT, QUERY);

	keyed.args.key = GateRequest::text("k1");
	read.args.max_age_us = 1000000;
	connector.targets[1].too_large = true;
	for (GateRequest *request : { &read, &write, &keyed, &statement }) {
		submit(*request);
		EXPECT_EQ(1, request->ended);
		EXPECT_EQ("", request->body);
	}
	EXPECT_EQ(KB_ERR_TOO_LARGE, read.result);
	/* It was committed in the same batch. */
	EXPECT_EQ(KB_ERR_UNKNOWN, write.result);
	EXPECT_EQ(KB_ERR_TOO_LARGE, keyed.result);
	EXPECT_EQ(KB_ERR_TOO_LARGE, statement.result);
	EXPECT_EQ(0u, host->gates[0]->transactions.count);
}

/* Keeps the hops that are exported. */
struct HopKeeper {
	kb_trace_exporter_t base;
	std::vector<kb_span_t> spans;
	std::string names;
};

static void keep_hop(kb_trace_exporter_t *exporter, const kb_span_t *span)
{
	auto *keeper = reinterpret_cast<HopKeeper *>(exporter);

	EXPECT_STREQ("race-1", span->group);
	EXPECT_STREQ("race-1-a", span->peer);
	keeper->spans.push_back(*span);
	keeper->names += std::string(kb_span_kind_name(span->kind)) + "=" +
			 kb_result_name(span->result) + " ";
}

TEST_F(TargetGate, EachHopHasItsSpan)
{
	static const kb_trace_exporter_ops_t ops = { keep_hop };
	HopKeeper keeper = { { &ops }, {}, "" };
	kb_trace_t trace = { &keeper.base, &clock.base, 0 };
	struct {
		kbx_action action;
		const char *traceparent;
		void (*strike)(FakeConnector &connector);
		const char *expected;
	} cases[] = {
		{ KBX_ACTION_WRITE,
		  "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		  [](FakeConnector &) {},
		  "queue=ok connection=ok statement=ok confirmation=ok " },
		{ KBX_ACTION_READ,
		  "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		  [](FakeConnector &) {},
		  "queue=ok connection=ok statement=ok confirmation=ok " },
		{ KBX_ACTION_WRITE,
		  "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
		  [](FakeConnector &c) { c.cut(1, true); },
		  "queue=ok connection=ok statement=outcome-unknown " },
		{ KBX_ACTION_WRITE,
		  "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00",
		  [](FakeConnector &) {}, "" },
		{ KBX_ACTION_WRITE, "", [](FakeConnector &) {}, "" },
	};

	host->gates[0]->trace = &trace;
	for (const auto &c : cases) {
		GateRequest request(c.action, WORK);

		keeper.spans.clear();
		keeper.names.clear();
		request.args.traceparent = GateRequest::text(c.traceparent);
		connector.targets[1].holds = true;
		submit(request);
		c.strike(connector);
		connector.targets[1].holds = false;
		advance(300);
		EXPECT_EQ(1, request.ended);
		EXPECT_EQ(std::string(c.expected).size(), keeper.names.size())
			<< keeper.names;
		for (const kb_span_t &span : keeper.spans) {
			EXPECT_EQ(0x4b, span.context.trace[0]);
			EXPECT_EQ(0xf0, span.parent[1]);
			EXPECT_LE(span.start, span.end);
		}
		if (c.action == KBX_ACTION_WRITE) {
			EXPECT_EQ(c.expected, keeper.names);
		}
	}
}

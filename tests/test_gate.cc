#include "gate_fixture.h"
#include "read_check.h"

TEST_F(TargetGate, WriteIsAnsweredOnlyAfterProbesSentAfterItsCommit)
{
	GateRequest write(KBX_ACTION_WRITE, INSERT_SQL);

	connector.targets[2].ignores_commands = true;
	connector.targets[3].ignores_commands = true;
	submit(write);
	advance(50);
	EXPECT_NE(std::string::npos, ran().find("COMMIT"));
	EXPECT_EQ(0, write.ended);
	connector.targets[2].ignores_commands = false;
	advance(400);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_OK, write.result);
	EXPECT_EQ(1u, host->gates[0]->counters.confirm_waits);
	EXPECT_LE(50 * KB_NS_PER_MS, host->gates[0]->counters.confirm_wait);
}

TEST_F(TargetGate, WriteWaitsUntilAMajorityHoldsItsPosition)
{
	GateRequest write(KBX_ACTION_WRITE, INSERT_SQL);

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
	void (*inject)(FakeConnector &connector);
};

class TargetGateFault : public TargetGate,
			public testing::WithParamInterface<GateFault>
{
};

TEST_P(TargetGateFault, WriteAlreadySentIsNeverAcknowledged)
{
	GateRequest write(KBX_ACTION_WRITE, INSERT_SQL);

	connector.targets[1].ignores_statements = true;
	submit(write);
	EXPECT_EQ(0, write.ended);
	GetParam().inject(connector);
	connector.targets[1].ignores_statements = false;
	advance(6000);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_ERR_UNKNOWN, write.result);
}

static const GateFault faults[] = {
	{ "connection_lost_before_the_answer",
	  [](FakeConnector &c) { c.cut(1, true); } },
	{ "replaced_between_commit_and_acknowledgement",
	  [](FakeConnector &c) {
		  c.replicates = false;
		  c.targets[1].ignores_statements = false;
		  c.pump();
		  c.targets[2].term = c.targets[3].term = 2;
		  c.targets[2].primary = true;
		  c.targets[2].history = "1:1,2:11";
	  } },
	{ "replaced_during_a_partition",
	  [](FakeConnector &c) {
		  c.replicates = false;
		  c.targets[3].term = 2;
		  c.targets[2].ignores_commands = true;
	  } },
	{ "partitioned_from_the_majority",
	  [](FakeConnector &c) {
		  c.targets[2].ignores_commands =
			  c.targets[3].ignores_commands = true;
	  } },
	{ "both_replicas_far_behind",
	  [](FakeConnector &c) { c.replicates = false; } },
	{ "primary_and_one_replica_stalled",
	  [](FakeConnector &c) {
		  c.targets[1].ignores_commands =
			  c.targets[2].ignores_commands = true;
	  } },
};

INSTANTIATE_TEST_SUITE_P(Faults, TargetGateFault, testing::ValuesIn(faults),
			 [](const testing::TestParamInfo<GateFault> &info) {
				 return std::string(info.param.name);
			 });

TEST_F(TargetGate, ReplicaServesOnlyFreshEnoughData)
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
		GateRequest read(KBX_ACTION_READ, SELECT_SQL);

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
		/* Data as of the arrival is fresh enough for every read. */
		if (!c.expected) {
			EXPECT_LE(c.lag_ms * KB_NS_PER_MS, read.age);
			EXPECT_GE(
				std::max(c.max_age_ms, KB_READ_CHECK_WAIT_MS) *
					KB_NS_PER_MS,
				read.age);
		}
	}
}

TEST_F(TargetGate, AgeIncludesExecutionTime)
{
	GateRequest read(KBX_ACTION_READ, SELECT_SQL);
	GateRequest late(KBX_ACTION_READ, SELECT_SQL);

	read.args.max_age_us = late.args.max_age_us = 1000000;
	connector.targets[2].ignores_statements = true;
	submit(read, 1);
	advance(400);
	connector.targets[2].ignores_statements = false;
	settle();
	EXPECT_EQ(KB_OK, read.result);
	EXPECT_LE(400 * KB_NS_PER_MS, read.age);
	EXPECT_EQ(400000, read.service);
	connector.targets[2].ignores_statements = true;
	submit(late, 1);
	advance(1100);
	connector.targets[2].ignores_statements = false;
	settle();
	EXPECT_EQ(1, late.ended);
	EXPECT_EQ(KB_ERR_NOT_FRESH, late.result);
}

TEST_F(TargetGate, ReadAtSilentTargetEndsBeforeItsDeadline)
{
	GateRequest running(KBX_ACTION_READ, SELECT_SQL);
	GateRequest later(KBX_ACTION_READ, SELECT_SQL);

	running.args.max_age_us = later.args.max_age_us = 5000000;
	connector.targets[2].ignores_statements = true;
	submit(running, 1);
	EXPECT_EQ(0, running.ended);
	connector.targets[2].ignores_commands = true;
	advance(1000);
	EXPECT_EQ(1, running.ended);
	EXPECT_EQ(KB_ERR_CLOSED, running.result);
	submit(later, 1);
	EXPECT_EQ(1, later.ended);
	EXPECT_EQ(KB_OUTCOME_NOT_RUN, kb_result_outcome(later.result));
}

TEST_F(TargetGate, WriteInExecutionIsUnknownOncePrimaryIsReplaced)
{
	GateRequest write(KBX_ACTION_WRITE, INSERT_SQL);

	connector.targets[1].ignores_statements =
		connector.targets[1].ignores_commands = true;
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

TEST_F(TargetGate, DataAgeOfSilentTargetGrowsInView)
{
	kbx_target_view items[KB_GROUP_MAX_TARGETS];
	kbx_group_view view;

	kb_agent_fill_view(&host->agent, &view, items);
	EXPECT_LE(0, items[1].age_us);
	EXPECT_GE(500000, items[1].age_us);
	connector.targets[2].ignores_commands = true;
	connector.replicates = false;
	connector.targets[1].received++;
	connector.targets[1].applied++;
	advance(10000);
	kb_agent_fill_view(&host->agent, &view, items);
	EXPECT_LE(9000000, items[1].age_us);
}

TEST_F(TargetGate, LeavingReplicaTakesNoReads)
{
	GateRequest before(KBX_ACTION_READ, SELECT_SQL);
	GateRequest after(KBX_ACTION_READ, SELECT_SQL);
	kb_target_gate_t *gate = host->gates[1];
	kb_target_spec_t spec = gate->spec;

	before.args.max_age_us = after.args.max_age_us = 5000000;
	submit(before, 1);
	EXPECT_EQ(KB_OK, before.result);
	spec.state = KB_ADMIN_STATE_LEAVING;
	kb_target_gate_set_spec(gate, &spec);
	submit(after, 1);
	EXPECT_EQ(1, after.ended);
	EXPECT_EQ(KB_ERR_DRAINING, after.result);
}

TEST_F(TargetGate, SlowReadAtConfirmedPrimaryIsAsOfItsSendTime)
{
	GateRequest read(KBX_ACTION_READ, SELECT_SQL);

	read.args.max_age_us = 1000000;
	connector.targets[1].ignores_statements = true;
	submit(read);
	advance(2000);
	connector.targets[1].ignores_statements = false;
	settle();
	EXPECT_EQ(1, read.ended);
	EXPECT_EQ(KB_OK, read.result);
	EXPECT_LE(2000 * KB_NS_PER_MS, read.age);
}

TEST_F(TargetGate, CurrentReadAtThePrimaryWaitsForConfirmation)
{
	GateRequest read(KBX_ACTION_READ, SELECT_SQL);

	connector.targets[2].ignores_commands =
		connector.targets[3].ignores_commands = true;
	submit(read);
	advance(60);
	EXPECT_EQ(0, read.ended);
	connector.targets[2].ignores_commands = false;
	advance(300);
	EXPECT_EQ(1, read.ended);
	EXPECT_EQ(KB_OK, read.result);
	EXPECT_LE(60 * KB_NS_PER_MS, read.age);
}

/*
 * Probes show that the primary was replaced before the read gets a connection,
 * so the confirmation fails before the statement is sent.
 */
TEST_F(TargetGate, CurrentReadIsNotServedOnceConfirmationFailed)
{
	GateRequest read(KBX_ACTION_READ, SELECT_SQL);

	connector.targets[1].stalls_open = true;
	connector.targets[2].ignores_commands =
		connector.targets[3].ignores_commands = true;
	submit(read);
	connector.replicates = false;
	connector.targets[2].ignores_commands =
		connector.targets[3].ignores_commands = false;
	connector.targets[2].term = connector.targets[3].term = 2;
	connector.targets[2].primary = true;
	advance(400);
	connector.targets[1].stalls_open = false;
	settle();
	advance(50);
	EXPECT_EQ(1, read.ended);
	EXPECT_EQ(KB_ERR_NOT_FRESH, read.result);
}

TEST_F(TargetGate, WriteAtReplicaIsRefused)
{
	GateRequest write(KBX_ACTION_WRITE, INSERT_SQL);

	submit(write, 1);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_ERR_NO_PRIMARY, write.result);
	EXPECT_EQ(-1, write.service);
	EXPECT_TRUE(connector.targets[2].executed.empty());
}

TEST_F(TargetGate, UnreachableTargetMeansNotRun)
{
	GateRequest write(KBX_ACTION_WRITE, INSERT_SQL);

	connector.targets[1].refuses = true;
	submit(write);
	advance(100);
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_ERR_UNREACHABLE, write.result);
	EXPECT_EQ("", ran());
}

TEST_F(TargetGate, TwoGatesOfOneTargetStayWithinItsConnectionLimit)
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
	connector.targets[1].ignores_statements = true;
	for (int i = 0; i < 40; i++) {
		requests.emplace_back(KBX_ACTION_WRITE, INSERT_SQL);
		kb_target_gate_execute(i % 2 ? other.gates[0] : host->gates[0],
				       &requests.back().args,
				       GateRequest::on_done, &requests.back());
		settle();
	}
	EXPECT_EQ(16u, connector.targets[1].max_open);
	connector.targets[1].ignores_statements = false;
	for (int i = 0; i < 60; i++) {
		other.tick();
		advance(5);
	}
	for (const GateRequest &request : requests)
		EXPECT_EQ(1, request.ended);
	EXPECT_EQ(16u, connector.targets[1].max_open);
}

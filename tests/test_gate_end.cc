#include "gate_fixture.h"

TEST_F(TargetGate, ClosingEndsEachRequestAsUnknownOrNotRun)
{
	GateRequest confirming(KBX_ACTION_WRITE, INSERT_SQL);
	GateRequest reading(KBX_ACTION_READ, SELECT_SQL);
	GateRequest running[] = { { KBX_ACTION_WRITE, INSERT_SQL },
				  { KBX_ACTION_READ, SELECT_SQL } };
	GateRequest queued(KBX_ACTION_WRITE, INSERT_SQL);
	BEGIN(open);
	GateRequest statement = within(open, KBX_ACTION_STATEMENT, "A");

	connector.targets[2].ignores_commands =
		connector.targets[3].ignores_commands = true;
	submit(confirming);
	submit(reading);
	connector.targets[1].ignores_statements = true;
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
	EXPECT_EQ(1u, connector.targets[1].open)
		<< "only the control connection may stay open";
	connector.targets[2].ignores_commands =
		connector.targets[3].ignores_commands = false;
	advance(300);
}

TEST_F(TargetGate, AnswerOverTheLimitIsNeverATruncatedSuccess)
{
	GateRequest read(KBX_ACTION_READ, SELECT_SQL);
	GateRequest write(KBX_ACTION_WRITE, INSERT_SQL);
	GateRequest keyed(KBX_ACTION_WRITE, INSERT_SQL);
	BEGIN(open);
	GateRequest statement = within(open, KBX_ACTION_STATEMENT, SELECT_SQL);

	keyed.args.key = GateRequest::text("k1");
	read.args.max_age_us = 1000000;
	connector.targets[1].too_large = true;
	for (GateRequest *request : { &read, &write, &keyed, &statement }) {
		submit(*request);
		EXPECT_EQ(1, request->ended);
		EXPECT_EQ("", request->body);
	}
	EXPECT_EQ(KB_ERR_TOO_LARGE, read.result);
	/* COMMIT was in the same batch, so the write has taken effect. */
	EXPECT_EQ(KB_ERR_UNKNOWN, write.result);
	EXPECT_EQ(KB_ERR_TOO_LARGE, keyed.result);
	EXPECT_EQ(KB_ERR_TOO_LARGE, statement.result);
	EXPECT_EQ(0u, host->gates[0]->transactions.count);
}

/* Records the exported spans. */
struct HopRecorder {
	kb_trace_exporter_t base;
	std::vector<kb_span_t> spans;
	std::string names;
};

static void record_span(kb_trace_exporter_t *exporter, const kb_span_t *span)
{
	auto *recorder = reinterpret_cast<HopRecorder *>(exporter);

	EXPECT_STREQ("race-1", span->group);
	EXPECT_STREQ("race-1-a", span->peer);
	recorder->spans.push_back(*span);
	recorder->names += std::string(kb_span_kind_name(span->kind)) + "=" +
			   kb_result_name(span->result) + " ";
}

TEST_F(TargetGate, EachStageHasASpan)
{
	static const kb_trace_exporter_ops_t ops = { record_span };
	HopRecorder recorder = { { &ops }, {}, "" };
	kb_trace_t trace = { &recorder.base, &clock.base, 0 };
	struct {
		kbx_action action;
		const char *traceparent;
		void (*inject)(FakeConnector &connector);
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
		GateRequest request(c.action, INSERT_SQL);

		recorder.spans.clear();
		recorder.names.clear();
		request.args.traceparent = GateRequest::text(c.traceparent);
		connector.targets[1].ignores_statements = true;
		submit(request);
		c.inject(connector);
		connector.targets[1].ignores_statements = false;
		advance(300);
		EXPECT_EQ(1, request.ended);
		EXPECT_EQ(std::string(c.expected).size(), recorder.names.size())
			<< recorder.names;
		for (const kb_span_t &span : recorder.spans) {
			EXPECT_EQ(0x4b, span.context.trace[0]);
			EXPECT_EQ(0xf0, span.parent[1]);
			EXPECT_LE(span.start, span.end);
		}
		if (c.action == KBX_ACTION_WRITE) {
			EXPECT_EQ(c.expected, recorder.names);
		}
	}
}

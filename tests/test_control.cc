#include "control.h"
#include "fake_conn.h"

#include <event2/event.h>
#include <gtest/gtest.h>
#include <cstring>

/* Returns the test's single connection, or fails immediately. */
struct OneConnector {
	kb_connector_t base;
	FakeConn conn;
	kb_result_t open_result = KB_OK;
	size_t opened = 0;
};

static kb_result_t open_one(kb_connector_t *base, const kb_conn_address_t *,
			    const kb_conn_events_t *events, void *owner,
			    kb_conn_t **conn)
{
	auto *connector = reinterpret_cast<OneConnector *>(base);

	if (connector->open_result)
		return connector->open_result;
	connector->opened++;
	connector->conn.base.events = events;
	connector->conn.base.owner = owner;
	*conn = &connector->conn.base;
	return KB_OK;
}

static const kb_connector_ops_t connector_ops = { open_one };

static void on_ended(kb_control_t *control, const kb_control_command_t *command,
		     kb_result_t result, const kb_report_t *report);
static const kb_control_events_t events = { on_ended };

class Control : public testing::Test
{
      public:
	std::vector<kb_result_t> results;
	std::vector<uint64_t> ids;
	kb_report_t report = {};

      protected:
	struct event_base *loop = event_base_new();
	OneConnector connector;
	kb_control_t control;

	void SetUp() override
	{
		kb_conn_address_t address = {};

		connector.base.ops = &connector_ops;
		ASSERT_EQ(KB_OK,
			  kb_control_init(&control, &events, this,
					  &connector.base, loop, &address));
	}

	void TearDown() override
	{
		kb_control_finish(&control);
		event_base_free(loop);
	}

	kb_result_t probe(uint64_t id)
	{
		kb_control_command_t command = {};

		command.kind = KB_CONTROL_PROBE;
		command.id = id;
		return kb_control_send(&control, &command);
	}

	void run_loop()
	{
		event_base_loop(loop, EVLOOP_NONBLOCK);
	}

	kb_conn_t *conn()
	{
		return &connector.conn.base;
	}

	void opened(kb_result_t result)
	{
		conn()->events->on_open(conn(), result);
	}

	void answer(const std::vector<const char *> &cells)
	{
		FakeAnswer fake(cells);

		conn()->events->on_answer(conn(), 0, &fake.value);
		conn()->events->on_batch_end(conn(), 0);
	}
};

static void on_ended(kb_control_t *control, const kb_control_command_t *command,
		     kb_result_t result, const kb_report_t *report)
{
	auto *test = static_cast<Control *>(control->owner);

	test->results.push_back(result);
	test->ids.push_back(command->id);
	if (report)
		test->report = *report;
}

TEST_F(Control, FailureToOpenIsUnreachableOrOverloaded)
{
	probe(1);
	opened(KB_ERR_OVERLOADED);
	probe(2);
	opened(KB_ERR_UNREACHABLE);
	connector.open_result = KB_ERR_UNREACHABLE;
	probe(3);
	EXPECT_EQ(2u, results.size()) << "must be reported from the loop only";
	run_loop();
	EXPECT_EQ((std::vector<kb_result_t>{ KB_ERR_OVERLOADED,
					     KB_ERR_UNREACHABLE,
					     KB_ERR_UNREACHABLE }),
		  results);
}

TEST_F(Control, ACommandBeyondTheQueueIsRefused)
{
	for (uint64_t id = 0; id < KB_CONTROL_COMMANDS_MAX; id++)
		EXPECT_EQ(KB_OK, probe(id));
	EXPECT_EQ(KB_ERR_OVERLOADED, probe(KB_CONTROL_COMMANDS_MAX));
	opened(KB_ERR_UNREACHABLE);
	EXPECT_EQ((size_t)KB_CONTROL_COMMANDS_MAX, results.size());
	EXPECT_EQ(KB_OK, probe(KB_CONTROL_COMMANDS_MAX));
}

TEST_F(Control, MissingAnswerIsATimeout)
{
	probe(1);
	opened(KB_OK);
	probe(2);
	event_active(control.timer, EV_TIMEOUT, 0);
	run_loop();
	EXPECT_EQ((std::vector<kb_result_t>{ KB_ERR_TIMEOUT, KB_ERR_TIMEOUT }),
		  results);
	EXPECT_TRUE(connector.conn.closed);
}

TEST_F(Control, CommandsAreSentOneAtATime)
{
	probe(1);
	probe(2);
	opened(KB_OK);
	EXPECT_EQ(1u, connector.conn.batches.size());
	answer({ "t", "3", "primary", "9", "8", "1:1,3:5", "h1.x" });
	EXPECT_EQ(2u, connector.conn.batches.size());
	EXPECT_EQ(KB_OK, results[0]);
	EXPECT_EQ(3u, report.term);
	EXPECT_EQ(KB_ROLE_PRIMARY, report.role);
	EXPECT_EQ(9u, report.received);
	EXPECT_EQ(8u, report.applied);
	EXPECT_EQ(2u, report.history.count);
	conn()->events->on_lost(conn());
	EXPECT_EQ(KB_ERR_CLOSED, results[1]);
}

TEST_F(Control, MalformedReportsAreProtocolErrors)
{
	const std::vector<const char *> rows[] = {
		{},
		{ "t", "3" },
		{ "t", "x", "primary", "9", "8", "1:1", "h" },
		{ "t", "3", "leader", "9", "8", "1:1", "h" },
		{ "t", "3", "replica", "-9", "8", "1:1", "h" },
		{ "t", "3", "replica", "9", "8", "3:5,1:1", "h" },
	};

	for (const auto &row : rows) {
		probe(1);
		if (!control.connected)
			opened(KB_OK);
		answer(row);
		EXPECT_EQ(KB_ERR_PROTOCOL, results.back());
	}
}

TEST_F(Control, RejectedCommandStillReports)
{
	probe(1);
	opened(KB_OK);
	answer({ "f", "4", "replica", "9", "9", "1:1", "h2" });
	EXPECT_EQ(KB_ERR_CONFLICT, results[0]);
	EXPECT_EQ(4u, report.term);
}

#ifndef GATE_FIXTURE_H
#define GATE_FIXTURE_H

#include "agent.h"
#include "fake_target.h"
#include "target_gate.h"

#include <event2/event.h>
#include <gtest/gtest.h>

/* One request to a gate and its result. */
class GateRequest
{
      public:
	kbx_execute_args args = {};
	int ended = 0;
	kb_result_t result = KB_OK;
	std::string body, transaction, message;
	kb_time_t age = 0;
	kb_time_t service = 0;

	GateRequest(kbx_action action, const char *sql)
	{
		args.action = action;
		args.caller = text("kalahari");
		args.group = text("race-1");
		args.target = text("race-1-a");
		args.traffic_class = text("clocking");
		args.transaction = text("");
		args.key = text("");
		args.traceparent = text("");
		args.deadline_us = 5000000;
		if (!*sql)
			return;
		statement.sql = text(sql);
		args.statements.statements_val = &statement;
		args.statements.statements_len = 1;
	}

	static char *text(const char *value)
	{
		return const_cast<char *>(value);
	}

	static void on_done(void *ctx, const kbx_execute_res *res)
	{
		auto *request = static_cast<GateRequest *>(ctx);

		request->ended++;
		request->result = (kb_result_t)res->result;
		request->message = res->message;
		request->transaction = res->transaction;
		request->age = res->age_us * KB_NS_PER_US;
		request->service = res->service_us;
		request->body.assign(
			res->answer.answer_val ? res->answer.answer_val : "",
			res->answer.answer_len);
	}

      private:
	kbx_statement statement = {};
};

/* One host's agent of a group, with the gates that a test opens. */
class GateHost
{
      public:
	kb_agent_t agent;
	kb_target_gate_t *gates[KB_GROUP_MAX_TARGETS] = {};

	GateHost(struct event_base *loop, FakeClock *clock,
		 FakeConnector *connector, const kb_group_spec_t *group)
	    : loop(loop), clock(clock), connector(connector)
	{
		static kb_agent_ops_t ops = {};

		ops.request_views = [](kb_agent_t *) {};
		ops.primary_changed = [](kb_agent_t *, uint64_t, size_t, int) {
		};
		ops.reported = [](kb_agent_t *agent, size_t) {
			static_cast<GateHost *>(agent->owner)->report();
		};
		kb_agent_setup_t setup = {};

		setup.loop = loop;
		setup.clock = &clock->base;
		setup.connector = &connector->base;
		setup.group = group;
		kb_name_set(&setup.promoter, KB_STR("h1"));
		setup.ops = &ops;
		setup.owner = this;
		EXPECT_EQ(KB_OK, kb_agent_init(&agent, &setup));
	}

	~GateHost()
	{
		for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++)
			close(i);
		kb_agent_finish(&agent);
	}

	kb_target_gate_t *open(size_t index)
	{
		kb_traffic_class_t spec = {};

		gates[index] = new kb_target_gate_t();
		EXPECT_EQ(KB_OK,
			  kb_target_gate_init(gates[index], &agent, index,
					      &connector->base, loop,
					      &clock->base, 4096, index));
		kb_name_set(&spec.name, KB_STR("clocking"));
		spec.weight = 1;
		spec.queue_limit = 64;
		spec.deadline = 10 * KB_NS_PER_S;
		kb_target_gate_set_class(gates[index], &spec);
		return gates[index];
	}

	void close(size_t index)
	{
		if (!gates[index])
			return;
		kb_target_gate_finish(gates[index]);
		delete gates[index];
		gates[index] = nullptr;
	}

	void report()
	{
		for (kb_target_gate_t *gate : gates)
			if (gate)
				kb_target_gate_on_report(gate);
	}

	/* Fires the timers of the host at the current time. */
	void tick()
	{
		event_active(agent.wakeup.timer, EV_TIMEOUT, 0);
		for (kb_target_gate_t *gate : gates)
			if (gate)
				event_active(gate->wakeup.timer, EV_TIMEOUT, 0);
	}

      private:
	struct event_base *loop;
	FakeClock *clock;
	FakeConnector *connector;
};

/* Three targets of which the first, on port 1, is the primary. */
class TargetGate : public testing::Test
{
      protected:
	struct event_base *loop = event_base_new();
	FakeClock clock;
	FakeConnector connector;
	kb_group_spec_t group = {};
	GateHost *host = nullptr;

	void SetUp() override
	{
		const char *names[] = { "race-1-a", "race-1-b", "race-1-c" };

		kb_name_set(&group.name, KB_STR("race-1"));
		kb_name_set(&group.database, KB_STR("race"));
		group.target_count = 3;
		for (size_t i = 0; i < group.target_count; i++) {
			kb_target_spec_t *target = &group.targets[i];

			kb_name_set(&target->name, kb_str_from(names[i]));
			kb_name_set(&target->address, KB_STR("127.0.0.1"));
			target->port = (uint16_t)(i + 1);
			target->slots = 2;
			target->connections = 16;
		}
		connector.targets[1].primary = true;
		host = new GateHost(loop, &clock, &connector, &group);
		for (size_t i = 0; i < group.target_count; i++)
			host->open(i);
		advance(300);
		ASSERT_EQ(0u, kb_agent_primary(&host->agent));
	}

	void TearDown() override
	{
		delete host;
		event_base_loop(loop, EVLOOP_NONBLOCK);
		event_base_free(loop);
	}

	/* Runs the event loop until no event is pending. */
	void settle()
	{
		const int limit = 10000;
		int rounds = 0;

		do
			event_base_loop(loop, EVLOOP_NONBLOCK);
		while (connector.pump() && ++rounds < limit);
		ASSERT_LT(rounds, limit) << "events never stop";
	}

	/* Advances the clock in small steps. */
	void advance(int ms)
	{
		const int step = 5;

		for (int i = 0; i < ms; i += step) {
			clock.now += step * KB_NS_PER_MS;
			host->tick();
			settle();
		}
	}

	void submit(GateRequest &request, size_t target = 0)
	{
		kb_target_gate_execute(host->gates[target], &request.args,
				       GateRequest::on_done, &request);
		settle();
	}

	/* Returns the statements that target 0 ran, without the first `skip`.
	 */
	std::string ran(size_t skip = 0)
	{
		std::string text;
		const auto &executed = connector.targets[1].executed;

		for (size_t i = skip; i < executed.size(); i++)
			text += (text.empty() ? "" : "; ") + executed[i];
		return text;
	}
};

/* Begins a transaction and stores its id in the new variable `name`. */
#define BEGIN(name)                                     \
	GateRequest begin_##name(KBX_ACTION_BEGIN, ""); \
	submit(begin_##name);                           \
	ASSERT_EQ(1, begin_##name.ended);               \
	ASSERT_EQ(KB_OK, begin_##name.result);          \
	std::string name = begin_##name.transaction

static inline GateRequest within(const std::string &transaction,
				 kbx_action action, const char *sql)
{
	GateRequest request(action, sql);

	request.args.transaction = GateRequest::text(transaction.c_str());
	return request;
}

#define INSERT_SQL "INSERT INTO clockings VALUES (1)"
#define SELECT_SQL "SELECT * FROM clockings"

#endif

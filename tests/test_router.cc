#include "caller_fixture.h"
#include "rpc_fixture.h"

/* A call, and what its caller was told. */
struct RoutedCall {
	/* First member: `done` of the call refers to it. */
	kb_call_t base;
	int ended = 0;
	kb_result_t result = KB_OK;
	std::string message;

	RoutedCall(FakeClock &clock, kbx_action action, const char *key = "")
	{
		EXPECT_EQ(KB_OK, kb_call_init(&base));
		base.args.action = action;
		set(&base.args.group, "race-1");
		set(&base.args.caller, "kalahari");
		set(&base.args.traffic_class, "clocking");
		set(&base.args.key, key);
		base.arrived = clock.now;
		base.deadline = clock.now + 2 * KB_NS_PER_S;
		base.done = on_done;
		if (action == KBX_ACTION_STATEMENT ||
		    action == KBX_ACTION_COMMIT ||
		    action == KBX_ACTION_ROLLBACK) {
			EXPECT_EQ(KB_OK,
				  kb_call_parse_transaction(
					  &base, KB_STR("h1~race-1-a~5f")));
		}
	}

	~RoutedCall()
	{
		kb_call_finish(&base);
	}

	static void set(char **field, const char *value)
	{
		EXPECT_EQ(KB_OK, kb_call_set(field, kb_str_from(value)));
	}

	static void on_done(kb_call_t *call, const kbx_execute_res *res)
	{
		auto *routed = reinterpret_cast<RoutedCall *>(call);

		routed->ended++;
		routed->result = (kb_result_t)res->result;
		routed->message = res->message;
	}
};

/* A router before a fake gate, or before hosts that do not answer. */
class Router : public CallerApi
{
      protected:
	void submit(RoutedCall &call)
	{
		kb_router_submit(&router.base, &call.base);
	}

	/* Waits until the call has ended or is at the gate again. */
	void settle(const RoutedCall &call)
	{
		loop.run_until(
			[&] { return call.ended || !router.waiting.empty(); });
	}

	/* Answers every attempt with `result`; returns how many there were. */
	int attempts(RoutedCall &call, kb_result_t result, int most = 4)
	{
		int count = 0;

		submit(call);
		for (settle(call); !call.ended && count < most; settle(call)) {
			count++;
			if (count == most)
				clock.now = call.base.deadline;
			router.take().answer(result);
		}
		return count;
	}
};

TEST_F(Router, RetriesOnlyWhatDidNotRunOrHasItsKey)
{
	const bool no = false, yes = true;
	struct {
		kb_result_t result;
		bool read, write, keyed;
	} cases[] = {
		{ KB_ERR_NO_PRIMARY, yes, yes, yes },
		{ KB_ERR_NOT_FRESH, yes, yes, yes },
		{ KB_ERR_NOT_GATE, yes, yes, yes },
		{ KB_ERR_UNREACHABLE, yes, yes, yes },
		{ KB_ERR_DRAINING, yes, yes, yes },
		{ KB_ERR_ROLLED_BACK, yes, yes, yes },
		{ KB_ERR_OVERLOADED, yes, no, no },
		{ KB_ERR_UNKNOWN, yes, no, yes },
		{ KB_ERR_CLOSED, yes, no, yes },
		{ KB_ERR_TIMEOUT, yes, no, yes },
		{ KB_ERR_INVALID, no, no, no },
		{ KB_ERR_STATEMENT, no, no, no },
		{ KB_ERR_KEY_REUSED, no, no, no },
		{ KB_ERR_TOO_LARGE, no, no, no },
		{ KB_ERR_DEADLINE, no, no, no },
		{ KB_ERR_NO_MEMORY, no, no, no },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(kb_result_name(c.result));
		RoutedCall read(clock, KBX_ACTION_READ);
		EXPECT_EQ(c.read, attempts(read, c.result) > 1);
		EXPECT_EQ(1, read.ended);
		RoutedCall write(clock, KBX_ACTION_WRITE);
		EXPECT_EQ(c.write, attempts(write, c.result) > 1);
		EXPECT_EQ(1, write.ended);
		RoutedCall keyed(clock, KBX_ACTION_WRITE, "k1");
		EXPECT_EQ(c.keyed, attempts(keyed, c.result) > 1);
		EXPECT_EQ(1, keyed.ended);
		EXPECT_EQ(0u, router.base.active);
	}
}

TEST_F(Router, RequestsOfATransactionAreNeverSentAgain)
{
	for (kbx_action action :
	     { KBX_ACTION_STATEMENT, KBX_ACTION_COMMIT, KBX_ACTION_ROLLBACK })
		for (kb_result_t result :
		     { KB_ERR_NO_PRIMARY, KB_ERR_NOT_GATE, KB_ERR_UNREACHABLE,
		       KB_ERR_DRAINING, KB_ERR_ROLLED_BACK, KB_ERR_OVERLOADED,
		       KB_ERR_UNKNOWN, KB_ERR_CLOSED, KB_ERR_TIMEOUT }) {
			RoutedCall call(clock, action, "k1");

			EXPECT_EQ(1, attempts(call, result));
			EXPECT_EQ(result, call.result);
		}
}

TEST_F(Router, UnknownStaysUnknownWhateverFollows)
{
	struct {
		kb_result_t second, expected;
	} cases[] = {
		{ KB_OK, KB_OK },
		{ KB_ERR_STATEMENT, KB_ERR_UNKNOWN },
		{ KB_ERR_DEADLINE, KB_ERR_UNKNOWN },
		{ KB_ERR_OVERLOADED, KB_ERR_UNKNOWN },
		/* The record of the key shows another request. */
		{ KB_ERR_KEY_REUSED, KB_ERR_KEY_REUSED },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(kb_result_name(c.second));
		RoutedCall call(clock, KBX_ACTION_WRITE, "k1");

		submit(call);
		router.take().answer(KB_ERR_UNKNOWN);
		settle(call);
		ASSERT_EQ(0, call.ended);
		router.take().answer(c.second);
		settle(call);
		EXPECT_EQ(1, call.ended);
		EXPECT_EQ(c.expected, call.result);
	}
}

TEST_F(Router, DeadlineAfterAnUnknownAttemptIsUnknown)
{
	RoutedCall call(clock, KBX_ACTION_WRITE, "k1");

	submit(call);
	router.take().answer(KB_ERR_UNKNOWN);
	clock.now = call.base.deadline;
	settle(call);
	EXPECT_EQ(1, call.ended);
	EXPECT_EQ(KB_ERR_UNKNOWN, call.result);
}

TEST_F(Router, DeadlineBeforeAnyAttemptMeansNotRun)
{
	RoutedCall call(clock, KBX_ACTION_WRITE);

	call.base.deadline = clock.now;
	submit(call);
	EXPECT_EQ(1, call.ended);
	EXPECT_EQ(KB_ERR_DEADLINE, call.result);
	EXPECT_TRUE(router.waiting.empty());
}

TEST_F(Router, HintsFollowWhatGatesReport)
{
	kbx_target_view items[3] = {};
	const char *names[] = { "race-1-a", "race-1-b", "race-1-c" };
	RoutedCall first(clock, KBX_ACTION_WRITE);
	RoutedCall second(clock, KBX_ACTION_WRITE);
	kbx_execute_res res = {};

	for (size_t i = 0; i < 3; i++) {
		items[i].target = const_cast<char *>(names[i]);
		items[i].primary = i == 2;
		items[i].age_us = 1000;
	}
	submit(first);
	ASSERT_EQ(1u, router.waiting.size());
	EXPECT_EQ("race-1-a", router.waiting[0].target);
	res.result = KB_ERR_NO_PRIMARY;
	res.message = const_cast<char *>("");
	res.transaction = const_cast<char *>("");
	res.view.term = 2;
	res.view.targets.targets_val = items;
	res.view.targets.targets_len = 3;
	AtGate at_gate = router.take();
	at_gate.done(at_gate.ctx, &res);
	settle(first);
	ASSERT_EQ(1u, router.waiting.size());
	EXPECT_EQ("race-1-c", router.waiting[0].target);
	router.take().answer(KB_OK);
	EXPECT_EQ(KB_OK, first.result);
	submit(second);
	EXPECT_EQ("race-1-c", router.waiting[0].target);
	/* A gate that still believes in the older term changes nothing. */
	items[0].primary = 1;
	items[2].primary = 0;
	res.result = KB_OK;
	res.view.term = 1;
	at_gate = router.take();
	at_gate.done(at_gate.ctx, &res);
	RoutedCall third(clock, KBX_ACTION_WRITE);

	submit(third);
	EXPECT_EQ("race-1-c", router.waiting[0].target);
	router.take().answer(KB_OK);
}

TEST_F(Router, CallsThatWaitEndWithTheRouter)
{
	RoutedCall waiting(clock, KBX_ACTION_WRITE);
	RoutedCall unknown(clock, KBX_ACTION_WRITE, "k1");

	submit(waiting);
	router.take().answer(KB_ERR_UNREACHABLE);
	submit(unknown);
	router.take().answer(KB_ERR_UNKNOWN);
	EXPECT_EQ(2u, router.base.active);
	kb_router_finish(&router.base);
	EXPECT_EQ(KB_ERR_DRAINING, waiting.result);
	EXPECT_EQ(KB_ERR_UNKNOWN, unknown.result);
	EXPECT_EQ(0u, router.base.active);
}

/* What becomes of a call to another host. */
struct ForwardFault {
	const char *name;
	/* Acts on the host once the call has reached it. */
	void (*strike)(RawServer &host);
	kb_result_t expected;
	bool retried;
};

static std::string refusal(enum accept_stat status)
{
	return reply_to(1, 0, status);
}

TEST_F(Router, FaultsOfAnotherHostEndByTheTable)
{
	const ForwardFault faults[] = {
		{ "host dies before the answer",
		  [](RawServer &host) { host.hang_up(); }, KB_ERR_UNKNOWN,
		  false },
		{ "garbage", [](RawServer &host) { host.send("garbage!!"); },
		  KB_ERR_UNKNOWN, false },
		{ "unknown version",
		  [](RawServer &host) { host.send(refusal(PROG_MISMATCH)); },
		  KB_ERR_UNREACHABLE, true },
		{ "cannot decode the call",
		  [](RawServer &host) { host.send(refusal(GARBAGE_ARGS)); },
		  KB_ERR_UNKNOWN, false },
	};

	for (const ForwardFault &fault : faults) {
		SCOPED_TRACE(fault.name);
		RawServer raw(loop.base);
		RoutedCall call(clock, KBX_ACTION_WRITE);
		kb_host_info_t place = {};
		int failed = router.failed_calls;

		kb_name_set(&place.name, kb_str_from(fault.name));
		kb_name_set(&place.endpoint.address, KB_STR("127.0.0.1"));
		place.endpoint.port = raw.port;
		router.gate = kb_hosts_put(&hosts, &place);
		submit(call);
		loop.run_until([&] { return !raw.received.empty(); });
		/* What is retried comes to this host's own gate. */
		router.gate = hosts.self;
		fault.strike(raw);
		settle(call);
		EXPECT_EQ(failed + 1, router.failed_calls);
		EXPECT_EQ(fault.retried, !call.ended);
		if (!call.ended)
			router.take().answer(KB_OK);
		EXPECT_EQ(fault.retried ? KB_OK : fault.expected, call.result);
		EXPECT_EQ(1, call.ended);
	}
}

TEST_F(Router, HostThatIsGoneIsNotRunAndTriedElsewhere)
{
	RoutedCall call(clock, KBX_ACTION_WRITE);
	kb_host_info_t place = {};

	{
		RawServer gone(loop.base);

		place.endpoint.port = gone.port;
	}
	kb_name_set(&place.name, KB_STR("h2"));
	kb_name_set(&place.endpoint.address, KB_STR("127.0.0.1"));
	router.gate = kb_hosts_put(&hosts, &place);
	submit(call);
	router.gate = hosts.self;
	settle(call);
	ASSERT_EQ(0, call.ended);
	router.take().answer(KB_OK);
	EXPECT_EQ(KB_OK, call.result);
}

#include "caller_fixture.h"

#include <jansson.h>

TEST_F(CallerApi, RefusesInvalidRequests)
{
	const std::string body(5000, ' '), header(2500, 'x');
	struct {
		const char *name;
		std::string data;
		int status;
		const char *part;
	} cases[] = {
		{ "no token", request(STATEMENTS, WRITE, "", ""), 401,
		  "unauthenticated" },
		{ "wrong token", request(STATEMENTS, WRITE, "", "token-of-k"),
		  401, "WWW-Authenticate: Bearer" },
		{ "no such path", request("/v1/none", WRITE), 404,
		  "not-found" },
		{ "path with an extra part", request(STATEMENTS "/x", WRITE),
		  404, "not-found" },
		{ "no such group", request("/v1/groups/none/statements", WRITE),
		  404, "the group does not exist" },
		{ "method", request(STATEMENTS, "", "", KALAHARI, "GET"), 405,
		  "Allow: POST" },
		{ "unusual method",
		  request(STATEMENTS, "", "", KALAHARI, "PATCH"), 405,
		  "Allow: POST" },
		{ "no body", request(STATEMENTS, ""), 400, "invalid" },
		{ "malformed body", request(STATEMENTS, "{"), 400, "invalid" },
		{ "unknown field", request(STATEMENTS, "{\"sq\":\"x\"}"), 400,
		  "\"field\":\"sq\"" },
		{ "unknown kind",
		  request(STATEMENTS, "{\"sql\":\"S\",\"read\":\"x\"}"), 400,
		  "\"field\":\"read\"" },
		{ "malformed session token",
		  request(STATEMENTS, WRITE, "Kumquat-Session: abc\r\n"), 400,
		  "token-invalid" },
		{ "deadline without unit",
		  request(STATEMENTS, WRITE, "Kumquat-Deadline: 15\r\n"), 400,
		  "Kumquat-Deadline" },
		{ "deadline of zero",
		  request(STATEMENTS, WRITE, "Kumquat-Deadline: 0s\r\n"), 400,
		  "Kumquat-Deadline" },
		{ "deadline too late",
		  request(STATEMENTS, WRITE, "Kumquat-Deadline: 1h\r\n"), 400,
		  "Kumquat-Deadline" },
		{ "empty key",
		  request(STATEMENTS, WRITE, "Idempotency-Key: \r\n"), 400,
		  "Idempotency-Key" },
		{ "long key",
		  request(STATEMENTS, WRITE,
			  "Idempotency-Key: " + std::string(64, 'k') + "\r\n"),
		  400, "Idempotency-Key" },
		{ "body over the limit", request(STATEMENTS, body), 413,
		  "too-large" },
		{ "headers over the limit",
		  request(STATEMENTS, WRITE, "X-More: " + header + "\r\n"), 431,
		  "too-large" },
		{ "path over the limit", request("/v1/" + header, WRITE), 431,
		  "too-large" },
		{ "malformed transaction name",
		  request(TRANSACTIONS "/x/commit", ""), 404, "not-found" },
		{ "unknown target of a transaction",
		  request(TRANSACTIONS "/h1~none~5/statements", WRITE), 404,
		  "not-found" },
		{ "unknown host of a transaction",
		  request(TRANSACTIONS "/h9~race-1-a~5/rollback", ""), 404,
		  "not-found" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		auto client = submit(c.data);

		EXPECT_EQ(c.status, client->status()) << client->received;
		EXPECT_TRUE(client->has(c.part)) << client->received;
		EXPECT_TRUE(client->has("application/problem+json"));
		EXPECT_TRUE(client->has("\"outcome\":\"not run\""));
	}
	EXPECT_TRUE(router.waiting.empty());
	EXPECT_EQ(0u, api->active);
}

/* An earlier attempt may have committed the transaction. */
TEST_F(CallerApi, CommitOfAnUnknownTransactionIsUnknown)
{
	auto client = submit(request(TRANSACTIONS "/h9~race-1-a~5/commit", ""));

	EXPECT_EQ(504, client->status());
	EXPECT_TRUE(client->has("\"outcome\":\"unknown\""));
}

/*
 * Beyond the limits of the HTTP server, the server itself responds and closes
 * the connection.
 */
TEST_F(CallerApi, ConnectionClosesFarBeyondTheLimits)
{
	const std::string body(40000, ' '), header(40000, 'x');

	for (const std::string &data :
	     { request(STATEMENTS, body),
	       request(STATEMENTS, WRITE, "X-More: " + header + "\r\n"),
	       std::string("GARBAGE\r\n\r\n"),
	       std::string("POST " STATEMENTS " HTTP/9.9\r\n\r\n"),
	       request(STATEMENTS, WRITE, "Content-Length: -5\r\n"),
	       std::string(70000, 'A') }) {
		auto client = submit(data);

		EXPECT_NE(200, client->status());
		loop.run_until([&] { return client->closed; });
	}
	EXPECT_TRUE(router.waiting.empty());
	EXPECT_EQ(0u, api->active);
}

TEST_F(CallerApi, SlowAndTruncatedRequestsReachNoGate)
{
	std::string whole = request(STATEMENTS, WRITE);
	RawClient slow(loop.base, api->port);
	std::unique_ptr<RawClient> truncated(
		new RawClient(loop.base, api->port));

	truncated->send(whole.substr(0, whole.size() - 3));
	for (char c : whole.substr(0, whole.size() - 1)) {
		slow.send(std::string(1, c));
		event_base_loop(loop.base, EVLOOP_NONBLOCK);
	}
	EXPECT_TRUE(router.waiting.empty());
	truncated.reset();
	slow.send(whole.substr(whole.size() - 1));
	loop.run_until([&] { return router.waiting.size() == 1; });
	EXPECT_STREQ("INSERT",
		     router.waiting[0].args->statements.statements_val[0].sql);
	router.pop().answer(KB_OK);
	finish(slow);
	EXPECT_EQ(200, slow.status());
	EXPECT_EQ(0u, api->active);
}

TEST_F(CallerApi, GateResultsSetTheResponse)
{
	struct {
		kb_result_t result;
		int status;
		const char *outcome;
	} cases[] = {
		{ KB_ERR_STATEMENT, 422, "not run" },
		{ KB_ERR_KEY_REUSED, 422, "not run" },
		{ KB_ERR_TOO_LARGE, 413, "not run" },
		{ KB_ERR_OVERLOADED, 503, "not run" },
		{ KB_ERR_DEADLINE, 503, "not run" },
		{ KB_ERR_UNKNOWN, 504, "unknown" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(kb_result_name(c.result));
		auto client = submit(request(STATEMENTS, WRITE));

		ASSERT_EQ(1u, router.waiting.size());
		router.pop().answer(c.result);
		finish(*client);
		EXPECT_EQ(c.status, client->status()) << client->received;
		EXPECT_TRUE(client->has(c.outcome)) << client->received;
		EXPECT_TRUE(client->has("message of the gate"));
		EXPECT_EQ(1u, api->counters.results[c.result]);
	}
}

/* Returns the value of a header of a response, or "". */
static std::string header_of(const RawClient &client, const std::string &name)
{
	size_t start = client.received.find(name + ": ");

	if (start == std::string::npos)
		return "";
	start += name.size() + 2;
	return client.received.substr(start, client.received.find('\r', start) -
						     start);
}

TEST_F(CallerApi, SessionTokenCarriesTheWriteToTheNextRequest)
{
	auto write = submit(request(STATEMENTS, WRITE));

	ASSERT_EQ(1u, router.waiting.size());
	router.pop().answer(KB_OK, "{\"affected\":1}", { 4, 17 });
	finish(*write);
	EXPECT_EQ(200, write->status());
	EXPECT_TRUE(write->has("{\"affected\":1}"));
	std::string token = header_of(*write, "Kumquat-Session");

	ASSERT_NE("", token);
	auto read = submit(request(STATEMENTS,
				   "{\"sql\":\"S\",\"read\":\"current\"}",
				   "Kumquat-Session: " + token + "\r\n"));

	ASSERT_EQ(1u, router.waiting.size());
	EXPECT_EQ(4u, router.waiting[0].args->include.term);
	EXPECT_EQ(17u, router.waiting[0].args->include.position);
	router.pop().answer(KB_OK);
	finish(*read);
	EXPECT_EQ(token, header_of(*read, "Kumquat-Session"));
	auto other_caller =
		submit(request(STATEMENTS, WRITE,
			       "Kumquat-Session: " + token + "\r\n", LOFTS));

	EXPECT_EQ(400, other_caller->status());
	EXPECT_TRUE(other_caller->has("token-invalid"));
}

TEST_F(CallerApi, TransactionIsNamedByHostTargetAndGate)
{
	auto begin = submit(request(TRANSACTIONS, ""));

	ASSERT_EQ(1u, router.waiting.size());
	EXPECT_EQ(KBX_ACTION_BEGIN, router.waiting[0].args->action);
	router.pop().answer(KB_OK, "{}", { 0, 0 }, "5f");
	finish(*begin);
	EXPECT_EQ(201, begin->status());
	EXPECT_TRUE(begin->has("{\"transaction\":\"h1~race-1-"))
		<< begin->received;
	for (const char *verb : { "statements", "commit", "rollback" }) {
		auto next = submit(request(TRANSACTIONS "/h1~race-1-b~5f/" +
						   std::string(verb),
					   *verb == 's' ? WRITE : ""));

		ASSERT_EQ(1u, router.waiting.size());
		EXPECT_STREQ("5f", router.waiting[0].args->transaction);
		EXPECT_EQ("race-1-b", router.waiting[0].target);
		router.pop().answer(KB_OK);
		finish(*next);
		EXPECT_EQ(200, next->status());
	}
}

TEST_F(CallerApi, TooManyRequestsInFlightAreRefused)
{
	auto first = submit(request(STATEMENTS, WRITE));
	auto second = submit(request(STATEMENTS, WRITE));
	auto third = submit(request(STATEMENTS, WRITE));

	EXPECT_EQ(2u, router.waiting.size());
	EXPECT_EQ(429, third->status());
	EXPECT_TRUE(third->has("\"outcome\":\"not run\""));
	auto other = submit(request(STATEMENTS, WRITE, "", LOFTS));
	auto fourth = submit(request(STATEMENTS, WRITE, "", LOFTS));

	EXPECT_EQ(3u, router.waiting.size());
	EXPECT_EQ(429, fourth->status());
	while (!router.waiting.empty())
		router.pop().answer(KB_OK);
	finish(*first);
	finish(*second);
	finish(*other);
	EXPECT_EQ(0u, api->active);
	auto later = submit(request(STATEMENTS, WRITE));

	EXPECT_EQ(1u, router.waiting.size());
}

TEST_F(CallerApi, DrainingRefusesNewWorkAndLetsTransactionsEnd)
{
	kb_caller_api_set_draining(api.get(), 1);
	auto early = submit(request(STATEMENTS, WRITE));

	EXPECT_EQ(503,
		  submit(request("/healthz", "", "", "", "GET"))->status());
	ASSERT_EQ(1u, router.waiting.size());
	router.pop().answer(KB_OK);
	finish(*early);
	EXPECT_EQ(200, early->status());
	EXPECT_TRUE(early->has("Connection: close"));
	clock.now += 1500 * KB_NS_PER_MS;
	auto write = submit(request(STATEMENTS, WRITE));
	auto begin = submit(request(TRANSACTIONS, ""));
	auto health = submit(request("/healthz", "", "", "", "GET"));

	for (RawClient *client : { write.get(), begin.get(), health.get() }) {
		EXPECT_EQ(503, client->status());
		EXPECT_TRUE(client->has("draining"));
		EXPECT_TRUE(client->has("\"outcome\":\"not run\""));
		EXPECT_TRUE(client->has("Connection: close"));
	}
	auto commit =
		submit(request(TRANSACTIONS "/h1~race-1-a~5f/commit", ""));

	ASSERT_EQ(1u, router.waiting.size());
	router.pop().answer(KB_OK);
	finish(*commit);
	EXPECT_EQ(200, commit->status());
	kb_caller_api_set_draining(api.get(), 0);
	EXPECT_EQ(200,
		  submit(request("/healthz", "", "", "", "GET"))->status());
}

TEST_F(CallerApi, ClosedConnectionDropsTheResponse)
{
	for (kb_result_t result : { KB_OK, KB_ERR_UNKNOWN }) {
		auto client = submit(request(STATEMENTS, WRITE));

		EXPECT_EQ(1u, api->active);
		client.reset();
		for (int i = 0; i < 10; i++)
			event_base_loop(loop.base, EVLOOP_NONBLOCK);
		ASSERT_EQ(1u, router.waiting.size());
		EXPECT_EQ(1u, api->active) << "the request continues";
		router.pop().answer(result);
		event_base_loop(loop.base, EVLOOP_NONBLOCK);
		EXPECT_EQ(0u, api->active);
		EXPECT_EQ(0u, api->caller_active[0]);
	}
	auto client = submit(request(STATEMENTS, WRITE));

	ASSERT_EQ(1u, router.waiting.size());
	router.pop().answer(KB_OK);
	finish(*client);
	EXPECT_EQ(200, client->status());
}

TEST_F(CallerApi, ConnectionsAreKeptForTheNextRequest)
{
	RawClient client(loop.base, api->port);

	for (int i = 0; i < 3; i++) {
		client.received.clear();
		client.send(request(STATEMENTS, WRITE));
		loop.run_until([&] { return !router.waiting.empty(); });
		router.pop().answer(KB_OK);
		loop.run_until([&] { return client.complete(); });
		EXPECT_EQ(200, client.status());
	}
	EXPECT_FALSE(client.closed);
}

TEST_F(CallerApi, FinishWithRequestsAtTheGate)
{
	auto client = submit(request(STATEMENTS, WRITE));

	ASSERT_EQ(1u, router.waiting.size());
	kb_caller_api_finish(api.get());
	running = false;
	router.pop().answer(KB_OK, "{}", { 1, 2 });
	EXPECT_EQ(0u, api->active);
}

struct SpanRecorder {
	kb_trace_exporter_t base;
	std::vector<kb_span_t> spans;
};

TEST_F(CallerApi, TraceContextIsPropagated)
{
	static const kb_trace_exporter_ops_t ops = {
		[](kb_trace_exporter_t *exporter, const kb_span_t *span) {
			reinterpret_cast<SpanRecorder *>(exporter)
				->spans.push_back(*span);
		}
	};
	const std::string id = "4bf92f3577b34da6a3ce929d0e0e4736";
	const std::string plain = "00-" + id + "-00f067aa0ba902b7-0";
	SpanRecorder recorder = { { &ops }, {} };
	kb_trace_t trace = { nullptr, &clock.base, 0 };
	struct {
		std::string header;
		bool exports;
		std::string outgoing;
		size_t spans;
	} cases[] = {
		{ plain + "1", false, plain + "1", 0 },
		{ "malformed", false, "", 0 },
		{ "", false, "", 0 },
		{ plain + "0", true, plain + "0", 0 },
		{ plain + "1", true, "00-" + id + "-", 1 },
	};

	api->trace = &trace;
	for (const auto &c : cases) {
		SCOPED_TRACE(c.header);
		recorder.spans.clear();
		trace.exporter = c.exports ? &recorder.base : nullptr;
		auto client =
			submit(request(STATEMENTS, WRITE,
				       "traceparent: " + c.header + "\r\n"));

		ASSERT_EQ(1u, router.waiting.size());
		std::string outgoing = router.waiting[0].args->traceparent;

		EXPECT_EQ(c.outgoing, outgoing.substr(0, c.outgoing.size()));
		EXPECT_EQ(c.outgoing.empty(), outgoing.empty());
		router.pop().answer(KB_OK);
		finish(*client);
		EXPECT_EQ(c.spans, recorder.spans.size());
	}
	api->trace = nullptr;
}

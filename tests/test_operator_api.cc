#include "operator_fixture.h"

#include <sstream>

#define HOST_KEY "/kumquat/resources/host/h1"

TEST_F(OperatorApi, AnswersRequests)
{
	const std::string host = "/v1/resources/host/h1";
	const std::string bad = "{\"spec\":{\"state\":\"gone\"}}";
	const std::string spaces(70000, ' ');
	struct {
		enum evhttp_cmd_type method;
		std::string path, token;
		std::vector<kb_http_header_t> headers;
		std::string body;
		int status;
		std::string part;
	} cases[] = {
		{ EVHTTP_REQ_GET, host, "", {}, "", 401, "unauthenticated" },
		{ EVHTTP_REQ_GET, host, writer + "x", {}, "", 401, "" },
		{ EVHTTP_REQ_PUT, host, reader, {}, leaving, 403, "forbidden" },
		{ EVHTTP_REQ_GET, "/v1/none", reader, {}, "", 404, "" },
		{ EVHTTP_REQ_GET, "/v1/resources/x", reader, {}, "", 404, "" },
		{ EVHTTP_REQ_GET, host + "/", reader, {}, "", 404, "" },
		{ EVHTTP_REQ_GET, host, reader, {}, "", 404, "not-found" },
		{ EVHTTP_REQ_POST, host, writer, {}, leaving, 405, "method" },
		{ EVHTTP_REQ_PUT, "/v1/watch", writer, {}, "", 405, "method" },
		{ EVHTTP_REQ_GET,
		  "/v1/watch?after=x",
		  reader,
		  {},
		  "",
		  400,
		  "\"field\":\"after\"" },
		{ EVHTTP_REQ_PUT,
		  host + "?dryrun=true",
		  writer,
		  {},
		  leaving,
		  400,
		  "unknown parameter" },
		{ EVHTTP_REQ_PUT, host, writer, {}, spaces, 413, "64 KiB" },
		{ EVHTTP_REQ_PUT, host, writer, {}, "", 400, "outcome" },
		{ EVHTTP_REQ_PUT,
		  host,
		  writer,
		  {},
		  bad,
		  400,
		  "\"field\":\"spec.state\"" },
		{ EVHTTP_REQ_PUT,
		  host,
		  writer,
		  { { "If-Match", "17" } },
		  leaving,
		  400,
		  "If-Match" },
		{ EVHTTP_REQ_PUT,
		  host,
		  writer,
		  { { "If-Match", "\"17\"" } },
		  leaving,
		  412,
		  "\"current\":null" },
		{ EVHTTP_REQ_DELETE, host, writer, {}, "", 404, "not-found" },
		{ EVHTTP_REQ_PUT,
		  host + "?dryRun=true",
		  writer,
		  {},
		  leaving,
		  200,
		  "\"dryRun\":true" },
		{ EVHTTP_REQ_PUT,
		  host,
		  writer,
		  { { "If-None-Match", "*" } },
		  leaving,
		  200,
		  "\"by\":\"anna\"" },
		{ EVHTTP_REQ_PUT,
		  host,
		  writer,
		  { { "If-None-Match", "*" } },
		  leaving,
		  412,
		  "\"current\":{\"kind\":\"host\",\"name\":\"h1\"" },
		{ EVHTTP_REQ_GET,
		  host,
		  reader,
		  {},
		  "",
		  200,
		  "\"status\":{\"inForce\":2,\"hosts\":3,\"missing\":["
		  "\"h4\"]" },
		{ EVHTTP_REQ_GET,
		  "/v1/resources/host",
		  reader,
		  {},
		  "",
		  200,
		  "\"revision\":11,\"items\":[{\"kind\":\"host\"" },
		{ EVHTTP_REQ_PUT,
		  host + "?dryRun=true",
		  writer,
		  { { "If-Match", "\"9\"" } },
		  leaving,
		  412,
		  "\"revision\":11" },
		{ EVHTTP_REQ_PUT,
		  host,
		  writer,
		  {},
		  "{\"revision\":9," + leaving.substr(1),
		  412,
		  "\"revision\":11" },
		{ EVHTTP_REQ_PUT,
		  host,
		  writer,
		  { { "If-Match", "\"11\"" } },
		  leaving,
		  200,
		  "\"revision\":12" },
		{ EVHTTP_REQ_GET, "/v1/status", reader, {}, "", 200, "hosts" },
		{ EVHTTP_REQ_DELETE,
		  host,
		  writer,
		  { { "If-Match", "\"12\"" } },
		  "",
		  200,
		  "\"deleted\":true" },
	};

	for (const auto &c : cases) {
		Answer answer =
			call(c.method, c.path, c.token, c.headers, c.body);

		EXPECT_EQ(c.status, answer.status) << c.path << answer.body;
		EXPECT_NE(std::string::npos, answer.body.find(c.part))
			<< answer.body << " does not contain " << c.part;
	}
	EXPECT_NE(std::string::npos,
		  store.keys["/kumquat/deleted/host/h1"].value.find("anna"));
}

TEST_F(OperatorApi, StoreErrorsReportWhetherTheChangeRan)
{
	struct {
		kb_result_t read, write;
		bool applies;
		int status;
		std::string part;
	} cases[] = {
		{ KB_ERR_UNREACHABLE, KB_OK, true, 503, "not run" },
		{ KB_ERR_TIMEOUT, KB_OK, true, 503, "not run" },
		{ KB_OK, KB_ERR_UNREACHABLE, false, 503, "not run" },
		{ KB_OK, KB_ERR_OVERLOADED, false, 503, "not run" },
		/* A read after the lost answer finds the change. */
		{ KB_OK, KB_ERR_UNKNOWN, true, 200, "\"revision\":" },
	};

	for (const auto &c : cases) {
		store.read_result = c.read;
		store.write_result = c.write;
		store.applies = c.applies;
		Answer answer = call(EVHTTP_REQ_PUT, "/v1/resources/host/h1",
				     writer, {}, leaving);

		EXPECT_EQ(c.status, answer.status) << answer.body;
		EXPECT_NE(std::string::npos, answer.body.find(c.part))
			<< answer.body;
	}
}

TEST_F(OperatorApi, RepeatedSubmissionIsAcceptedOnce)
{
	std::vector<kb_http_header_t> key = { { "Idempotency-Key", "k-1" } };
	int64_t before = store.revision;

	for (int i = 0; i < 2; i++) {
		Answer answer = call(EVHTTP_REQ_PUT, "/v1/resources/host/h1",
				     writer, key, leaving);

		EXPECT_EQ(200, answer.status) << answer.body;
		EXPECT_NE(std::string::npos,
			  answer.body.find("\"id\":\"k-1\""));
	}
	EXPECT_EQ(before + 1, store.revision);
}

static std::string types_of(const std::string &stream)
{
	std::istringstream lines(stream);
	std::string line, types;

	while (std::getline(lines, line)) {
		json_t *json = json_loads(line.c_str(), 0, nullptr);

		types += json_string_value(json_object_get(json, "type"));
		types += std::to_string(json_integer_value(
				 json_object_get(json, "revision"))) +
			 " ";
		json_decref(json);
	}
	return types;
}

TEST_F(OperatorApi, WatchSendsChangesAndStatusAndResumes)
{
	struct {
		std::string query;
		int64_t first_available;
		std::string expected;
	} cases[] = {
		{ "", 0, "reset11 change11 bookmark11 " },
		{ "?after=10", 0, "change11 bookmark11 " },
		{ "?after=10", 11, "reset11 change11 bookmark11 " },
		{ "?after=11", 0, "bookmark11 " },
		/* The client resumes at a revision above that of this host. */
		{ "?after=13", 0, "bookmark13 " },
	};

	for (const auto &c : cases) {
		Answer answer;

		view.first_available = c.first_available;
		view.revision = 0;
		view.resources.clear();
		view.set(HOST_KEY, active_value, 11);
		kb_http_call_t *stream =
			begin(&answer, EVHTTP_REQ_GET, "/v1/watch" + c.query,
			      reader, {}, "", true);
		auto lines = [&](size_t count) {
			loop.run_until([&] {
				return types_of(answer.body).size() >= count;
			});
		};

		lines(c.expected.size());
		view.set(HOST_KEY, active_value, 12);
		view.in_force = 3;
		view.listener->ops->status(
			view.listener, &view.resources[{ KB_KIND_HOST, "h1" }]);
		view.remove(KB_KIND_HOST, "h1", 14);
		std::string expected = c.expected;

		if (c.query != "?after=13")
			expected += "change12 ";
		expected += "status12 delete14 ";
		lines(expected.size());
		EXPECT_EQ(expected, types_of(answer.body));
		EXPECT_NE(std::string::npos,
			  answer.body.find("{\"inForce\":3,\"hosts\":3,"
					   "\"missing\":[]}"));
		kb_http_client_cancel(stream);
	}
}

TEST_F(OperatorApi, DisconnectedClientsAreReleased)
{
	Answer answer;
	kb_http_call_t *stream = begin(&answer, EVHTTP_REQ_GET, "/v1/watch",
				       reader, {}, "", true);

	loop.run_until([&] { return !answer.body.empty(); });
	EXPECT_EQ(1u, api.watch.count);
	kb_http_client_cancel(stream);
	loop.run_until([&] { return !api.watch.count; });
	/* A change continues after its client has disconnected. */
	store.is_deferring = true;
	kb_http_call_t *change =
		begin(&answer, EVHTTP_REQ_PUT, "/v1/resources/host/h1", writer,
		      {}, leaving);

	loop.run_until([&] { return api.submission_count == 1; });
	kb_http_client_cancel(change);
	event_base_loop(loop.base, EVLOOP_NONBLOCK);
	store.release();
	loop.run_until([&] { return !api.submission_count; });
	EXPECT_EQ(1u, store.keys.count(HOST_KEY));
	/* The interface can be freed while a change awaits the store. */
	store.is_deferring = true;
	begin(&answer, EVHTTP_REQ_PUT, "/v1/resources/host/h1", writer, {},
	      leaving);
	loop.run_until([&] { return api.submission_count == 1; });
}

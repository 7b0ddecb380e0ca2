#include "etcd_answers.h"
#include "store_etcd.h"

class StoreEtcd : public testing::Test
{
      protected:
	Loop loop;
	FakeServer server{ loop };
	kb_clock_t clock;
	kb_store_etcd_settings_t settings;
	kb_store_etcd_t etcd = {};
	const kb_store_keys_t keys = { KB_STR("/a"), 1, 0 };
	std::string log;
	size_t answers = 0;
	/* Cancels all calls and watches once the log has this length. */
	size_t cancel_at = SIZE_MAX;

	StoreEtcd()
	{
		kb_clock_init_system(&clock);
		kb_store_etcd_defaults(&settings);
		kb_name_set(&settings.address, KB_STR("127.0.0.1"));
		settings.port = server.port;
		settings.call_timeout = 30 * KB_NS_PER_S;
		settings.attempt_timeout = 30 * KB_NS_PER_S;
		settings.backoff.base = 10 * KB_NS_PER_US;
		settings.backoff.max = 20 * KB_NS_PER_US;
	}

	~StoreEtcd() override
	{
		kb_store_etcd_finish(&etcd);
	}

	/* Returns the client; initializes it with `settings` at first use. */
	kb_store_t *store()
	{
		if (!etcd.store.ops)
			kb_store_etcd_init(&etcd, loop.base, &clock, &settings);
		return &etcd.store;
	}

	void note(const std::string &text)
	{
		log += text + "\n";
		answers++;
		if (log.size() >= cancel_at)
			store()->ops->cancel(store(), this);
	}

	static std::string text_of(const kb_store_entry_t &entry)
	{
		return std::string(entry.key.data, entry.key.len) + "@" +
		       std::to_string(entry.revision) + "=" +
		       std::string(entry.value.data, entry.value.len) +
		       (entry.deleted ? " deleted" : "");
	}

	static void on_range(void *ctx, kb_result_t result,
			     const kb_store_range_t *range)
	{
		std::string text = kb_result_name(result);

		if (range) {
			text += " " + std::to_string(range->revision);
			for (size_t i = 0; i < range->count; i++)
				text += " " + text_of(range->entries[i]);
		}
		static_cast<StoreEtcd *>(ctx)->note(text);
	}

	static void on_write(void *ctx, kb_result_t result,
			     const kb_store_written_t *written)
	{
		std::string text = kb_result_name(result);

		if (written)
			text += " " + std::to_string(written->revision);
		if (written && written->current)
			text += " " + text_of(*written->current);
		static_cast<StoreEtcd *>(ctx)->note(text);
	}

	static void on_lease(void *ctx, kb_result_t result, int64_t lease,
			     kb_time_t ttl)
	{
		static_cast<StoreEtcd *>(ctx)->note(
			std::string(kb_result_name(result)) + " " +
			std::to_string(lease) + " " +
			std::to_string(ttl / KB_NS_PER_S));
	}

	static void on_snapshot(void *ctx, const kb_store_range_t *range)
	{
		on_range(ctx, KB_OK, range);
	}

	static void on_changed(void *ctx, const kb_store_entry_t *entry)
	{
		static_cast<StoreEtcd *>(ctx)->note(text_of(*entry));
	}

	static void on_state(void *ctx, kb_result_t result)
	{
		static_cast<StoreEtcd *>(ctx)->note(std::string("state ") +
						    kb_result_name(result));
	}

	const kb_store_watch_ops_t watch_ops = { on_snapshot, on_changed,
						 on_state };

	std::string wait(size_t count)
	{
		loop.run_until([&] { return answers >= count; });
		return log;
	}

	std::string get()
	{
		log.clear();
		answers = 0;
		EXPECT_EQ(KB_OK,
			  store()->ops->get(store(), &keys, on_range, this));
		return wait(1);
	}

	std::string put()
	{
		kb_store_write_t write = {};

		write.key = KB_STR("/a");
		write.value = KB_STR("new");
		write.expected = 7;

		log.clear();
		answers = 0;
		EXPECT_EQ(KB_OK,
			  store()->ops->put(store(), &write, on_write, this));
		return wait(1);
	}

	void watch(int64_t after)
	{
		EXPECT_EQ(KB_OK, store()->ops->watch(store(), &keys, after,
						     &watch_ops, this));
	}

      private:
	bool started = false;
};

TEST_F(StoreEtcd, CallsEndWithTheServersAnswer)
{
	const Step down = { Step::ANSWER, 503, { "down" } };
	const Step refused = { Step::ANSWER, 400, { "{}" } };
	const Step garbage = { Step::ANSWER, HTTP_OK, { "{}" } };
	const Step ok = range(9, kv("/a", 7, "x") + "," + kv("/a1", 8, ""));
	const std::string read = "ok 9 /a@7=x /a1@8=\n";
	struct {
		bool write;
		std::vector<Step> script;
		std::string answer;
		size_t requests;
	} cases[] = {
		{ false, { ok }, read, 1 },
		{ false, { cut, ok }, read, 2 },
		{ false, { down, cut, ok }, read, 3 },
		{ false, { refused }, "invalid\n", 1 },
		{ false, { garbage }, "protocol\n", 1 },
		{ true, { txn(9, true, "") }, "ok 9\n", 1 },
		{ true,
		  { txn(9, false, kv("/a", 8, "old")) },
		  "conflict 9 /a@8=old\n",
		  1 },
		{ true, { txn(9, false, "") }, "conflict 9\n", 1 },
		{ true, { cut }, "outcome-unknown\n", 1 },
		{ true, { down }, "outcome-unknown\n", 1 },
		{ true, { garbage }, "outcome-unknown\n", 1 },
		{ true, { refused }, "invalid\n", 1 },
	};

	for (const auto &c : cases) {
		server.requests.clear();
		server.script.assign(c.script.begin(), c.script.end());
		EXPECT_EQ(c.answer, c.write ? put() : get());
		EXPECT_EQ(c.requests, server.requests.size()) << c.answer;
	}
}

TEST_F(StoreEtcd, CallsTimeOutIfTheServerDoesNotAnswer)
{
	settings.call_timeout = 20 * KB_NS_PER_MS;
	settings.attempt_timeout = 5 * KB_NS_PER_MS;
	server.script.assign(100, hang);
	EXPECT_EQ("timeout\n", get());
	EXPECT_EQ("outcome-unknown\n", put());
}

TEST_F(StoreEtcd, NewStreamWithoutAMessageInterruptsTheWatch)
{
	settings.call_timeout = 20 * KB_NS_PER_MS;
	settings.watch_idle_timeout = KB_NS_PER_MS;
	server.script = { { Step::STREAM, 0, { created() } }, hang };
	server.script.resize(3, { Step::STREAM, 0, { created() } });
	watch(5);
	EXPECT_EQ("state ok\nstate timeout\nstate ok\n", wait(3));
}

TEST_F(StoreEtcd, RefusedConnectionMeansNotWritten)
{
	struct sockaddr_in address = {};
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	/* A port that is bound but not listening refuses connections. */
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(0,
		  bind(fd, reinterpret_cast<struct sockaddr *>(&address), len));
	getsockname(fd, reinterpret_cast<struct sockaddr *>(&address), &len);
	settings.port = ntohs(address.sin_port);
	settings.call_timeout = 5 * KB_NS_PER_MS;
	settings.backoff.base = settings.backoff.max = KB_NS_PER_S;
	EXPECT_EQ("unreachable\n", put());
	EXPECT_EQ("unreachable\n", get());
	close(fd);
}

TEST_F(StoreEtcd, RetriesEndWhenTheBudgetIsExhausted)
{
	settings.backoff.budget = 2;
	settings.backoff.refill = 3600 * KB_NS_PER_S;
	server.script.assign(9, cut);
	EXPECT_EQ("overloaded\n", get());
	EXPECT_EQ(3u, server.requests.size());
	EXPECT_EQ("overloaded\n", get());
	EXPECT_EQ(4u, server.requests.size());
}

TEST_F(StoreEtcd, KeepAliveReportsAnExpiredLease)
{
	kb_store_t *s = store();

	server.script = {
		cut,
		{ Step::ANSWER, HTTP_OK, { "{\"ID\":\"4\",\"TTL\":\"10\"}" } },
		{ Step::ANSWER,
		  HTTP_OK,
		  { "{\"result\":{\"ID\":\"4\",\"TTL\":\"10\"}}" } },
		{ Step::ANSWER, HTTP_OK, { "{\"result\":{\"ID\":\"4\"}}" } },
	};
	s->ops->lease_grant(s, 10 * KB_NS_PER_S, on_lease, this);
	wait(1);
	s->ops->lease_keep(s, 4, on_lease, this);
	wait(2);
	s->ops->lease_keep(s, 4, on_lease, this);
	EXPECT_EQ("ok 4 10\nok 4 10\nnot-found 4 0\n", wait(3));
}

TEST_F(StoreEtcd, WatchReadsTheRangeAndResumesAfterAnInterruption)
{
	std::string second = event(7, "/a2", "y");
	std::string gone = message(header(9) +
				   ",\"events\":[{\"type\":\"DELETE\",\"kv\":" +
				   kv("/a1", 8, "") + "}]");

	server.script = {
		cut,
		range(5, kv("/a1", 4, "x")),
		{ Step::STREAM_CLOSE,
		  0,
		  { created(), event(6, "/a1", "z") + second.substr(0, 30),
		    second.substr(30) } },
		/* A change that is delivered again is not reported again. */
		{ Step::STREAM, 0, { created() + second + gone } },
	};
	watch(0);
	EXPECT_EQ("state closed\n"
		  "ok 5 /a1@4=x\n"
		  "state ok\n"
		  "/a1@6=z\n"
		  "/a2@7=y\n"
		  "state closed\n"
		  "state ok\n"
		  "/a1@8= deleted\n",
		  wait(8));
	ASSERT_EQ(4u, server.requests.size());
	EXPECT_NE(std::string::npos,
		  server.requests[3].body.find("\"start_revision\":\"8\""));
}

TEST_F(StoreEtcd, WatchReadsTheRangeAgainAfterACompaction)
{
	server.script = {
		{ Step::STREAM, 0, { created() + event(17, "/a1", "x") } },
	};
	settings.watch_idle_timeout = KB_NS_PER_MS;
	/* The idle stream is reopened without a report. */
	server.script.push_back(
		{ Step::STREAM_CLOSE,
		  0,
		  { message(header(40) + ",\"created\":true,\"canceled\":true,"
					 "\"compact_revision\":\"30\"") } });
	/* A snapshot older than what was reported must not be reported. */
	server.script.push_back(range(16, kv("/a1", 3, "old")));
	server.script.push_back(range(40, kv("/a2", 33, "y")));
	server.script.push_back({ Step::STREAM, 0, { created() } });
	watch(16);
	EXPECT_EQ("state ok\n"
		  "/a1@17=x\n"
		  "state not-fresh\n"
		  "ok 40 /a2@33=y\n"
		  "state ok\n",
		  wait(5));
	EXPECT_NE(std::string::npos,
		  server.requests[0].body.find("\"start_revision\":\"17\""));
	EXPECT_NE(std::string::npos,
		  server.requests[1].body.find("\"start_revision\":\"18\""));
	EXPECT_NE(std::string::npos,
		  server.requests[4].body.find("\"start_revision\":\"41\""));
}

TEST_F(StoreEtcd, MalformedMessageInterruptsTheWatch)
{
	server.script = {
		{ Step::STREAM, 0, { created(), "{\"result\":[]}\n" } },
		{ Step::ANSWER, 404, { "none" } },
		{ Step::STREAM, 0, { created() } },
	};
	watch(5);
	EXPECT_EQ("state ok\nstate protocol\nstate ok\n", wait(3));
}

TEST_F(StoreEtcd, CallbacksMayCancel)
{
	std::vector<Step> script = {
		range(5, kv("/a1", 4, "x")),
		{ Step::STREAM_CLOSE,
		  0,
		  { created() + event(6, "/a1", "y") + event(7, "/a1", "z") } },
		range(9, ""),
	};
	std::string all = "ok 5 /a1@4=x\nstate ok\n/a1@6=y\n/a1@7=z\n";

	for (size_t at : { 5u, 20u, 30u }) {
		server.script.assign(script.begin(), script.end());
		log.clear();
		answers = 0;
		cancel_at = at;
		watch(0);
		loop.run_until([&] { return log.size() >= at; });
		event_base_loop(loop.base, EVLOOP_NONBLOCK);
		EXPECT_EQ(log, all.substr(0, log.size()));
		EXPECT_LT(log.size(), all.size());
	}
}

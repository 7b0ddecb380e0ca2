#include "fake_time.h"
#include "proxy_statement.h"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A session on a host that reaches no other, so that every retry waits. */
class ProxyResult : public ::testing::Test
{
      protected:
	FakeTime clock;
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();
	kb_proxy_session_t *session = nullptr;
	std::vector<kb_result_t> answers;

	ProxyResult()
	{
		clock.now = 100 * KB_NS_PER_S;
		*proxy = {};
		proxy->clock = &clock.base;
		EXPECT_EQ(KB_OK, kb_proxy_stats_init(&proxy->stats));
		configure();
		EXPECT_EQ(KB_OK, kb_proxy_session_open(&session, proxy.get(),
						       KB_STR("db"), KB_STR(""),
						       on_answer, this));
	}

	~ProxyResult() override
	{
		kb_proxy_session_close(session);
		kb_databases_finish(&proxy->databases);
		kb_proxy_stats_finish(&proxy->stats);
		kb_proxy_loads_finish(proxy.get());
	}

	void configure()
	{
		kb_databases_t *databases = &proxy->databases;

		databases->version = 1;
		databases->databases = static_cast<kb_database_t *>(
			calloc(1, sizeof(kb_database_t)));
		databases->database_count = 1;
		kb_name_set(&databases->databases[0].name, KB_STR("db"));
		kb_name_set(&databases->databases[0].group, KB_STR("g"));
		databases->databases[0].consistency = KB_READ_BOUNDED_STALENESS;
		databases->databases[0].max_age = 1000 * MS;
		databases->databases[0].timeout = 800 * MS;
		databases->databases[0].objective = 400 * MS;
	}

	void query(kb_query_verb_t verb)
	{
		kb_query_t query = {};

		query.verb = verb;
		query.id = KB_STR("q1");
		query.body = KB_STR("item");
		kb_proxy_session_query(session, &query);
	}

	/* Ends the current attempt with `result` of the replica `name`. */
	void replica_ends(const char *name, kb_result_t result)
	{
		kbs_run_res res = {};

		res.result = (int)result;
		session->path = KB_PROXY_PATH_REPLICA;
		kb_name_set(&session->target, kb_str_from(name));
		kb_proxy_statement_on_result(session, &res, result);
	}

	bool waits() const
	{
		return answers.empty() && session->retry_at;
	}

      private:
	static void on_answer(void *ctx, const kb_query_answer_t *answer)
	{
		static_cast<ProxyResult *>(ctx)->answers.push_back(
			answer->result);
	}
};

} // namespace

TEST_F(ProxyResult, RetriesAReadOnceAfterAReplicaError)
{
	query(KB_QUERY_READ);
	replica_ends("r", KB_ERR_STATEMENT);
	EXPECT_TRUE(waits());
	replica_ends("s", KB_ERR_STATEMENT);
	ASSERT_EQ(1u, answers.size());
	EXPECT_EQ(KB_ERR_STATEMENT, answers[0]);
}

TEST_F(ProxyResult, MarksAReplicaThatFailsAReadThatAnotherServes)
{
	query(KB_QUERY_READ);
	replica_ends("r", KB_ERR_STATEMENT);
	replica_ends("s", KB_OK);
	ASSERT_EQ(1u, answers.size());
	EXPECT_EQ(KB_OK, answers[0]);
	EXPECT_EQ(clock.now,
		  kb_proxy_load_get(proxy.get(), KB_STR("r"))->failed_at);
	/* The next read does not concern the failed replica. */
	query(KB_QUERY_READ);
	replica_ends("s", KB_OK);
	EXPECT_EQ(0, kb_proxy_load_get(proxy.get(), KB_STR("s"))->failed_at);
}

TEST_F(ProxyResult, DoesNotRetryAFailedWrite)
{
	query(KB_QUERY_WRITE);
	replica_ends("r", KB_ERR_STATEMENT);
	ASSERT_EQ(1u, answers.size());
	EXPECT_EQ(KB_ERR_STATEMENT, answers[0]);
}

TEST_F(ProxyResult, DoesNotRetryAStatementInATransaction)
{
	query(KB_QUERY_BEGIN);
	answers.clear();
	query(KB_QUERY_READ);
	replica_ends("r", KB_ERR_STATEMENT);
	EXPECT_EQ(1u, answers.size());
}

TEST_F(ProxyResult, AWriteWithoutAnAnswerIsUnknownAndNotRetried)
{
	query(KB_QUERY_WRITE);
	kb_proxy_statement_on_result(
		session, nullptr,
		kb_proxy_statement_call_result(session, KB_ERR_CLOSED));
	ASSERT_EQ(1u, answers.size());
	EXPECT_EQ(KB_ERR_UNKNOWN, answers[0]);
}

/* No holder is known: the statement waits for one until its deadline. */
TEST_F(ProxyResult, AStatementThatWaitsIsTriedAFewTimesUntilItsDeadline)
{
	kb_time_t began = clock.now;
	kb_time_t last = 0;
	uint64_t retries = 0;

	query(KB_QUERY_WRITE);
	while (answers.empty()) {
		clock.now += 5 * MS;
		kb_proxy_sessions_tick(proxy.get(), clock.now);
		if (proxy->stats.retries != retries)
			last = clock.now;
		retries = proxy->stats.retries;
	}
	EXPECT_EQ(KB_ERR_NO_PRIMARY, answers[0]);
	EXPECT_LE(retries, 15u);
	EXPECT_LE(began + 770 * MS, last);
	EXPECT_GE(began + 800 * MS, clock.now);
}

#include "fake_server.h"
#include "fake_time.h"
#include "load/backlog_order.h"
#include "load/start_wait.h"
#include "load/pool_conn.h"
#include "proxy_statement.h"
#include "group_index.h"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;
constexpr kb_time_t TIME = 1000 * MS;

/*
 * A host that has just started with the sessions of callers that were waiting
 * for it. It has the configuration, but no watermark of the group.
 */
class StartWait : public ::testing::Test
{
      protected:
	static constexpr size_t READS = 200;

	Loop loop;
	FakeTime clock;
	std::unique_ptr<kb_proxy_t> proxy = std::make_unique<kb_proxy_t>();
	std::unique_ptr<kb_proxy_group_t> group =
		std::make_unique<kb_proxy_group_t>();
	kb_proxy_group_t *groups[1] = { group.get() };
	std::vector<kb_proxy_session_t *> sessions;
	size_t answers = 0;

	StartWait()
	{
		kb_databases_t *databases = &proxy->databases;

		clock.now = 100 * KB_NS_PER_S;
		*proxy = {};
		*group = {};
		proxy->clock = &clock.base;
		proxy->started_at = clock.now;
		proxy->groups = groups;
		proxy->group_count = 1;
		group->proxy = proxy.get();
		kb_name_set(&group->name, KB_STR("g"));
		index_group(proxy.get(), group.get());
		kb_name_set(&proxy->self.name, KB_STR("self"));
		kb_link_pool_init(&group->pool, &pool_ops, group.get(), nullptr,
				  &clock.base, 1);
		group->pool.paused = 1;
		EXPECT_EQ(KB_OK, kb_proxy_stats_init(&proxy->stats));
		databases->version = 1;
		databases->databases = static_cast<kb_database_t *>(
			calloc(1, sizeof(kb_database_t)));
		databases->database_count = 1;
		kb_name_set(&databases->databases[0].name, KB_STR("db"));
		kb_name_set(&databases->databases[0].group, KB_STR("g"));
		databases->databases[0].consistency = KB_READ_BOUNDED_STALENESS;
		databases->databases[0].max_age = 1500 * MS;
		databases->databases[0].timeout = TIME;
		databases->databases[0].objective = 800 * MS;
	}

	~StartWait() override
	{
		kb_proxy_group_refuse_held(group.get());
		kb_link_pool_finish(&group->pool);
		for (kb_proxy_session_t *session : sessions)
			kb_proxy_session_close(session);
		clear_group_index(proxy.get());
		kb_databases_finish(&proxy->databases);
		kb_proxy_stats_finish(&proxy->stats);
		kb_target_list_finish(&proxy->targets);
		kb_proxy_loads_finish(proxy.get());
	}

	void read()
	{
		kb_proxy_session_t *session;
		kb_query_t query = {};

		ASSERT_EQ(KB_OK, kb_proxy_session_open(&session, proxy.get(),
						       KB_STR("db"), KB_STR(""),
						       on_answer, this));
		sessions.push_back(session);
		query.verb = KB_QUERY_READ;
		query.id = KB_STR("q1");
		query.body = KB_STR("item");
		kb_proxy_session_query(session, &query);
	}

	void pass(kb_time_t duration)
	{
		for (kb_time_t end = clock.now + duration; clock.now < end;) {
			clock.now += 20 * MS;
			kb_proxy_sessions_tick(proxy.get(), clock.now);
		}
	}

	size_t at_primary() const
	{
		size_t count = 0;

		for (const kb_proxy_session_t *session : sessions)
			count += session->path == KB_PROXY_PATH_PRIMARY;
		return count;
	}

	/* The holder's first watermark; there is one replica. */
	void learn()
	{
		kb_target_entry_t entry = {};
		kbs_stamp stamp = {};

		kb_name_set(&entry.place.target, KB_STR("r"));
		kb_name_set(&entry.place.group, KB_STR("g"));
		kb_target_list_put(&proxy->targets, &entry);
		stamp.valid = TRUE;
		stamp.term = 1;
		stamp.point = { 1, 9 };
		stamp.primary = kb_text_view(KB_STR("p"));
		kb_proxy_group_add_watermark(group.get(), &stamp, clock.now);
	}

	void set_holder(const char *name)
	{
		kb_name_set(&group->lease.record.holder, kb_str_from(name));
	}

	/* Another host sends a statement for the group's primary. */
	void run(kbs_run_args *args, kb_time_t time)
	{
		args->group = kb_text_view(KB_STR("g"));
		args->time_left_us = time / KB_NS_PER_US;
		args->objective_left_us = time / KB_NS_PER_US;
		kb_proxy_run_local(proxy.get(), args, on_ran, this);
	}

	void pass_held(kb_time_t duration)
	{
		for (kb_time_t end = clock.now + duration; clock.now < end;) {
			clock.now += 20 * MS;
			kb_proxy_group_held_tick(group.get(), clock.now);
		}
	}

	std::vector<int> results;

      private:
	static int may_serve(void *, kb_time_t)
	{
		return 1;
	}

	static void on_target_event(void *, kb_target_event_t, kb_point_t)
	{
	}

	static constexpr kb_link_pool_ops_t pool_ops = {
		.may_serve = may_serve,
		.on_target_event = on_target_event,
	};

	static void on_ran(void *ctx, const kbs_run_res *res)
	{
		static_cast<StartWait *>(ctx)->results.push_back(res->result);
	}

	static void on_answer(void *ctx, const kb_query_answer_t *)
	{
		static_cast<StartWait *>(ctx)->answers++;
	}
};

} // namespace

TEST(StartWaitSessions, CallersWaitForTheConfigurationForALimitedTime)
{
	kb_time_t start = 100 * KB_NS_PER_S;

	EXPECT_TRUE(kb_start_wait_holds_sessions(0, start, start));
	EXPECT_TRUE(kb_start_wait_holds_sessions(0, start, start + 999 * MS));
	EXPECT_FALSE(kb_start_wait_holds_sessions(0, start, start + 1000 * MS));
	EXPECT_FALSE(kb_start_wait_holds_sessions(1, start, start));
}

TEST_F(StartWait, SessionsAreTakenOnceTheConfigurationIsKnown)
{
	proxy->databases.version = 0;
	EXPECT_FALSE(kb_proxy_takes_sessions(proxy.get()));
	proxy->databases.version = 1;
	EXPECT_TRUE(kb_proxy_takes_sessions(proxy.get()));
	proxy->databases.version = 0;
	clock.now += KB_START_WAIT_SESSIONS_MS * MS;
	EXPECT_TRUE(kb_proxy_takes_sessions(proxy.get()));
	proxy->databases.version = 1;
}

/* Sent to the primary, they would exceed its slots. */
TEST_F(StartWait, ReadsOfAllCallersWaitForTheFirstWatermark)
{
	for (size_t i = 0; i < READS; i++)
		read();
	pass(700 * MS);
	EXPECT_EQ(0u, at_primary());
	EXPECT_EQ(0u, answers);
	/* All could be sent to the replica now; its gate is not known here. */
	learn();
	for (kb_proxy_session_t *session : sessions)
		EXPECT_NE(nullptr,
			  kb_replica_selector_next(&session->selector,
						   proxy.get(), group.get()));
}

TEST_F(StartWait, AReadThatHasWaitedMostOfItsTimeGoesToThePrimary)
{
	read();
	pass(TIME * KB_START_WAIT_READ_PERCENT / 100 + 60 * MS);
	EXPECT_EQ(1u, at_primary());
}

/* Watermarks that have become old later are the selector's matter. */
TEST_F(StartWait, AfterTheFirstWatermarkNothingWaitsForOne)
{
	learn();
	clock.now += 5 * KB_NS_PER_S;
	read();
	EXPECT_EQ(1u, at_primary());
}

/*
 * The callers of the whole fleet send their statements to the host that the
 * key names; each retry would cost the starting holder a call.
 */
TEST_F(StartWait, StatementsWaitAtTheHostThatIsAboutToServe)
{
	std::vector<kbs_run_args> args(READS);

	set_holder("self");
	for (kbs_run_args &each : args)
		run(&each, TIME);
	pass_held(200 * MS);
	EXPECT_EQ(0u, results.size());
	group->lease.role = KB_LEASE_SERVING;
	pass_held(20 * MS);
	EXPECT_EQ(READS, group->pool.job_count + results.size());
	EXPECT_EQ(0u, group->held_count);
	/* Their time did not stop meanwhile. */
	EXPECT_EQ((TIME - 220 * MS) / KB_NS_PER_US, args[0].time_left_us);
}

TEST_F(StartWait, AStatementDoesNotWaitLongForTheLease)
{
	kbs_run_args args[2] = {};

	set_holder("self");
	run(&args[0], TIME);
	run(&args[1], 100 * MS);
	pass_held(120 * MS);
	ASSERT_EQ(1u, results.size());
	pass_held(KB_START_WAIT_LEASE_MS * MS);
	ASSERT_EQ(2u, results.size());
	EXPECT_EQ(KB_ERR_NOT_GATE, results[0]);
	EXPECT_EQ(KB_ERR_NOT_GATE, results[1]);
}

TEST_F(StartWait, AStatementLeavesAHostThatIsNotTheNextHolderAnyMore)
{
	kbs_run_args args = {};

	set_holder("self");
	run(&args, TIME);
	set_holder("other");
	pass_held(20 * MS);
	ASSERT_EQ(1u, results.size());
	EXPECT_EQ(KB_ERR_NOT_GATE, results[0]);
}

TEST_F(StartWait, OtherHostsAndTransactionsAreRefusedAtOnce)
{
	kbs_run_args args[2] = {};

	set_holder("other");
	run(&args[0], TIME);
	set_holder("self");
	args[1].transaction = 5;
	run(&args[1], TIME);
	ASSERT_EQ(2u, results.size());
	EXPECT_EQ(KB_ERR_NOT_GATE, results[0]);
	EXPECT_EQ(KB_ERR_ROLLED_BACK, results[1]);
}

/*
 * A target that serves 100 statements in the time that they have is asked for
 * 200. In the order of their arrival it would accept some of the less important
 * ones that expire behind others.
 */
TEST_F(StartWait, WhatMattersMostIsTakenUpFirst)
{
	std::vector<kbs_run_args> args(READS);
	size_t important = 0;

	set_holder("self");
	for (size_t i = 0; i < READS; i++)
		args[i].priority = i % 2;
	for (kbs_run_args &each : args)
		run(&each, TIME + 20 * MS);
	group->lease.role = KB_LEASE_SERVING;
	pass_held(20 * MS);
	for (const kb_pool_job_t *job = group->pool.jobs; job; job = job->next)
		important += job->args->priority == 0;
	EXPECT_EQ(READS / 2, important);
	EXPECT_EQ(READS / 2, group->pool.job_count);
	EXPECT_EQ(READS / 2, results.size());
}

TEST(BacklogOrder, LateStatementsComeLastTheOldestAtTheEnd)
{
	const kb_backlog_entry_t in_order[] = {
		{ 0, 1000 * MS }, { 0, 1500 * MS }, { 1, 1000 * MS },
		{ 1, 1100 * MS }, { 0, 900 * MS },  { 0, 100 * MS },
		{ 1, 950 * MS },
	};
	const size_t count = sizeof(in_order) / sizeof(in_order[0]);

	for (size_t i = 0; i < count; i++)
		for (size_t j = 0; j < count; j++) {
			int expected = (i > j) - (i < j);

			EXPECT_EQ(expected, kb_backlog_order_compare(
						    &in_order[i], &in_order[j],
						    1000 * MS))
				<< i << " and " << j;
		}
}

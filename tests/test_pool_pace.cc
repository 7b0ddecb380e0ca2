#include "fake_link_connector.h"

#include <gtest/gtest.h>
#include <memory>
#include <set>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;
constexpr unsigned SLOTS = 6;

/* A pool of a target with 6 slots that is simulated by the test. */
class PoolPace : public ::testing::Test
{
      protected:
	FakeTime time;
	FakeLinkConnector connector;
	kb_link_pool_t pool;
	std::vector<std::unique_ptr<Statement>> statements;

	void begin(int paced)
	{
		static const kb_link_pool_ops_t ops = {
			[](void *, kb_time_t) { return 1; },
			[](void *, kb_target_event_t, kb_point_t) {},
		};

		kb_link_pool_init(&pool, &ops, this, &connector.base,
				  &time.base, 1000);
		kb_pace_init(&pool.pace, paced);
		bind("t1");
	}

	void bind(const char *target)
	{
		kb_link_place_t place = {};

		kb_name_set(&place.target, kb_str_from(target));
		kb_name_set(&place.endpoint.address, KB_STR("127.0.0.1"));
		place.endpoint.port = 1;
		kb_link_pool_bind(&pool, &place, SLOTS, 20);
	}

	~PoolPace() override
	{
		kb_link_pool_finish(&pool);
	}

	Statement &run(kbs_kind kind = KBS_READ, bool transactional = false,
		       uint64_t transaction = 0)
	{
		statements.push_back(std::make_unique<Statement>(kind));
		Statement &statement = *statements.back();

		statement.args.transactional = transactional;
		statement.args.transaction = transaction;
		kb_link_pool_run(&pool, &statement.args, Statement::done,
				 &statement);
		return statement;
	}

	void open_all()
	{
		for (size_t i = 0; i < connector.links.size(); i++)
			if (!connector.links[i]->closed &&
			    opened.insert(connector.links[i]).second)
				connector.opened(connector.links[i]);
	}

	unsigned in_flight() const
	{
		unsigned count = 0;

		for (const FakeLink *link : connector.links)
			count += link->waiting && !link->closed;
		return count;
	}

	/* Answers what is in flight now, once each. */
	void answer_all(kb_result_t result = KB_OK)
	{
		std::vector<FakeLink *> waiting;

		for (FakeLink *link : connector.links)
			if (link->waiting && !link->closed)
				waiting.push_back(link);
		for (FakeLink *link : waiting)
			connector.answer(link, result);
	}

	void pass(kb_time_t duration)
	{
		time.now += duration;
		kb_link_pool_tick(&pool);
	}

	/* Brings the pool to its full limit, with more work than that. */
	void warm_up()
	{
		for (int i = 0; i < 60; i++)
			run();
		for (int i = 0; i < 5; i++) {
			open_all();
			answer_all();
			pass(10 * MS);
		}
		open_all();
	}

      private:
	std::set<FakeLink *> opened;
};

} // namespace

TEST_F(PoolPace, StartsWithHalfOfTheSlotsAndEndsAtTheLimit)
{
	begin(1);
	for (int i = 0; i < 60; i++)
		run();
	open_all();
	EXPECT_EQ(SLOTS / 2, in_flight());
	answer_all();
	open_all();
	EXPECT_EQ(SLOTS + POOL_EXTRA_SENDS, in_flight());
	EXPECT_EQ(SLOTS + POOL_EXTRA_SENDS, pool.counters.allowed);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(PoolPace, WithoutItTheLimitIsInForceAtOnce)
{
	begin(0);
	for (int i = 0; i < 60; i++)
		run();
	open_all();
	open_all();
	EXPECT_EQ(SLOTS + POOL_EXTRA_SENDS, in_flight());
	EXPECT_EQ(0u, pool.counters.allowed);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(PoolPace, TargetThatRejectsAllGetsOneStatementAtATime)
{
	begin(1);
	warm_up();
	ASSERT_EQ(SLOTS + POOL_EXTRA_SENDS, in_flight());
	for (int i = 0; i < 4; i++) {
		answer_all(KB_ERR_OVERLOADED);
		pass(5 * MS);
	}
	EXPECT_LE(in_flight(), 1u);
	EXPECT_EQ(KB_PACE_PROBING, pool.pace.state);
	/* It takes work again. */
	pass(40 * MS);
	ASSERT_EQ(1u, in_flight());
	answer_all();
	EXPECT_EQ(SLOTS / 2, in_flight());
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(PoolPace, OpenTransactionsGoOn)
{
	std::vector<uint64_t> open;

	begin(1);
	warm_up();
	for (int i = 0; i < 3; i++)
		run(KBS_WRITE, true);
	for (int i = 0; i < 60 && pool.job_count; i++) {
		answer_all();
		open_all();
	}
	for (int i = 0; i < 10; i++)
		answer_all();
	for (const auto &statement : statements)
		if (statement->transaction)
			open.push_back(statement->transaction);
	ASSERT_EQ(3u, open.size());
	pool.pace.state = KB_PACE_PROBING;
	pool.pace.window = 1;
	run();
	run();
	EXPECT_EQ(1u, in_flight());
	for (uint64_t transaction : open)
		run(KBS_WRITE, true, transaction);
	EXPECT_EQ(4u, in_flight());
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

/* A promotion: what was not sent goes to the new primary, a few at first. */
TEST_F(PoolPace, AnotherTargetBeginsAnew)
{
	begin(1);
	warm_up();
	ASSERT_EQ(SLOTS + POOL_EXTRA_SENDS, in_flight());
	bind("t2");
	EXPECT_EQ(0u, in_flight());
	open_all();
	EXPECT_EQ(SLOTS / 2, in_flight());
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(PoolPace, SilentTargetGetsOneStatementForEachTimeout)
{
	begin(1);
	warm_up();
	ASSERT_EQ(SLOTS + POOL_EXTRA_SENDS, in_flight());
	uint64_t sent = pool.counters.statements;
	for (int i = 0; i < 100; i++) {
		pass(10 * MS);
		open_all();
	}
	EXPECT_LE(pool.counters.statements - sent, 5u);
	EXPECT_GE(pool.counters.statements - sent, 3u);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

/* A host with less room than it reports tells callers so. */
TEST_F(PoolPace, LoadShowsTheSlotsThatWereFound)
{
	kbs_load load;

	begin(1);
	warm_up();
	kb_link_pool_load(&pool, &load);
	EXPECT_EQ(SLOTS, load.slots);
	pool.pace.state = KB_PACE_HELD;
	pool.pace.window = 2;
	kb_link_pool_load(&pool, &load);
	EXPECT_EQ(2u, load.slots);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

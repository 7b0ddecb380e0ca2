#include "fake_link_connector.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>

namespace
{

constexpr kb_time_t MS = KB_NS_PER_MS;

/* A pool whose target is simulated by the test. */
class LinkPool : public ::testing::Test
{
      protected:
	FakeTime time;
	FakeLinkConnector connector;
	kb_link_pool_t pool;
	bool serves = true;
	int timed_out = 0;
	int lost = 0;

	LinkPool()
	{
		static const kb_link_pool_ops_t ops = { may_serve,
							on_target_event };
		kb_link_place_t place = {};

		kb_link_pool_init(&pool, &ops, this, &connector.base,
				  &time.base, 1000);
		kb_name_set(&place.target, KB_STR("t1"));
		kb_name_set(&place.endpoint.address, KB_STR("127.0.0.1"));
		place.endpoint.port = 1;
		kb_link_pool_bind(&pool, &place, 2, 4);
	}

	~LinkPool() override
	{
		kb_link_pool_finish(&pool);
	}

	void run(Statement &statement)
	{
		kb_link_pool_run(&pool, &statement.args, Statement::done,
				 &statement);
	}

	void open_all()
	{
		for (size_t i = 0; i < connector.links.size(); i++)
			if (!connector.links[i]->closed &&
			    !connector.links[i]->waiting && !opened[i]) {
				opened[i] = true;
				connector.opened(connector.links[i]);
			}
	}

	/* Opens connections and answers commands until none is pending. */
	void serve_all()
	{
		for (int i = 0; i < 100; i++) {
			open_all();
			for (size_t j = 0; j < connector.links.size(); j++)
				if (connector.links[j]->waiting &&
				    !connector.links[j]->closed)
					connector.answer(connector.links[j]);
		}
	}

	/* Rolls a transaction back, as when its caller disconnects. */
	void roll_back(uint64_t transaction)
	{
		rollbacks.push_back(std::make_unique<Statement>(KBS_ROLLBACK));
		rollbacks.back()->args.transaction = transaction;
		run(*rollbacks.back());
	}

	FakeLink *link_with(const std::string &id)
	{
		for (FakeLink *link : connector.links)
			if (!link->closed && link->waiting && link->id == id)
				return link;
		return nullptr;
	}

	void pass(kb_time_t duration)
	{
		time.now += duration;
		kb_link_pool_tick(&pool);
	}

	std::map<size_t, bool> opened;
	std::vector<std::unique_ptr<Statement>> rollbacks;
	/* Called on each target event, as the primary's monitor is. */
	std::function<void()> at_event;

      private:
	static int may_serve(void *ctx, kb_time_t)
	{
		return static_cast<LinkPool *>(ctx)->serves;
	}

	static void on_target_event(void *ctx, kb_target_event_t event,
				    kb_point_t)
	{
		auto *test = static_cast<LinkPool *>(ctx);

		test->timed_out += event == KB_TARGET_EVENT_TIMED_OUT;
		test->lost += event == KB_TARGET_EVENT_CONNECTION_LOST;
		if (test->at_event)
			test->at_event();
	}
};

} // namespace

TEST_F(LinkPool, ConnectionsAndStatementsStayWithinTheirLimits)
{
	std::vector<std::unique_ptr<Statement>> many;

	for (int i = 0; i < 40; i++) {
		many.push_back(std::make_unique<Statement>());
		run(*many.back());
		open_all();
		EXPECT_LE(connector.open_count(), 4u);
		size_t waiting = 0;
		for (FakeLink *link : connector.links)
			waiting += link->waiting && !link->closed;
		EXPECT_LE(waiting, 2u + POOL_EXTRA_SENDS);
	}
	serve_all();
	for (auto &statement : many)
		EXPECT_EQ(1, statement->ended);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, TransactionUsesOneConnectionExclusively)
{
	Statement first(KBS_READ, "a"), other(KBS_READ, "b"),
		second(KBS_WRITE, "c"), commit(KBS_COMMIT, "d");

	first.args.transactional = TRUE;
	run(first);
	serve_all();
	ASSERT_NE(0u, first.transaction);
	FakeLink *pinned = nullptr;
	for (FakeLink *link : connector.links)
		if (link->in_transaction)
			pinned = link;
	ASSERT_NE(nullptr, pinned);
	run(other);
	open_all();
	ASSERT_NE(nullptr, link_with("b"));
	EXPECT_NE(pinned, link_with("b"));
	second.args.transactional = TRUE;
	second.args.transaction = first.transaction;
	run(second);
	EXPECT_EQ(pinned, link_with("c"));
	serve_all();
	commit.args.transactional = TRUE;
	commit.args.transaction = second.transaction;
	run(commit);
	EXPECT_EQ(pinned, link_with("d"));
	serve_all();
	EXPECT_EQ(KB_OK, commit.result);
	EXPECT_EQ(0u, commit.transaction);
	/* The transaction has ended and cannot be used again. */
	Statement late(KBS_READ, "e");
	late.args.transactional = TRUE;
	late.args.transaction = first.transaction;
	run(late);
	EXPECT_EQ(KB_ERR_ROLLED_BACK, late.result);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, ValuesAreSetOrResetBeforeAStatement)
{
	Statement with(KBS_READ, "a"), without(KBS_READ, "b"),
		again(KBS_READ, "c");

	with.set("zone", "a");
	again.set("zone", "b");
	run(with);
	open_all();
	EXPECT_EQ(KB_LINK_COMMAND_SET, connector.links[0]->kind);
	serve_all();
	connector.sent.clear();
	run(without);
	EXPECT_EQ(KB_LINK_COMMAND_RESET, connector.links[0]->kind);
	serve_all();
	run(again);
	EXPECT_EQ(KB_LINK_COMMAND_SET, connector.links[0]->kind);
	EXPECT_EQ("b", connector.links[0]->body);
	serve_all();
	EXPECT_EQ(1, again.ended);
	EXPECT_EQ(1u, connector.links.size());
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, ShapeIsPreparedOnceOnEachConnection)
{
	for (int i = 0; i < 3; i++) {
		Statement statement(KBS_WRITE);

		statement.args.shape = kb_text_view(KB_STR("q2c"));
		run(statement);
		open_all();
		EXPECT_EQ(i ? KB_LINK_COMMAND_WRITE
			    : KB_LINK_COMMAND_PREPARE_WRITE,
			  connector.links[0]->kind);
		serve_all();
		EXPECT_EQ(KB_OK, statement.result);
		EXPECT_EQ("wq2c", connector.links[0]->name);
	}
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

/* Hosts that hold connections too many keep others from opening theirs. */
TEST_F(LinkPool, AFullTargetIsTriedByOneConnectionAtATime)
{
	std::vector<std::unique_ptr<Statement>> many;

	for (int i = 0; i < 4; i++) {
		many.push_back(std::make_unique<Statement>(KBS_READ));
		run(*many.back());
	}
	ASSERT_EQ(2u, connector.links.size());
	connector.opened(connector.links[0]);
	ASSERT_EQ(3u, connector.links.size());
	connector.opened(connector.links[1], KB_ERR_TOO_MANY);
	connector.opened(connector.links[2], KB_ERR_TOO_MANY);
	opened[0] = opened[1] = opened[2] = true;
	pass(150 * MS);
	/* The pool has a connection, so it waits for longer. */
	EXPECT_EQ(3u, connector.links.size());
	pass(400 * MS);
	ASSERT_EQ(4u, connector.links.size());
	connector.opened(connector.links[3]);
	opened[3] = true;
	/* Once there is room again, it opens as many as it needs. */
	serve_all();
	EXPECT_FALSE(pool.target_full);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, EachShapeIsPreparedUnderAName)
{
	std::string long_shape(400, 'q');
	const std::string shapes[] = { long_shape + "1", long_shape + "2",
				       "q2 c", "q2", long_shape + "1" };
	std::map<std::string, std::string> prepared;

	for (const std::string &shape : shapes) {
		Statement statement(KBS_WRITE);
		bool known = prepared.count(shape);

		statement.args.shape =
			kb_text_view({ shape.data(), shape.size() });
		run(statement);
		open_all();
		EXPECT_EQ(known ? KB_LINK_COMMAND_WRITE
				: KB_LINK_COMMAND_PREPARE_WRITE,
			  connector.links[0]->kind);
		if (!known)
			prepared[shape] = connector.links[0]->name;
		EXPECT_EQ(prepared[shape], connector.links[0]->name);
		EXPECT_FALSE(connector.links[0]->name.empty());
		EXPECT_EQ(std::string::npos,
			  connector.links[0]->name.find(' '));
		serve_all();
		EXPECT_EQ(KB_OK, statement.result);
		/* The statement itself names the shape that it executes. */
		EXPECT_EQ(prepared[shape], connector.links[0]->name);
	}
	EXPECT_NE(prepared[shapes[0]], prepared[shapes[1]]);
	EXPECT_NE(prepared[shapes[2]], prepared[shapes[3]]);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, ResultOfALostConnectionDependsOnWhatWasSent)
{
	struct {
		const char *name;
		kbs_kind kind;
		bool transactional;
		/* Commands that are answered before the loss. */
		int answers;
		kb_result_t result;
	} cases[] = {
		{ "read", KBS_READ, false, 0, KB_ERR_CLOSED },
		{ "write", KBS_WRITE, false, 0, KB_ERR_UNKNOWN },
		{ "write in a transaction", KBS_WRITE, true, 1,
		  KB_ERR_ROLLED_BACK },
		{ "commit", KBS_COMMIT, true, 1, KB_ERR_UNKNOWN },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Statement statement(c.kind, c.name);

		statement.args.transactional = c.transactional;
		run(statement);
		open_all();
		for (int i = 0; i < c.answers; i++)
			connector.answer(connector.links.back());
		ASSERT_NE(nullptr, link_with(c.name));
		connector.lose(link_with(c.name));
		EXPECT_EQ(1, statement.ended);
		EXPECT_EQ(c.result, statement.result);
	}
	EXPECT_EQ(4, lost);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, UnsentStatementIsRetriedOnAnotherConnection)
{
	Statement statement(KBS_WRITE, "w");

	statement.set("zone", "a");
	run(statement);
	open_all();
	/* The connection is lost while its value is being set. */
	connector.lose(connector.links[0]);
	EXPECT_EQ(0, statement.ended);
	serve_all();
	EXPECT_EQ(1, statement.ended);
	EXPECT_EQ(KB_OK, statement.result);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, StatementIsRetriedAfterTheTargetWasOverloaded)
{
	Statement statement(KBS_WRITE, "w");

	run(statement);
	open_all();
	connector.answer(link_with("w"), KB_ERR_OVERLOADED);
	EXPECT_EQ(0, statement.ended);
	EXPECT_EQ(nullptr, link_with("w"));
	pass(POOL_OVERLOADED_DELAY_MS * MS);
	ASSERT_NE(nullptr, link_with("w"));
	connector.answer(link_with("w"));
	EXPECT_EQ(KB_OK, statement.result);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, TimeoutEndsEachKindOfStatement)
{
	struct {
		const char *name;
		kbs_kind kind;
		bool transactional;
		kb_time_t after;
		kb_result_t result;
	} cases[] = {
		{ "r", KBS_READ, false, 300 * MS, KB_ERR_CLOSED },
		{ "w", KBS_WRITE, false, 800 * MS, KB_ERR_UNKNOWN },
		{ "t", KBS_READ, true, 300 * MS, KB_ERR_ROLLED_BACK },
		{ "c", KBS_COMMIT, true, 800 * MS, KB_ERR_UNKNOWN },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Statement statement(c.kind, c.name);
		kb_time_t began = time.now;

		statement.args.transactional = c.transactional;
		run(statement);
		open_all();
		if (c.transactional)
			connector.answer(connector.links.back());
		ASSERT_NE(nullptr, link_with(c.name));
		while (!statement.ended && time.now < began + 2000 * MS)
			pass(10 * MS);
		EXPECT_EQ(c.result, statement.result);
		EXPECT_LE(time.now - began, c.after + 20 * MS);
		EXPECT_GE(time.now - began, c.after - 100 * MS);
		/* Late answers and idle connections time out as well. */
		pass(1200 * MS);
		pass(1200 * MS);
	}
	EXPECT_EQ(4, timed_out);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, StatementWithoutAnswerReleasesItsSlot)
{
	std::vector<std::unique_ptr<Statement>> writes;

	for (int i = 0; i < 4; i++) {
		writes.push_back(std::make_unique<Statement>(
			KBS_WRITE, std::to_string(i).c_str()));
		run(*writes.back());
		open_all();
	}
	EXPECT_EQ(nullptr, link_with("3"));
	pass(260 * MS);
	open_all();
	EXPECT_NE(nullptr, link_with("3"));
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, StatementThatWouldMissItsDeadlineIsRefusedAtOnce)
{
	std::vector<std::unique_ptr<Statement>> many;
	int refused = 0;

	pool.service_time = 50 * MS;
	for (int i = 0; i < 60; i++) {
		many.push_back(std::make_unique<Statement>());
		run(*many.back());
		refused += many.back()->ended;
		if (many.back()->ended) {
			EXPECT_EQ(KB_ERR_OVERLOADED, many.back()->result);
		}
	}
	/* The deadline of 800 ms allows 32 statements of 50 ms on 2 slots. */
	EXPECT_NEAR(28, refused, 4);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, QueueIsOrderedByObjectiveAndPriority)
{
	Statement late(KBS_READ, "late"), low(KBS_READ, "low"),
		high(KBS_READ, "high"),
		blockers[3] = { Statement(KBS_READ, "x"),
				Statement(KBS_READ, "y"),
				Statement(KBS_READ, "z") };

	late.args.objective_left_us = -1000;
	late.args.priority = 0;
	low.args.priority = 2;
	high.args.priority = 1;
	for (Statement &blocker : blockers) {
		run(blocker);
		open_all();
	}
	run(late);
	run(low);
	run(high);
	connector.sent.clear();
	serve_all();
	std::vector<std::string> order;
	for (const std::string &sent : connector.sent)
		for (const char *id : { "late", "low", "high" })
			if (sent ==
			    std::to_string(KB_LINK_COMMAND_READ) + ":" + id)
				order.push_back(id);
	EXPECT_EQ((std::vector<std::string>{ "high", "low", "late" }), order);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, SuccessAfterTheLeaseEndedIsNotReported)
{
	Statement write(KBS_WRITE, "w"), read(KBS_READ, "r");

	run(write);
	run(read);
	open_all();
	serves = false;
	connector.answer(link_with("w"));
	connector.answer(link_with("r"));
	EXPECT_EQ(KB_ERR_UNKNOWN, write.result);
	EXPECT_EQ(KB_ERR_CLOSED, read.result);
	Statement late(KBS_WRITE, "late");
	run(late);
	EXPECT_EQ(nullptr, link_with("late"));
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, StatementIsNotSentIfTheLeaseEndsDuringPreparation)
{
	Statement write(KBS_WRITE, "w");

	write.set("zone", "a");
	run(write);
	open_all();
	FakeLink *link = connector.links[0];
	ASSERT_TRUE(link->waiting);
	ASSERT_EQ(KB_LINK_COMMAND_SET, link->kind);
	serves = false;
	connector.answer(link);
	for (const std::string &sent : connector.sent)
		EXPECT_EQ(std::string::npos, sent.find("w")) << sent;
	EXPECT_EQ(0, write.ended);
	serves = true;
	pass(10 * MS);
	serve_all();
	EXPECT_EQ(1, write.ended);
	EXPECT_EQ(KB_OK, write.result);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, QueuedStatementsMoveToANewPrimaryAndSentOnesDoNot)
{
	Statement sent(KBS_WRITE, "a"), more(KBS_WRITE, "b"),
		third(KBS_WRITE, "c"), waits(KBS_WRITE, "d");
	kb_link_place_t place = pool.place;

	run(sent);
	open_all();
	run(more);
	open_all();
	run(third);
	open_all();
	run(waits);
	kb_name_set(&place.target, KB_STR("t2"));
	kb_link_pool_bind(&pool, &place, 2, 4);
	EXPECT_EQ(KB_ERR_UNKNOWN, sent.result);
	EXPECT_EQ(0, waits.ended);
	serve_all();
	EXPECT_EQ(KB_OK, waits.result);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, IdleTransactionOnALinkTimesOut)
{
	Statement first(KBS_WRITE, "a");

	first.args.transactional = TRUE;
	run(first);
	serve_all();
	pass(2900 * MS);
	EXPECT_EQ(1u, connector.open_count());
	pass(200 * MS);
	EXPECT_EQ(0u, connector.open_count());
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

TEST_F(LinkPool, CallbackMayRollBackItsTransaction)
{
	Statement first(KBS_READ, "a"), second(KBS_READ, "b"), other;

	first.args.transactional = TRUE;
	run(first);
	serve_all();
	ASSERT_NE(0u, first.transaction);
	second.args.transactional = TRUE;
	second.args.transaction = first.transaction;
	second.then = [&] { roll_back(first.transaction); };
	run(second);
	pass(400 * MS);
	EXPECT_EQ(1, second.ended);
	EXPECT_EQ(KB_ERR_ROLLED_BACK, second.result);
	EXPECT_EQ(1, rollbacks[0]->ended);
	EXPECT_EQ(0u, connector.open_count());
	run(other);
	serve_all();
	EXPECT_EQ(KB_OK, other.result);
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

/*
 * The monitor of a primary may unbind the pool from within any target event,
 * while an answer is being handled.
 */
TEST_F(LinkPool, PoolUnboundDuringAnEventEndsEachStatementOnce)
{
	for (int round = 0; round < 6; round++) {
		Statement read(KBS_READ, "r"), write(KBS_WRITE, "w");
		kb_link_place_t place = pool.place;
		kb_link_place_t nowhere = {};

		write.args.transactional = TRUE;
		run(read);
		run(write);
		open_all();
		at_event = [&] {
			at_event = nullptr;
			kb_link_pool_bind(&pool, &nowhere, 1, 0);
		};
		if (round == 0)
			pass(300 * MS);
		else if (round == 1)
			connector.lose(link_with("r"));
		else
			connector.answer(connector.links.back(),
					 round < 4 ? KB_OK : KB_ERR_READ_ONLY);
		EXPECT_EQ(0u, connector.open_count()) << round;
		at_event = nullptr;
		pass(1000 * MS);
		EXPECT_EQ(1, read.ended) << round;
		EXPECT_EQ(1, write.ended) << round;
		kb_link_pool_bind(&pool, &place, 2, 4);
	}
}

/*
 * Random statements, lost connections and missing answers: each statement ends
 * once, the connection limit holds, and a write, which is only sent again if
 * the target rejected it as overloaded, is sent POOL_ATTEMPTS_MAX times at
 * most.
 */
TEST_F(LinkPool, RandomFaultsKeepTheInvariants)
{
	for (uint64_t seed = 1; seed <= 150; seed++) {
		std::vector<std::unique_ptr<Statement>> all;
		std::map<std::string, int> writes;
		kb_rng_t rng;

		kb_rng_init(&rng, seed);
		connector.sent.clear();
		for (int i = 0; i < 200; i++) {
			auto kind =
				kb_rng_below(&rng, 3) ? KBS_READ : KBS_WRITE;
			uint64_t open = 0;

			for (auto &s : all)
				if (s->transaction &&
				    kb_rng_below(&rng, 4) == 0)
					open = s->transaction;
			all.push_back(std::make_unique<Statement>(
				kind,
				(std::to_string(seed) + "." + std::to_string(i))
					.c_str()));
			all.back()->args.transactional =
				open || kb_rng_below(&rng, 4) == 0;
			all.back()->args.transaction = open;
			if (open && kb_rng_below(&rng, 3) == 0)
				all.back()->args.kind = KBS_COMMIT;
			if (open && kb_rng_below(&rng, 3) == 0)
				all.back()->then = [this, open] {
					roll_back(open);
				};
			run(*all.back());
			open_all();
			for (size_t j = 0; j < connector.links.size(); j++) {
				FakeLink *link = connector.links[j];

				if (link->closed || !link->waiting)
					continue;
				switch (kb_rng_below(&rng, 8)) {
				case 0:
					connector.lose(link);
					break;
				case 1:
					connector.answer(link,
							 KB_ERR_OVERLOADED);
					break;
				case 2:
				case 3:
					break;
				default:
					connector.answer(link);
					break;
				}
			}
			EXPECT_LE(connector.open_count(), 4u) << seed;
			pass((kb_time_t)kb_rng_below(&rng, 40) * MS);
		}
		for (int i = 0; i < 500; i++)
			pass(20 * MS);
		for (auto &s : all)
			EXPECT_EQ(1, s->ended) << seed << " " << s->id;
		for (const std::string &sent : connector.sent)
			if (sent.rfind(std::to_string(KB_LINK_COMMAND_WRITE) +
					       ":",
				       0) == 0)
				writes[sent]++;
		for (const auto &write : writes)
			EXPECT_LE(write.second, POOL_ATTEMPTS_MAX) << seed;
	}
	/* Finishes the pool before its statements go out of scope. */
	kb_link_pool_finish(&pool);
}

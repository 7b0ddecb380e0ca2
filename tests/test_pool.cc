#include "pool_recorder.h"

TEST(Pool, TwoGatesTogetherStayWithinTheTargetsLimit)
{
	struct {
		unsigned connections, usable;
	} cases[] = { { 16, 7 }, { 55, 26 }, { 4, 1 }, { 3, 0 },
		      { 2, 0 },	 { 0, 0 },   { 17, 7 } };

	for (const auto &c : cases) {
		unsigned usable = kb_pool_connection_limit(
			c.connections, KB_POOL_CONTROL_RESERVE);

		EXPECT_EQ(c.usable, usable) << c.connections;
		EXPECT_LE(usable ? 2 * usable + KB_POOL_CONTROL_RESERVE : 0,
			  c.connections);
	}
}

TEST(Pool, TwoGatesUnderLoadNeverExceedTheLimitEvenWhileClosing)
{
	Pool gates[2];
	std::vector<Waiter> waiters(200);
	unsigned worst = 0;

	for (size_t i = 0; i < waiters.size(); i++) {
		Pool &gate = gates[i % 2];
		size_t before = gate.opened.size();

		kb_pool_acquire(&gate.pool, &waiters[i].waiter, 0);
		if (gate.opened.size() > before)
			kb_pool_connected(&gate.pool, gate.opened.back(), 0);
		/* Every third connection breaks and stays in state CLOSING. */
		if (i % 3 == 0 && waiters[i].connection)
			kb_pool_release(&gate.pool, waiters[i].connection,
					KB_CONNECTION_BROKEN, 0);
		worst = std::max(worst,
				 kb_pool_open_count(&gates[0].pool) +
					 kb_pool_open_count(&gates[1].pool));
	}
	EXPECT_EQ(14u, worst);
	kb_pool_closed(&gates[0].pool, gates[0].closed[0], 0);
	EXPECT_EQ(7u, kb_pool_open_count(&gates[0].pool));
	EXPECT_EQ(KB_CONNECTION_CONNECTING, gates[0].opened.back()->state);
}

TEST(Pool, OnlyACleanConnectionIsReused)
{
	struct {
		unsigned flags;
		kb_connection_state_t state;
	} cases[] = {
		{ KB_CONNECTION_CLEAN, KB_CONNECTION_IDLE },
		{ KB_CONNECTION_IN_TRANSACTION, KB_CONNECTION_CLOSING },
		{ KB_CONNECTION_ANSWER_PENDING, KB_CONNECTION_CLOSING },
		{ KB_CONNECTION_BROKEN, KB_CONNECTION_CLOSING },
		{ KB_CONNECTION_IN_TRANSACTION | KB_CONNECTION_ANSWER_PENDING,
		  KB_CONNECTION_CLOSING },
	};

	for (const auto &c : cases) {
		Pool pool;
		kb_pool_connection_t *connection = pool.busy();

		kb_pool_release(&pool.pool, connection, c.flags, 0);
		EXPECT_EQ(c.state, connection->state) << c.flags;
		EXPECT_EQ(c.state == KB_CONNECTION_CLOSING ? 1u : 0u,
			  pool.closed.size());
		EXPECT_EQ(c.state == KB_CONNECTION_IDLE,
			  pool.busy() == connection);
	}
}

TEST(Pool, PinKeepsAConnectionOnlyInsideATransaction)
{
	struct {
		unsigned flags;
		kb_result_t result;
		kb_connection_state_t state;
	} cases[] = {
		{ KB_CONNECTION_IN_TRANSACTION, KB_OK, KB_CONNECTION_PINNED },
		{ KB_CONNECTION_CLEAN, KB_ERR_ROLLED_BACK, KB_CONNECTION_IDLE },
		{ KB_CONNECTION_BROKEN, KB_ERR_CLOSED, KB_CONNECTION_CLOSING },
		{ KB_CONNECTION_IN_TRANSACTION | KB_CONNECTION_ANSWER_PENDING,
		  KB_ERR_CLOSED, KB_CONNECTION_CLOSING },
	};

	for (const auto &c : cases) {
		Pool pool;
		kb_pool_connection_t *connection = pool.busy();

		EXPECT_EQ(c.result,
			  kb_pool_pin(&pool.pool, connection, c.flags, 0));
		EXPECT_EQ(c.state, connection->state) << c.flags;
		EXPECT_EQ(c.result ? KB_ERR_CLOSED : KB_OK,
			  kb_pool_resume(&pool.pool, connection, 0));
	}
}

TEST(Pool, PinnedConnectionIsNotGivenToOthers)
{
	Pool pool(16, 2);
	kb_pool_connection_t *pinned = pool.busy();
	kb_pool_connection_t *other = pool.busy();
	Waiter waiter;

	kb_pool_pin(&pool.pool, pinned, KB_CONNECTION_IN_TRANSACTION, 0);
	kb_pool_acquire(&pool.pool, &waiter.waiter, 0);
	EXPECT_FALSE(waiter.connection);
	kb_pool_release(&pool.pool, other, KB_CONNECTION_CLEAN, 0);
	EXPECT_EQ(other, waiter.connection);
}

TEST(Pool, TransactionOfALostCallerIsRolledBackBeforeReuse)
{
	Pool pool(16, 1);
	kb_pool_connection_t *connection = pool.busy();
	Waiter waiter;

	kb_pool_pin(&pool.pool, connection, KB_CONNECTION_IN_TRANSACTION, 0);
	kb_pool_acquire(&pool.pool, &waiter.waiter, 0);
	kb_pool_abandon(&pool.pool, connection, 0);
	kb_pool_abandon(&pool.pool, connection, 0);
	EXPECT_EQ(1u, pool.rolled_back.size());
	EXPECT_FALSE(waiter.connection);
	kb_pool_release(&pool.pool, connection, KB_CONNECTION_CLEAN, 0);
	EXPECT_EQ(connection, waiter.connection);
	/* A statement is running, so ROLLBACK cannot be sent; it is closed. */
	kb_pool_abandon(&pool.pool, connection, 0);
	EXPECT_EQ(KB_CONNECTION_CLOSING, connection->state);
	EXPECT_EQ(1u, pool.closed.size());
}

TEST(Pool, ReleaseOfAPinnedConnectionRollsItBack)
{
	Pool pool;
	kb_pool_connection_t *connection = pool.busy();

	kb_pool_pin(&pool.pool, connection, KB_CONNECTION_IN_TRANSACTION, 0);
	kb_pool_release(&pool.pool, connection, KB_CONNECTION_CLEAN, 0);
	EXPECT_EQ(1u, pool.rolled_back.size());
	EXPECT_EQ(KB_ERR_CLOSED, kb_pool_pin(&pool.pool, connection,
					     KB_CONNECTION_IN_TRANSACTION, 0));
	kb_pool_release(&pool.pool, connection, KB_CONNECTION_CLEAN, 0);
	EXPECT_EQ(KB_CONNECTION_IDLE, connection->state);
}

TEST(Pool, RollbackThatTimesOutClosesTheConnection)
{
	Pool pool;
	kb_pool_connection_t *connection = pool.busy();

	kb_pool_pin(&pool.pool, connection, KB_CONNECTION_IN_TRANSACTION, 0);
	kb_pool_abandon(&pool.pool, connection, 0);
	EXPECT_EQ(1000 * MS, kb_pool_tick(&pool.pool, 0));
	kb_pool_tick(&pool.pool, 1000 * MS);
	EXPECT_EQ(KB_CONNECTION_CLOSING, connection->state);
}

TEST(Pool, IdleTransactionTimesOut)
{
	Pool pool;
	kb_pool_connection_t *connection = pool.busy();

	kb_pool_pin(&pool.pool, connection, KB_CONNECTION_IN_TRANSACTION, 0);
	EXPECT_EQ(10000 * MS, kb_pool_tick(&pool.pool, 9999 * MS));
	EXPECT_TRUE(pool.expired.empty());
	kb_pool_tick(&pool.pool, 10000 * MS);
	EXPECT_EQ(1u, pool.expired.size());
	EXPECT_EQ(1u, pool.rolled_back.size());
	EXPECT_EQ(KB_ERR_CLOSED,
		  kb_pool_resume(&pool.pool, connection, 10000 * MS));
}

TEST(Pool, UnreachableTargetFailsAtOnceAndIsRetriedAfterABackoff)
{
	Pool pool;
	Waiter first, during, after;

	kb_pool_acquire(&pool.pool, &first.waiter, 0);
	kb_pool_closed(&pool.pool, pool.opened[0], 0);
	EXPECT_EQ(KB_ERR_UNREACHABLE, first.result);
	kb_pool_acquire(&pool.pool, &during.waiter, 1 * MS);
	EXPECT_EQ(KB_ERR_UNREACHABLE, during.result);
	EXPECT_EQ(1u, pool.opened.size());
	kb_pool_acquire(&pool.pool, &after.waiter, 20 * MS);
	ASSERT_EQ(2u, pool.opened.size());
	kb_pool_connected(&pool.pool, pool.opened[1], 32 * MS);
	EXPECT_TRUE(after.connection);
	EXPECT_EQ(KB_OUTCOME_NOT_RUN, kb_result_outcome(first.result));
}

TEST(Pool, BackoffGrowsToALimitAndDiffersBetweenHosts)
{
	kb_time_t delays[2][12];

	for (int host = 0; host < 2; host++) {
		Pool pool;
		kb_time_t now = 0;

		pool.pool.settings.seed = (uint64_t)host;
		for (kb_time_t &delay : delays[host]) {
			Waiter waiter;

			kb_pool_acquire(&pool.pool, &waiter.waiter, now);
			kb_pool_closed(&pool.pool, pool.opened.back(), now);
			delay = pool.pool.retry_at - now;
			now = pool.pool.retry_at;
		}
		EXPECT_LE(delays[host][0], 20 * MS);
		EXPECT_GE(delays[host][0], 10 * MS);
		EXPECT_LE(delays[host][11], 2000 * MS);
		EXPECT_GE(delays[host][11], 1000 * MS);
	}
	EXPECT_NE(delays[0][11], delays[1][11]);
}

TEST(Pool, FailureReportedFromWithinOpenIsHandled)
{
	Pool pool;
	Waiter waiter;

	pool.refuse_at_once = true;
	kb_pool_acquire(&pool.pool, &waiter.waiter, 0);
	EXPECT_EQ(KB_ERR_UNREACHABLE, waiter.result);
	EXPECT_EQ(1u, pool.opened.size());
}

TEST(Pool, WaitersAreKeptWhileOtherConnectionsExist)
{
	Pool pool;
	kb_pool_connection_t *connection = pool.busy();
	Waiter waiter;

	kb_pool_acquire(&pool.pool, &waiter.waiter, 0);
	kb_pool_closed(&pool.pool, pool.opened.back(), 0);
	EXPECT_EQ(KB_OK, waiter.result);
	kb_pool_release(&pool.pool, connection, KB_CONNECTION_CLEAN, 0);
	EXPECT_EQ(connection, waiter.connection);
	EXPECT_EQ(KB_ERR_NOT_FOUND, kb_pool_cancel(&pool.pool, &waiter.waiter));
}

TEST(Pool, LimitOfZeroClosesIdleConnectionsAndKeepsBusyOnes)
{
	Pool pool(16, 3);
	kb_pool_connection_t *busy = pool.busy();
	kb_pool_connection_t *idle = pool.busy();
	Waiter waiter;

	kb_pool_release(&pool.pool, idle, KB_CONNECTION_CLEAN, 0);
	kb_pool_set_limit(&pool.pool, 0, 0);
	EXPECT_EQ(KB_CONNECTION_CLOSING, idle->state);
	EXPECT_EQ(KB_CONNECTION_BUSY, busy->state);
	kb_pool_acquire(&pool.pool, &waiter.waiter, 0);
	EXPECT_EQ(KB_ERR_NOT_GATE, waiter.result);
	kb_pool_release(&pool.pool, busy, KB_CONNECTION_CLEAN, 0);
	EXPECT_EQ(KB_CONNECTION_CLOSING, busy->state);
}

TEST(Pool, IdleConnectionsExpireDownToTheMinimum)
{
	Pool pool;
	kb_pool_connection_t *a = pool.busy(), *b = pool.busy();

	kb_pool_release(&pool.pool, a, KB_CONNECTION_CLEAN, 0);
	kb_pool_release(&pool.pool, b, KB_CONNECTION_CLEAN, 5 * MS);
	kb_pool_tick(&pool.pool, 60005 * MS);
	EXPECT_EQ(KB_CONNECTION_CLOSING, a->state);
	EXPECT_EQ(KB_CONNECTION_IDLE, b->state);
	EXPECT_EQ(KB_TIME_NEVER, kb_pool_tick(&pool.pool, 200000 * MS));
}

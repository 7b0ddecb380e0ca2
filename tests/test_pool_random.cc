#include "pool_recorder.h"

#include <gsl/gsl_rng.h>
#include <deque>
#include <map>

/*
 * Random events keep the invariants: the connection limit holds, the count
 * of unused entries is right, and a waiter only gets a connection outside a
 * transaction.
 */
TEST(Pool, RandomEventsKeepTheInvariants)
{
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);

	for (unsigned long seed = 1; seed <= 200; seed++) {
		Pool pool(16);
		std::deque<Waiter> waiters;
		std::map<kb_pool_connection_t *, bool> dirty;
		kb_time_t now = 0;

		gsl_rng_set(rng, seed);
		for (int step = 0; step < 300; step++) {
			size_t i = gsl_rng_uniform_int(
				rng, KB_POOL_MAX_CONNECTIONS / 16);
			kb_pool_connection_t *c = &pool.pool.connections[i];
			unsigned flags = (unsigned)gsl_rng_uniform_int(rng, 3);
			size_t held = 0;

			now += (kb_time_t)gsl_rng_uniform_int(rng, 500) * MS;
			switch (gsl_rng_uniform_int(rng, 8)) {
			case 0:
			case 1:
				waiters.emplace_back();
				kb_pool_acquire(&pool.pool,
						&waiters.back().waiter, now);
				break;
			case 2:
				kb_pool_connected(&pool.pool, c, now);
				break;
			case 3:
				if (c->state == KB_CONNECTION_CONNECTING ||
				    c->state == KB_CONNECTION_CLOSING) {
					dirty[c] = false;
					kb_pool_closed(&pool.pool, c, now);
				}
				break;
			case 4:
				if (c->state == KB_CONNECTION_BUSY)
					dirty[c] = flags != KB_CONNECTION_CLEAN;
				kb_pool_release(&pool.pool, c, flags, now);
				break;
			case 5:
				if (c->state == KB_CONNECTION_BUSY)
					dirty[c] = true;
				kb_pool_pin(&pool.pool, c,
					    KB_CONNECTION_IN_TRANSACTION, now);
				break;
			case 6:
				kb_pool_abandon(&pool.pool, c, now);
				break;
			case 7:
				kb_pool_tick(&pool.pool, now);
				break;
			}
			ASSERT_LE(kb_pool_open_count(&pool.pool), 7u);
			for (Waiter &waiter : waiters) {
				if (!waiter.connection)
					continue;
				ASSERT_FALSE(dirty[waiter.connection]);
				waiter.connection = nullptr;
			}
			for (const auto &connection : pool.pool.connections)
				held += connection.state == KB_CONNECTION_FREE;
			ASSERT_EQ(held, pool.pool.counts[KB_CONNECTION_FREE]);
		}
	}
	gsl_rng_free(rng);
}

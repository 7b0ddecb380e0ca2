#ifndef KB_TEST_POOL_RECORDER_H
#define KB_TEST_POOL_RECORDER_H

#include "load/pool.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <string>
#include <vector>

static const kb_time_t MS = KB_NS_PER_MS;

struct Waiter {
	kb_pool_waiter_t waiter = {};
	kb_pool_connection_t *connection = nullptr;
	kb_result_t result = KB_OK;
};

/* A pool whose callbacks are recorded. */
struct Pool {
	kb_pool_t pool;
	std::vector<kb_pool_connection_t *> opened, closed, rolled_back,
		expired;
	bool refuse_at_once = false;

	explicit Pool(unsigned connections = 16, unsigned limit = 0)
	{
		kb_pool_settings_t settings;

		kb_pool_default_settings(&settings, connections, 1);
		if (limit)
			settings.limit = limit;
		kb_pool_init(&pool, ops(), &settings);
	}
	static Pool *of(kb_pool_t *pool)
	{
		return reinterpret_cast<Pool *>(pool);
	}
	static const kb_pool_ops_t *ops()
	{
		static const kb_pool_ops_t table = {
			[](kb_pool_t *p, kb_pool_connection_t *c) {
				of(p)->opened.push_back(c);
				if (of(p)->refuse_at_once)
					kb_pool_closed(p, c, 0);
			},
			[](kb_pool_t *p, kb_pool_connection_t *c) {
				of(p)->rolled_back.push_back(c);
			},
			[](kb_pool_t *p, kb_pool_connection_t *c) {
				of(p)->closed.push_back(c);
			},
			[](kb_pool_t *p, kb_pool_connection_t *c, kb_time_t) {
				of(p)->expired.push_back(c);
			},
			[](kb_pool_t *, kb_pool_waiter_t *w,
			   kb_pool_connection_t *c,
			   kb_time_t) { ((Waiter *)w)->connection = c; },
			[](kb_pool_t *, kb_pool_waiter_t *w, kb_result_t result,
			   kb_time_t) { ((Waiter *)w)->result = result; },
		};

		return &table;
	}
	/* Returns a busy connection. */
	kb_pool_connection_t *busy(kb_time_t now = 0)
	{
		size_t before = opened.size();
		Waiter waiter;

		kb_pool_acquire(&pool, &waiter.waiter, now);
		if (opened.size() > before)
			kb_pool_connected(&pool, opened.back(), now);
		EXPECT_TRUE(waiter.connection);
		return waiter.connection;
	}
};

#endif

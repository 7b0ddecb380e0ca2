#include "txn.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

/* An engine that is a primary, with two open transactions. */
class StandinEngine : public testing::Test
{
      protected:
	void SetUp() override
	{
		st_engine_init(&engine);
		EXPECT_TRUE(st_engine_fence(&engine, 1, KB_STR("p")));
		EXPECT_TRUE(st_engine_promote(&engine, 1, KB_STR("p")));
		st_txn_init(&a, &engine);
		st_txn_init(&b, &engine);
	}
	void TearDown() override
	{
		st_txn_finish(&a);
		st_txn_finish(&b);
		st_engine_finish(&engine);
	}
	void put(const char *id, const char *body)
	{
		kb_point_t point;

		EXPECT_EQ(nullptr, st_txn_insert(&a, table, kb_str_from(id),
						 kb_str_from(body)));
		EXPECT_EQ(nullptr, st_txn_commit(&a, &point));
	}
	std::string get(st_txn_t *txn, const char *id)
	{
		kb_str_t body;

		if (!st_txn_find(txn, table, kb_str_from(id), &body))
			return "-";
		return std::string(body.data, body.len);
	}

	kb_str_t table = KB_STR("t");
	st_engine_t engine;
	st_txn_t a, b;
};

TEST_F(StandinEngine, WritesAreSeenByOthersOnlyAfterCommit)
{
	kb_point_t point;

	put("1", "x");
	EXPECT_EQ(&st_error_duplicate,
		  st_txn_insert(&a, table, KB_STR("1"), KB_STR("y")));
	EXPECT_EQ(nullptr, st_txn_insert(&a, table, KB_STR("2"), KB_STR("y")));
	EXPECT_EQ("y", get(&a, "2"));
	EXPECT_EQ("-", get(&b, "2"));
	EXPECT_EQ(&st_error_conflict,
		  st_txn_insert(&b, table, KB_STR("2"), KB_STR("z")));
	EXPECT_EQ(nullptr, st_txn_commit(&a, &point));
	EXPECT_EQ("y", get(&b, "2"));
	EXPECT_EQ(1u, point.term);
	EXPECT_EQ(3u, point.position);
}

TEST_F(StandinEngine, OnlyOneOfTwoConcurrentUpdatesSucceeds)
{
	kb_str_t free_part = KB_STR("free");
	kb_point_t point;
	size_t won;

	put("part", "free");
	EXPECT_EQ(nullptr, st_txn_update(&a, table, KB_STR("part"), KB_STR("a"),
					 &free_part, &won));
	EXPECT_EQ(1u, won);
	EXPECT_EQ(&st_error_conflict,
		  st_txn_update(&b, table, KB_STR("part"), KB_STR("b"),
				&free_part, &won));
	EXPECT_EQ(nullptr, st_txn_commit(&a, &point));
	EXPECT_EQ(nullptr, st_txn_update(&b, table, KB_STR("part"), KB_STR("b"),
					 &free_part, &won));
	EXPECT_EQ(0u, won);
	EXPECT_EQ("a", get(&b, "part"));
}

TEST_F(StandinEngine, FenceRollsBackAndRefusesWrites)
{
	kb_point_t point;

	EXPECT_EQ(nullptr, st_txn_insert(&a, table, KB_STR("1"), KB_STR("x")));
	EXPECT_TRUE(st_engine_fence(&engine, 2, KB_STR("q")));
	EXPECT_EQ(&st_error_read_only, st_txn_commit(&a, &point));
	EXPECT_EQ("-", get(&b, "1"));
	EXPECT_EQ(&st_error_read_only,
		  st_txn_insert(&b, table, KB_STR("1"), KB_STR("x")));
}

TEST_F(StandinEngine, GrantsFencePromoteAndFollowByTerm)
{
	EXPECT_FALSE(st_engine_fence(&engine, 1, KB_STR("q")));
	EXPECT_TRUE(st_engine_fence(&engine, 1, KB_STR("p")));
	EXPECT_EQ(KB_ROLE_PRIMARY, engine.role);
	EXPECT_FALSE(st_engine_follow(&engine, 1, KB_STR("127.0.0.1"), 9));
	EXPECT_TRUE(st_engine_fence(&engine, 3, KB_STR("q")));
	EXPECT_EQ(KB_ROLE_REPLICA, engine.role);
	EXPECT_FALSE(st_engine_promote(&engine, 3, KB_STR("p")));
	EXPECT_FALSE(st_engine_promote(&engine, 2, KB_STR("q")));
	EXPECT_FALSE(st_engine_follow(&engine, 2, KB_STR("127.0.0.1"), 9));
	EXPECT_TRUE(st_engine_promote(&engine, 3, KB_STR("q")));
	EXPECT_TRUE(st_engine_promote(&engine, 3, KB_STR("q")));
	EXPECT_EQ(2u, engine.log.count);
	EXPECT_TRUE(st_engine_follow(&engine, 4, KB_STR("127.0.0.1"), 9));
	EXPECT_EQ(4u, engine.term);
	EXPECT_EQ(KB_ROLE_REPLICA, engine.role);
}

TEST_F(StandinEngine, RewindRestoresPreviousRows)
{
	kb_point_t point;
	size_t changed;

	put("1", "x");
	put("2", "y");
	EXPECT_EQ(nullptr, st_txn_update(&a, table, KB_STR("1"), KB_STR("n"),
					 nullptr, &changed));
	EXPECT_EQ(nullptr, st_txn_commit(&a, &point));
	EXPECT_EQ(nullptr, st_txn_delete(&a, table, KB_STR("2"), &changed));
	EXPECT_EQ(nullptr, st_txn_commit(&a, &point));
	EXPECT_EQ("n-", get(&b, "1") + get(&b, "2"));
	EXPECT_EQ(KB_OK, st_engine_rewind(&engine, 2));
	EXPECT_EQ("x-", get(&b, "1") + get(&b, "2"));
	EXPECT_EQ(2u, engine.log.count);
	EXPECT_EQ(2u, engine.applied);
}

TEST(StandinLog, FindsCommonPositionByTerms)
{
	struct {
		std::vector<kb_history_entry_t> terms;
		uint64_t last, common;
	} cases[] = {
		{ {}, 0, 0 },
		{ { { 1, 1 } }, 3, 3 },
		{ { { 1, 1 } }, 9, 4 },
		{ { { 1, 1 }, { 2, 5 } }, 7, 6 },
		{ { { 1, 1 }, { 2, 5 } }, 5, 5 },
		{ { { 1, 1 }, { 3, 5 } }, 7, 4 },
		{ { { 2, 1 } }, 7, 0 },
	};
	st_log_t log;

	st_log_init(&log);
	for (uint64_t term : { 1, 1, 1, 1, 2, 2 })
		EXPECT_EQ(KB_OK, st_log_append(&log, st_entry_create(term, 0)));
	for (const auto &c : cases)
		EXPECT_EQ(c.common,
			  st_log_common_position(&log, c.terms.data(),
						 c.terms.size(), c.last));
	st_log_finish(&log);
}

#include "config_set.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <random>
#include <string>
#include <vector>

static std::vector<std::string> accepted;

static void on_accepted(kb_config_set_t *, const kb_config_entry_t *entry)
{
	kb_str_t name = kb_config_entry_name(entry);

	accepted.push_back(std::string(name.data, name.len) +
			   (entry->deleted ? "-" : "+") +
			   std::to_string(entry->revision));
}

static kb_str_t str(const std::string &s)
{
	return { s.data(), s.size() };
}

class ConfigSetTest : public testing::Test
{
      protected:
	kb_config_set_t set;

	void SetUp() override
	{
		static const kb_config_set_ops_t ops = { on_accepted };

		accepted.clear();
		kb_config_set_init(&set, &ops);
	}

	void TearDown() override
	{
		kb_config_set_finish(&set);
	}

	static kb_config_change_t change(const std::string &name,
					 uint64_t revision, bool deleted,
					 kb_str_t value)
	{
		return { KB_STR("group"), str(name), revision, deleted, value };
	}

	bool put(const std::string &name, uint64_t revision,
		 const std::string &value = "{}")
	{
		kb_config_change_t c =
			change(name, revision, false, str(value));
		bool taken;

		EXPECT_EQ(KB_OK, kb_config_set_apply(&set, &c, &taken));
		return taken;
	}

	bool del(const std::string &name, uint64_t revision)
	{
		kb_config_change_t c = change(name, revision, true, KB_STR(""));
		bool taken;

		EXPECT_EQ(KB_OK, kb_config_set_apply(&set, &c, &taken));
		return taken;
	}

	void put_snapshot(const std::string &name, uint64_t revision)
	{
		kb_config_change_t c =
			change(name, revision, false, KB_STR("{}"));

		EXPECT_EQ(KB_OK, kb_config_set_apply_snapshot(&set, &c));
	}

	/* Returns "+17" if the newest revision is 17, "-17" if that is a
	 * tombstone, or "" if there is no entry. */
	std::string state(const std::string &name)
	{
		const kb_config_entry_t *entry =
			kb_config_set_find(&set, KB_STR("group"), str(name));

		if (!entry)
			return "";
		return (entry->deleted ? "-" : "+") +
		       std::to_string(entry->revision);
	}
};

TEST_F(ConfigSetTest, NeverRevertsAResource)
{
	EXPECT_TRUE(put("a", 0, "default"));
	EXPECT_TRUE(put("a", 5, "five"));
	EXPECT_FALSE(put("a", 4, "four"));
	EXPECT_FALSE(put("a", 5, "other"));
	EXPECT_FALSE(put("a", 0, "default"));
	EXPECT_TRUE(del("a", 7));
	EXPECT_FALSE(put("a", 6, "six"));
	EXPECT_EQ("-7", state("a"));
	EXPECT_TRUE(put("a", 9, "nine"));
	EXPECT_EQ("+9", state("a"));
	EXPECT_EQ((std::vector<std::string>{ "a+0", "a+5", "a-7", "a+9" }),
		  accepted);
}

TEST_F(ConfigSetTest, ConvergesInEveryOrderOfArrival)
{
	std::mt19937_64 random(1);
	uint64_t digest = 0;

	for (int round = 0; round < 50; round++) {
		std::vector<uint64_t> revisions;

		for (uint64_t r = 1; r <= 60; r++)
			revisions.push_back(r);
		std::shuffle(revisions.begin(), revisions.end(), random);
		kb_config_set_finish(&set);
		for (uint64_t r : revisions) {
			std::string name = "g" + std::to_string(r % 7);

			if (r % 5 == 0)
				del(name, r);
			else
				put(name, r);
			if (random() % 3 == 0)
				put(name, r > 9 ? r - 7 : r);
		}
		kb_config_set_advance(&set, 0, 60);
		if (!round)
			digest = kb_config_set_digest(&set);
		EXPECT_EQ(digest, kb_config_set_digest(&set)) << round;
		EXPECT_EQ("-60", state("g4"));
	}
}

TEST_F(ConfigSetTest, AdvanceTracksTheCompleteRevision)
{
	EXPECT_TRUE(kb_config_set_advance(&set, 0, 10));
	EXPECT_FALSE(kb_config_set_advance(&set, 12, 15));
	EXPECT_EQ(10u, set.complete);
	EXPECT_TRUE(kb_config_set_advance(&set, 8, 12));
	EXPECT_TRUE(kb_config_set_advance(&set, 0, 11));
	EXPECT_EQ(12u, set.complete);
}

TEST_F(ConfigSetTest, SinceListsTheChangesAfterARevision)
{
	std::string names;

	put("default", 0);
	put("c", 30);
	put("a", 10);
	put("b", 20);
	put("a", 40);
	for (auto *entry = kb_config_set_since(&set, 20); entry;
	     entry = entry->next)
		names += std::string(kb_config_entry_name(entry).data, 1);
	EXPECT_EQ("ca", names);
	EXPECT_EQ(nullptr, kb_config_set_since(&set, 40));
	EXPECT_EQ(20u, kb_config_set_since(&set, 0)->revision);
}

TEST_F(ConfigSetTest, DigestIgnoresChangesAboveTheCompleteRevision)
{
	uint64_t digest;

	put("default", 0);
	EXPECT_EQ(0u, kb_config_set_digest(&set));
	put("a", 10);
	kb_config_set_advance(&set, 0, 10);
	digest = kb_config_set_digest(&set);
	put("b", 12);
	EXPECT_EQ(digest, kb_config_set_digest(&set));
	kb_config_set_advance(&set, 10, 12);
	EXPECT_NE(digest, kb_config_set_digest(&set));
}

TEST_F(ConfigSetTest, SnapshotDeletesMissingResources)
{
	put("default", 0);
	put("kept", 10);
	put("gone", 11);
	kb_config_set_advance(&set, 0, 15);
	ASSERT_TRUE(kb_config_set_begin_snapshot(&set, 30));
	put_snapshot("kept", 10);
	put_snapshot("new", 25);
	/* Changes received while the snapshot is being read. */
	put("later", 31);
	put("stray", 20);
	ASSERT_EQ(KB_OK, kb_config_set_end_snapshot(&set, 30, 30));
	EXPECT_EQ("+10", state("kept"));
	EXPECT_EQ("+25", state("new"));
	EXPECT_EQ("+31", state("later"));
	EXPECT_EQ("-30", state("gone"));
	EXPECT_EQ("-30", state("stray"));
	EXPECT_EQ("-30", state("default"));
	EXPECT_EQ(30u, set.complete);
	EXPECT_FALSE(kb_config_set_has_since(&set, 29));
	EXPECT_FALSE(put("unknown", 28));
}

TEST_F(ConfigSetTest, StaleSnapshotIsRefused)
{
	put("a", 10);
	kb_config_set_advance(&set, 0, 20);
	EXPECT_FALSE(kb_config_set_begin_snapshot(&set, 15));
	/* A snapshot that became stale since it began deletes nothing. */
	EXPECT_TRUE(kb_config_set_begin_snapshot(&set, 21));
	kb_config_set_advance(&set, 20, 25);
	EXPECT_EQ(KB_OK, kb_config_set_end_snapshot(&set, 21, 21));
	EXPECT_EQ("+10", state("a"));
	EXPECT_EQ(25u, set.complete);
}

TEST_F(ConfigSetTest, EvictingTombstonesRevivesNoResource)
{
	enum { COUNT = KB_CONFIG_TOMBSTONES_MAX + 10 };

	for (uint64_t i = 1; i <= COUNT; i++)
		put("g" + std::to_string(i), i);
	kb_config_set_advance(&set, 0, COUNT);
	for (uint64_t i = 1; i <= COUNT; i++)
		del("g" + std::to_string(i), COUNT + i);
	kb_config_set_advance(&set, COUNT, 2 * COUNT);
	EXPECT_TRUE(put("last", 2 * COUNT + 1));
	EXPECT_EQ((size_t)KB_CONFIG_TOMBSTONES_MAX, set.tombstone_count);
	EXPECT_EQ("", state("g1"));
	EXPECT_FALSE(put("g1", 1));
	EXPECT_FALSE(put("g" + std::to_string(COUNT), COUNT));
	EXPECT_FALSE(kb_config_set_has_since(&set, COUNT));
	EXPECT_TRUE(kb_config_set_has_since(&set, set.tombstone_floor));
}

TEST_F(ConfigSetTest, RefusesInvalidChanges)
{
	std::string longer(KB_NAME_MAX_BYTES + 1, 'x');
	std::string huge(KB_CONFIG_VALUE_MAX_BYTES + 1, 'x');
	std::string none;
	bool taken;
	kb_config_change_t c = change(longer, 1, false, KB_STR(""));

	EXPECT_EQ(KB_ERR_INVALID, kb_config_set_apply(&set, &c, &taken));
	c = change(none, 1, false, KB_STR(""));
	EXPECT_EQ(KB_ERR_INVALID, kb_config_set_apply(&set, &c, &taken));
	longer = "a";
	c = change(longer, 1, false, str(huge));
	EXPECT_EQ(KB_ERR_TOO_LARGE, kb_config_set_apply(&set, &c, &taken));
	EXPECT_EQ(0u, set.count);
}

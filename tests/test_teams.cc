#include "teams.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

class Teams : public ::testing::Test
{
      protected:
	kb_teams_t teams{};

	~Teams() override
	{
		kb_teams_finish(&teams);
	}

	kb_result_t add(const std::string &name)
	{
		kb_team_t team{};

		teams.configured = 1;
		kb_name_set(&team.name, { name.data(), name.size() });
		return kb_teams_add(&teams, &team);
	}

	kb_result_t add_key(const char *team, const std::string &key)
	{
		return kb_teams_add_key(&teams, kb_str_from(team),
					{ key.data(), key.size() });
	}

	/* Name of the key's team, "-" without one, "!" if it is refused. */
	std::string team_of(const std::string &key)
	{
		kb_key_digest_t digest =
			kb_key_digest({ key.data(), key.size() });
		kb_name_t team;

		if (kb_teams_authenticate(&teams, &digest, &team)) {
			EXPECT_EQ(0, team.len);
			return "!";
		}
		return team.len ? team.data : "-";
	}
};

} // namespace

TEST_F(Teams, AKeyIdentifiesItsTeam)
{
	ASSERT_EQ(KB_OK, add("red"));
	ASSERT_EQ(KB_OK, add("blue"));
	ASSERT_EQ(KB_OK, add_key("red", "r1"));
	ASSERT_EQ(KB_OK, add_key("red", "r2"));
	ASSERT_EQ(KB_OK, add_key("blue", "b1"));
	EXPECT_EQ("red", team_of("r1"));
	EXPECT_EQ("red", team_of("r2"));
	EXPECT_EQ("blue", team_of("b1"));
	for (const char *key : { "", "r", "r1 ", "R1", "r11", "red" })
		EXPECT_EQ("!", team_of(key)) << key;
	EXPECT_EQ("!", team_of(std::string("r1\0", 3)));
}

TEST_F(Teams, WithoutTeamsNoKeyIsLookedAt)
{
	EXPECT_EQ("-", team_of("r1"));
	EXPECT_EQ("-", team_of(""));
	teams.configured = 1;
	EXPECT_EQ("!", team_of("r1"));
	EXPECT_EQ("!", team_of(""));
}

TEST_F(Teams, AKeyOfSeveralTeamsIdentifiesNobody)
{
	for (const char *name : { "red", "blue", "green" })
		ASSERT_EQ(KB_OK, add(name));
	EXPECT_EQ(KB_OK, add_key("red", "k"));
	EXPECT_EQ(KB_OK, add_key("red", "k"));
	EXPECT_EQ("red", team_of("k"));
	EXPECT_EQ(0u, teams.ambiguous);
	EXPECT_EQ(KB_ERR_CONFLICT, add_key("blue", "k"));
	EXPECT_EQ(KB_ERR_CONFLICT, add_key("green", "k"));
	EXPECT_EQ(KB_ERR_CONFLICT, add_key("red", "k"));
	EXPECT_EQ("!", team_of("k"));
	EXPECT_EQ(1u, teams.ambiguous);
	EXPECT_EQ(KB_OK, add_key("red", "other"));
	EXPECT_EQ("red", team_of("other"));
}

TEST_F(Teams, NamesThatCannotBeUsedAreRejected)
{
	EXPECT_EQ(KB_OK, add("red"));
	EXPECT_EQ(KB_ERR_CONFLICT, add("red"));
	for (const char *name : { "", "a b", "a\r\nSTART", "a\tb", "a\x7f" })
		EXPECT_EQ(KB_ERR_INVALID, add(name)) << name;
	EXPECT_EQ(KB_OK, add("\xc3\xa9quipe"));
	EXPECT_EQ(KB_ERR_NOT_FOUND, add_key("none", "k"));
	EXPECT_EQ(2u, teams.count);
}

TEST_F(Teams, ADigestIsOneThatOperatorsCanCompute)
{
	static const unsigned char abc[] = { 0xcf, 0x4a, 0xb7, 0x91, 0xc6, 0x2b,
					     0x8d, 0x2b, 0x21, 0x09, 0xc9, 0x02,
					     0x75, 0x28, 0x78, 0x16 };
	kb_key_digest_t digest = kb_key_digest(KB_STR("abc"));

	ASSERT_EQ(sizeof(abc), sizeof(digest.bytes));
	EXPECT_EQ(0, memcmp(abc, digest.bytes, sizeof(abc)));
}

TEST_F(Teams, ADigestHoldsNoKey)
{
	std::string key(2 * KB_KEY_DIGEST_BYTES, 'k');
	kb_key_digest_t digest = kb_key_digest({ key.data(), key.size() });
	std::string bytes(reinterpret_cast<char *>(digest.bytes),
			  sizeof(digest.bytes));

	EXPECT_EQ(std::string::npos, bytes.find("kk"));
}

TEST_F(Teams, ALookUpComparesFewOfManyKeys)
{
	constexpr size_t TEAMS = 100;
	constexpr size_t KEYS = 10000;
	/* Keys of a bucket at which the table grows, with some to spare. */
	constexpr size_t COMPARED_MAX = 20;

	EXPECT_EQ(0u, kb_teams_longest_search(&teams));
	for (size_t i = 0; i < TEAMS; i++)
		ASSERT_EQ(KB_OK, add("team" + std::to_string(i)));
	for (size_t i = 0; i < KEYS; i++)
		ASSERT_EQ(KB_OK,
			  add_key(("team" + std::to_string(i % TEAMS)).c_str(),
				  "key" + std::to_string(i)));
	EXPECT_EQ("team42", team_of("key4242"));
	EXPECT_EQ("!", team_of("key10000"));
	EXPECT_GT(kb_teams_longest_search(&teams), 0u);
	EXPECT_LE(kb_teams_longest_search(&teams), COMPARED_MAX);
}

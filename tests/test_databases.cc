#include "databases.h"

#include <gtest/gtest.h>
#include <cstdlib>
#include <string>

namespace
{

kb_databases_t version_with(uint64_t version, const char *name)
{
	kb_databases_t databases = {};

	databases.version = version;
	databases.databases =
		static_cast<kb_database_t *>(calloc(1, sizeof(kb_database_t)));
	databases.database_count = 1;
	kb_name_set(&databases.databases[0].name, kb_str_from(name));
	return databases;
}

void add_key(kb_databases_t *databases, const char *name, const char *key)
{
	kb_team_t team = {};

	databases->teams.configured = 1;
	kb_name_set(&team.name, kb_str_from(name));
	ASSERT_EQ(KB_OK, kb_teams_add(&databases->teams, &team));
	ASSERT_EQ(KB_OK, kb_teams_add_key(&databases->teams, kb_str_from(name),
					  kb_str_from(key)));
}

std::string team_of(const kb_databases_t &databases, const char *key)
{
	kb_key_digest_t digest = kb_key_digest(kb_str_from(key));
	const kb_team_t *team = kb_teams_find_key(&databases.teams, &digest);

	return team ? team->name.data : "";
}

} // namespace

TEST(Databases, OnlyALaterVersionReplacesThePresentOne)
{
	kb_databases_t present = {};
	kb_databases_t next = version_with(3, "a");

	EXPECT_TRUE(kb_databases_replace(&present, &next));
	next = version_with(2, "b");
	EXPECT_FALSE(kb_databases_replace(&present, &next));
	next = version_with(3, "c");
	EXPECT_FALSE(kb_databases_replace(&present, &next));
	EXPECT_EQ(3u, present.version);
	EXPECT_NE(nullptr, kb_databases_find(&present, KB_STR("a")));
	next = version_with(4, "d");
	EXPECT_TRUE(kb_databases_replace(&present, &next));
	EXPECT_EQ(nullptr, kb_databases_find(&present, KB_STR("a")));
	EXPECT_NE(nullptr, kb_databases_find(&present, KB_STR("d")));
	kb_databases_finish(&present);
}

TEST(Databases, AVersionBringsItsTeams)
{
	kb_databases_t present = version_with(3, "a");
	kb_databases_t next = version_with(2, "a");

	add_key(&present, "red", "r1");
	add_key(&next, "red", "old");
	EXPECT_FALSE(kb_databases_replace(&present, &next));
	EXPECT_EQ("red", team_of(present, "r1"));
	EXPECT_EQ("", team_of(present, "old"));
	next = version_with(4, "a");
	add_key(&next, "blue", "r1");
	EXPECT_TRUE(kb_databases_replace(&present, &next));
	EXPECT_EQ("blue", team_of(present, "r1"));
	next = version_with(5, "a");
	EXPECT_TRUE(kb_databases_replace(&present, &next));
	EXPECT_FALSE(present.teams.configured);
	EXPECT_EQ("", team_of(present, "r1"));
	kb_databases_finish(&present);
}

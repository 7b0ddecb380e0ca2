#include "databases.h"

#include <gtest/gtest.h>
#include <cstdlib>

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

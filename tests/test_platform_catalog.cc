#include "platform_catalog.h"

#include <gtest/gtest.h>
#include <string>

static kb_str_t view(const std::string &text)
{
	return { text.data(), text.size() };
}

static const char CONFIG[] = R"({"version": 7, "routes": [
	{"name": "r1", "host": "lepu", "type": "read_your_writes",
	 "timeout_ms": 800, "target_latency_ms": 500, "priority": 2,
	 "service": "huvo", "max_staleness_ms": 2500},
	{"name": "r2", "host": "aba", "type": "primary", "service": "huvo"},
	{"name": "r3", "host": "faulty", "type": "sometimes", "service": "huvo"}
	], "services": [{"name": "huvo", "max_conns": 16, "sync_replicas": 1}],
	"limits": {"tx_idle_ms": 3000}, "unknown": {}})";

TEST(PlatformCatalog, ReadsWhatTheConfigurationHolds)
{
	kb_databases_t databases;
	const kb_database_t *database;

	ASSERT_EQ(KB_OK, kb_platform_catalog_decode_config(kb_str_from(CONFIG),
							   &databases));
	EXPECT_EQ(7u, databases.version);
	EXPECT_EQ(2u, databases.database_count);
	EXPECT_EQ(3 * KB_NS_PER_S, databases.txn_idle);
	database = kb_databases_find(&databases, KB_STR("lepu"));
	ASSERT_NE(nullptr, database);
	EXPECT_EQ(KB_READ_YOUR_WRITES, database->rule);
	EXPECT_EQ(2500 * KB_NS_PER_MS, database->max_age);
	EXPECT_EQ(800 * KB_NS_PER_MS, database->timeout);
	EXPECT_EQ(500 * KB_NS_PER_MS, database->objective);
	EXPECT_EQ(2u, database->priority);
	EXPECT_EQ(nullptr, kb_databases_find(&databases, KB_STR("faulty")));
	ASSERT_NE(nullptr, kb_databases_group(&databases, KB_STR("huvo")));
	EXPECT_TRUE(kb_databases_group(&databases, KB_STR("huvo"))->durable);
	kb_databases_finish(&databases);
}

TEST(PlatformCatalog, AFaultyConfigurationIsRefusedWhole)
{
	for (const char *text :
	     { "", "{", "[]", "7", "{}", R"({"version": "7"})",
	       R"({"version": 7, "routes": {}, "services": []})",
	       R"({"version": 7.5, "routes": [], "services": []})" }) {
		kb_databases_t databases;

		EXPECT_EQ(KB_ERR_PROTOCOL,
			  kb_platform_catalog_decode_config(kb_str_from(text),
							    &databases))
			<< text;
	}
}

TEST(PlatformCatalog, AnEntryFromAnotherWriterNamesNoTarget)
{
	const std::string good =
		R"({"service": "huvo", "address": "10.1.0.9:8080",
		"zone": "a", "version": "v1", "slots": 2, "state": "ready",
		"cold_ms": 0, "db_role": "replica", "seq": 4, "born": 12})";
	struct {
		const char *name, *from, *to;
		kb_result_t result;
	} cases[] = {
		{ "good", "", "", KB_OK },
		{ "leaving", "ready", "draining", KB_OK },
		{ "unknown field", "\"seq\": 4", "\"other\": []", KB_OK },
		{ "unknown state", "ready", "asleep", KB_ERR_PROTOCOL },
		{ "unknown role", "replica", "witness", KB_ERR_PROTOCOL },
		{ "no group", "\"service\"", "\"x\"", KB_ERR_PROTOCOL },
		{ "address without port", ":8080", "", KB_ERR_PROTOCOL },
		{ "a name as address", "10.1.0.9", "host", KB_ERR_PROTOCOL },
		{ "slots as text", "2", "\"2\"", KB_ERR_PROTOCOL },
		{ "no slots", ": 2", ": 0", KB_ERR_PROTOCOL },
		{ "group as number", "\"huvo\"", "5", KB_ERR_PROTOCOL },
		{ "born as text", "12", "\"12\"", KB_ERR_PROTOCOL },
		{ "born before time", "12", "-12", KB_ERR_PROTOCOL },
		{ "cut", "}", "", KB_ERR_PROTOCOL },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		kb_target_entry_t target;
		std::string text = good;

		if (*c.from)
			text.replace(text.find(c.from), strlen(c.from), c.to);
		EXPECT_EQ(c.result,
			  kb_platform_catalog_decode_target(
				  KB_STR("i-1"), view(text), &target));
		if (c.result != KB_OK)
			continue;
		EXPECT_EQ(8080, target.place.endpoint.port);
		EXPECT_EQ(2u, target.slots);
		EXPECT_EQ(12u, target.born_ms);
		EXPECT_EQ(!strcmp(c.name, "leaving"), target.leaving);
	}
	/* Bytes that are no text at all. */
	kb_target_entry_t target;
	EXPECT_EQ(KB_ERR_PROTOCOL,
		  kb_platform_catalog_decode_target(
			  KB_STR("i-1"), KB_STR("\xff\xfe\x00"), &target));
}

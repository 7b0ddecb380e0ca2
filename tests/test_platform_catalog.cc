#include "platform_catalog.h"

#include <gtest/gtest.h>
#include <string>

static kb_str_t to_str(const std::string &text)
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

TEST(PlatformCatalog, DecodesTheConfiguration)
{
	kb_databases_t databases;
	const kb_database_t *database;

	ASSERT_EQ(KB_OK, kb_platform_catalog_decode_config(kb_str_from(CONFIG),
							   &databases));
	EXPECT_EQ(7u, databases.version);
	EXPECT_EQ(2u, databases.database_count);
	EXPECT_EQ(3 * KB_NS_PER_S, databases.txn_idle_timeout);
	database = kb_databases_find(&databases, KB_STR("lepu"));
	ASSERT_NE(nullptr, database);
	EXPECT_EQ(KB_READ_YOUR_WRITES, database->consistency);
	EXPECT_EQ(2500 * KB_NS_PER_MS, database->max_age);
	EXPECT_EQ(800 * KB_NS_PER_MS, database->timeout);
	EXPECT_EQ(500 * KB_NS_PER_MS, database->objective);
	EXPECT_EQ(2u, database->priority);
	EXPECT_EQ(nullptr, kb_databases_find(&databases, KB_STR("faulty")));
	ASSERT_NE(nullptr, kb_databases_group(&databases, KB_STR("huvo")));
	EXPECT_TRUE(kb_databases_group(&databases, KB_STR("huvo"))->durable);
	kb_databases_finish(&databases);
}

TEST(PlatformCatalog, RejectsAMalformedConfiguration)
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

namespace
{

/* A configuration with two public routes and one that needs a key. */
std::string with_teams(const std::string &teams)
{
	return R"({"version": 8, "routes": [
		{"host": "open", "type": "primary", "service": "g",
		 "public": true},
		{"host": "odd", "type": "primary", "service": "g",
		 "public": "true"},
		{"host": "closed", "type": "primary", "service": "g"}],
		"services": [])" +
	       teams + "}";
}

/* Decoded configuration. */
struct Decoded {
	kb_databases_t databases{};
	kb_result_t result;

	explicit Decoded(const std::string &teams)
	{
		std::string text = with_teams(teams);

		result = kb_platform_catalog_decode_config(to_str(text),
							   &databases);
	}

	~Decoded()
	{
		kb_databases_finish(&databases);
	}

	std::string team_of(const char *key)
	{
		kb_key_digest_t digest = kb_key_digest(kb_str_from(key));
		const kb_team_t *team =
			kb_teams_find_key(&databases.teams, &digest);

		return team ? team->name.data : "";
	}
};

} // namespace

TEST(PlatformCatalog, DecodesTeamsAndPublicRoutes)
{
	Decoded decoded(R"(, "tenants": [
		{"name": "red", "api_keys": ["r1", "r2"], "priority": 2,
		 "rate_per_s": 12.5, "burst": 40},
		{"name": "blue", "api_keys": [], "rate_per_s": null},
		{"name": "none", "api_keys": ["n1"], "rate_per_s": 0}])");
	const kb_teams_t *teams = &decoded.databases.teams;
	const kb_team_t *team;

	ASSERT_EQ(KB_OK, decoded.result);
	EXPECT_TRUE(teams->configured);
	EXPECT_EQ(3u, teams->count);
	EXPECT_EQ(0u, teams->malformed);
	EXPECT_EQ(0u, teams->ambiguous);
	team = kb_teams_find(teams, KB_STR("red"));
	ASSERT_NE(nullptr, team);
	EXPECT_EQ(2u, team->priority);
	EXPECT_TRUE(team->limited);
	EXPECT_EQ(12.5, team->rate);
	EXPECT_EQ(40.0, team->burst);
	EXPECT_FALSE(kb_teams_find(teams, KB_STR("blue"))->limited);
	EXPECT_TRUE(kb_teams_find(teams, KB_STR("none"))->limited);
	EXPECT_EQ("red", decoded.team_of("r2"));
	EXPECT_EQ("none", decoded.team_of("n1"));
	EXPECT_EQ("", decoded.team_of("r3"));
	EXPECT_TRUE(kb_databases_find(&decoded.databases, KB_STR("open"))
			    ->is_public);
	EXPECT_FALSE(kb_databases_find(&decoded.databases, KB_STR("odd"))
			     ->is_public);
	EXPECT_FALSE(kb_databases_find(&decoded.databases, KB_STR("closed"))
			     ->is_public);
}

TEST(PlatformCatalog, AConfigurationWithoutTeams)
{
	for (const char *text : { "", R"(, "tenants": null)" }) {
		Decoded decoded(text);

		EXPECT_EQ(KB_OK, decoded.result) << text;
		EXPECT_FALSE(decoded.databases.teams.configured) << text;
	}
	Decoded empty(R"(, "tenants": [])");
	EXPECT_TRUE(empty.databases.teams.configured);
	Decoded malformed(R"(, "tenants": {"name": "red"})");
	EXPECT_EQ(KB_ERR_PROTOCOL, malformed.result);
}

TEST(PlatformCatalog, LeavesOutMalformedTeams)
{
	const std::string good = R"({"name": "red", "api_keys": ["r1"],
		"rate_per_s": 5, "burst": 6})";
	struct {
		const char *name, *from, *to;
	} cases[] = {
		{ "no name", "\"name\"", "\"x\"" },
		{ "empty name", "\"red\"", "\"\"" },
		{ "name as number", "\"red\"", "7" },
		{ "name that is a line", "\"red\"", "\"red\\r\\nBYE\"" },
		{ "name with a blank", "\"red\"", "\"red x\"" },
		{ "long name", "red",
		  "0123456789012345678901234567890123456789"
		  "0123456789012345678901234567890123456789" },
		{ "no keys", "api_keys", "x" },
		{ "keys as text", "[\"r1\"]", "\"r1\"" },
		{ "key as number", "[\"r1\"]", "[\"r1\", 7]" },
		{ "key as null", "[\"r1\"]", "[null, \"r1\"]" },
		{ "empty key", "[\"r1\"]", "[\"r1\", \"\"]" },
		{ "negative rate", ": 5", ": -5" },
		{ "rate as text", ": 5", ": \"5\"" },
		{ "rate as boolean", ": 5", ": true" },
		{ "negative burst", ": 6", ": -0.5" },
		{ "burst as list", ": 6", ": [6]" },
		{ "duplicate name", "red", "blue" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		std::string text = good;

		text.replace(text.find(c.from), strlen(c.from), c.to);
		Decoded decoded(
			R"(, "tenants": [
			{"name": "blue", "api_keys": ["b1"]}, )" +
			text +
			R"(, 7, {"name": "green", "api_keys": ["g1"]}])");

		ASSERT_EQ(KB_OK, decoded.result);
		EXPECT_EQ(2u, decoded.databases.teams.count);
		EXPECT_EQ(2u, decoded.databases.teams.malformed);
		EXPECT_EQ("", decoded.team_of("r1"));
		EXPECT_EQ("blue", decoded.team_of("b1"));
		EXPECT_EQ("green", decoded.team_of("g1"));
	}
}

TEST(PlatformCatalog, AKeyOfTwoTeamsIdentifiesNobody)
{
	Decoded decoded(R"(, "tenants": [
		{"name": "red", "api_keys": ["k", "r1"]},
		{"name": "blue", "api_keys": ["k", "b1"]}])");

	EXPECT_EQ(1u, decoded.databases.teams.ambiguous);
	EXPECT_EQ(0u, decoded.databases.teams.malformed);
	EXPECT_EQ("", decoded.team_of("k"));
	EXPECT_EQ("red", decoded.team_of("r1"));
	EXPECT_EQ("blue", decoded.team_of("b1"));
}

TEST(PlatformCatalog, RejectsMalformedTargetEntries)
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
		{ "negative born", "12", "-12", KB_ERR_PROTOCOL },
		{ "truncated", "}", "", KB_ERR_PROTOCOL },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		kb_target_entry_t target;
		std::string text = good;

		if (*c.from)
			text.replace(text.find(c.from), strlen(c.from), c.to);
		EXPECT_EQ(c.result,
			  kb_platform_catalog_decode_target(
				  KB_STR("i-1"), to_str(text), &target));
		if (c.result != KB_OK)
			continue;
		EXPECT_EQ(8080, target.place.endpoint.port);
		EXPECT_EQ(2u, target.slots);
		EXPECT_EQ(12u, target.started_at_ms);
		EXPECT_EQ(!strcmp(c.name, "leaving"), target.leaving);
	}
}

/*
 * Such an entry of another writer must not end the process, nor keep it from
 * reading on.
 */
TEST(PlatformCatalog, RejectsTargetEntriesBeyondAllLimits)
{
	const std::string digits(400, '9');
	const size_t depth = 300000;
	std::vector<std::string> values = {
		std::string(depth, '['),
		std::string(depth, '[') + std::string(depth, ']'),
		R"({"service":"huvo","slots":)" + std::string(depth, '[') +
			std::string(depth, ']') + "}",
	};
	std::string objects;

	for (size_t i = 0; i < depth; i++)
		objects += R"({"a":)";
	values.push_back(objects + "1" + std::string(depth, '}'));
	for (const std::string &number :
	     { digits, "-" + digits, std::string("1e999"),
	       std::string("9223372036854775808") })
		for (const char *field : { "slots", "born", "seq", "cold_ms" })
			values.push_back(R"({"service":"huvo",)"
					 R"("address":"10.1.0.9:8080",)"
					 R"("zone":"a","state":"ready",)"
					 R"("db_role":"replica","slots":2,")" +
					 std::string(field) + "\":" + number +
					 "}");
	for (const std::string &port :
	     { std::string("0"), std::string("65536"), std::string("-1"),
	       std::string("+80"), std::string("8080 "), digits })
		values.push_back(R"({"service":"huvo","address":"10.1.0.9:)" +
				 port +
				 R"(","zone":"a","state":"ready",)"
				 R"("db_role":"replica","slots":2})");
	for (const std::string &value : values) {
		kb_target_entry_t target;

		EXPECT_EQ(KB_ERR_PROTOCOL,
			  kb_platform_catalog_decode_target(
				  KB_STR("i-1"), to_str(value), &target))
			<< value.substr(0, 200);
	}
	/* Bytes that are not valid UTF-8. */
	kb_target_entry_t target;
	EXPECT_EQ(KB_ERR_PROTOCOL,
		  kb_platform_catalog_decode_target(
			  KB_STR("i-1"), KB_STR("\xff\xfe\x00"), &target));
}

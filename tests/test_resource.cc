#include "resource.h"

#include <gtest/gtest.h>
#include <cstdlib>
#include <string>

static const std::string target =
	"{\"name\":\"a\",\"address\":\"127.0.0.1\",\"port\":7101,"
	"\"dataCentre\":\"khomas-1\",\"region\":\"khomas\",\"slots\":2,"
	"\"connections\":16,\"state\":\"active\"}";

static std::string replaced(std::string text, const std::string &from,
			    const std::string &to)
{
	size_t at = text.find(from);

	EXPECT_NE(std::string::npos, at) << from;
	return text.replace(at, from.size(), to);
}

static std::string group_of(const std::string &targets)
{
	return "{\"spec\":{\"database\":\"race\",\"targets\":[" + targets +
	       "]}}";
}

/* Returns the error as "path: message", or "" if the body is valid. */
static std::string fault_of(kb_kind_t kind, const std::string &body)
{
	static kb_resource_t resource;
	kb_str_t text = { body.data(), body.size() };
	kb_fault_t fault;

	if (kb_resource_parse_body(&resource, kind, KB_STR("race-1"), text,
				   &fault) == KB_OK)
		return "";
	return std::string(fault.path) + ": " + fault.message;
}

TEST(Resource, ErrorsNameTheField)
{
	const std::string second = replaced(target, "\"a\"", "\"b\"");
	const std::string host = "{\"spec\":{\"state\":\"leaving\"}}";
	struct {
		kb_kind_t kind;
		std::string body, fault;
	} cases[] = {
		{ KB_KIND_GROUP, group_of(target), "" },
		{ KB_KIND_GROUP, group_of(""),
		  "spec.targets: must be an array of 1 to 7 elements" },
		{ KB_KIND_GROUP,
		  group_of(target + "," + replaced(second, "7101", "65536")),
		  "spec.targets[1].port: must be 1 to 65535" },
		{ KB_KIND_GROUP, group_of(target + "," + target),
		  "spec.targets[1].name: is also that of targets[0]" },
		{ KB_KIND_GROUP, group_of(target + "," + second),
		  "spec.targets[1].port: address and port are also those of "
		  "targets[0]" },
		{ KB_KIND_GROUP,
		  group_of(replaced(target, "127.0.0.1", "db.example")),
		  "spec.targets[0].address: must be an IP number" },
		{ KB_KIND_GROUP,
		  group_of(replaced(target, "127.0.0.1", "127.0.0.1\\u0000")),
		  ": line 1: \\u0000 is not allowed without JSON_ALLOW_NUL "
		  "near "
		  "'\"127.0.0.1\\u0000\"'" },
		{ KB_KIND_GROUP, group_of(replaced(target, ":16", ":1")),
		  "spec.targets[0].connections: must not be less than slots "
		  "(2)" },
		{ KB_KIND_GROUP, group_of(replaced(target, ":16", ":1.5")),
		  "spec.targets[0].connections: must be 1 to 100000" },
		{ KB_KIND_GROUP, group_of(replaced(target, "active", "gone")),
		  "spec.targets[0].state: must be \"active\" or \"leaving\"" },
		{ KB_KIND_GROUP, group_of(replaced(target, "slots", "slot")),
		  "spec.targets[0].slot: unknown field" },
		{ KB_KIND_GROUP, group_of("7"),
		  "spec.targets[0]: must be an object" },
		{ KB_KIND_GROUP, "{\"spec\":{\"targets\":[]}}",
		  "spec.database: is required" },
		{ KB_KIND_GROUP, "{}", "spec: must be an object" },
		{ KB_KIND_GROUP, "[]", ": must be an object" },
		{ KB_KIND_GROUP, "{\"spec\":{},\"more\":1}",
		  "more: unknown field" },
		{ KB_KIND_READ_KIND,
		  "{\"spec\":{\"maxAge\":\"2s\",\"class\":\"bench\"}}", "" },
		{ KB_KIND_READ_KIND,
		  "{\"spec\":{\"maxAge\":2,\"class\":\"bench\"}}",
		  "spec.maxAge: must be a string" },
		{ KB_KIND_READ_KIND,
		  "{\"spec\":{\"maxAge\":\"2\",\"class\":\"bench\"}}",
		  "spec.maxAge: must be a duration such as \"250ms\", \"2s\" "
		  "or \"1m\"" },
		{ KB_KIND_READ_KIND,
		  "{\"spec\":{\"maxAge\":\"25h\",\"class\":\"bench\"}}",
		  "spec.maxAge: must be 0s to 24h" },
		{ KB_KIND_READ_KIND,
		  "{\"spec\":{\"maxAge\":\"2s\",\"class\":\"a/b\"}}",
		  "spec.class: must be 1 to 63 letters, digits, '.', '_' or "
		  "'-', not beginning with '.'" },
		{ KB_KIND_TRAFFIC_CLASS,
		  "{\"spec\":{\"weight\":4,\"queueLimit\":64,"
		  "\"deadline\":\"2s\"}}",
		  "" },
		{ KB_KIND_TRAFFIC_CLASS,
		  "{\"spec\":{\"weight\":0,\"queueLimit\":64,"
		  "\"deadline\":\"2s\"}}",
		  "spec.weight: must be 1 to 1000" },
		{ KB_KIND_TRAFFIC_CLASS,
		  "{\"spec\":{\"weight\":4,\"queueLimit\":64,"
		  "\"deadline\":\"2s\",\"bulk\":1}}",
		  "spec.bulk: must be true or false" },
		{ KB_KIND_HOST, host, "" },
		{ KB_KIND_HOST, "{\"name\":\"other\"," + host.substr(1),
		  "name: must be \"race-1\" as in the path" },
		{ KB_KIND_HOST, "{\"kind\":\"group\"," + host.substr(1),
		  "kind: must be \"host\" as in the path" },
		{ KB_KIND_HOST, "{\"revision\":-1," + host.substr(1),
		  "revision: must be a whole number from 0" },
		{ KB_KIND_PLANNED_STOP,
		  "{\"spec\":{\"host\":\"h1\",\"grace\":\"30s\"}}", "" },
		{ KB_KIND_PLANNED_STOP,
		  "{\"spec\":{\"host\":\"h1\",\"grace\":\"5ms\"}}",
		  "spec.grace: must be 1s to 1h" },
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.fault, fault_of(c.kind, c.body)) << c.body;
}

TEST(Resource, EveryTruncationOfADocumentIsRefused)
{
	std::string body = group_of(target);

	for (size_t len = 0; len < body.size(); len++)
		EXPECT_NE("", fault_of(KB_KIND_GROUP, body.substr(0, len)));
	for (char &c : body) {
		char kept = c;

		c = '\0';
		EXPECT_NE("", fault_of(KB_KIND_GROUP, body)) << &c + 1;
		c = '\xff';
		EXPECT_NE("", fault_of(KB_KIND_GROUP, body)) << &c;
		c = kept;
	}
}

TEST(Resource, StoredValueRoundTrips)
{
	static kb_resource_t written, read;
	struct {
		kb_kind_t kind;
		std::string body;
	} cases[] = {
		{ KB_KIND_GROUP, group_of(target) },
		{ KB_KIND_READ_KIND,
		  "{\"spec\":{\"maxAge\":\"0s\",\"class\":\"bench\"}}" },
		{ KB_KIND_TRAFFIC_CLASS,
		  "{\"spec\":{\"weight\":4,\"queueLimit\":64,"
		  "\"deadline\":\"1500ms\",\"bulk\":true}}" },
		{ KB_KIND_HOST, "{\"spec\":{\"state\":\"active\"}}" },
		{ KB_KIND_PLANNED_STOP,
		  "{\"spec\":{\"host\":\"h1\",\"grace\":\"30s\"}}" },
	};

	for (const auto &c : cases) {
		char key[KB_RESOURCE_KEY_BYTES];
		kb_fault_t fault;

		ASSERT_EQ(KB_OK,
			  kb_resource_parse_body(
				  &written, c.kind, KB_STR("race-1"),
				  { c.body.data(), c.body.size() }, &fault));
		kb_name_set(&written.change.id, KB_STR("id-1"));
		kb_name_set(&written.change.by, KB_STR("anna"));
		written.change.at = INT64_C(1777713120) * KB_NS_PER_S;
		kb_resource_key(c.kind, KB_STR("race-1"), key);
		char *value = kb_resource_format(&written);

		ASSERT_NE(nullptr, value);
		EXPECT_EQ(KB_OK,
			  kb_resource_parse(&read, kb_str_from(key),
					    kb_str_from(value), 17, &fault))
			<< fault.path << ": " << fault.message;
		EXPECT_EQ(17, read.revision);
		EXPECT_EQ(written.change.at, read.change.at);
		EXPECT_EQ(0, memcmp(&written.spec, &read.spec,
				    sizeof(written.spec)))
			<< value;
		EXPECT_NE(nullptr,
			  strstr(value, "\"at\":\"2026-05-02T09:12:00Z\""))
			<< value;
		free(value);
	}
}

TEST(Resource, ForeignKeysAreRefused)
{
	const char *keys[] = { "",
			       "/kumquat/resources/",
			       "/kumquat/resources/group",
			       "/kumquat/resources/group/",
			       "/kumquat/resources/group/a/b",
			       "/kumquat/resources/groups/a",
			       "/kumquat/terms/a",
			       "/kumquat/resources/host/.a" };
	kb_kind_t kind;
	kb_name_t name;

	for (const char *key : keys)
		EXPECT_EQ(KB_ERR_INVALID,
			  kb_resource_parse_key(kb_str_from(key), &kind, &name))
			<< key;
	EXPECT_EQ(KB_OK,
		  kb_resource_parse_key(KB_STR("/kumquat/resources/host/h1"),
					&kind, &name));
	EXPECT_EQ(KB_KIND_HOST, kind);
	EXPECT_STREQ("h1", name.data);
}

/* Returns a group with one target per letter, which is its name and port. */
static kb_spec_t group_of(const char *letters)
{
	kb_spec_t spec = {};

	spec.kind = KB_KIND_GROUP;
	for (const char *c = letters; *c; c++) {
		kb_target_spec_t *target =
			&spec.u.group.targets[spec.u.group.target_count++];

		kb_name_set(&target->name, (kb_str_t){ c, 1 });
		kb_name_set(&target->address, KB_STR("127.0.0.1"));
		target->port = (uint16_t)*c;
	}
	return spec;
}

TEST(Resource, AtMostOneTargetOfAGroupChangesAtATime)
{
	const struct {
		const char *before, *after;
		bool allowed;
	} cases[] = {
		{ "abc", "abc", true },	   { "abc", "cab", true },
		{ "abc", "abcd", true },   { "abcd", "abc", true },
		{ "abc", "abd", false },   { "abc", "abcde", false },
		{ "abcde", "abc", false }, { "abc", "de", false },
	};

	for (const auto &c : cases) {
		kb_spec_t before = group_of(c.before);
		kb_spec_t after = group_of(c.after);
		kb_fault_t fault = {};

		EXPECT_EQ(c.allowed ? KB_OK : KB_ERR_INVALID,
			  kb_spec_check_change(&before, &after, &fault))
			<< c.before << " to " << c.after;
		EXPECT_STREQ(c.allowed ? "" : "spec.targets", fault.path);
	}
}

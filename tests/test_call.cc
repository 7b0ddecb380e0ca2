#include "call.h"

#include <gtest/gtest.h>
#include <string>

class Call : public testing::Test
{
      protected:
	kb_catalog_t catalog;
	kb_call_t call;
	kb_fault_t fault = {};

	void SetUp() override
	{
		kb_resource_t resource = {};

		kb_catalog_init(&catalog);
		resource.kind = KB_KIND_TRAFFIC_CLASS;
		kb_name_set(&resource.name, KB_STR("bulk"));
		resource.spec.u.traffic_class.name = resource.name;
		resource.spec.u.traffic_class.bulk = 1;
		ASSERT_EQ(KB_OK, kb_catalog_put(&catalog, &resource));
		resource = {};
		resource.kind = KB_KIND_READ_KIND;
		kb_name_set(&resource.name, KB_STR("bench"));
		resource.spec.u.read_kind.name = resource.name;
		resource.spec.u.read_kind.max_age = 2 * KB_NS_PER_S;
		kb_name_set(&resource.spec.u.read_kind.traffic_class,
			    KB_STR("bulk"));
		ASSERT_EQ(KB_OK, kb_catalog_put(&catalog, &resource));
		ASSERT_EQ(KB_OK, kb_call_init(&call));
		call.args.action = KBX_ACTION_WRITE;
	}

	void TearDown() override
	{
		kb_call_finish(&call);
		kb_catalog_finish(&catalog);
	}

	kb_result_t parse(const std::string &body)
	{
		kbx_action action = call.args.action;

		kb_call_finish(&call);
		EXPECT_EQ(KB_OK, kb_call_init(&call));
		call.args.action = action;
		fault = {};
		return kb_call_parse_body(&call, { body.data(), body.size() },
					  &catalog, &fault);
	}
};

static std::string params(size_t count)
{
	std::string text;

	for (size_t i = 0; i < count; i++)
		text += i ? ",\"x\"" : "\"x\"";
	return "{\"sql\":\"S\",\"params\":[" + text + "]}";
}

TEST_F(Call, MalformedBodiesAreRejected)
{
	const std::string longest(KBX_TEXT_MAX, 's');
	struct {
		std::string body;
		const char *field;
	} cases[] = {
		{ "", "" },
		{ "{", "" },
		{ "[]", "" },
		{ "null", "" },
		{ "{\"sql\":\"S\"} x", "" },
		{ "{\"sql\":\"S\",\"sql\":\"T\"}", "" },
		{ std::string("{\"sql\":\"S\0\"}", 13), "" },
		{ "{\"sql\":\"\xff\"}", "" },
		{ std::string(5000, '['), "" },
		{ "{}", "sql" },
		{ "{\"sql\":7}", "sql" },
		{ "{\"sql\":\"\"}", "sql" },
		{ "{\"sql\":\"S\\u0000\"}", "" },
		{ "{\"sql\":\"" + longest + "s\"}", "sql" },
		{ "{\"sql\":\"S\",\"prams\":[]}", "prams" },
		{ "{\"sql\":\"S\",\"params\":\"x\"}", "params" },
		{ "{\"sql\":\"S\",\"params\":null}", "params" },
		{ "{\"sql\":\"S\",\"params\":[7]}", "params" },
		{ "{\"sql\":\"S\",\"params\":[[]]}", "params" },
		{ "{\"sql\":\"S\",\"params\":[\"a\\u0000\"]}", "" },
		{ "{\"sql\":\"S\",\"params\":[\"" + longest + "s\"]}",
		  "params" },
		{ params(KBX_ITEMS_MAX + 1), "params" },
		{ "{\"sql\":\"S\",\"read\":\"none\"}", "read" },
		{ "{\"sql\":\"S\",\"read\":7}", "read" },
		{ "{\"sql\":\"S\",\"class\":\"none\"}", "class" },
		{ "{\"sql\":\"S\",\"class\":[]}", "class" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.body.substr(0, 80));
		EXPECT_EQ(KB_ERR_INVALID, parse(c.body));
		EXPECT_STREQ(c.field, fault.path);
		EXPECT_NE(0, fault.message[0]);
	}
}

TEST_F(Call, StatementIsParsedWithItsParameters)
{
	ASSERT_EQ(KB_OK, parse("{\"sql\":\"S $1\",\"params\":[\"\",null,"
			       "\"x\"],\"class\":\"bulk\"}"))
		<< fault.message;
	ASSERT_EQ(1u, call.args.statements.statements_len);
	const kbx_statement &statement = call.args.statements.statements_val[0];

	EXPECT_STREQ("S $1", statement.sql);
	ASSERT_EQ(3u, statement.params.params_len);
	EXPECT_FALSE(statement.params.params_val[0].is_null);
	EXPECT_STREQ("", statement.params.params_val[0].text);
	EXPECT_TRUE(statement.params.params_val[1].is_null);
	EXPECT_STREQ("x", statement.params.params_val[2].text);
	EXPECT_STREQ("bulk", call.args.traffic_class);
	EXPECT_TRUE(call.bulk);
	EXPECT_EQ(KBX_ACTION_WRITE, call.args.action);
	EXPECT_EQ(KB_OK, parse(params(KBX_ITEMS_MAX)));
}

TEST_F(Call, ReadUsesAgeAndClassOfItsKind)
{
	ASSERT_EQ(KB_OK, parse("{\"sql\":\"S\",\"read\":\"bench\"}"));
	EXPECT_EQ(KBX_ACTION_READ, call.args.action);
	EXPECT_EQ(2000000, call.args.max_age_us);
	EXPECT_STREQ("bulk", call.args.traffic_class);
}

/* Bulk traffic, reads included, has lower priority between regions. */
TEST_F(Call, ReadOfABulkClassIsBulk)
{
	ASSERT_EQ(KB_OK, parse("{\"sql\":\"S\",\"read\":\"bench\"}"));
	EXPECT_TRUE(call.bulk);
}

TEST_F(Call, ReadKindIsRejectedInATransaction)
{
	call.args.action = KBX_ACTION_STATEMENT;
	EXPECT_EQ(KB_ERR_INVALID, parse("{\"sql\":\"S\",\"read\":\"bench\"}"));
	EXPECT_STREQ("read", fault.path);
}

TEST_F(Call, TransactionNamesAreParsed)
{
	const std::string longest(KB_NAME_MAX_BYTES, 'n');
	struct {
		std::string text;
		bool valid;
	} cases[] = {
		{ "h1~race-1-a~5f", true },
		{ longest + "~" + longest + "~" + longest, true },
		{ "", false },
		{ "h1", false },
		{ "h1~race-1-a", false },
		{ "~race-1-a~5f", false },
		{ "h1~~5f", false },
		{ "h1~race-1-a~", false },
		{ "~~", false },
		{ longest + "n~a~b", false },
		{ "a~" + longest + "n~b", false },
		{ "a~b~" + longest + "n", false },
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.valid ? KB_OK : KB_ERR_INVALID,
			  kb_call_parse_transaction(
				  &call, { c.text.data(), c.text.size() }))
			<< c.text;
}

#include "store_json.h"

#include <gtest/gtest.h>
#include <cstdlib>
#include <string>

/* Returns a copy of `text` and frees `text`. */
static std::string owned(char *text)
{
	std::string copy = text ? text : "";

	free(text);
	return copy;
}

TEST(StoreJson, RequestsAreInTheGatewaysFormat)
{
	kb_store_keys_t one = { KB_STR("/a"), 0, 0 };
	kb_store_keys_t all = { KB_STR("/a/"), 1, 0 };
	kb_store_keys_t high = { KB_STR("a\xff\xff"), 1, 0 };
	kb_store_keys_t every = { KB_STR(""), 1, 0 };
	kb_store_write_t create = { KB_STR("/a"), KB_STR(""), {}, 0, 0, 0 };
	kb_store_write_t write = { KB_STR("/a"), KB_STR("v"), {}, 0, 7, 3 };
	kb_store_write_t any = { KB_STR("/a"), {}, {}, 0, KB_STORE_ANY, 0 };
	kb_store_write_t recorded = { KB_STR("/a"),  KB_STR("v"),
				      KB_STR("/a/"), 0,
				      KB_STORE_ANY,  0 };

	EXPECT_EQ("{\"key\":\"L2E=\"}", owned(kb_store_json_get(&one)));
	EXPECT_EQ("{\"key\":\"L2Ev\",\"range_end\":\"L2Ew\"}",
		  owned(kb_store_json_get(&all)));
	EXPECT_EQ("{\"key\":\"Yf//\",\"range_end\":\"Yg==\"}",
		  owned(kb_store_json_get(&high)));
	EXPECT_EQ("{\"key\":\"AA==\",\"range_end\":\"AA==\"}",
		  owned(kb_store_json_get(&every)));
	EXPECT_EQ("{\"create_request\":{\"key\":\"L2Ev\",\"range_end\":"
		  "\"L2Ew\",\"start_revision\":\"18\"}}",
		  owned(kb_store_json_watch(&all, 17)));
	EXPECT_EQ("{\"compare\":[{\"key\":\"L2E=\",\"target\":\"MOD\","
		  "\"result\":\"EQUAL\",\"mod_revision\":\"7\"}],\"success\":"
		  "[{\"request_put\":{\"key\":\"L2E=\",\"value\":\"dg==\","
		  "\"lease\":\"3\"}}],\"failure\":[{\"request_range\":"
		  "{\"key\":\"L2E=\"}}]}",
		  owned(kb_store_json_put(&write)));
	EXPECT_EQ("{\"compare\":[],\"success\":[{\"request_delete_range\":"
		  "{\"key\":\"L2E=\"}}],\"failure\":[{\"request_range\":"
		  "{\"key\":\"L2E=\"}}]}",
		  owned(kb_store_json_remove(&any)));
	EXPECT_EQ("{\"compare\":[],\"success\":[{\"request_delete_range\":"
		  "{\"key\":\"L2E=\"}},{\"request_put\":{\"key\":\"L2Ev\","
		  "\"value\":\"dg==\"}}],\"failure\":[{\"request_range\":"
		  "{\"key\":\"L2E=\"}}]}",
		  owned(kb_store_json_remove(&recorded)));
	create.record = KB_STR("/a/");
	create.record_expected = 4;
	EXPECT_EQ("{\"compare\":[{\"key\":\"L2E=\",\"target\":\"MOD\","
		  "\"result\":\"EQUAL\",\"mod_revision\":\"0\"},"
		  "{\"key\":\"L2Ev\",\"target\":\"MOD\","
		  "\"result\":\"EQUAL\",\"mod_revision\":\"4\"}],"
		  "\"success\":[{\"request_put\":{\"key\":\"L2E=\","
		  "\"value\":\"\"}}],\"failure\":[{\"request_range\":"
		  "{\"key\":\"L2E=\"}}]}",
		  owned(kb_store_json_put(&create)));
	EXPECT_EQ("{\"TTL\":\"2\"}",
		  owned(kb_store_json_lease_grant(1500 * KB_NS_PER_MS)));
}

TEST(StoreJson, MalformedAnswersAreRefused)
{
	const std::string cases[] = {
		"",
		"null",
		"[]",
		"{}",
		"{\"header\":7}",
		"{\"header\":{\"revision\":\"0\"}}",
		"{\"header\":{\"revision\":\"x\"}}",
		"{\"result\":{}}",
		"{\"error\":\"down\",\"header\":{}}",
		"{\"header\":{\"revision\":\"5\"},\"kvs\":[{}]}",
		"{\"header\":{\"revision\":\"5\"},\"kvs\":[7]}",
		"{\"header\":{\"revision\":\"5\"},\"kvs\":[{\"key\":\"L2E=\"}]"
		"}",
		"{\"header\":{\"revision\":\"5\"},\"kvs\":[{\"key\":\"*\","
		"\"mod_revision\":\"5\"}]}",
		"{\"header\":{\"revision\":\"5\"},\"kvs\":[{\"key\":\"L2E=\","
		"\"mod_revision\":\"5\",\"value\":9}]}",
	};

	for (const auto &text : cases) {
		kb_store_json_t json;

		EXPECT_EQ(KB_ERR_PROTOCOL,
			  kb_store_json_parse_range(
				  &json, { text.data(), text.size() }))
			<< text;
	}
	for (const char *text : { "{\"ID\":\"0\"}", "{\"result\":{}}",
				  "{\"ID\":\"1\",\"TTL\":\"99999999999\"}" }) {
		kb_store_json_t json;

		EXPECT_EQ(KB_ERR_PROTOCOL,
			  kb_store_json_parse_lease(&json, kb_str_from(text)))
			<< text;
	}
}

TEST(StoreJson, CorruptMessagesAreHandled)
{
	std::string message =
		"{\"result\":{\"header\":{\"revision\":\"9\"},\"events\":["
		"{\"kv\":{\"key\":\"L2E=\",\"mod_revision\":\"8\",\"value\":"
		"\"dg==\"}},{\"type\":\"DELETE\",\"kv\":{\"key\":\"L2I=\","
		"\"mod_revision\":\"9\"}}]}}";
	kb_store_json_t json;

	ASSERT_EQ(KB_OK, kb_store_json_parse_watch(
				 &json, { message.data(), message.size() }));
	ASSERT_EQ(2u, json.count);
	EXPECT_FALSE(json.entries[0].deleted);
	EXPECT_TRUE(json.entries[1].deleted);
	EXPECT_TRUE(kb_str_equal(KB_STR("/b"), json.entries[1].key));
	kb_store_json_finish(&json);
	for (size_t i = 0; i < message.size(); i++) {
		for (char c : { '\0', '"', '}', '9', '=', '\xff' }) {
			std::string corrupt = message;

			corrupt[i] = c;
			if (kb_store_json_parse_watch(
				    &json, { corrupt.data(),
					     corrupt.size() }) == KB_OK)
				kb_store_json_finish(&json);
		}
		EXPECT_EQ(KB_ERR_PROTOCOL,
			  kb_store_json_parse_watch(&json,
						    { message.data(), i }));
	}
}

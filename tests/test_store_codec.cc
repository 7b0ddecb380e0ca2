#include "base64.h"
#include "store_codec.h"

#include <gtest/gtest.h>
#include <string>

TEST(StoreCodec, GathersPagesAndTheirLeastRevision)
{
	kb_store_items_t items = {};

	ASSERT_EQ(
		KB_OK,
		kb_store_codec_decode_range(
			&items,
			KB_STR(
				R"({"items": [{"key": "a", "value": "bm9kZS0x", "revision": 4,
		"created": 2, "lease": 0}], "has_more": true,
		"current_rev": 9})")));
	EXPECT_TRUE(items.has_more);
	ASSERT_EQ(
		KB_OK,
		kb_store_codec_decode_range(
			&items,
			KB_STR(
				R"({"items": [{"key": "b", "value": "", "revision": 5}],
		"has_more": false, "current_rev": 12})")));
	EXPECT_FALSE(items.has_more);
	EXPECT_EQ(9, items.revision);
	ASSERT_EQ(2u, items.count);
	EXPECT_TRUE(kb_str_equal(KB_STR("node-1"), items.entries[0].value));
	EXPECT_EQ(0u, items.entries[1].value.len);
	kb_store_items_finish(&items);
}

TEST(StoreCodec, EventsTellDeletionsWithoutAValue)
{
	kb_store_items_t items = {};

	ASSERT_EQ(
		KB_OK,
		kb_store_codec_decode_events(
			&items,
			KB_STR(
				R"({"events": [{"key": "a", "revision": 413, "deleted": true}],
		"current_rev": 413})")));
	ASSERT_EQ(1u, items.count);
	EXPECT_TRUE(items.entries[0].deleted);
	EXPECT_EQ(413, items.entries[0].revision);
	kb_store_items_finish(&items);
}

TEST(StoreCodec, FaultyAnswersAreProtocolErrors)
{
	for (const char *text :
	     { "", "[]", "{}", R"({"items": {}, "current_rev": 1})",
	       R"({"items": []})", R"({"items": [], "current_rev": "1"})",
	       R"({"items": [{"key": "a"}], "current_rev": 1})",
	       R"({"items": [{"key": 1, "value": "", "revision": 1}],
		   "current_rev": 1})",
	       R"({"items": [{"key": "a", "value": "*", "revision": 1}],
		   "current_rev": 1})",
	       R"({"items": [{"key": "a", "value": "QQ", "revision": 1}],
		   "current_rev": 1})" }) {
		kb_store_items_t items = {};

		EXPECT_EQ(KB_ERR_PROTOCOL, kb_store_codec_decode_range(
						   &items, kb_str_from(text)))
			<< text;
		kb_store_items_finish(&items);
	}
}

TEST(StoreCodec, AWriteCarriesItsConditionOnlyIfItHasOne)
{
	kb_store_write_t write = {};
	char *text;

	write.key = KB_STR("k");
	write.value = KB_STR("v");
	write.expected = 0;
	text = kb_store_codec_encode_write(&write, 0);
	EXPECT_STREQ("{\"expect\":[{\"key\":\"k\",\"revision\":0}],"
		     "\"writes\":[{\"key\":\"k\",\"value\":\"dg==\","
		     "\"lease\":0}],\"remove\":[]}",
		     text);
	free(text);
	write.expected = KB_STORE_ANY;
	text = kb_store_codec_encode_write(&write, 1);
	EXPECT_STREQ("{\"expect\":[],\"writes\":[],\"remove\":[\"k\"]}", text);
	free(text);
}

TEST(StoreCodec, AnyBytesSurviveBase64)
{
	for (size_t len : { 0, 1, 2, 3, 4, 255 }) {
		std::string bytes(len, '\0');
		char *text;
		char *back = nullptr;
		size_t back_len = 0;

		for (size_t i = 0; i < len; i++)
			bytes[i] = (char)(i * 37);
		text = kb_base64_encode({ bytes.data(), bytes.size() });
		ASSERT_EQ(KB_OK, kb_base64_decode(kb_str_from(text), &back,
						  &back_len));
		EXPECT_EQ(bytes, std::string(back, back_len));
		free(text);
		free(back);
	}
}

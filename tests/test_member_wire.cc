#include "fake_fleet.h"

#include <gtest/gtest.h>

static kb_member_message_t make_message(size_t records, size_t buckets)
{
	kb_member_message_t message;

	kb_member_message_init(&message);
	message.type = KB_MEMBER_SYNC_REPLY;
	message.sequence = 77;
	message.more = true;
	message.from = FakeFleet::record_of(1, 9);
	kb_name_set(&message.to, KB_STR("h2"));
	kb_name_set(&message.subject, KB_STR("h3"));
	message.record_count = records;
	for (size_t i = 0; i < records; i++)
		message.records[i] = FakeFleet::record_of(i, i);
	message.bucket_count = buckets;
	for (size_t i = 0; i < buckets; i++)
		message.buckets[i] = (uint32_t)(i * 7);
	return message;
}

static std::string encode(const kb_member_message_t &message)
{
	char buffer[KB_MEMBER_MESSAGE_MAX_BYTES * 4];
	size_t len = 0;

	EXPECT_EQ(KB_OK, kb_member_wire_encode(&message, buffer, sizeof(buffer),
					       &len));
	EXPECT_EQ(len, kb_member_wire_size(&message));
	return std::string(buffer, len);
}

static kb_result_t decode(const std::string &bytes)
{
	kb_member_message_t message;

	/* A copy of exactly this size lets the sanitizer detect an overrun. */
	std::vector<char> copy(bytes.begin(), bytes.end());

	return kb_member_wire_decode(&message, copy.data(), copy.size());
}

TEST(MemberWire, KeepsAllFields)
{
	kb_member_message_t message = make_message(3, KB_MEMBER_BUCKET_COUNT);
	kb_member_message_t copy;
	std::string bytes = encode(message);

	ASSERT_EQ(KB_OK,
		  kb_member_wire_decode(&copy, bytes.data(), bytes.size()));
	EXPECT_EQ(message.type, copy.type);
	EXPECT_EQ(message.sequence, copy.sequence);
	EXPECT_TRUE(copy.more);
	EXPECT_TRUE(kb_name_is(&copy.subject, KB_STR("h3")));
	ASSERT_EQ(3u, copy.record_count);
	EXPECT_TRUE(kb_name_is(&copy.records[2].region, KB_STR("e")));
	EXPECT_EQ(2u, copy.records[2].instance);
	EXPECT_EQ(7000, copy.records[2].port);
	EXPECT_EQ(0,
		  memcmp(message.buckets, copy.buckets, sizeof(copy.buckets)));
}

TEST(MemberWire, RefusesMessagesThatAreTooLarge)
{
	kb_member_message_t message = make_message(2, 0);
	char buffer[64];
	size_t len;

	EXPECT_EQ(
		KB_ERR_TOO_LARGE,
		kb_member_wire_encode(&message, buffer, sizeof(buffer), &len));
	message.record_count = KB_MEMBER_RECORDS_MAX + 1;
	EXPECT_EQ(
		KB_ERR_TOO_LARGE,
		kb_member_wire_encode(&message, buffer, sizeof(buffer), &len));
	EXPECT_EQ(KB_ERR_PROTOCOL,
		  decode(std::string(KB_MEMBER_MESSAGE_MAX_BYTES + 1, '\0')));
}

struct Malformed {
	const char *name;
	std::function<void(kb_member_message_t *)> corrupt;
};

static const Malformed malformed[] = {
	{ "type", [](auto *m) { m->type = (kb_member_message_type_t)99; } },
	{ "type 0", [](auto *m) { m->type = (kb_member_message_type_t)0; } },
	{ "state",
	  [](auto *m) {
		  m->records[0].state =
			  (kb_member_state_t)KB_MEMBER_STATE_COUNT;
	  } },
	{ "empty name", [](auto *m) { m->records[1].name.len = 0; } },
	{ "NUL in a name", [](auto *m) { m->from.name.data[1] = '\0'; } },
	{ "few buckets", [](auto *m) { m->bucket_count = 5; } },
};

TEST(MemberWire, RefusesMalformedFields)
{
	for (const Malformed &fault : malformed) {
		kb_member_message_t message = make_message(3, 0);

		fault.corrupt(&message);
		EXPECT_EQ(KB_ERR_PROTOCOL, decode(encode(message)))
			<< fault.name;
	}
}

TEST(MemberWire, RefusesOtherVersionsAndTrailingBytes)
{
	std::string bytes = encode(make_message(1, 0));
	std::string other = bytes;

	other[3] = 9;
	EXPECT_EQ(KB_ERR_VERSION, decode(other));
	EXPECT_EQ(KB_ERR_PROTOCOL, decode(bytes + std::string(4, '\0')));
	EXPECT_EQ(KB_OK, decode(bytes));
}

TEST(MemberWire, SurvivesTruncatedAndRandomBytes)
{
	std::string bytes = encode(make_message(5, KB_MEMBER_BUCKET_COUNT));
	std::mt19937_64 random(1);

	for (size_t len = 0; len < bytes.size(); len++)
		EXPECT_EQ(KB_ERR_PROTOCOL, decode(bytes.substr(0, len)));
	for (int i = 0; i < 20000; i++) {
		std::string corrupted = bytes;

		for (int n = 0; n < 3; n++)
			corrupted[4 + random() % (corrupted.size() - 4)] =
				(char)random();
		decode(corrupted);
	}
}

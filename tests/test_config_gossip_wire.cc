#include "config_gossip_wire.h"

#include <gtest/gtest.h>
#include <random>
#include <string>
#include <vector>

static std::string encode(const kb_config_gossip_message_t &message)
{
	char *buffer;
	size_t len;

	EXPECT_EQ(KB_OK, kb_config_gossip_wire_encode(&message, &buffer, &len));
	std::string bytes(buffer, len);
	free(buffer);
	return bytes;
}

static kb_result_t decode(const std::string &bytes)
{
	kb_config_gossip_message_t message;
	std::vector<char> copy(bytes.begin(), bytes.end());
	kb_result_t result = kb_config_gossip_wire_decode(&message, copy.data(),
							  copy.size());

	if (!result)
		kb_config_gossip_message_finish(&message);
	return result;
}

TEST(ConfigGossipWire, RefusesMalformedMessages)
{
	kb_config_change_t change = { KB_STR("group"), KB_STR("a"), 4, false,
				      KB_STR("{\"x\": 1}") };
	kb_config_gossip_message_t message;
	std::mt19937_64 random(1);
	std::string good;

	kb_config_gossip_message_init(&message, KB_CONFIG_GOSSIP_PAGE);
	kb_name_set(&message.from, KB_STR("h1"));
	message.change_count = 1;
	message.changes = &change;
	message.lagging_count = 1;
	kb_name_set(&message.lagging[0].host, KB_STR("h2"));
	message.lagging[0].revision = 3;
	good = encode(message);
	EXPECT_EQ(KB_OK, decode(good));
	for (size_t len = 0; len < good.size(); len++)
		EXPECT_EQ(KB_ERR_PROTOCOL, decode(good.substr(0, len)));
	EXPECT_EQ(KB_ERR_PROTOCOL, decode(good + std::string(4, '\0')));
	for (int i = 0; i < 20000; i++) {
		std::string corrupt = good;

		corrupt[4 + random() % (good.size() - 4)] = (char)random();
		decode(corrupt);
	}
	message.from.len = 0;
	EXPECT_EQ(KB_ERR_PROTOCOL, decode(encode(message)));
	kb_name_set(&message.from, KB_STR("h1"));
	message.type = (kb_config_gossip_message_type_t)42;
	EXPECT_EQ(KB_ERR_PROTOCOL, decode(encode(message)));
	message.type = KB_CONFIG_GOSSIP_PAGE;
	change.revision = 0;
	EXPECT_EQ(KB_ERR_PROTOCOL, decode(encode(message)));
	change.revision = 4;
	change.name.len = 0;
	EXPECT_EQ(KB_ERR_PROTOCOL, decode(encode(message)));
	good[3] = 7;
	EXPECT_EQ(KB_ERR_VERSION, decode(good));
}

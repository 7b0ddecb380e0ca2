#include "token.h"

#include <gtest/gtest.h>
#include <sodium.h>
#include <string>

static const std::string SECRET_A(64, 'a');
static const std::string SECRET_B(64, 'b');

static kb_str_t str(const std::string &text)
{
	return { text.data(), text.size() };
}

struct Ring {
	kb_token_keyring_t ring;

	Ring(std::initializer_list<std::pair<uint32_t, std::string>> keys)
	{
		EXPECT_EQ(KB_OK, kb_token_keyring_init(&ring));
		for (const auto &key : keys)
			EXPECT_EQ(KB_OK, kb_token_keyring_add(&ring, key.first,
							      str(key.second)));
	}
	~Ring()
	{
		kb_token_keyring_finish(&ring);
	}
	std::string encode(const kb_session_t &session,
			   const std::string &caller = "loft") const
	{
		char text[KB_TOKEN_MAX_CHARS];
		size_t len = 0;

		EXPECT_EQ(KB_OK, kb_token_encode(&ring, str(caller), &session,
						 text, sizeof(text), &len));
		return std::string(text, len);
	}
	kb_result_t decode(const std::string &text, kb_session_t *session,
			   const std::string &caller = "loft") const
	{
		return kb_token_decode(&ring, str(caller), str(text), session);
	}
};

static kb_session_t two_groups()
{
	kb_session_t session = {};

	kb_session_update(&session, KB_STR("race-1"), { 3, 1000 });
	kb_session_update(&session, KB_STR("race-2"), { UINT64_MAX, 7 });
	return session;
}

/* Signs arbitrary bytes as the host would. */
static std::string forge(const std::string &secret, std::string body,
			 const std::string &caller = "loft")
{
	std::string covered =
		std::string(1, (char)caller.size()) + caller + body;
	unsigned char key[crypto_auth_KEYBYTES], mac[crypto_auth_BYTES];
	char text[KB_TOKEN_MAX_CHARS * 2];
	size_t len;

	sodium_hex2bin(key, sizeof(key), secret.data(), secret.size(), NULL,
		       &len, NULL);
	crypto_auth(mac, (const unsigned char *)covered.data(), covered.size(),
		    key);
	body.append((const char *)mac, sizeof(mac));
	sodium_bin2base64(text, sizeof(text),
			  (const unsigned char *)body.data(), body.size(),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	return text;
}

TEST(Session, KeepsTheHigherPointOfEachGroup)
{
	kb_session_t session = two_groups();

	EXPECT_EQ(KB_OK,
		  kb_session_update(&session, KB_STR("race-1"), { 2, 5000 }));
	EXPECT_EQ(1000u, kb_session_find(&session, KB_STR("race-1")).position);
	EXPECT_EQ(KB_OK,
		  kb_session_update(&session, KB_STR("race-1"), { 4, 900 }));
	EXPECT_EQ(900u, kb_session_find(&session, KB_STR("race-1")).position);
	EXPECT_EQ(0u, kb_session_find(&session, KB_STR("race-9")).position);
	EXPECT_EQ(KB_ERR_INVALID,
		  kb_session_update(&session, KB_STR(""), { 1, 1 }));
}

TEST(Session, RefusesOneGroupTooManyAndDropsNone)
{
	kb_session_t session = {};

	for (int i = 0; i < KB_SESSION_MAX_GROUPS; i++) {
		std::string group = "group-" + std::to_string(i);

		EXPECT_TRUE(kb_session_has_room(&session, str(group)));
		EXPECT_EQ(KB_OK,
			  kb_session_update(&session, str(group), { 1, 10 }));
	}
	EXPECT_FALSE(kb_session_has_room(&session, KB_STR("other")));
	EXPECT_TRUE(kb_session_has_room(&session, KB_STR("group-0")));
	EXPECT_EQ(KB_ERR_TOO_LARGE,
		  kb_session_update(&session, KB_STR("other"), { 1, 10 }));
	EXPECT_EQ(10u, kb_session_find(&session, KB_STR("group-0")).position);
	EXPECT_EQ(KB_OK,
		  kb_session_update(&session, KB_STR("group-0"), { 1, 11 }));
}

TEST(Token, AnyHostWithTheKeysReadsTheLargestToken)
{
	Ring one({ { 1, SECRET_A } }), other({ { 1, SECRET_A } });
	kb_session_t session = {}, copy;

	for (int i = 0; i < KB_SESSION_MAX_GROUPS; i++) {
		std::string group(KB_NAME_MAX_BYTES, (char)('a' + i));

		kb_session_update(&session, str(group),
				  { UINT64_MAX, UINT64_MAX - (uint64_t)i });
	}
	ASSERT_EQ(KB_OK, other.decode(one.encode(session), &copy));
	EXPECT_EQ(session.count, copy.count);
	for (size_t i = 0; i < session.count; i++)
		EXPECT_EQ(
			0,
			kb_point_compare(
				session.items[i].point,
				kb_session_find(
					&copy,
					kb_name_str(&session.items[i].group))));
}

TEST(Token, RotationVerifiesOldKeysUntilTheyAreRemoved)
{
	Ring old({ { 1, SECRET_A } });
	Ring both({ { 2, SECRET_B }, { 1, SECRET_A } });
	Ring after({ { 2, SECRET_B } });
	Ring swapped({ { 1, SECRET_B }, { 2, SECRET_A } });
	std::string text = old.encode(two_groups());
	kb_session_t session;

	EXPECT_EQ(KB_OK, both.decode(text, &session));
	EXPECT_EQ(KB_OK, after.decode(both.encode(session), &session));
	EXPECT_EQ(KB_ERR_TOKEN_INVALID, after.decode(text, &session));
	EXPECT_EQ(0u, session.count);
	EXPECT_EQ(KB_ERR_TOKEN_INVALID,
		  old.decode(both.encode(session), &session));
	EXPECT_EQ(KB_ERR_TOKEN_INVALID, swapped.decode(text, &session));
}

TEST(Token, EmptyTextIsAnEmptySession)
{
	Ring ring({ { 1, SECRET_A } });
	kb_session_t session = two_groups();

	EXPECT_EQ(KB_OK, ring.decode("", &session));
	EXPECT_EQ(0u, session.count);
}

TEST(Token, EveryChangedOrMissingByteIsRefused)
{
	Ring ring({ { 1, SECRET_A } });
	std::string text = ring.encode(two_groups());
	kb_session_t session;

	for (size_t i = 0; i < text.size(); i++) {
		std::string changed = text;

		changed[i] = changed[i] == 'A' ? 'B' : 'A';
		EXPECT_EQ(KB_ERR_TOKEN_INVALID, ring.decode(changed, &session))
			<< i;
		EXPECT_EQ(0u, session.count);
		if (!i)
			continue;
		EXPECT_EQ(KB_ERR_TOKEN_INVALID,
			  ring.decode(text.substr(0, i), &session))
			<< i;
	}
}

TEST(Token, ForeignAndMalformedTokensAreRefused)
{
	Ring ring({ { 1, SECRET_A } });
	std::string good = ring.encode(two_groups());
	std::string head("\1\0\0\0\1", 5), item("\1g\1\5", 4);
	std::string endless = "\1g" + std::string(10, '\xff') + "\1";
	std::string wide = "\1g" + std::string(9, '\xff') + "\2\1";
	struct {
		const char *name;
		std::string text;
		std::string caller;
		kb_result_t result;
	} cases[] = {
		{ "good", good, "loft", KB_OK },
		{ "signed here", forge(SECRET_A, head + "\1" + item), "loft",
		  KB_OK },
		{ "another caller", good, "other", KB_ERR_TOKEN_INVALID },
		{ "caller's prefix", good, "lof", KB_ERR_TOKEN_INVALID },
		{ "no caller", good, "", KB_ERR_TOKEN_INVALID },
		{ "long caller", good, std::string(300, 'l'),
		  KB_ERR_TOKEN_INVALID },
		{ "another secret", forge(SECRET_B, head + "\1" + item), "loft",
		  KB_ERR_TOKEN_INVALID },
		{ "padding", good + "=", "loft", KB_ERR_TOKEN_INVALID },
		{ "space", " " + good, "loft", KB_ERR_TOKEN_INVALID },
		{ "oversized", std::string(100000, 'A'), "loft",
		  KB_ERR_TOKEN_INVALID },
		{ "one character", "A", "loft", KB_ERR_TOKEN_INVALID },
		{ "header only", forge(SECRET_A, "\1"), "loft",
		  KB_ERR_TOKEN_INVALID },
		{ "version",
		  forge(SECRET_A, "\2" + head.substr(1) + "\1" + item), "loft",
		  KB_ERR_TOKEN_INVALID },
		{ "group missing", forge(SECRET_A, head + "\2" + item), "loft",
		  KB_ERR_TOKEN_INVALID },
		{ "group twice", forge(SECRET_A, head + "\2" + item + item),
		  "loft", KB_ERR_TOKEN_INVALID },
		{ "bytes left over", forge(SECRET_A, head + "\1" + item + "x"),
		  "loft", KB_ERR_TOKEN_INVALID },
		{ "name beyond the end", forge(SECRET_A, head + "\1\77g"),
		  "loft", KB_ERR_TOKEN_INVALID },
		{ "empty name",
		  forge(SECRET_A, head + std::string("\1\0\1\1", 4)), "loft",
		  KB_ERR_TOKEN_INVALID },
		{ "endless number", forge(SECRET_A, head + "\1" + endless),
		  "loft", KB_ERR_TOKEN_INVALID },
		{ "number over 64 bits", forge(SECRET_A, head + "\1" + wide),
		  "loft", KB_ERR_TOKEN_INVALID },
	};

	for (const auto &c : cases) {
		kb_session_t session = two_groups();

		EXPECT_EQ(c.result, ring.decode(c.text, &session, c.caller))
			<< c.name;
		EXPECT_EQ(c.result == KB_OK, session.count > 0) << c.name;
	}
}

TEST(Token, EncodeRefusesWhatItCannotHold)
{
	Ring none({}), ring({ { 1, SECRET_A } });
	kb_session_t session = two_groups();
	std::string caller(KB_NAME_MAX_BYTES + 1, 'c');
	char text[KB_TOKEN_MAX_CHARS];
	size_t len;

	EXPECT_EQ(KB_ERR_INVALID,
		  kb_token_encode(&none.ring, KB_STR("c"), &session, text,
				  sizeof(text), &len));
	EXPECT_EQ(KB_ERR_TOO_LARGE, kb_token_encode(&ring.ring, KB_STR("c"),
						    &session, text, 16, &len));
	EXPECT_EQ(KB_ERR_TOO_LARGE,
		  kb_token_encode(&ring.ring, str(caller), &session, text,
				  sizeof(text), &len));
}

TEST(TokenRing, RefusesMalformedKeys)
{
	Ring ring({ { 1, SECRET_A } });
	std::string bad = SECRET_A;

	bad[5] = 'x';
	EXPECT_EQ(KB_ERR_INVALID,
		  kb_token_keyring_add(&ring.ring, 1, str(SECRET_B)));
	EXPECT_EQ(KB_ERR_INVALID,
		  kb_token_keyring_add(&ring.ring, 2, str(bad)));
	EXPECT_EQ(KB_ERR_INVALID,
		  kb_token_keyring_add(&ring.ring, 2, str(SECRET_B.substr(1))));
	for (uint32_t id = 2; id <= KB_TOKEN_MAX_KEYS; id++)
		EXPECT_EQ(KB_OK,
			  kb_token_keyring_add(&ring.ring, id, str(SECRET_B)));
	EXPECT_EQ(KB_ERR_TOO_LARGE,
		  kb_token_keyring_add(&ring.ring, 99, str(SECRET_B)));
}

#include "idempotency_record.h"

#include <gtest/gtest.h>
#include <string>

static std::string id_of(const char *caller, const char *key)
{
	static const unsigned char
		digest[KB_IDEMPOTENCY_RECORD_DIGEST_BYTES] = {};
	kb_idempotency_record_t record;
	std::string id;

	kb_idempotency_record_init(&record, kb_str_from(caller),
				   kb_str_from(key), digest);
	id = record.id;
	kb_idempotency_record_finish(&record);
	return id;
}

TEST(RequestRecord, EachCallersKeysAreItsOwn)
{
	EXPECT_EQ(id_of("a", "k1"), id_of("a", "k1"));
	EXPECT_NE(id_of("a", "k1"), id_of("b", "k1"));
	EXPECT_NE(id_of("a", "k1"), id_of("a", "k2"));
	/* The border between caller and key counts. */
	EXPECT_NE(id_of("ab", "c"), id_of("a", "bc"));
	EXPECT_NE(id_of("", "abc"), id_of("abc", ""));
}

#include "account.h"

#include <sodium.h>
#include <strings.h>

#define SCHEME "Bearer "
#define HASH_BYTES 32

static void hash(unsigned char out[HASH_BYTES], const char *data, size_t len)
{
	crypto_generichash(out, HASH_BYTES, (const unsigned char *)data, len,
			   NULL, 0);
}

size_t kb_account_find(const kb_settings_account_t *accounts, size_t count,
		       const char *authorization)
{
	unsigned char given[HASH_BYTES], expected[HASH_BYTES];
	size_t found = count;

	if (!authorization ||
	    strncasecmp(authorization, SCHEME, sizeof(SCHEME) - 1))
		return count;
	authorization += sizeof(SCHEME) - 1;
	hash(given, authorization, strlen(authorization));
	for (size_t i = 0; i < count; i++) {
		hash(expected, accounts[i].secret, accounts[i].secret_len);
		if (!sodium_memcmp(given, expected, HASH_BYTES))
			found = i;
	}
	return found;
}

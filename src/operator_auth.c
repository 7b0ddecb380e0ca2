#include "operator_auth.h"
#include "fields.h"

#include <sodium.h>
#include <strings.h>

#define SCHEME "Bearer "

void kb_operator_auth_init(kb_operator_auth_t *auth)
{
	memset(auth, 0, sizeof(*auth));
}

static void digest_of(unsigned char digest[KB_OPERATOR_AUTH_DIGEST_BYTES],
		      kb_str_t token)
{
	crypto_generichash(digest, KB_OPERATOR_AUTH_DIGEST_BYTES,
			   (const unsigned char *)token.data, token.len, NULL,
			   0);
}

kb_result_t kb_operator_auth_add(kb_operator_auth_t *auth, kb_str_t name,
				 kb_operator_role_t role, kb_str_t token)
{
	kb_operator_identity_t *identity;

	if (!kb_fields_is_name(name) ||
	    token.len < KB_OPERATOR_AUTH_TOKEN_MIN_BYTES)
		return KB_ERR_INVALID;
	if (auth->count == KB_OPERATOR_AUTH_MAX_TOKENS)
		return KB_ERR_TOO_LARGE;
	identity = &auth->identities[auth->count++];
	kb_name_set(&identity->name, name);
	identity->role = role;
	digest_of(identity->digest, token);
	return KB_OK;
}

const kb_operator_identity_t *
kb_operator_auth_check(const kb_operator_auth_t *auth, const char *header)
{
	const kb_operator_identity_t *found = NULL;
	unsigned char digest[KB_OPERATOR_AUTH_DIGEST_BYTES];
	size_t scheme_len = sizeof(SCHEME) - 1;

	if (!header || strncasecmp(header, SCHEME, scheme_len) != 0)
		return NULL;
	digest_of(digest, kb_str_from(header + scheme_len));
	for (size_t i = 0; i < auth->count; i++)
		if (!sodium_memcmp(digest, auth->identities[i].digest,
				   sizeof(digest)))
			found = &auth->identities[i];
	return found;
}

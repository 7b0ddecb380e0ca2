#ifndef KB_OPERATOR_AUTH_H
#define KB_OPERATOR_AUTH_H

#include "str.h"

KB_BEGIN_DECLS

enum {
	KB_OPERATOR_AUTH_MAX_TOKENS = 32,
	KB_OPERATOR_AUTH_DIGEST_BYTES = 32,
	KB_OPERATOR_AUTH_TOKEN_MIN_BYTES = 16,
};

/* What the bearer of a token may do. */
typedef enum kb_operator_role {
	KB_OPERATOR_READ,
	/* Includes reading. */
	KB_OPERATOR_WRITE,
} kb_operator_role_t;

/* An operator; the token itself is not kept. */
typedef struct kb_operator_identity {
	kb_name_t name;
	kb_operator_role_t role;
	unsigned char digest[KB_OPERATOR_AUTH_DIGEST_BYTES];
} kb_operator_identity_t;

/* The operators that the settings name. */
typedef struct kb_operator_auth {
	size_t count;
	kb_operator_identity_t identities[KB_OPERATOR_AUTH_MAX_TOKENS];
} kb_operator_auth_t;

/* Starts without operators. */
void kb_operator_auth_init(kb_operator_auth_t *auth);

/*
 * Adds an operator. Returns KB_ERR_INVALID if the name is not an identifier
 * or the token is short, KB_ERR_TOO_LARGE if there are too many.
 */
kb_result_t kb_operator_auth_add(kb_operator_auth_t *auth, kb_str_t name,
				 kb_operator_role_t role, kb_str_t token);

/*
 * Identifies the bearer of an Authorization header, which may be NULL, in a
 * time that does not depend on the tokens. Returns NULL if there is none.
 */
const kb_operator_identity_t *
kb_operator_auth_check(const kb_operator_auth_t *auth, const char *header);

KB_END_DECLS

#endif

#ifndef KB_ACCOUNT_H
#define KB_ACCOUNT_H

#include "str.h"

KB_BEGIN_DECLS

#define KB_ACCOUNT_DIGEST_BYTES 32

/* What the bearer of a token may do. */
typedef enum kb_account_role {
	KB_ACCOUNT_READ,
	/* Includes reading. */
	KB_ACCOUNT_WRITE,
} kb_account_role_t;

/* A caller or operator; the token itself is not kept. */
typedef struct kb_account {
	kb_name_t name;
	kb_account_role_t role;
	unsigned char digest[KB_ACCOUNT_DIGEST_BYTES];
} kb_account_t;

/* The callers or the operators that the settings name. */
typedef struct kb_accounts {
	kb_account_t *accounts;
	size_t count;
} kb_accounts_t;

/* Starts without accounts. */
void kb_accounts_init(kb_accounts_t *accounts);

void kb_accounts_finish(kb_accounts_t *accounts);

/*
 * Adds an account. Returns KB_ERR_INVALID if the name is too long or the
 * token is empty, or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_accounts_add(kb_accounts_t *accounts, kb_str_t name,
			    kb_account_role_t role, kb_str_t token);

/*
 * Identifies the bearer of an Authorization header, which may be NULL, in a
 * time that does not depend on the tokens. Returns NULL if there is none.
 */
const kb_account_t *kb_accounts_find(const kb_accounts_t *accounts,
				     const char *authorization);

KB_END_DECLS

#endif

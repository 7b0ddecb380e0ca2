#ifndef KB_ACCOUNT_H
#define KB_ACCOUNT_H

#include "str.h"

KB_BEGIN_DECLS

#define KB_ACCOUNT_DIGEST_BYTES 32

/* What an authenticated caller or operator may do. */
typedef enum kb_account_role {
	KB_ACCOUNT_READ,
	/* Includes reading. */
	KB_ACCOUNT_WRITE,
} kb_account_role_t;

/* A caller or operator. Only a digest of its token is stored. */
typedef struct kb_account {
	kb_name_t name;
	kb_account_role_t role;
	unsigned char digest[KB_ACCOUNT_DIGEST_BYTES];
} kb_account_t;

/* The callers, or the operators, that the settings define. */
typedef struct kb_accounts {
	kb_account_t *accounts;
	size_t count;
} kb_accounts_t;

/* Initializes an empty list. */
void kb_accounts_init(kb_accounts_t *accounts);

void kb_accounts_finish(kb_accounts_t *accounts);

/*
 * Adds an account. Returns KB_ERR_INVALID if the name is too long or the
 * token is empty, or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_accounts_add(kb_accounts_t *accounts, kb_str_t name,
			    kb_account_role_t role, kb_str_t token);

/*
 * Returns the account whose bearer token the Authorization header contains, or
 * NULL. `authorization` may be NULL. Digests are compared in constant time, so
 * that the duration reveals nothing about the tokens.
 */
const kb_account_t *kb_accounts_find(const kb_accounts_t *accounts,
				     const char *authorization);

KB_END_DECLS

#endif

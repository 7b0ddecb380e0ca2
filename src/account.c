#include "account.h"

#include <sodium.h>
#include <stdlib.h>
#include <strings.h>

#define SCHEME "Bearer "

void kb_accounts_init(kb_accounts_t *accounts)
{
	memset(accounts, 0, sizeof(*accounts));
}

void kb_accounts_finish(kb_accounts_t *accounts)
{
	free(accounts->accounts);
	kb_accounts_init(accounts);
}

static void compute_digest(unsigned char digest[KB_ACCOUNT_DIGEST_BYTES],
			   kb_str_t token)
{
	crypto_generichash(digest, KB_ACCOUNT_DIGEST_BYTES,
			   (const unsigned char *)token.data, token.len, NULL,
			   0);
}

kb_result_t kb_accounts_add(kb_accounts_t *accounts, kb_str_t name,
			    kb_account_role_t role, kb_str_t token)
{
	kb_account_t *account;
	kb_name_t checked;

	if (!name.len || kb_name_set(&checked, name) || !token.len)
		return KB_ERR_INVALID;
	account = realloc(accounts->accounts,
			  (accounts->count + 1) * sizeof(*account));
	if (!account)
		return KB_ERR_NO_MEMORY;
	accounts->accounts = account;
	account += accounts->count++;
	account->name = checked;
	account->role = role;
	compute_digest(account->digest, token);
	return KB_OK;
}

const kb_account_t *kb_accounts_find(const kb_accounts_t *accounts,
				     const char *authorization)
{
	unsigned char digest[KB_ACCOUNT_DIGEST_BYTES];
	const kb_account_t *found = NULL;
	size_t scheme_len = sizeof(SCHEME) - 1;

	if (!authorization || strncasecmp(authorization, SCHEME, scheme_len))
		return NULL;
	compute_digest(digest, kb_str_from(authorization + scheme_len));
	for (size_t i = 0; i < accounts->count; i++)
		if (!sodium_memcmp(digest, accounts->accounts[i].digest,
				   sizeof(digest)))
			found = &accounts->accounts[i];
	return found;
}

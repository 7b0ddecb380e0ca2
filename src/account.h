#ifndef KB_ACCOUNT_H
#define KB_ACCOUNT_H

#include "settings.h"

KB_BEGIN_DECLS

/*
 * Returns the index of the account whose secret the value of an Authorization
 * header presents as a bearer token, or `count`. Takes the same time whichever
 * account it is.
 */
size_t kb_account_find(const kb_settings_account_t *accounts, size_t count,
		       const char *authorization);

KB_END_DECLS

#endif

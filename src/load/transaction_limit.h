#ifndef KB_TRANSACTION_LIMIT_H
#define KB_TRANSACTION_LIMIT_H

#include "str.h"

KB_BEGIN_DECLS

/*
 * Limits the transactions that are open on a target at a time, in total and for
 * each caller, so that stalled transactions do not use up the connections.
 */

/* A transaction, embedded in its owner and zeroed. All fields are private. */
typedef struct kb_limited_transaction {
	struct kb_limited_transaction *prev;
	struct kb_limited_transaction *next;
	kb_name_t caller;
	int open;
} kb_limited_transaction_t;

typedef struct kb_transaction_limit {
	unsigned limit;
	unsigned caller_limit;
	unsigned open;
	kb_limited_transaction_t *first;
} kb_transaction_limit_t;

/* Returns non-zero if `caller` may open another transaction. */
int kb_transaction_limit_allows(const kb_transaction_limit_t *limit,
				const kb_name_t *caller);

/* Counts `transaction` as open until kb_transaction_limit_close(). */
void kb_transaction_limit_open(kb_transaction_limit_t *limit,
			       kb_limited_transaction_t *transaction,
			       const kb_name_t *caller);

/* Ends the count of an open transaction. Returns 0 if it is not open. */
int kb_transaction_limit_close(kb_transaction_limit_t *limit,
			       kb_limited_transaction_t *transaction);

KB_END_DECLS

#endif

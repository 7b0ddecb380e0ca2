#ifndef KB_TRANSACTION_H
#define KB_TRANSACTION_H

#include "load/admission.h"
#include "exec.h"
#include "load/pool.h"

KB_BEGIN_DECLS

/* Size of the random id of a transaction with its final NUL. */
#define KB_TRANSACTION_ID_BYTES 33

/* A transaction that spans several requests and holds one connection. */
typedef struct kb_transaction {
	char id[KB_TRANSACTION_ID_BYTES];
	kb_name_t caller;
	kb_limited_transaction_t admission;
	/* NULL before the transaction is open and after a rollback. */
	kb_pool_connection_t *connection;
	/* A request of the transaction is running or queued. */
	int busy;
	/* Digest of the statements so far. */
	unsigned char digest[KB_EXEC_DIGEST_BYTES];
	struct kb_transaction *next;
} kb_transaction_t;

/* The transactions that are open at one target's gate. */
typedef struct kb_transactions {
	kb_transaction_t *first;
	size_t count;
} kb_transactions_t;

/* Adds a transaction of `caller` with a new id, or returns NULL. */
kb_transaction_t *kb_transactions_add(kb_transactions_t *transactions,
				      kb_str_t caller);

/* Returns the transaction `id` if `caller` began it, else NULL. */
kb_transaction_t *kb_transactions_find(const kb_transactions_t *transactions,
				       kb_str_t id, kb_str_t caller);

/* Returns the transaction that holds `connection`, or NULL. */
kb_transaction_t *
kb_transactions_find_by_connection(const kb_transactions_t *transactions,
				   const kb_pool_connection_t *connection);

/* Removes and frees a transaction. */
void kb_transactions_remove(kb_transactions_t *transactions,
			    kb_transaction_t *transaction);

KB_END_DECLS

#endif

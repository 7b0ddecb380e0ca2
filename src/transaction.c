#include "transaction.h"

#include <sodium.h>
#include <stdlib.h>

#define ID_RANDOM_BYTES 16

kb_transaction_t *kb_transactions_add(kb_transactions_t *transactions,
				      kb_str_t caller)
{
	unsigned char random[ID_RANDOM_BYTES];
	kb_transaction_t *transaction = calloc(1, sizeof(*transaction));

	if (!transaction)
		return NULL;
	if (kb_name_set(&transaction->caller, caller)) {
		free(transaction);
		return NULL;
	}
	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(transaction->id, sizeof(transaction->id), random,
		       sizeof(random));
	transaction->next = transactions->first;
	transactions->first = transaction;
	transactions->count++;
	return transaction;
}

kb_transaction_t *kb_transactions_find(const kb_transactions_t *transactions,
				       kb_str_t id, kb_str_t caller)
{
	kb_transaction_t *found = transactions->first;

	while (found && !(kb_str_equal(kb_str_from(found->id), id) &&
			  kb_name_is(&found->caller, caller)))
		found = found->next;
	return found;
}

kb_transaction_t *
kb_transactions_find_by_connection(const kb_transactions_t *transactions,
				   const kb_pool_connection_t *connection)
{
	kb_transaction_t *found = transactions->first;

	while (found && found->connection != connection)
		found = found->next;
	return found;
}

void kb_transactions_remove(kb_transactions_t *transactions,
			    kb_transaction_t *transaction)
{
	kb_transaction_t **link = &transactions->first;

	while (*link && *link != transaction)
		link = &(*link)->next;
	if (!*link)
		return;
	*link = transaction->next;
	transactions->count--;
	free(transaction);
}

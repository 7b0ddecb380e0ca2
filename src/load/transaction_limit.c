#include "transaction_limit.h"

int kb_transaction_limit_allows(const kb_transaction_limit_t *limit,
				const kb_name_t *caller)
{
	const kb_limited_transaction_t *open = limit->first;
	unsigned count = 0;

	if (limit->open >= limit->limit)
		return 0;
	for (; open; open = open->next)
		if (kb_name_is(&open->caller, kb_name_str(caller)))
			count++;
	return count < limit->caller_limit;
}

void kb_transaction_limit_open(kb_transaction_limit_t *limit,
			       kb_limited_transaction_t *transaction,
			       const kb_name_t *caller)
{
	transaction->caller = *caller;
	transaction->open = 1;
	transaction->prev = NULL;
	transaction->next = limit->first;
	if (transaction->next)
		transaction->next->prev = transaction;
	limit->first = transaction;
	limit->open++;
}

int kb_transaction_limit_close(kb_transaction_limit_t *limit,
			       kb_limited_transaction_t *transaction)
{
	if (!transaction->open)
		return 0;
	if (transaction->prev)
		transaction->prev->next = transaction->next;
	else
		limit->first = transaction->next;
	if (transaction->next)
		transaction->next->prev = transaction->prev;
	memset(transaction, 0, sizeof(*transaction));
	limit->open--;
	return 1;
}

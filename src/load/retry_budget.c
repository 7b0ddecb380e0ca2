#include "retry_budget.h"

void kb_retry_budget_init(kb_retry_budget_t *budget, double share,
			  unsigned burst)
{
	budget->tokens = burst;
	budget->max_tokens = burst;
	budget->ratio = share;
}

void kb_retry_budget_succeeded(kb_retry_budget_t *budget)
{
	budget->tokens += budget->ratio;
	if (budget->tokens > budget->max_tokens)
		budget->tokens = budget->max_tokens;
}

int kb_retry_budget_spend(kb_retry_budget_t *budget)
{
	if (budget->tokens < 1)
		return 0;
	budget->tokens -= 1;
	return 1;
}

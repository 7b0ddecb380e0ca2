#ifndef KB_RETRY_BUDGET_H
#define KB_RETRY_BUDGET_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/*
 * Limits retries to a share of the successful requests, so that they do not
 * multiply the load of a failing service.
 */
typedef struct kb_retry_budget {
	/* Retries that are available. */
	double tokens;
	double max_tokens;
	/* Tokens that a success adds. */
	double ratio;
} kb_retry_budget_t;

/* Starts full. A share of 0.1 allows one retry for ten successes. */
void kb_retry_budget_init(kb_retry_budget_t *budget, double share,
			  unsigned burst);

void kb_retry_budget_succeeded(kb_retry_budget_t *budget);

/* Returns non-zero if a retry is allowed, and spends it. */
int kb_retry_budget_spend(kb_retry_budget_t *budget);

KB_END_DECLS

#endif

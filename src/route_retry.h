#ifndef KB_ROUTE_RETRY_H
#define KB_ROUTE_RETRY_H

#include "call.h"

KB_BEGIN_DECLS

/* Returns non-zero if the call belongs to an open transaction. */
int kb_route_retry_in_transaction(const kb_call_t *call);

/* Returns non-zero if the call may be retried after `result`. */
int kb_route_retry_allowed(const kb_call_t *call, kb_result_t result);

/* Returns non-zero if a retry after `result` uses the retry budget. */
int kb_route_retry_needs_budget(kb_result_t result);

KB_END_DECLS

#endif

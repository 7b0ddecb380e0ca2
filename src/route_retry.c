#include "route_retry.h"

int kb_route_retry_in_transaction(const kb_call_t *call)
{
	return call->args.action == KBX_ACTION_STATEMENT ||
	       call->args.action == KBX_ACTION_COMMIT ||
	       call->args.action == KBX_ACTION_ROLLBACK;
}

int kb_route_retry_allowed(const kb_call_t *call, kb_result_t result)
{
	if (kb_route_retry_in_transaction(call))
		return 0;
	switch (result) {
	case KB_ERR_NO_PRIMARY:
	case KB_ERR_NOT_FRESH:
	case KB_ERR_NOT_GATE:
	case KB_ERR_UNREACHABLE:
	case KB_ERR_DRAINING:
	case KB_ERR_ROLLED_BACK:
		return 1;
	case KB_ERR_OVERLOADED:
		return call->args.action == KBX_ACTION_READ;
	case KB_ERR_UNKNOWN:
	case KB_ERR_CLOSED:
	case KB_ERR_TIMEOUT:
		return call->args.action == KBX_ACTION_READ ||
		       call->args.key[0];
	default:
		return 0;
	}
}

/*
 * After these results a retry waits for a change of state, which causes little
 * load, so it does not use the budget.
 */
int kb_route_retry_needs_budget(kb_result_t result)
{
	return result != KB_ERR_NO_PRIMARY && result != KB_ERR_NOT_FRESH &&
	       result != KB_ERR_NOT_GATE && result != KB_ERR_DRAINING &&
	       result != KB_ERR_UNREACHABLE;
}

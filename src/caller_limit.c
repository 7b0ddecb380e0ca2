#include "caller_limit.h"

void kb_caller_limit_init(kb_caller_limit_t *limit, unsigned per_caller)
{
	memset(limit, 0, sizeof(*limit));
	limit->limit = per_caller;
}

static size_t find(const kb_caller_limit_t *limit, const kb_name_t *caller)
{
	size_t i;

	for (i = 0; i < limit->count; i++)
		if (kb_name_is(&limit->callers[i].caller, kb_name_str(caller)))
			break;
	return i;
}

kb_result_t kb_caller_limit_acquire(kb_caller_limit_t *limit,
				    const kb_name_t *caller)
{
	size_t i = find(limit, caller);

	if (i == KB_CALLER_LIMIT_MAX_CALLERS || !limit->limit)
		return KB_ERR_OVERLOADED;
	if (i == limit->count) {
		limit->callers[i].caller = *caller;
		limit->callers[i].in_flight = 0;
		limit->count++;
	}
	if (limit->callers[i].in_flight >= limit->limit)
		return KB_ERR_OVERLOADED;
	limit->callers[i].in_flight++;
	return KB_OK;
}

void kb_caller_limit_release(kb_caller_limit_t *limit, const kb_name_t *caller)
{
	size_t i = find(limit, caller);

	if (i == limit->count || --limit->callers[i].in_flight)
		return;
	limit->count--;
	limit->callers[i] = limit->callers[limit->count];
}

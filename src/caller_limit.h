#ifndef KB_CALLER_LIMIT_H
#define KB_CALLER_LIMIT_H

#include "str.h"

KB_BEGIN_DECLS

/* Bounds the requests that one caller has in flight on one host. */

#define KB_CALLER_LIMIT_MAX_CALLERS 256

typedef struct kb_caller_count {
	kb_name_t caller;
	unsigned in_flight;
} kb_caller_count_t;

typedef struct kb_caller_limit {
	unsigned limit;
	size_t count;
	kb_caller_count_t callers[KB_CALLER_LIMIT_MAX_CALLERS];
} kb_caller_limit_t;

void kb_caller_limit_init(kb_caller_limit_t *limit, unsigned per_caller);

/*
 * Counts a request in. Returns KB_ERR_OVERLOADED if the caller has as many as
 * allowed, or too many different callers have requests in flight.
 */
kb_result_t kb_caller_limit_acquire(kb_caller_limit_t *limit,
				    const kb_name_t *caller);

/* Counts a request out that was counted in. */
void kb_caller_limit_release(kb_caller_limit_t *limit, const kb_name_t *caller);

KB_END_DECLS

#endif

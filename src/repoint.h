#ifndef KB_REPOINT_H
#define KB_REPOINT_H

#include "detector.h"

KB_BEGIN_DECLS

enum {
	KB_REPOINT_STALL_MS = 500,
	KB_REPOINT_REPEAT_MS = 500,
};

/*
 * Finds targets that do not follow the primary: those in an older term, such
 * as a primary that returns, and those that are behind and get nothing.
 */
typedef struct kb_repoint {
	/* Time without progress until a target is ordered to follow anew. */
	kb_time_t stall;
	/* Least time between two orders to a target. */
	kb_time_t repeat;
	kb_time_t ordered_at[KB_GROUP_MAX_TARGETS];
	uint64_t ordered_term[KB_GROUP_MAX_TARGETS];
} kb_repoint_t;

/* Initializes `repoint` with the default times. */
void kb_repoint_init(kb_repoint_t *repoint);

/* Ends `repoint`. */
void kb_repoint_finish(kb_repoint_t *repoint);

/*
 * Returns the next target that has to be ordered to follow the primary of
 * `watch` and notes the order, or returns KB_NO_TARGET. `patience` is added
 * to the wait before the first order.
 */
size_t kb_repoint_next(kb_repoint_t *repoint, kb_time_t now,
		       const kb_watch_t *watch, kb_time_t patience);

KB_END_DECLS

#endif

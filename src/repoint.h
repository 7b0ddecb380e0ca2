#ifndef KB_REPOINT_H
#define KB_REPOINT_H

#include "detector.h"

KB_BEGIN_DECLS

enum {
	KB_REPOINT_STALL_MS = 500,
	KB_REPOINT_REPEAT_MS = 500,
};

/*
 * Finds targets that do not follow the primary: those in an older term, such as
 * a former primary that has returned, and those that are behind and receive
 * nothing.
 */
typedef struct kb_repoint {
	/* Time without progress until the command to follow is sent again. */
	kb_time_t stall;
	/* Minimum time between two commands to a target. */
	kb_time_t repeat;
	kb_time_t sent_at[KB_GROUP_MAX_TARGETS];
	uint64_t sent_term[KB_GROUP_MAX_TARGETS];
} kb_repoint_t;

/* Initializes `repoint` with the default times. */
void kb_repoint_init(kb_repoint_t *repoint);

/* Ends `repoint`. */
void kb_repoint_finish(kb_repoint_t *repoint);

/*
 * Returns the next target that needs a command to follow the primary of `watch`
 * and records the command as sent, or returns KB_NO_TARGET. `delay` is added
 * to the wait before the first command.
 */
size_t kb_repoint_next(kb_repoint_t *repoint, kb_time_t now,
		       const kb_watch_t *watch, kb_time_t delay);

KB_END_DECLS

#endif

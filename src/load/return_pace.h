#ifndef KB_RETURN_PACE_H
#define KB_RETURN_PACE_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

enum {
	/* Callers are asked to return within this time; the last ones share it.
	 */
	KB_RETURN_PACE_MAX_MS = 5000,
};

/*
 * Tells callers that are refused when to come back. If all were told the time
 * at which the present queue ends, they would return together and most would
 * be refused again. Each is given a turn of its own instead, one service time
 * after that of the caller before it, beginning when the queue ends.
 */
typedef struct kb_return_pace {
	/* Turn of the caller that was refused last. */
	kb_time_t last_turn;
} kb_return_pace_t;

/*
 * Returns the time after which a caller refused at `now` should return.
 * `queue_time` is the time in which the present queue is served, `interval` the
 * time in which one more statement is.
 */
kb_time_t kb_return_pace_next(kb_return_pace_t *pace, kb_time_t queue_time,
			      kb_time_t interval, kb_time_t now);

KB_END_DECLS

#endif

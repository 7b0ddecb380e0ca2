#ifndef KB_MOVE_TIME_H
#define KB_MOVE_TIME_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

enum {
	/* A host must be the better holder for this time. */
	KB_MOVE_TIME_WANTED_S = 3,
	/* By then a move takes place even if work waits. */
	KB_MOVE_TIME_MAX_S = 15,
};

/*
 * Whether a group may be moved to another holder that has been the better one
 * for `wanted`. A move stops the group for some ten milliseconds and aborts
 * long transactions; while statements wait for the target's slots, what that
 * costs is more than what a nearer holder gives.
 */
int kb_move_time_has_come(kb_time_t wanted, unsigned waiting, unsigned slots);

KB_END_DECLS

#endif

#ifndef KB_REPLICA_LAG_H
#define KB_REPLICA_LAG_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

enum {
	/*
	 * A replica is not asked again for this time for a point that it
	 * lacked; longer if it lacks more, up to the maximum.
	 */
	KB_REPLICA_LAG_HOLD_MIN_MS = 100,
	KB_REPLICA_LAG_HOLD_MAX_MS = 500,
};

/*
 * Returns the time from its last report for which a replica is not asked for a
 * point. `deficit` is the time by which its log was behind the point: the time
 * in which the primary wrote what it lacks. A log that is far behind catches up
 * faster than it was written, but not at once.
 */
kb_time_t kb_replica_lag_hold(kb_time_t deficit);

/*
 * Whether a read should wait for a replica that is `deficit` behind, if it may
 * wait for `left`. Waiting for a log that cannot be there in time only takes
 * from the time in which another target could serve the read.
 */
int kb_replica_lag_is_worth_waiting(kb_time_t deficit, kb_time_t left);

KB_END_DECLS

#endif

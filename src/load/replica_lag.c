#include "replica_lag.h"

enum {
	/* Rate at which a log may catch up, as a multiple of real time. */
	CATCH_UP_RATE = 4,
};

kb_time_t kb_replica_lag_hold(kb_time_t deficit)
{
	kb_time_t hold = deficit / CATCH_UP_RATE;

	if (hold < KB_REPLICA_LAG_HOLD_MIN_MS * KB_NS_PER_MS)
		return KB_REPLICA_LAG_HOLD_MIN_MS * KB_NS_PER_MS;
	if (hold > KB_REPLICA_LAG_HOLD_MAX_MS * KB_NS_PER_MS)
		return KB_REPLICA_LAG_HOLD_MAX_MS * KB_NS_PER_MS;
	return hold;
}

int kb_replica_lag_is_worth_waiting(kb_time_t deficit, kb_time_t left)
{
	return left > 0 && deficit / CATCH_UP_RATE < left;
}

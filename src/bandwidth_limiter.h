#ifndef KB_BANDWIDTH_LIMITER_H
#define KB_BANDWIDTH_LIMITER_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/*
 * A host's share of the bytes that the link between regions carries, as a
 * token bucket. Bulk work leaves a reserve of the bucket to everything else.
 */
typedef struct kb_bandwidth_limiter_settings {
	uint64_t bytes_per_s;
	/* Bytes that may be sent at once after a pause. */
	uint64_t burst_bytes;
	/* Part of the burst that bulk work may not use. */
	uint64_t reserve_bytes;
} kb_bandwidth_limiter_settings_t;

typedef struct kb_bandwidth_limiter {
	kb_bandwidth_limiter_settings_t settings;
	/* Negative after answers larger than was expected. */
	int64_t bytes;
	kb_time_t filled_at;
} kb_bandwidth_limiter_t;

/* Starts full. */
void kb_bandwidth_limiter_init(kb_bandwidth_limiter_t *budget,
			       const kb_bandwidth_limiter_settings_t *settings,
			       kb_time_t now);

/*
 * Returns 0 if a transfer may begin now, else the time until it might, or
 * KB_TIME_NEVER if the settings never allow it.
 */
kb_time_t kb_bandwidth_limiter_wait(kb_bandwidth_limiter_t *budget, int bulk,
				    kb_time_t now);

/* Takes the bytes of a transfer, at its beginning or as they are sent. */
void kb_bandwidth_limiter_charge(kb_bandwidth_limiter_t *budget, uint64_t bytes,
				 kb_time_t now);

KB_END_DECLS

#endif

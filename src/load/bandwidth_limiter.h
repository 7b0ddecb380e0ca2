#ifndef KB_BANDWIDTH_LIMITER_H
#define KB_BANDWIDTH_LIMITER_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/*
 * Limits the bandwidth that a host uses between regions with a token bucket of
 * bytes. Bulk transfers leave a reserve in the bucket for other traffic.
 */
typedef struct kb_bandwidth_limiter_settings {
	uint64_t bytes_per_s;
	/* Capacity of the bucket. */
	uint64_t burst_bytes;
	/* Part of the capacity that bulk transfers may not use. */
	uint64_t reserve_bytes;
} kb_bandwidth_limiter_settings_t;

typedef struct kb_bandwidth_limiter {
	kb_bandwidth_limiter_settings_t settings;
	/* Negative after answers larger than expected. */
	int64_t bytes;
	kb_time_t filled_at;
} kb_bandwidth_limiter_t;

/* Initializes a full bucket. */
void kb_bandwidth_limiter_init(kb_bandwidth_limiter_t *limiter,
			       const kb_bandwidth_limiter_settings_t *settings,
			       kb_time_t now);

/*
 * Returns 0 if a transfer may begin now, otherwise the time until it may, or
 * KB_TIME_NEVER if the settings never allow it.
 */
kb_time_t kb_bandwidth_limiter_wait(kb_bandwidth_limiter_t *limiter, int bulk,
				    kb_time_t now);

/* Deducts the bytes of a transfer, at its beginning or as they are sent. */
void kb_bandwidth_limiter_charge(kb_bandwidth_limiter_t *limiter,
				 uint64_t bytes, kb_time_t now);

KB_END_DECLS

#endif

#ifndef KB_LINK_BUDGET_H
#define KB_LINK_BUDGET_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/*
 * Limits the bandwidth that a host uses between regions with a token bucket of
 * bytes. Bulk transfers leave a reserve in the bucket for other traffic.
 */
typedef struct kb_link_budget_settings {
	uint64_t bytes_per_s;
	/* Capacity of the bucket. */
	uint64_t burst_bytes;
	/* Part of the capacity that bulk transfers may not use. */
	uint64_t reserve_bytes;
} kb_link_budget_settings_t;

typedef struct kb_link_budget {
	kb_link_budget_settings_t settings;
	/* Negative after answers larger than expected. */
	int64_t bytes;
	kb_time_t filled_at;
} kb_link_budget_t;

/* Initializes a full bucket. */
void kb_link_budget_init(kb_link_budget_t *budget,
			 const kb_link_budget_settings_t *settings,
			 kb_time_t now);

/*
 * Returns 0 if a transfer may begin now, otherwise the time until it may, or
 * KB_TIME_NEVER if the settings never allow it.
 */
kb_time_t kb_link_budget_wait(kb_link_budget_t *budget, int bulk,
			      kb_time_t now);

/* Deducts the bytes of a transfer, at its beginning or as they are sent. */
void kb_link_budget_charge(kb_link_budget_t *budget, uint64_t bytes,
			   kb_time_t now);

KB_END_DECLS

#endif

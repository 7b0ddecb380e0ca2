#ifndef KB_ROUTE_H
#define KB_ROUTE_H

#include "route_hint.h"
#include "route_policy.h"

KB_BEGIN_DECLS

/*
 * Orders the targets to which a read is sent. Replicas that are expected to be
 * fresh enough come first, by ascending cost. Replicas without a recent hint
 * follow, then the primary, and last the replicas that are not expected to be
 * fresh enough. The next target is tried only after a refusal whose outcome is
 * "not run".
 */

/*
 * Targets that are tried for one read. A second attempt at the same target
 * after KB_ERR_NOT_GATE is not counted.
 */
#define KB_ROUTE_MAX_ATTEMPTS 4

/* Location of a target relative to this host. */
typedef enum kb_route_locality {
	KB_ROUTE_SAME_DATA_CENTRE,
	KB_ROUTE_SAME_REGION,
	KB_ROUTE_OTHER_REGION,
	KB_ROUTE_LOCALITIES,
} kb_route_locality_t;

typedef struct kb_route_settings {
	/* Network round-trip time. */
	kb_time_t round_trip[KB_ROUTE_LOCALITIES];
	/* Cost of a byte over the link between regions, as time. */
	kb_time_t link_byte_cost;
	/* The same for bulk classes. */
	kb_time_t bulk_link_byte_cost;
	/* How long gates let a read wait for its target to catch up. */
	kb_time_t gate_wait;
} kb_route_settings_t;

/* Fills in the defaults. */
void kb_route_default_settings(kb_route_settings_t *settings);

/* A target that a read may be sent to. */
typedef struct kb_route_candidate {
	/* Index of the target in its group. */
	size_t target;
	const kb_route_hint_t *hint;
	kb_route_locality_t locality;
	unsigned slots;
	/* A leaving target gets no new work. */
	int leaving;
} kb_route_candidate_t;

/* Requirements of a read. */
typedef struct kb_route_requirements {
	/* Maximum age of the data; 0 means data as of the request. */
	kb_time_t max_age;
	/* Point that it must see. */
	kb_point_t point;
	/* Index of its traffic class for the policy. */
	size_t class_index;
	int bulk;
	/* Expected size of the answer. */
	uint64_t answer_bytes;
	kb_time_t deadline;
} kb_route_requirements_t;

/* The attempts of one read. */
typedef struct kb_route {
	size_t order[KB_ROUTE_MAX_ATTEMPTS];
	size_t count;
	size_t next;
	kb_time_t deadline;
	/* Result of the last attempt. */
	kb_result_t result;
	/* The current target is tried again after KB_ERR_NOT_GATE. */
	int repeated;
} kb_route_t;

/* Orders the `count` candidates for a read. */
void kb_route_init(kb_route_t *route, const kb_route_settings_t *settings,
		   const kb_route_policy_t *policy,
		   const kb_route_requirements_t *need,
		   const kb_route_candidate_t *candidates, size_t count,
		   kb_time_t now);

/*
 * Sets `*target` to the target to try next and returns KB_OK, or returns the
 * result with which to refuse the read.
 */
kb_result_t kb_route_next(kb_route_t *route, kb_time_t now, size_t *target);

/*
 * Records the result of a failed attempt. Returns non-zero if another attempt
 * is allowed; otherwise `result` is the final result of the read.
 */
int kb_route_failed(kb_route_t *route, kb_result_t result);

KB_END_DECLS

#endif

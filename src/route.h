#ifndef KB_ROUTE_H
#define KB_ROUTE_H

#include "route_hint.h"
#include "route_policy.h"

KB_BEGIN_DECLS

/*
 * Orders the targets that a read is sent to. Replicas that are expected to be
 * fresh enough come first, the cheapest foremost, then replicas of which
 * nothing recent is known, then the primary, and last a replica that was not
 * expected to be fresh enough. Each attempt ends with an answer or with a
 * refusal that says not run; only then is there another.
 */

/* Attempts of one read, a repeat after KB_ERR_NOT_GATE not counted. */
#define KB_ROUTE_MAX_ATTEMPTS 4

/* Where a target stands, as seen from this host. */
typedef enum kb_route_locality {
	KB_ROUTE_SAME_DATA_CENTRE,
	KB_ROUTE_SAME_REGION,
	KB_ROUTE_OTHER_REGION,
	KB_ROUTE_LOCALITIES,
} kb_route_locality_t;

typedef struct kb_route_settings {
	/* Time of a request and its answer on the way. */
	kb_time_t round_trip[KB_ROUTE_LOCALITIES];
	/* What a byte over the link between regions costs, as time. */
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
	kb_route_locality_t place;
	unsigned slots;
	/* A leaving target gets no new work. */
	int leaving;
} kb_route_candidate_t;

/* What a read needs. */
typedef struct kb_route_requirements {
	/* Greatest age of the data; 0 asks for data as of the request. */
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
	/* What the last attempt ended with. */
	kb_result_t result;
	/* Set if the present target was repeated after KB_ERR_NOT_GATE. */
	int repeated;
} kb_route_t;

/* Orders the `count` candidates for a read. */
void kb_route_init(kb_route_t *route, const kb_route_settings_t *settings,
		   const kb_route_policy_t *policy,
		   const kb_route_requirements_t *need,
		   const kb_route_candidate_t *candidates, size_t count,
		   kb_time_t now);

/*
 * Sets `*target` to the one to try next and returns KB_OK, or returns what to
 * refuse the read with.
 */
kb_result_t kb_route_next(kb_route_t *route, kb_time_t now, size_t *target);

/*
 * Takes the result of the last attempt. Returns non-zero if another one is
 * allowed; if not, `result` is the read's.
 */
int kb_route_failed(kb_route_t *route, kb_result_t result);

KB_END_DECLS

#endif

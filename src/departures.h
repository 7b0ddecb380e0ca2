#ifndef KB_DEPARTURES_H
#define KB_DEPARTURES_H

#include "endpoint.h"
#include "target_names.h"

KB_BEGIN_DECLS

enum {
	/* Targets of a group that leave at a time. */
	KB_DEPARTURES_MAX = 4,
};

/* A target that was leaving when its entry was last seen. */
typedef struct kb_departure {
	kb_name_t target;
	/* Its log is transferred to a new target at this address. */
	kb_endpoint_t endpoint;
	/* Its start time, in milliseconds since 1970-01-01 UTC; 0: unknown. */
	uint64_t started_at_ms;
	/* That new target, once it has registered; else empty. */
	kb_name_t heir;
} kb_departure_t;

/* The copies of a group that were leaving, as later holders have to know. */
typedef struct kb_departures {
	size_t count;
	kb_departure_t departures[KB_DEPARTURES_MAX];
	/* The group has had more copies than can be named. */
	int truncated;
} kb_departures_t;

/* Returns a target's departure, or NULL. */
kb_departure_t *kb_departures_find(kb_departures_t *departures,
				   const kb_name_t *target);

/* Returns a target's departure, which is added; NULL if there is no room. */
kb_departure_t *kb_departures_add(kb_departures_t *departures,
				  const kb_name_t *target);

/* Removes a target's departure, if present. */
void kb_departures_remove(kb_departures_t *departures, const kb_name_t *target);

/* Whether both tell the same, in the same order. */
int kb_departures_equal(const kb_departures_t *a, const kb_departures_t *b);

KB_END_DECLS

#endif

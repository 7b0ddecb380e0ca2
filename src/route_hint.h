#ifndef KB_ROUTE_HINT_H
#define KB_ROUTE_HINT_H

#include "point.h"

KB_BEGIN_DECLS

/*
 * What a host was last told of a target, and what it expects of it since.
 * Hints only order the attempts; the gate verifies every read.
 */

/* What an answer says of a target. */
typedef struct kb_route_view {
	int primary;
	/* Newest point that reads on it see. */
	kb_point_t applied;
	/*
	 * Upper bound of the age of its data when it was last probed, which
	 * a new probe is likely to give again, or KB_TIME_NEVER.
	 */
	kb_time_t age;
	/* Statements that run or wait at its gate. */
	unsigned waiting;
} kb_route_view_t;

/* All zero is a hint that says nothing. */
typedef struct kb_route_hint {
	int known;
	/* When the view was received. */
	kb_time_t seen_at;
	kb_route_view_t view;
	/* Moving mean of positions applied a second. */
	double rate;
} kb_route_hint_t;

/* Takes a view that was received at `now`. */
void kb_route_hint_update(kb_route_hint_t *hint, const kb_route_view_t *view,
			  kb_time_t now);

/* Returns non-zero if the hint is too old, or none, to rule a target out. */
int kb_route_hint_is_stale(const kb_route_hint_t *hint, kb_time_t now);

/*
 * Returns non-zero if the target is expected to see `point` by now.
 * `primary`, which may be NULL, is the hint for the group's primary.
 */
int kb_route_hint_expects(const kb_route_hint_t *hint,
			  const kb_route_hint_t *primary, kb_point_t point,
			  kb_time_t now);

KB_END_DECLS

#endif

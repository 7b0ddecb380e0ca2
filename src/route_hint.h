#ifndef KB_ROUTE_HINT_H
#define KB_ROUTE_HINT_H

#include "point.h"

KB_BEGIN_DECLS

/*
 * The last reported state of a target, and an estimate of its progress since.
 * Hints only decide the order of attempts; the gate checks every read.
 */

/* State of a target as reported in an answer. */
typedef struct kb_route_view {
	int primary;
	/* Newest point that its reads see. */
	kb_point_t applied;
	/*
	 * Upper bound of the age of its data at the last probe, or
	 * KB_TIME_NEVER. The next probe is likely to give a similar bound.
	 */
	kb_time_t age;
	/* Statements that run or are queued at its gate. */
	unsigned waiting;
} kb_route_view_t;

/* Zero-initialized, it contains no information. */
typedef struct kb_route_hint {
	int known;
	/* When the view was received. */
	kb_time_t seen_at;
	kb_route_view_t view;
	/* Moving mean of the positions applied per second. */
	double rate;
} kb_route_hint_t;

/* Updates the hint with a view that was received at `now`. */
void kb_route_hint_update(kb_route_hint_t *hint, const kb_route_view_t *view,
			  kb_time_t now);

/* Returns non-zero if the hint is empty or too old to exclude a target. */
int kb_route_hint_is_stale(const kb_route_hint_t *hint, kb_time_t now);

/*
 * Returns non-zero if the target is expected to have applied `point` by `now`.
 * `primary` is the hint of the group's primary or NULL.
 */
int kb_route_hint_expects(const kb_route_hint_t *hint,
			  const kb_route_hint_t *primary, kb_point_t point,
			  kb_time_t now);

KB_END_DECLS

#endif

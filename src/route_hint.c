#include "route_hint.h"

enum {
	/* Age beyond which a hint no longer excludes a target. */
	HINT_STALE_MS = 1000,
	/*
	 * Shortest time over which a rate is measured, unless the position
	 * changed.
	 */
	RATE_MIN_SPAN_MS = 5,
};

/* Weight of a new measurement in the mean rate. */
#define RATE_GAIN 0.25

static double positions_since(kb_point_t from, kb_point_t to)
{
	return to.position > from.position
		       ? (double)(to.position - from.position)
		       : 0.0;
}

void kb_route_hint_update(kb_route_hint_t *hint, const kb_route_view_t *view,
			  kb_time_t now)
{
	kb_time_t span = now - hint->seen_at;

	if (hint->known && span < RATE_MIN_SPAN_MS * KB_NS_PER_MS &&
	    !kb_point_compare(hint->view.applied, view->applied)) {
		hint->view = *view;
		return;
	}
	if (hint->known && span > 0) {
		double rate =
			positions_since(hint->view.applied, view->applied) *
			(double)KB_NS_PER_S / (double)span;

		hint->rate += RATE_GAIN * (rate - hint->rate);
	}
	hint->known = 1;
	hint->seen_at = now;
	hint->view = *view;
}

int kb_route_hint_is_stale(const kb_route_hint_t *hint, kb_time_t now)
{
	return !hint->known ||
	       now - hint->seen_at > HINT_STALE_MS * KB_NS_PER_MS;
}

static int includes(kb_point_t applied, double ahead, kb_point_t point)
{
	if (!point.position)
		return 1;
	if (point.term > applied.term)
		return 0;
	return (double)point.position <= (double)applied.position + ahead;
}

int kb_route_hint_expects(const kb_route_hint_t *hint,
			  const kb_route_hint_t *primary, kb_point_t point,
			  kb_time_t now)
{
	kb_time_t since = now - hint->seen_at;
	double ahead = hint->rate * (double)since / (double)KB_NS_PER_S;

	if (includes(hint->view.applied, ahead, point))
		return 1;
	/* The primary had it longer ago than the age of the target's data. */
	return primary && primary->known &&
	       includes(primary->view.applied, 0, point) &&
	       now - primary->seen_at >= hint->view.age;
}

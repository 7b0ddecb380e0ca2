#ifndef KB_WATERMARKS_H
#define KB_WATERMARKS_H

#include "point.h"

KB_BEGIN_DECLS

enum {
	KB_WATERMARKS_MAX = 128,
	/* A watermark this soon after the newest one is not stored. */
	KB_WATERMARKS_MIN_INTERVAL_MS = 25,
};

/* A commit watermark: at `at` no acknowledged commit was past `point`. */
typedef struct kb_watermark {
	kb_time_t at;
	kb_point_t point;
} kb_watermark_t;

/*
 * Commit watermarks of a group from the last seconds, oldest first. Times are
 * of this host's monotonic clock. A watermark received in a reply holds for the
 * time at which the request was sent.
 */
typedef struct kb_watermarks {
	/* Term of the primary that they come from. */
	uint64_t term;
	size_t first;
	size_t count;
	kb_watermark_t ring[KB_WATERMARKS_MAX];
} kb_watermarks_t;

/*
 * Adds a watermark. It is ignored if its term is older than that of the others
 * or its time less than KB_WATERMARKS_MIN_INTERVAL_MS after the newest one. A
 * later term discards the others.
 */
void kb_watermarks_add(kb_watermarks_t *watermarks, uint64_t term, kb_time_t at,
		       kb_point_t point);

/*
 * Sets `*point` to what a read must include in order to see every commit
 * acknowledged before `bound`. Returns 0 if no watermark is new enough.
 */
int kb_watermarks_lower_bound(const kb_watermarks_t *watermarks,
			      kb_time_t bound, kb_point_t *point);

/*
 * Returns the time by which a log that ends at `end` is behind `point`: from
 * the first watermark past `end` to the first one at `point`. Of a log that
 * ends before all watermarks only the part that they cover counts. 0 if it
 * contains the point.
 */
kb_time_t kb_watermarks_deficit(const kb_watermarks_t *watermarks,
				kb_point_t end, kb_point_t point);

/* Returns the newest watermark, or NULL. */
const kb_watermark_t *kb_watermarks_last(const kb_watermarks_t *watermarks);

/* Returns the time of the newest watermark, or 0. */
kb_time_t kb_watermarks_newest(const kb_watermarks_t *watermarks);

KB_END_DECLS

#endif

#ifndef KB_WATERMARKS_H
#define KB_WATERMARKS_H

#include "point.h"

KB_BEGIN_DECLS

enum {
	KB_WATERMARKS_MAX = 128,
	/* Stamps closer together than this are not kept apart. */
	KB_WATERMARKS_MIN_INTERVAL_MS = 25,
};

/* At `at` no acknowledged commit was newer than `point`. */
typedef struct kb_watermark {
	kb_time_t at;
	kb_point_t point;
} kb_watermark_t;

/*
 * What is known of the newest acknowledged commits of a group over the last
 * seconds. Times are of this host's monotonic clock: a stamp that answers a
 * question holds at the time at which the question was sent.
 */
typedef struct kb_watermarks {
	/* Term in which the primary led that gave them. */
	uint64_t term;
	size_t first;
	size_t count;
	kb_watermark_t ring[KB_WATERMARKS_MAX];
} kb_watermarks_t;

/* Adds a stamp; one of an older term or time is ignored. */
void kb_watermarks_add(kb_watermarks_t *stamps, uint64_t term, kb_time_t at,
		       kb_point_t point);

/*
 * Finds the point that a read must include so that it misses no commit
 * acknowledged before `bound`. Returns 0 if no stamp is new enough.
 */
int kb_watermarks_lower_bound(const kb_watermarks_t *stamps, kb_time_t bound,
			      kb_point_t *point);

/* Returns the newest stamp, or NULL. */
const kb_watermark_t *kb_watermarks_last(const kb_watermarks_t *stamps);

/* Returns the time of the newest stamp, or 0. */
kb_time_t kb_watermarks_newest(const kb_watermarks_t *stamps);

KB_END_DECLS

#endif

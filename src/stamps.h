#ifndef KB_STAMPS_H
#define KB_STAMPS_H

#include "point.h"

KB_BEGIN_DECLS

enum {
	KB_STAMPS_MAX = 128,
	/* A watermark this soon after the newest one is not stored. */
	KB_STAMPS_SPACING_MS = 25,
};

/* A commit watermark: at `at` no acknowledged commit was past `point`. */
typedef struct kb_stamp {
	kb_time_t at;
	kb_point_t point;
} kb_stamp_t;

/*
 * Commit watermarks of a group from the last seconds, oldest first. Times are
 * of this host's monotonic clock. A watermark received in a reply holds for the
 * time at which the request was sent.
 */
typedef struct kb_stamps {
	/* Term of the primary that they come from. */
	uint64_t term;
	size_t first;
	size_t count;
	kb_stamp_t ring[KB_STAMPS_MAX];
} kb_stamps_t;

/*
 * Adds a watermark. It is ignored if its term is older than that of the others
 * or its time less than KB_STAMPS_SPACING_MS after the newest one. A later term
 * discards the others.
 */
void kb_stamps_add(kb_stamps_t *stamps, uint64_t term, kb_time_t at,
		   kb_point_t point);

/*
 * Sets `*point` to what a read must include in order to see every commit
 * acknowledged before `bound`. Returns 0 if no watermark is new enough.
 */
int kb_stamps_include(const kb_stamps_t *stamps, kb_time_t bound,
		      kb_point_t *point);

/* Returns the newest watermark, or NULL. */
const kb_stamp_t *kb_stamps_last(const kb_stamps_t *stamps);

/* Returns the time of the newest watermark, or 0. */
kb_time_t kb_stamps_newest(const kb_stamps_t *stamps);

KB_END_DECLS

#endif

#ifndef KB_STAMPS_H
#define KB_STAMPS_H

#include "point.h"

KB_BEGIN_DECLS

enum {
	KB_STAMPS_MAX = 128,
	/* Stamps closer together than this are not kept apart. */
	KB_STAMPS_SPACING_MS = 25,
};

/* At `at` no acknowledged commit was newer than `point`. */
typedef struct kb_stamp {
	kb_time_t at;
	kb_point_t point;
} kb_stamp_t;

/*
 * What is known of the newest acknowledged commits of a group over the last
 * seconds. Times are of this host's monotonic clock: a stamp that answers a
 * question holds at the time at which the question was sent.
 */
typedef struct kb_stamps {
	/* Term in which the primary led that gave them. */
	uint64_t term;
	size_t first;
	size_t count;
	kb_stamp_t ring[KB_STAMPS_MAX];
} kb_stamps_t;

/* Adds a stamp; one of an older term or time is ignored. */
void kb_stamps_add(kb_stamps_t *stamps, uint64_t term, kb_time_t at,
		   kb_point_t point);

/*
 * Finds the point that a read must include so that it misses no commit
 * acknowledged before `bound`. Returns 0 if no stamp is new enough.
 */
int kb_stamps_include(const kb_stamps_t *stamps, kb_time_t bound,
		      kb_point_t *point);

/* Returns the newest stamp, or NULL. */
const kb_stamp_t *kb_stamps_last(const kb_stamps_t *stamps);

/* Returns the time of the newest stamp, or 0. */
kb_time_t kb_stamps_newest(const kb_stamps_t *stamps);

KB_END_DECLS

#endif

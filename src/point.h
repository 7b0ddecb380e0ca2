#ifndef KB_POINT_H
#define KB_POINT_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/* A point in a group's log: the position and the term of an entry. */
typedef struct kb_point {
	uint64_t term;
	uint64_t position;
} kb_point_t;

/* Orders by term, then position; returns -1, 0 or 1. */
int kb_point_compare(kb_point_t a, kb_point_t b);

#define KB_HISTORY_MAX_TERMS 16

/* The part of a log that was written in one term. */
typedef struct kb_history_entry {
	uint64_t term;
	/* Position of the first entry of the term. */
	uint64_t start;
} kb_history_entry_t;

/* The newest terms of a log, oldest first. */
typedef struct kb_history {
	size_t count;
	kb_history_entry_t entries[KB_HISTORY_MAX_TERMS];
} kb_history_t;

/* Appends a term that begins at `start`; drops the oldest term if full. */
void kb_history_append(kb_history_t *history, uint64_t term, uint64_t start);

/*
 * Returns non-zero if a log with this history whose last entry has position
 * `end` contains `point`. A point of a term older than the oldest kept one
 * counts as contained if its position precedes the kept terms.
 */
int kb_history_contains(const kb_history_t *history, uint64_t end,
			kb_point_t point);

/*
 * Writes "term:start,term:start" into `buffer`, ending in NUL. Returns
 * KB_ERR_TOO_LARGE if it does not fit into `size` bytes.
 */
kb_result_t kb_history_format(const kb_history_t *history, char *buffer,
			      size_t size);

/* Parses the form of kb_history_format(); terms and starts must increase. */
kb_result_t kb_history_parse(kb_history_t *history, const char *text,
			     size_t len);

KB_END_DECLS

#endif

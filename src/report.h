#ifndef KB_REPORT_H
#define KB_REPORT_H

#include "point.h"
#include "str.h"

KB_BEGIN_DECLS

/* Role of a target in its group. */
typedef enum kb_role {
	/* Follows a primary, if there is one; refuses writes. */
	KB_ROLE_REPLICA,
	/* Accepts writes in its term. */
	KB_ROLE_PRIMARY,
} kb_role_t;

/* State that a target reports when it is probed or fenced. */
typedef struct kb_report {
	/* Highest term that the target has been fenced at or has adopted. */
	uint64_t term;
	kb_role_t role;
	/* Position of the last entry in its log. */
	uint64_t received;
	/* Position of the last entry that reads on it can see. */
	uint64_t applied;
	/* Terms of its log; the last is the term of its last entry. */
	kb_history_t history;
	/* Id of the promoter that fenced it last, or empty. */
	kb_name_t promoter;
} kb_report_t;

/* Returns the term and position of the last entry of the log. */
static inline kb_point_t kb_report_last(const kb_report_t *report)
{
	kb_point_t last = { 0, report->received };

	if (report->history.count)
		last.term =
			report->history.entries[report->history.count - 1].term;
	return last;
}

KB_END_DECLS

#endif

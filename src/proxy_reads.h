#ifndef KB_PROXY_READS_H
#define KB_PROXY_READS_H

#include "proxy_parts.h"

KB_BEGIN_DECLS

enum {
	KB_READ_CHOICE_EXCLUDED_MAX = 16,
};

/* State of the selection of a replica for a read. */
typedef struct kb_read_choice {
	kb_read_rule_t rule;
	/* The read must see commits acknowledged before this time. */
	kb_time_t bound;
	/* The session's own newest commit, or zero. */
	kb_point_t own;
	/* Point that the log of the selected target must include. */
	kb_point_t include;
	kb_time_t began_at;
	/* Age of the newest watermark at the last selection, for the log. */
	kb_time_t stamp_age;
	size_t excluded_count;
	kb_name_t excluded[KB_READ_CHOICE_EXCLUDED_MAX];
	/* No replica is left to try. */
	int exhausted;
	/* Replicas were skipped because their logs lack `include`. */
	int behind;
} kb_read_choice_t;

void kb_read_choice_init(kb_read_choice_t *choice,
			 const kb_database_t *database, kb_point_t committed,
			 kb_time_t now);

/* Excludes a target that could not serve the read. */
void kb_read_choice_exclude(kb_read_choice_t *choice, const kb_name_t *target);

/* Makes every target eligible again. */
void kb_read_choice_restart(kb_read_choice_t *choice);

/*
 * Returns the replica with the least expected time and sets `include`, or
 * returns NULL if the read must go to the primary.
 */
const kb_target_entry_t *kb_read_choice_next(kb_read_choice_t *choice,
					     kb_proxy_t *proxy,
					     kb_proxy_group_t *group);

/*
 * Whether the read should wait for lagging replicas instead of joining the
 * queue of an overloaded primary.
 */
int kb_read_choice_waits(const kb_read_choice_t *choice,
			 const kb_proxy_group_t *group,
			 const kb_database_t *database, kb_time_t now);

KB_END_DECLS

#endif

#ifndef KB_REPLICA_SELECTOR_H
#define KB_REPLICA_SELECTOR_H

#include "proxy_internal.h"

KB_BEGIN_DECLS

enum {
	KB_REPLICA_SELECTOR_EXCLUDED_MAX = 16,
};

/* State of the selection of a replica for a read. */
typedef struct kb_replica_selector {
	kb_read_consistency_t consistency;
	/* Team of the caller, or empty. */
	kb_name_t team;
	/* The read must see commits acknowledged before this time. */
	kb_time_t bound;
	/* Newest commit of the session, or zero. */
	kb_point_t own_commit;
	/* Point that the log of the selected target must include. */
	kb_point_t include;
	kb_time_t began_at;
	/* Age of the newest watermark at the last selection, for the log. */
	kb_time_t watermark_age;
	size_t excluded_count;
	kb_name_t excluded[KB_REPLICA_SELECTOR_EXCLUDED_MAX];
	/*
	 * The last selection gave no replica: none is left to try, no watermark
	 * is new enough, or the primary has the least expected time.
	 */
	int exhausted;
	/* Replicas were skipped because their logs lack `include`. */
	int lagging;
	/* Least time by which one of these is behind `include`. */
	kb_time_t least_deficit;
} kb_replica_selector_t;

void kb_replica_selector_init(kb_replica_selector_t *selector,
			      const kb_database_t *database,
			      kb_point_t committed, kb_time_t now);

/* Excludes a target that could not serve the read. */
void kb_replica_selector_exclude(kb_replica_selector_t *selector,
				 const kb_name_t *target);

/* Makes every target eligible again. */
void kb_replica_selector_reset(kb_replica_selector_t *selector);

/*
 * Returns the replica with the least expected time and sets `include`, or
 * returns NULL if the read must go to the primary.
 */
const kb_target_entry_t *
kb_replica_selector_next(kb_replica_selector_t *selector, kb_proxy_t *proxy,
			 kb_proxy_group_t *group);

/*
 * Whether the read should wait for lagging replicas instead of joining the
 * queue of an overloaded primary.
 */
int kb_replica_selector_should_wait(const kb_replica_selector_t *selector,
				    const kb_proxy_group_t *group,
				    const kb_database_t *database,
				    kb_time_t now);

KB_END_DECLS

#endif

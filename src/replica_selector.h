#ifndef KB_REPLICA_SELECTOR_H
#define KB_REPLICA_SELECTOR_H

#include "proxy_internal.h"

KB_BEGIN_DECLS

enum {
	KB_REPLICA_SELECTOR_EXCLUDED_MAX = 16,
};

/* Which replicas may serve a read, and which have been tried. */
typedef struct kb_replica_selector {
	kb_read_consistency_t rule;
	/* The read must include what was acknowledged before this time. */
	kb_time_t bound;
	/* The session's own newest commit, or zero. */
	kb_point_t own;
	/* Point that the log of the target chosen last must include. */
	kb_point_t include;
	kb_time_t began_at;
	/* Age of the newest stamp at the last choice, for the log. */
	kb_time_t stamp_age;
	size_t excluded_count;
	kb_name_t excluded[KB_REPLICA_SELECTOR_EXCLUDED_MAX];
	/* Every target was tried. */
	int exhausted;
	/* Replicas were passed over since their logs are known to lack it. */
	int behind;
} kb_replica_selector_t;

void kb_replica_selector_init(kb_replica_selector_t *choice,
			      const kb_database_t *database,
			      kb_point_t committed, kb_time_t now);

/* Leaves a target out that could not serve the read. */
void kb_replica_selector_exclude(kb_replica_selector_t *choice,
				 const kb_name_t *target);

/* Considers every target again. */
void kb_replica_selector_reset(kb_replica_selector_t *choice);

/*
 * Returns the replica with the least expected time and sets `include`, or
 * returns NULL if the read must go to the primary.
 */
const kb_target_entry_t *kb_replica_selector_next(kb_replica_selector_t *choice,
						  kb_proxy_t *proxy,
						  kb_proxy_group_t *group);

/*
 * Whether the read should wait for replicas that are behind rather than join
 * the queue of a primary that cannot keep up.
 */
int kb_replica_selector_should_wait(const kb_replica_selector_t *choice,
				    const kb_proxy_group_t *group,
				    const kb_database_t *database,
				    kb_time_t now);

KB_END_DECLS

#endif

#ifndef KB_WATCHERS_H
#define KB_WATCHERS_H

#include "group.h"
#include "placement.h"

KB_BEGIN_DECLS

enum {
	KB_WATCHERS_MAX = 3,
};

/* The hosts that monitor a group's primary, the highest ranked first. */
typedef struct kb_watchers {
	size_t count;
	/*
	 * Set if there are KB_WATCHERS_MAX watchers, each in another data
	 * centre.
	 */
	bool distinct_data_centres;
	kb_placement_t hosts[KB_WATCHERS_MAX];
} kb_watchers_t;

/*
 * Chooses the watchers of `group` among the eligible hosts: first those in the
 * data centres of its targets, then those in their regions, each by rendezvous
 * score. Every watcher is in another data centre if there are enough of them,
 * so that the loss of one data centre leaves two watchers.
 */
void kb_watchers_choose(kb_watchers_t *watchers, const kb_member_table_t *table,
			const kb_group_spec_t *group);

/*
 * Chooses again if a change of `member` can affect the group. Returns whether
 * the set of watchers has changed.
 */
bool kb_watchers_on_member(kb_watchers_t *watchers,
			   const kb_member_table_t *table,
			   const kb_group_spec_t *group,
			   const kb_member_t *member);

/*
 * Returns the rank of host `index`, 0 for the first, or KB_WATCHERS_MAX if it
 * is not a watcher.
 */
size_t kb_watchers_rank(const kb_watchers_t *watchers, uint32_t index);

KB_END_DECLS

#endif

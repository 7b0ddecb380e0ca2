#ifndef KB_GROUP_ASSIGNMENT_H
#define KB_GROUP_ASSIGNMENT_H

#include "hosts.h"
#include "placements.h"

KB_BEGIN_DECLS

/* Watchers of a group, and this host's part in watching and serving it. */
typedef struct kb_group_assignment {
	kb_host_t *watchers[KB_WATCHERS_MAX];
	size_t watcher_count;
	/* Rank of this host among the watchers, or `watcher_count`. */
	size_t rank;
	/* Set for each target, by index, whose gate is on this host. */
	int is_gate[KB_GROUP_MAX_TARGETS];
	/* Set if this host watches the group or has one of its gates. */
	int needed;
} kb_group_assignment_t;

/* Fills in `assignment` from the placement of `group`. */
void kb_group_assignment_find(const kb_placements_t *placements,
			      const kb_hosts_t *hosts,
			      const kb_group_placement_t *group,
			      kb_group_assignment_t *assignment);

KB_END_DECLS

#endif

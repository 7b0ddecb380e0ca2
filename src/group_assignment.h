#ifndef KB_GROUP_ASSIGNMENT_H
#define KB_GROUP_ASSIGNMENT_H

#include "hosts.h"
#include "placements.h"

KB_BEGIN_DECLS

/* Where the duties for a group are, as far as this host is concerned. */
typedef struct kb_group_assignment {
	kb_host_t *watchers[KB_WATCHERS_MAX];
	size_t watcher_count;
	/* Rank of this host among them, or the count. */
	size_t rank;
	int is_gate[KB_GROUP_MAX_TARGETS];
	int wanted;
} kb_group_assignment_t;

/* Finds the duties for `group`. */
void kb_group_assignment_find(const kb_placements_t *placements,
			      const kb_hosts_t *hosts,
			      const kb_group_placement_t *group,
			      kb_group_assignment_t *duties);

KB_END_DECLS

#endif

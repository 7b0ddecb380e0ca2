#ifndef KB_GROUP_DUTIES_H
#define KB_GROUP_DUTIES_H

#include "group_service.h"

KB_BEGIN_DECLS

/* Where the duties for a group are, as far as this host is concerned. */
typedef struct kb_group_duties {
	kb_host_t *watchers[KB_WATCHERS_MAX];
	size_t watcher_count;
	/* Rank of this host among them, or the count. */
	size_t rank;
	int is_gate[KB_GROUP_MAX_TARGETS];
	/* Whether this host has a duty at all. */
	int wanted;
} kb_group_duties_t;

/* Finds who watches a group and which gates of it are on this host. */
void kb_group_duties_find(const kb_group_services_t *services,
			  const kb_group_placement_t *group,
			  kb_group_duties_t *duties);

KB_END_DECLS

#endif

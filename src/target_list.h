#ifndef KB_TARGET_LIST_H
#define KB_TARGET_LIST_H

#include "link.h"

#include <uthash.h>

KB_BEGIN_DECLS

/* A target as it is registered with the platform. */
typedef struct kb_target_entry {
	kb_link_place_t place;
	kb_name_t data_centre;
	unsigned slots;
	/* It is draining: it takes no new work and will stop. */
	int leaving;
	/* It reported itself as the primary when it registered. */
	int reports_primary;
	/* Start time, in milliseconds since 1970-01-01 UTC. */
	uint64_t started_at_ms;
} kb_target_entry_t;

/* A target in a list. */
typedef struct kb_target_node {
	kb_target_entry_t entry;
	struct kb_target_group *group;
	/* The next target of the group. */
	struct kb_target_node *next;
	UT_hash_handle by_name;
} kb_target_node_t;

/* The targets of one group, in the order in which they were added. */
typedef struct kb_target_group {
	kb_name_t name;
	kb_target_node_t *first;
	UT_hash_handle by_name;
} kb_target_group_t;

/* The known targets, found by their own and by their group's name. */
typedef struct kb_target_list {
	kb_target_node_t *targets;
	kb_target_group_t *groups;
	size_t count;
} kb_target_list_t;

void kb_target_list_finish(kb_target_list_t *list);

/* Adds or replaces a target. Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t kb_target_list_put(kb_target_list_t *list,
			       const kb_target_entry_t *entry);

/* Removes a target, if present. */
void kb_target_list_remove(kb_target_list_t *list, kb_str_t target);

/* Returns a target, or NULL. */
const kb_target_entry_t *kb_target_list_find(const kb_target_list_t *list,
					     kb_str_t target);

/*
 * Return the first target of a group, and the one after `entry`, or NULL. The
 * list must not be changed in between.
 */
const kb_target_entry_t *kb_target_list_first(const kb_target_list_t *list,
					      kb_str_t group);
const kb_target_entry_t *kb_target_list_next(const kb_target_entry_t *entry);

KB_END_DECLS

#endif

#ifndef KB_TARGET_LIST_H
#define KB_TARGET_LIST_H

#include "link.h"

KB_BEGIN_DECLS

/* A target as it describes itself to the platform. */
typedef struct kb_target_entry {
	kb_link_place_t place;
	kb_name_t data_centre;
	unsigned slots;
	/* It takes no new work and will stop. */
	int leaving;
	/* It held itself the primary when it wrote this. */
	int claims_primary;
	/* Its start, in milliseconds since 1970-01-01 UTC. */
	uint64_t born_ms;
} kb_target_entry_t;

/* All targets that are known. */
typedef struct kb_target_list {
	kb_target_entry_t *entries;
	size_t count;
	size_t capacity;
} kb_target_list_t;

void kb_target_list_finish(kb_target_list_t *list);

/* Adds a target or replaces what is known of it. */
kb_result_t kb_target_list_put(kb_target_list_t *list,
			       const kb_target_entry_t *entry);

/* Removes a target; harmless if it is not there. */
void kb_target_list_remove(kb_target_list_t *list, kb_str_t target);

/* Returns a target, or NULL. */
const kb_target_entry_t *kb_target_list_find(const kb_target_list_t *list,
					     kb_str_t target);

KB_END_DECLS

#endif

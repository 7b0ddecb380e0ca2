#ifndef KB_TARGET_LIST_H
#define KB_TARGET_LIST_H

#include "link.h"

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

/* The known targets. */
typedef struct kb_target_list {
	kb_target_entry_t *entries;
	size_t count;
	size_t capacity;
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

KB_END_DECLS

#endif

#ifndef KB_GROUP_HINT_H
#define KB_GROUP_HINT_H

#include "gen/kumquat_rpc.h"
#include "route_hint.h"
#include "route_policy.h"

KB_BEGIN_DECLS

/*
 * An entry host's cached view of one group. It may be stale; a gate checks
 * each request against its own state.
 */
typedef struct kb_group_hint {
	kb_name_t group;
	uint64_t term;
	/* Index of the primary, or KB_GROUP_MAX_TARGETS if unknown. */
	size_t primary;
	kb_route_hint_t targets[KB_GROUP_MAX_TARGETS];
	/* Work sent from this host that is not answered yet. */
	kb_least_work_t load;
} kb_group_hint_t;

/* Initializes a hint of `group` without a primary or target states. */
void kb_group_hint_init(kb_group_hint_t *hint, kb_str_t group);

/* Updates the hint from a gate's view, unless that has an older term. */
void kb_group_hint_update(kb_group_hint_t *hint, const kb_group_spec_t *spec,
			  const kbx_group_view *view, kb_time_t now);

/*
 * Records that target `index` was found not to be the primary; the next target
 * is tried then.
 */
void kb_group_hint_not_primary(kb_group_hint_t *hint,
			       const kb_group_spec_t *spec, size_t index);

/* Hints of all groups that this host has routed requests to. */
typedef struct kb_hint_table {
	/* Sorted by group. */
	kb_group_hint_t **hints;
	size_t count;
	size_t capacity;
} kb_hint_table_t;

void kb_hint_table_init(kb_hint_table_t *table);
void kb_hint_table_finish(kb_hint_table_t *table);

/*
 * Returns the hint of a group, creating it if there is none; NULL if memory is
 * short.
 */
kb_group_hint_t *kb_hint_table_get(kb_hint_table_t *table, kb_str_t group);

KB_END_DECLS

#endif

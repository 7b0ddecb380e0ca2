#ifndef KB_PLACEMENTS_H
#define KB_PLACEMENTS_H

#include "catalog.h"
#include "gate_map.h"
#include "watchers.h"

KB_BEGIN_DECLS

struct kb_group_placement;

/* Placement of one target's gate, with the group that it belongs to. */
typedef struct kb_placed_gate {
	/* First member: callbacks of the map cast it to this type. */
	kb_gate_t gate;
	struct kb_group_placement *group;
} kb_placed_gate_t;

/* Placement of one group's gates and watchers. */
typedef struct kb_group_placement {
	kb_group_spec_t spec;
	kb_placed_gate_t gates[KB_GROUP_MAX_TARGETS];
	kb_watchers_t watchers;
	/* Set when the placement may have changed; the owner clears it. */
	int changed;
} kb_group_placement_t;

/* Places the gates and watchers of every group on the hosts of the fleet. */
typedef struct kb_placements {
	kb_gate_map_t map;
	const kb_members_t *members;
	/* Sorted by name of the group. */
	kb_group_placement_t **groups;
	size_t count;
	size_t capacity;
} kb_placements_t;

/* Initializes without groups; `members` must outlive it. */
void kb_placements_init(kb_placements_t *placements,
			const kb_members_t *members);
void kb_placements_finish(kb_placements_t *placements);

/* Adds or changes a group. Returns KB_ERR_NO_MEMORY, changing nothing. */
kb_result_t kb_placements_put(kb_placements_t *placements,
			      const kb_group_spec_t *group);
void kb_placements_remove(kb_placements_t *placements, kb_str_t group);

/* Returns the placement of a group, or NULL. */
kb_group_placement_t *kb_placements_find(const kb_placements_t *placements,
					 kb_str_t group);

/*
 * Updates the placements after a change of a host; sets `changed` of the
 * groups concerned.
 */
void kb_placements_on_member(kb_placements_t *placements,
			     const kb_member_t *member);

/* Returns the host that has the gate of target `index`, or NULL. */
const kb_member_t *kb_placements_gate(const kb_placements_t *placements,
				      const kb_group_placement_t *group,
				      size_t index);

/*
 * Fills in the hosts that watch the group, in order of rank, and returns their
 * number. Hosts of the group's gates come first: they probe the targets in any
 * case.
 */
size_t kb_placements_watchers(const kb_placements_t *placements,
			      const kb_group_placement_t *group,
			      const kb_member_t *watchers[KB_WATCHERS_MAX]);

/* Returns whether `member` is this host. */
int kb_placements_is_self(const kb_placements_t *placements,
			  const kb_member_t *member);

KB_END_DECLS

#endif

#ifndef KB_GATE_MAP_H
#define KB_GATE_MAP_H

#include "group.h"
#include "placement.h"

KB_BEGIN_DECLS

typedef struct kb_gate_map kb_gate_map_t;

/* Placement of one target's gate. Embed it in the target's own object. */
typedef struct kb_gate {
	/* Must stay valid while the gate is in a map. */
	const kb_target_spec_t *target;
	/* Its `host` is the host of the gate, or KB_MEMBER_NONE. */
	kb_placement_t placement;
	struct kb_gate *next;
	struct kb_gate *prev;
} kb_gate_t;

/* Callbacks of a gate map. */
typedef struct kb_gate_map_ops {
	/*
	 * The gate has moved from host `before` to the host in its placement;
	 * either may be KB_MEMBER_NONE.
	 */
	void (*moved)(kb_gate_map_t *map, kb_gate_t *gate, uint32_t before);
} kb_gate_map_ops_t;

/*
 * A target's gate is the host that holds its connections, slots and queue; see
 * target_gate.h. The map assigns each gate by rendezvous hashing: to the
 * eligible host (live and not leaving) with the highest score in the target's
 * data centre, else in its region, else anywhere. A change of one host costs
 * one score per target, and a search of all hosts for each gate it loses.
 */
struct kb_gate_map {
	const kb_gate_map_ops_t *ops;
	const kb_member_table_t *table;
	kb_gate_t *first;
};

/* Initializes `map` over the hosts in `table`, which must outlive it. */
void kb_gate_map_init(kb_gate_map_t *map, const kb_gate_map_ops_t *ops,
		      const kb_member_table_t *table);

/*
 * Adds the gate of `target` and assigns it; calls `moved` if there is an
 * eligible host.
 */
void kb_gate_map_add(kb_gate_map_t *map, kb_gate_t *gate,
		     const kb_target_spec_t *target);

void kb_gate_map_remove(kb_gate_map_t *map, kb_gate_t *gate);

/* Reassigns gates after a change of host `member` of the table. */
void kb_gate_map_on_member(kb_gate_map_t *map, const kb_member_t *member);

/* Returns the host of `gate`, or NULL. */
static inline const kb_member_t *kb_gate_host(const kb_gate_map_t *map,
					      const kb_gate_t *gate)
{
	if (gate->placement.host == KB_MEMBER_NONE)
		return NULL;
	return &map->table->members[gate->placement.host];
}

KB_END_DECLS

#endif

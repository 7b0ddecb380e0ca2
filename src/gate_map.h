#ifndef KB_GATE_MAP_H
#define KB_GATE_MAP_H

#include "group.h"
#include "placement.h"

KB_BEGIN_DECLS

typedef struct kb_gate_map kb_gate_map_t;

/* The place of one target's gate. Embed it in the target's own object. */
typedef struct kb_gate {
	/* Must outlive the gate's time in a map. */
	const kb_target_spec_t *target;
	/* Its `host` is the gate, or KB_MEMBER_NONE. */
	kb_placement_t placement;
	struct kb_gate *next;
	struct kb_gate *prev;
} kb_gate_t;

/* Orders of the gate map. */
typedef struct kb_gate_map_ops {
	/* The gate moved away from host `before`, which may be
	 * KB_MEMBER_NONE, to the one that `gate` now names. */
	void (*moved)(kb_gate_map_t *map, kb_gate_t *gate, uint32_t before);
} kb_gate_map_ops_t;

/*
 * Places the gate of each target on the highest live host, not leaving, by
 * rendezvous score in the target's data centre, else in its region, else
 * anywhere. A change of one host costs one score for each target.
 */
struct kb_gate_map {
	const kb_gate_map_ops_t *ops;
	const kb_member_table_t *table;
	kb_gate_t *first;
};

/* Initializes `map` over the hosts in `table`, which must outlive it. */
void kb_gate_map_init(kb_gate_map_t *map, const kb_gate_map_ops_t *ops,
		      const kb_member_table_t *table);

/* Places `gate` for `target` and keeps it placed; calls `moved` if there is
 * an eligible host. */
void kb_gate_map_add(kb_gate_map_t *map, kb_gate_t *gate,
		     const kb_target_spec_t *target);

void kb_gate_map_remove(kb_gate_map_t *map, kb_gate_t *gate);

/* Host `member` of the table has changed. */
void kb_gate_map_on_member(kb_gate_map_t *map, const kb_member_t *member);

/* Returns the host that is the gate, or NULL. */
static inline const kb_member_t *kb_gate_host(const kb_gate_map_t *map,
					      const kb_gate_t *gate)
{
	if (gate->placement.host == KB_MEMBER_NONE)
		return NULL;
	return &map->table->members[gate->placement.host];
}

KB_END_DECLS

#endif

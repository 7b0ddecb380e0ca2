#include "gate_map.h"

#include "rendezvous.h"

void kb_gate_map_init(kb_gate_map_t *map, const kb_gate_map_ops_t *ops,
		      const kb_member_table_t *table)
{
	map->ops = ops;
	map->table = table;
	map->first = NULL;
}

/* Returns the rank of host `index` as the gate of `target`. */
static kb_placement_t rank(const kb_member_table_t *table, uint32_t index,
			   const kb_target_spec_t *target)
{
	const kb_member_t *member = &table->members[index];
	kb_placement_t placement = KB_PLACEMENT_NONE;

	if (!kb_member_is_eligible(member))
		return placement;
	placement.host = index;
	placement.nearness =
		kb_placement_locality(member, kb_name_str(&target->data_centre),
				      kb_name_str(&target->region));
	placement.score = kb_rendezvous_score(kb_member_name(member),
					      kb_name_str(&target->name));
	return placement;
}

static kb_placement_t choose(const kb_member_table_t *table,
			     const kb_target_spec_t *target)
{
	kb_placement_t best = KB_PLACEMENT_NONE;

	for (uint32_t i = 0; i < table->used; i++) {
		kb_placement_t placement = rank(table, i, target);

		if (kb_placement_outranks(table, &placement, &best))
			best = placement;
	}
	return best;
}

static void place(kb_gate_map_t *map, kb_gate_t *gate, kb_placement_t placement)
{
	uint32_t before = gate->placement.host;

	gate->placement = placement;
	if (placement.host != before)
		map->ops->moved(map, gate, before);
}

void kb_gate_map_add(kb_gate_map_t *map, kb_gate_t *gate,
		     const kb_target_spec_t *target)
{
	gate->target = target;
	gate->placement = KB_PLACEMENT_NONE;
	gate->prev = NULL;
	gate->next = map->first;
	if (gate->next)
		gate->next->prev = gate;
	map->first = gate;
	place(map, gate, choose(map->table, target));
}

void kb_gate_map_remove(kb_gate_map_t *map, kb_gate_t *gate)
{
	if (gate->next)
		gate->next->prev = gate->prev;
	if (gate->prev)
		gate->prev->next = gate->next;
	else
		map->first = gate->next;
	gate->next = NULL;
	gate->prev = NULL;
}

void kb_gate_map_on_member(kb_gate_map_t *map, const kb_member_t *member)
{
	uint32_t index = (uint32_t)(member - map->table->members);
	kb_gate_t *next;

	for (kb_gate_t *gate = map->first; gate; gate = next) {
		kb_placement_t placement =
			rank(map->table, index, gate->target);

		next = gate->next;
		if (gate->placement.host == index &&
		    (placement.host == KB_MEMBER_NONE ||
		     placement.nearness < gate->placement.nearness))
			place(map, gate, choose(map->table, gate->target));
		else if (gate->placement.host == index)
			gate->placement = placement;
		else if (kb_placement_outranks(map->table, &placement,
					       &gate->placement))
			place(map, gate, placement);
	}
}

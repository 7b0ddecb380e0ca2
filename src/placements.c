#include "placements.h"

#include <stdlib.h>

#define INITIAL_CAPACITY 16

static void on_moved(kb_gate_map_t *map, kb_gate_t *gate, uint32_t before)
{
	(void)map;
	(void)before;
	((kb_placed_gate_t *)gate)->group->changed = 1;
}

static const kb_gate_map_ops_t map_ops = {
	.moved = on_moved,
};

void kb_placements_init(kb_placements_t *placements,
			const kb_members_t *members)
{
	memset(placements, 0, sizeof(*placements));
	placements->members = members;
	kb_gate_map_init(&placements->map, &map_ops, &members->table);
}

static void remove_from_map(kb_placements_t *placements,
			    kb_group_placement_t *group)
{
	for (size_t i = 0; i < group->spec.target_count; i++)
		kb_gate_map_remove(&placements->map, &group->gates[i].gate);
}

void kb_placements_finish(kb_placements_t *placements)
{
	for (size_t i = 0; i < placements->count; i++) {
		remove_from_map(placements, placements->groups[i]);
		free(placements->groups[i]);
	}
	free(placements->groups);
}

static size_t lower_bound(const kb_placements_t *placements, kb_str_t group)
{
	size_t low = 0, high = placements->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		kb_name_t *name = &placements->groups[middle]->spec.name;

		if (kb_str_compare(kb_name_str(name), group) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

kb_group_placement_t *kb_placements_find(const kb_placements_t *placements,
					 kb_str_t group)
{
	size_t at = lower_bound(placements, group);

	if (at < placements->count &&
	    kb_name_is(&placements->groups[at]->spec.name, group))
		return placements->groups[at];
	return NULL;
}

static kb_group_placement_t *insert(kb_placements_t *placements, size_t at)
{
	size_t capacity = placements->capacity ? placements->capacity * 2
					       : INITIAL_CAPACITY;
	kb_group_placement_t **groups, *group;

	if (placements->count == placements->capacity) {
		groups = reallocarray(placements->groups, capacity,
				      sizeof(*groups));
		if (!groups)
			return NULL;
		placements->groups = groups;
		placements->capacity = capacity;
	}
	group = calloc(1, sizeof(*group));
	if (!group)
		return NULL;
	memmove(&placements->groups[at + 1], &placements->groups[at],
		sizeof(group) * (placements->count - at));
	placements->groups[at] = group;
	placements->count++;
	return group;
}

kb_result_t kb_placements_put(kb_placements_t *placements,
			      const kb_group_spec_t *spec)
{
	kb_str_t name = kb_name_str(&spec->name);
	kb_group_placement_t *group = kb_placements_find(placements, name);

	if (!group)
		group = insert(placements, lower_bound(placements, name));
	else
		remove_from_map(placements, group);
	if (!group)
		return KB_ERR_NO_MEMORY;
	group->spec = *spec;
	group->changed = 1;
	memset(group->gates, 0, sizeof(group->gates));
	for (size_t i = 0; i < spec->target_count; i++) {
		group->gates[i].group = group;
		kb_gate_map_add(&placements->map, &group->gates[i].gate,
				&group->spec.targets[i]);
	}
	kb_watchers_choose(&group->watchers, &placements->members->table,
			   &group->spec);
	return KB_OK;
}

void kb_placements_remove(kb_placements_t *placements, kb_str_t name)
{
	size_t at = lower_bound(placements, name);
	kb_group_placement_t *group = kb_placements_find(placements, name);

	if (!group)
		return;
	remove_from_map(placements, group);
	free(group);
	placements->count--;
	memmove(&placements->groups[at], &placements->groups[at + 1],
		sizeof(group) * (placements->count - at));
}

void kb_placements_on_member(kb_placements_t *placements,
			     const kb_member_t *member)
{
	kb_gate_map_on_member(&placements->map, member);
	for (size_t i = 0; i < placements->count; i++) {
		kb_group_placement_t *group = placements->groups[i];

		if (kb_watchers_on_member(&group->watchers,
					  &placements->members->table,
					  &group->spec, member))
			group->changed = 1;
	}
}

const kb_member_t *kb_placements_gate(const kb_placements_t *placements,
				      const kb_group_placement_t *group,
				      size_t index)
{
	return kb_gate_host(&placements->map, &group->gates[index].gate);
}

static size_t add_watcher(const kb_member_t **watchers, size_t count,
			  const kb_member_t *member)
{
	if (!member || count == KB_WATCHERS_MAX)
		return count;
	for (size_t i = 0; i < count; i++)
		if (watchers[i] == member)
			return count;
	watchers[count] = member;
	return count + 1;
}

size_t kb_placements_watchers(const kb_placements_t *placements,
			      const kb_group_placement_t *group,
			      const kb_member_t *watchers[KB_WATCHERS_MAX])
{
	const kb_member_table_t *table = &placements->members->table;
	size_t count = 0;

	for (size_t i = 0; i < group->spec.target_count; i++)
		count = add_watcher(watchers, count,
				    kb_placements_gate(placements, group, i));
	for (size_t i = 0; i < group->watchers.count; i++)
		count = add_watcher(
			watchers, count,
			&table->members[group->watchers.hosts[i].host]);
	return count;
}

int kb_placements_is_self(const kb_placements_t *placements,
			  const kb_member_t *member)
{
	return member == kb_members_self(placements->members);
}

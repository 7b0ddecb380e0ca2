#include "group_hint.h"

#include <stdlib.h>

#define INITIAL_CAPACITY 16

void kb_group_hint_init(kb_group_hint_t *hint, kb_str_t group)
{
	memset(hint, 0, sizeof(*hint));
	kb_name_set(&hint->group, group);
	hint->primary = KB_GROUP_MAX_TARGETS;
	kb_least_work_init(&hint->load);
}

static void update_target(kb_route_hint_t *hint, const kbx_target_view *item,
			  uint64_t term, kb_time_t now)
{
	kb_route_view_t view = {
		.primary = item->primary,
		.applied = { term, item->applied },
		.age = item->age_us < 0 ? KB_TIME_NEVER
					: item->age_us * KB_NS_PER_US,
		.waiting = item->waiting,
	};

	kb_route_hint_update(hint, &view, now);
}

void kb_group_hint_update(kb_group_hint_t *hint, const kb_group_spec_t *spec,
			  const kbx_group_view *view, kb_time_t now)
{
	if (!view->targets.targets_len || view->term < hint->term)
		return;
	if (view->term > hint->term)
		hint->primary = KB_GROUP_MAX_TARGETS;
	hint->term = view->term;
	for (size_t i = 0; i < view->targets.targets_len; i++) {
		const kbx_target_view *item = &view->targets.targets_val[i];
		size_t index =
			kb_group_find_target(spec, kb_str_from(item->target));

		if (index == spec->target_count)
			continue;
		update_target(&hint->targets[index], item, view->term, now);
		if (item->primary)
			hint->primary = index;
	}
}

void kb_group_hint_not_primary(kb_group_hint_t *hint,
			       const kb_group_spec_t *spec, size_t index)
{
	if (hint->primary != index && hint->primary < spec->target_count)
		return;
	hint->primary = (index + 1) % spec->target_count;
}

void kb_hint_table_init(kb_hint_table_t *table)
{
	memset(table, 0, sizeof(*table));
}

void kb_hint_table_finish(kb_hint_table_t *table)
{
	for (size_t i = 0; i < table->count; i++)
		free(table->hints[i]);
	free(table->hints);
	memset(table, 0, sizeof(*table));
}

static kb_result_t reserve_slot(kb_hint_table_t *table)
{
	size_t capacity =
		table->capacity ? table->capacity * 2 : INITIAL_CAPACITY;
	kb_group_hint_t **hints;

	if (table->count < table->capacity)
		return KB_OK;
	hints = reallocarray(table->hints, capacity, sizeof(*hints));
	if (!hints)
		return KB_ERR_NO_MEMORY;
	table->hints = hints;
	table->capacity = capacity;
	return KB_OK;
}

kb_group_hint_t *kb_hint_table_get(kb_hint_table_t *table, kb_str_t group)
{
	size_t low = 0, high = table->count;
	kb_group_hint_t *hint;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = kb_str_compare(
			kb_name_str(&table->hints[middle]->group), group);

		if (!order)
			return table->hints[middle];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	if (reserve_slot(table))
		return NULL;
	hint = malloc(sizeof(*hint));
	if (!hint)
		return NULL;
	kb_group_hint_init(hint, group);
	memmove(&table->hints[low + 1], &table->hints[low],
		sizeof(hint) * (table->count - low));
	table->hints[low] = hint;
	table->count++;
	return hint;
}

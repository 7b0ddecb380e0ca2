#include "target_list.h"

#include <stdlib.h>

static kb_target_node_t *find_target(const kb_target_list_t *list,
				     kb_str_t target)
{
	kb_target_node_t *node = NULL;

	HASH_FIND(by_name, list->targets, target.data, target.len, node);
	return node;
}

static kb_target_group_t *find_group(const kb_target_list_t *list,
				     kb_str_t name)
{
	kb_target_group_t *group = NULL;

	HASH_FIND(by_name, list->groups, name.data, name.len, group);
	return group;
}

static kb_target_group_t *get_group(kb_target_list_t *list,
				    const kb_name_t *name)
{
	kb_target_group_t *group = find_group(list, kb_name_str(name));

	if (group)
		return group;
	group = calloc(1, sizeof(*group));
	if (!group)
		return NULL;
	group->name = *name;
	HASH_ADD_KEYPTR(by_name, list->groups, group->name.data,
			group->name.len, group);
	return group;
}

static void join_group(kb_target_node_t *node, kb_target_group_t *group)
{
	kb_target_node_t **link = &group->first;

	while (*link)
		link = &(*link)->next;
	*link = node;
	node->next = NULL;
	node->group = group;
}

static void leave_group(kb_target_list_t *list, kb_target_node_t *node)
{
	kb_target_group_t *group = node->group;
	kb_target_node_t **link = &group->first;

	while (*link != node)
		link = &(*link)->next;
	*link = node->next;
	if (group->first)
		return;
	HASH_DELETE(by_name, list->groups, group);
	free(group);
}

static void remove_target(kb_target_list_t *list, kb_target_node_t *node)
{
	leave_group(list, node);
	HASH_DELETE(by_name, list->targets, node);
	list->count--;
	free(node);
}

void kb_target_list_finish(kb_target_list_t *list)
{
	while (list->targets)
		remove_target(list, list->targets);
	memset(list, 0, sizeof(*list));
}

kb_result_t kb_target_list_put(kb_target_list_t *list,
			       const kb_target_entry_t *entry)
{
	kb_target_node_t *node =
		find_target(list, kb_name_str(&entry->place.target));
	kb_target_group_t *group = get_group(list, &entry->place.group);

	if (!group)
		return KB_ERR_NO_MEMORY;
	if (node) {
		if (node->group != group) {
			leave_group(list, node);
			join_group(node, group);
		}
		node->entry = *entry;
		return KB_OK;
	}
	node = calloc(1, sizeof(*node));
	if (!node)
		return KB_ERR_NO_MEMORY;
	node->entry = *entry;
	join_group(node, group);
	HASH_ADD_KEYPTR(by_name, list->targets, node->entry.place.target.data,
			node->entry.place.target.len, node);
	list->count++;
	return KB_OK;
}

void kb_target_list_remove(kb_target_list_t *list, kb_str_t target)
{
	kb_target_node_t *node = find_target(list, target);

	if (node)
		remove_target(list, node);
}

const kb_target_entry_t *kb_target_list_find(const kb_target_list_t *list,
					     kb_str_t target)
{
	const kb_target_node_t *node = find_target(list, target);

	return node ? &node->entry : NULL;
}

const kb_target_entry_t *kb_target_list_first(const kb_target_list_t *list,
					      kb_str_t group)
{
	const kb_target_group_t *found = find_group(list, group);

	return found ? &found->first->entry : NULL;
}

const kb_target_entry_t *kb_target_list_next(const kb_target_entry_t *entry)
{
	const kb_target_node_t *node = (const kb_target_node_t *)entry;

	return node->next ? &node->next->entry : NULL;
}

#include "target_list.h"

#include <stdlib.h>

enum {
	INITIAL_CAPACITY = 16,
};

void kb_target_list_finish(kb_target_list_t *list)
{
	free(list->entries);
	memset(list, 0, sizeof(*list));
}

static kb_target_entry_t *find(const kb_target_list_t *list, kb_str_t target)
{
	for (size_t i = 0; i < list->count; i++)
		if (kb_name_is(&list->entries[i].place.target, target))
			return &list->entries[i];
	return NULL;
}

kb_result_t kb_target_list_put(kb_target_list_t *list,
			       const kb_target_entry_t *entry)
{
	kb_target_entry_t *present =
		find(list, kb_name_str(&entry->place.target));
	size_t capacity =
		list->capacity ? list->capacity * 2 : INITIAL_CAPACITY;
	kb_target_entry_t *entries;

	if (present) {
		*present = *entry;
		return KB_OK;
	}
	if (list->count == list->capacity) {
		entries =
			reallocarray(list->entries, capacity, sizeof(*entries));
		if (!entries)
			return KB_ERR_NO_MEMORY;
		list->entries = entries;
		list->capacity = capacity;
	}
	list->entries[list->count++] = *entry;
	return KB_OK;
}

void kb_target_list_remove(kb_target_list_t *list, kb_str_t target)
{
	kb_target_entry_t *present = find(list, target);

	if (present)
		*present = list->entries[--list->count];
}

const kb_target_entry_t *kb_target_list_find(const kb_target_list_t *list,
					     kb_str_t target)
{
	return find(list, target);
}

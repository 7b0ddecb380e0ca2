#include "session_values.h"

#include <stdlib.h>

void kb_session_values_finish(kb_session_values_t *values)
{
	for (size_t i = 0; i < values->count; i++) {
		kb_text_free(&values->items[i].name);
		kb_text_free(&values->items[i].value);
	}
	free(values->items);
	values->items = NULL;
	values->count = 0;
}

static kbs_value *find(const kb_session_values_t *values, kb_str_t name)
{
	for (size_t i = 0; i < values->count; i++)
		if (kb_str_equal(kb_text_str(values->items[i].name), name))
			return &values->items[i];
	return NULL;
}

kb_result_t kb_session_values_set(kb_session_values_t *values, kb_str_t name,
				  kb_str_t value)
{
	kbs_value *item = find(values, name);
	kbs_value *items;

	if (item)
		return kb_text_copy(&item->value, value);
	if (values->count == KBS_VALUES_MAX)
		return KB_ERR_TOO_LARGE;
	items = reallocarray(values->items, values->count + 1, sizeof(*items));
	if (!items)
		return KB_ERR_NO_MEMORY;
	values->items = items;
	item = &items[values->count];
	memset(item, 0, sizeof(*item));
	if (kb_text_copy(&item->name, name) ||
	    kb_text_copy(&item->value, value)) {
		kb_text_free(&item->name);
		return KB_ERR_NO_MEMORY;
	}
	values->count++;
	return KB_OK;
}

int kb_session_values_remove(kb_session_values_t *values, kb_str_t name)
{
	kbs_value *item = find(values, name);

	if (!item)
		return 0;
	kb_text_free(&item->name);
	kb_text_free(&item->value);
	*item = values->items[--values->count];
	return 1;
}

const kbs_text *kb_session_values_get(const kb_session_values_t *values,
				      kb_str_t name)
{
	const kbs_value *item = find(values, name);

	return item ? &item->value : NULL;
}

const kbs_value *
kb_session_values_find_mismatch(const kb_session_values_t *values,
				const kbs_value *wanted, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const kbs_text *value = kb_session_values_get(
			values, kb_text_str(wanted[i].name));

		if (!value || !kb_str_equal(kb_text_str(*value),
					    kb_text_str(wanted[i].value)))
			return &wanted[i];
	}
	return NULL;
}

int kb_session_values_has_extra(const kb_session_values_t *values,
				const kbs_value *wanted, size_t count)
{
	for (size_t i = 0; i < values->count; i++) {
		size_t j = 0;

		while (j < count &&
		       !kb_str_equal(kb_text_str(values->items[i].name),
				     kb_text_str(wanted[j].name)))
			j++;
		if (j == count)
			return 1;
	}
	return 0;
}

#include "target_names.h"

int kb_target_names_contain(const kb_target_names_t *names,
			    const kb_name_t *target)
{
	for (size_t i = 0; i < names->count; i++)
		if (kb_name_is(&names->names[i], kb_name_str(target)))
			return 1;
	return 0;
}

void kb_target_names_add(kb_target_names_t *names, const kb_name_t *target)
{
	if (names->count < KB_TARGET_NAMES_MAX &&
	    !kb_target_names_contain(names, target))
		names->names[names->count++] = *target;
}

int kb_target_names_equal(const kb_target_names_t *a,
			  const kb_target_names_t *b)
{
	if (a->count != b->count)
		return 0;
	for (size_t i = 0; i < a->count; i++)
		if (!kb_target_names_contain(b, &a->names[i]))
			return 0;
	return 1;
}

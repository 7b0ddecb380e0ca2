#include "group.h"

size_t kb_group_find_target(const kb_group_spec_t *group, kb_str_t name)
{
	size_t i;

	for (i = 0; i < group->target_count; i++)
		if (kb_name_is(&group->targets[i].name, name))
			break;
	return i;
}

static int same_name(const kb_name_t *a, const kb_name_t *b)
{
	return kb_str_equal(kb_name_str(a), kb_name_str(b));
}

int kb_target_spec_equal(const kb_target_spec_t *a, const kb_target_spec_t *b)
{
	return same_name(&a->name, &b->name) &&
	       same_name(&a->address, &b->address) && a->port == b->port &&
	       same_name(&a->data_centre, &b->data_centre) &&
	       same_name(&a->region, &b->region) && a->slots == b->slots &&
	       a->connections == b->connections && a->state == b->state;
}

int kb_group_spec_equal(const kb_group_spec_t *a, const kb_group_spec_t *b)
{
	if (!same_name(&a->name, &b->name) ||
	    !same_name(&a->database, &b->database) ||
	    a->target_count != b->target_count)
		return 0;
	for (size_t i = 0; i < a->target_count; i++)
		if (!kb_target_spec_equal(&a->targets[i], &b->targets[i]))
			return 0;
	return 1;
}

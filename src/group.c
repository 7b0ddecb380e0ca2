#include "group.h"

size_t kb_group_find_target(const kb_group_spec_t *group, kb_str_t name)
{
	size_t i;

	for (i = 0; i < group->target_count; i++)
		if (kb_name_is(&group->targets[i].name, name))
			break;
	return i;
}

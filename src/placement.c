#include "placement.h"

kb_locality_t kb_placement_locality(const kb_member_t *member,
				    kb_str_t data_centre, kb_str_t region)
{
	if (kb_str_equal(kb_member_data_centre(member), data_centre))
		return KB_LOCALITY_DATA_CENTRE;
	if (kb_str_equal(kb_member_region(member), region))
		return KB_LOCALITY_REGION;
	return KB_LOCALITY_ANY;
}

bool kb_placement_outranks(const kb_member_table_t *table,
			   const kb_placement_t *a, const kb_placement_t *b)
{
	if (a->host == KB_MEMBER_NONE || b->host == KB_MEMBER_NONE)
		return a->host != KB_MEMBER_NONE;
	if (a->nearness != b->nearness)
		return a->nearness > b->nearness;
	if (a->score != b->score)
		return a->score > b->score;
	return kb_str_compare(kb_member_name(&table->members[a->host]),
			      kb_member_name(&table->members[b->host])) > 0;
}

#include "watchers.h"

#include "rendezvous.h"

static kb_placement_t rank(const kb_member_table_t *table, uint32_t index,
			   const kb_group_spec_t *group)
{
	const kb_member_t *member = &table->members[index];
	kb_placement_t placement = KB_PLACEMENT_NONE;

	if (!kb_member_is_eligible(member))
		return placement;
	placement.host = index;
	for (size_t i = 0; i < group->target_count; i++) {
		const kb_target_spec_t *target = &group->targets[i];
		kb_locality_t nearness = kb_placement_locality(
			member, kb_name_str(&target->data_centre),
			kb_name_str(&target->region));

		if (nearness > placement.nearness)
			placement.nearness = nearness;
	}
	placement.score = kb_rendezvous_score(kb_member_name(member),
					      kb_name_str(&group->name));
	return placement;
}

static bool in_same_data_centre(const kb_member_table_t *table, uint32_t a,
				uint32_t b)
{
	return kb_str_equal(kb_member_data_centre(&table->members[a]),
			    kb_member_data_centre(&table->members[b]));
}

/* Puts `placement` in its order; the lowest one drops out if all are full. */
static void insert(kb_watchers_t *watchers, const kb_member_table_t *table,
		   kb_placement_t placement)
{
	size_t i = watchers->count;

	if (i < KB_WATCHERS_MAX)
		watchers->count++;
	else if (kb_placement_outranks(table, &placement,
				       &watchers->hosts[i - 1]))
		i--;
	else
		return;
	for (; i && kb_placement_outranks(table, &placement,
					  &watchers->hosts[i - 1]);
	     i--)
		watchers->hosts[i] = watchers->hosts[i - 1];
	watchers->hosts[i] = placement;
}

/* Keeps at most the highest host of each data centre. */
static void offer_spread(kb_watchers_t *watchers,
			 const kb_member_table_t *table,
			 kb_placement_t placement)
{
	for (size_t i = 0; i < watchers->count; i++) {
		if (!in_same_data_centre(table, watchers->hosts[i].host,
					 placement.host))
			continue;
		if (!kb_placement_outranks(table, &placement,
					   &watchers->hosts[i]))
			return;
		watchers->count--;
		for (; i < watchers->count; i++)
			watchers->hosts[i] = watchers->hosts[i + 1];
		break;
	}
	insert(watchers, table, placement);
}

/* Fills the free places where there are too few data centres. */
static void fill(kb_watchers_t *watchers, const kb_member_table_t *table,
		 const kb_group_spec_t *group)
{
	kb_watchers_t chosen = *watchers;
	kb_watchers_t others = { 0 };

	for (uint32_t i = 0; i < table->used; i++) {
		kb_placement_t placement = rank(table, i, group);

		if (placement.host != KB_MEMBER_NONE &&
		    kb_watchers_rank(&chosen, i) == KB_WATCHERS_MAX)
			insert(&others, table, placement);
	}
	for (size_t i = 0;
	     i < others.count && watchers->count < KB_WATCHERS_MAX; i++)
		insert(watchers, table, others.hosts[i]);
}

void kb_watchers_choose(kb_watchers_t *watchers, const kb_member_table_t *table,
			const kb_group_spec_t *group)
{
	memset(watchers, 0, sizeof(*watchers));
	for (uint32_t i = 0; i < table->used; i++) {
		kb_placement_t placement = rank(table, i, group);

		if (placement.host != KB_MEMBER_NONE)
			offer_spread(watchers, table, placement);
	}
	watchers->spread = watchers->count == KB_WATCHERS_MAX;
	if (!watchers->spread)
		fill(watchers, table, group);
}

size_t kb_watchers_rank(const kb_watchers_t *watchers, uint32_t index)
{
	for (size_t i = 0; i < watchers->count; i++)
		if (watchers->hosts[i].host == index)
			return i;
	return KB_WATCHERS_MAX;
}

static bool same_hosts(const kb_watchers_t *a, const kb_watchers_t *b)
{
	if (a->count != b->count)
		return false;
	for (size_t i = 0; i < a->count; i++)
		if (a->hosts[i].host != b->hosts[i].host)
			return false;
	return true;
}

bool kb_watchers_on_member(kb_watchers_t *watchers,
			   const kb_member_table_t *table,
			   const kb_group_spec_t *group,
			   const kb_member_t *member)
{
	uint32_t index = (uint32_t)(member - table->members);
	kb_watchers_t before = *watchers;
	kb_placement_t placement;

	if (watchers->spread &&
	    kb_watchers_rank(watchers, index) == KB_WATCHERS_MAX) {
		placement = rank(table, index, group);
		if (!kb_placement_outranks(
			    table, &placement,
			    &watchers->hosts[KB_WATCHERS_MAX - 1]))
			return false;
	}
	kb_watchers_choose(watchers, table, group);
	return !same_hosts(&before, watchers);
}

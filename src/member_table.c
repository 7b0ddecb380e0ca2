#include "member_table.h"

#include <stdlib.h>
#include <xxhash.h>

enum {
	INITIAL_CAPACITY = 16,
	/* Slots for each place of the table. */
	SLOTS_PER_PLACE = 2,
};

void kb_member_table_init(kb_member_table_t *table)
{
	memset(table, 0, sizeof(*table));
}

void kb_member_table_finish(kb_member_table_t *table)
{
	for (uint32_t i = 0; i < table->used; i++)
		free(table->members[i].text);
	free(table->members);
	free(table->slots);
	memset(table, 0, sizeof(*table));
}

static uint64_t name_hash(kb_str_t name)
{
	return XXH3_64bits(name.data, name.len);
}

uint32_t kb_member_table_bucket(kb_str_t name)
{
	return (uint32_t)(name_hash(name) >> 32) % KB_MEMBER_BUCKET_COUNT;
}

/* Returns the slot that holds `name`, or the free one where it belongs. */
static uint32_t find_slot(const kb_member_table_t *table, kb_str_t name)
{
	uint32_t mask = table->slot_count - 1;
	uint32_t slot = (uint32_t)name_hash(name) & mask;

	while (table->slots[slot]) {
		uint32_t index = table->slots[slot] - 1;

		if (kb_str_equal(kb_member_name(&table->members[index]), name))
			break;
		slot = (slot + 1) & mask;
	}
	return slot;
}

uint32_t kb_member_table_find(const kb_member_table_t *table, kb_str_t name)
{
	uint32_t slot;

	if (!table->slot_count)
		return KB_MEMBER_NONE;
	slot = find_slot(table, name);
	return table->slots[slot] ? table->slots[slot] - 1 : KB_MEMBER_NONE;
}

static kb_result_t grow(kb_member_table_t *table)
{
	uint32_t capacity =
		table->capacity ? table->capacity * 2 : INITIAL_CAPACITY;
	uint32_t slot_count = capacity * SLOTS_PER_PLACE;
	uint32_t *slots = calloc(slot_count, sizeof(*slots));
	kb_member_t *members;

	if (!slots)
		return KB_ERR_NO_MEMORY;
	members = realloc(table->members, capacity * sizeof(*members));
	if (!members) {
		free(slots);
		return KB_ERR_NO_MEMORY;
	}
	free(table->slots);
	table->slots = slots;
	table->slot_count = slot_count;
	table->members = members;
	table->capacity = capacity;
	for (uint32_t i = 0; i < table->used; i++) {
		if (!members[i].text)
			continue;
		slots[find_slot(table, kb_member_name(&members[i]))] = i + 1;
	}
	return KB_OK;
}

/* Adds or takes off the host's part of the digest and of the counts. */
static void count_member(kb_member_table_t *table, const kb_member_t *member,
			 int sign)
{
	kb_str_t name = kb_member_name(member);
	uint64_t claim[] = { member->instance, member->incarnation,
			     member->leaving };
	uint32_t hash;

	table->state_count[member->state] += (uint32_t)sign;
	table->count += (uint32_t)sign;
	if (member->state == KB_MEMBER_DEAD || !member->instance)
		return;
	hash = (uint32_t)XXH3_64bits_withSeed(claim, sizeof(claim),
					      name_hash(name));
	table->buckets[kb_member_table_bucket(name)] += (uint32_t)sign * hash;
}

static char *append(char *end, const kb_name_t *name)
{
	memcpy(end, name->data, name->len);
	return end + name->len;
}

/* Gives `member` the place fields of `record`. */
static kb_result_t set_place(kb_member_t *member,
			     const kb_member_record_t *record)
{
	size_t len = record->name.len + record->address.len +
		     record->data_centre.len + record->region.len;
	char *text = malloc(len ? len : 1);
	char *end;

	if (!text)
		return KB_ERR_NO_MEMORY;
	end = append(text, &record->name);
	end = append(end, &record->address);
	end = append(end, &record->data_centre);
	append(end, &record->region);
	free(member->text);
	member->text = text;
	member->name_len = record->name.len;
	member->address_len = record->address.len;
	member->data_centre_len = record->data_centre.len;
	member->region_len = record->region.len;
	member->port = record->port;
	return KB_OK;
}

static void set_claim(kb_member_t *member, const kb_member_record_t *record)
{
	bool own_claim = record->state == KB_MEMBER_ALIVE ||
			 record->state == KB_MEMBER_LEAVING;

	member->fresh = record->instance != member->instance;
	if (own_claim || member->fresh)
		member->leaving = record->state == KB_MEMBER_LEAVING;
	member->instance = record->instance;
	member->incarnation = record->incarnation;
	member->state = (uint8_t)record->state;
}

static uint32_t free_place(const kb_member_table_t *table)
{
	uint32_t i = table->used;

	if (table->count < table->used)
		for (i = 0; table->members[i].text; i++)
			;
	return i;
}

kb_result_t kb_member_table_add(kb_member_table_t *table,
				const kb_member_record_t *record,
				uint32_t *index)
{
	kb_member_t member = { 0 };
	uint32_t place = free_place(table);
	kb_result_t result;

	if (place == table->capacity) {
		result = grow(table);
		if (result)
			return result;
	}
	result = set_place(&member, record);
	if (result)
		return result;
	set_claim(&member, record);
	table->slots[find_slot(table, kb_name_str(&record->name))] = place + 1;
	table->members[place] = member;
	if (place == table->used)
		table->used++;
	count_member(table, &member, 1);
	*index = place;
	return KB_OK;
}

static bool has_place(const kb_member_t *member,
		      const kb_member_record_t *record)
{
	return member->port == record->port &&
	       kb_name_is(&record->address, kb_member_address(member)) &&
	       kb_name_is(&record->data_centre,
			  kb_member_data_centre(member)) &&
	       kb_name_is(&record->region, kb_member_region(member));
}

kb_result_t kb_member_table_update(kb_member_table_t *table, uint32_t index,
				   const kb_member_record_t *record)
{
	kb_member_t *member = &table->members[index];
	kb_member_t before = *member;
	kb_result_t result;

	count_member(table, &before, -1);
	if (record->address.len && !has_place(member, record)) {
		result = set_place(member, record);
		if (result) {
			count_member(table, &before, 1);
			return result;
		}
	}
	set_claim(member, record);
	count_member(table, member, 1);
	return KB_OK;
}

void kb_member_table_remove(kb_member_table_t *table, uint32_t index)
{
	kb_member_t *member = &table->members[index];
	uint32_t mask = table->slot_count - 1;
	uint32_t slot = find_slot(table, kb_member_name(member));

	count_member(table, member, -1);
	table->slots[slot] = 0;
	free(member->text);
	memset(member, 0, sizeof(*member));
	/* Moves the rest of the run, so that no search ends too early. */
	for (slot = (slot + 1) & mask; table->slots[slot];
	     slot = (slot + 1) & mask) {
		uint32_t moved = table->slots[slot];
		kb_str_t name = kb_member_name(&table->members[moved - 1]);

		table->slots[slot] = 0;
		table->slots[find_slot(table, name)] = moved;
	}
}

size_t kb_member_table_bytes(const kb_member_table_t *table)
{
	size_t bytes = table->capacity * sizeof(*table->members) +
		       table->slot_count * sizeof(*table->slots);

	for (uint32_t i = 0; i < table->used; i++) {
		const kb_member_t *member = &table->members[i];

		bytes += (size_t)member->name_len + member->address_len +
			 member->data_centre_len + member->region_len;
	}
	return bytes;
}

void kb_member_to_record(const kb_member_t *member, kb_member_record_t *record)
{
	record->instance = member->instance;
	record->incarnation = member->incarnation;
	record->state = (kb_member_state_t)member->state;
	record->port = member->port;
	kb_name_set(&record->name, kb_member_name(member));
	kb_name_set(&record->address, kb_member_address(member));
	kb_name_set(&record->data_centre, kb_member_data_centre(member));
	kb_name_set(&record->region, kb_member_region(member));
}

void kb_member_clear_location(kb_member_record_t *record)
{
	record->address.len = 0;
	record->data_centre.len = 0;
	record->region.len = 0;
}

int kb_member_compare_claims(const kb_member_t *member,
			     const kb_member_record_t *record)
{
	if (member->instance != record->instance)
		return member->instance < record->instance ? -1 : 1;
	if (member->incarnation != record->incarnation)
		return member->incarnation < record->incarnation ? -1 : 1;
	return (int)member->state - (int)record->state;
}

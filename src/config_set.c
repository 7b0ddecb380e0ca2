#include "config_set.h"

#include <stdlib.h>
#include <xxhash.h>

enum {
	INITIAL_SLOTS = 32,
};

void kb_config_set_init(kb_config_set_t *set, const kb_config_set_ops_t *ops)
{
	memset(set, 0, sizeof(*set));
	set->ops = ops;
}

void kb_config_set_finish(kb_config_set_t *set)
{
	kb_config_entry_t *next;

	for (kb_config_entry_t *entry = set->first; entry; entry = next) {
		next = entry->next;
		free(entry->value);
		free(entry);
	}
	free(set->slots);
	kb_config_set_init(set, set->ops);
}

static uint64_t key_hash(kb_str_t kind, kb_str_t name)
{
	uint64_t seed = XXH3_64bits(kind.data, kind.len);

	return XXH3_64bits_withSeed(name.data, name.len, seed);
}

static uint64_t entry_key_hash(const kb_config_entry_t *entry)
{
	return key_hash(kb_config_entry_kind(entry),
			kb_config_entry_name(entry));
}

/* Returns the slot that holds the key, or the free one where it belongs. */
static size_t find_slot(const kb_config_set_t *set, kb_str_t kind,
			kb_str_t name)
{
	size_t mask = set->slot_count - 1;
	size_t slot = key_hash(kind, name) & mask;

	for (; set->slots[slot]; slot = (slot + 1) & mask) {
		const kb_config_entry_t *entry = set->slots[slot];

		if (kb_str_equal(kb_config_entry_kind(entry), kind) &&
		    kb_str_equal(kb_config_entry_name(entry), name))
			break;
	}
	return slot;
}

const kb_config_entry_t *kb_config_set_find(const kb_config_set_t *set,
					    kb_str_t kind, kb_str_t name)
{
	if (!set->slot_count)
		return NULL;
	return set->slots[find_slot(set, kind, name)];
}

/* Keeps at least half of the slots free. */
static kb_result_t reserve_slot(kb_config_set_t *set)
{
	size_t count = set->slot_count ? set->slot_count * 2 : INITIAL_SLOTS;
	kb_config_entry_t **slots;

	if ((set->count + 1) * 2 <= set->slot_count)
		return KB_OK;
	slots = calloc(count, sizeof(kb_config_entry_t *));
	if (!slots)
		return KB_ERR_NO_MEMORY;
	free(set->slots);
	set->slots = slots;
	set->slot_count = count;
	for (kb_config_entry_t *entry = set->first; entry; entry = entry->next)
		slots[find_slot(set, kb_config_entry_kind(entry),
				kb_config_entry_name(entry))] = entry;
	return KB_OK;
}

static uint64_t entry_hash(const kb_config_entry_t *entry)
{
	if (entry->deleted || !entry->revision)
		return 0;
	return XXH3_64bits_withSeed(&entry->revision, sizeof(entry->revision),
				    entry_key_hash(entry));
}

/* Inserts `entry` into the list in the order of revisions and adds it to the
 * totals. */
static void link_entry(kb_config_set_t *set, kb_config_entry_t *entry)
{
	kb_config_entry_t *after = set->last;

	while (after && after->revision > entry->revision)
		after = after->prev;
	entry->prev = after;
	entry->next = after ? after->next : set->first;
	if (entry->next)
		entry->next->prev = entry;
	else
		set->last = entry;
	if (after)
		after->next = entry;
	else
		set->first = entry;
	set->digest += entry_hash(entry);
	set->value_bytes += entry->value_len;
	set->tombstone_count += entry->deleted;
}

static void unlink_entry(kb_config_set_t *set, kb_config_entry_t *entry)
{
	set->digest -= entry_hash(entry);
	set->value_bytes -= entry->value_len;
	set->tombstone_count -= entry->deleted;
	if (entry->next)
		entry->next->prev = entry->prev;
	else
		set->last = entry->prev;
	if (entry->prev)
		entry->prev->next = entry->next;
	else
		set->first = entry->next;
}

static void remove_entry(kb_config_set_t *set, kb_config_entry_t *entry)
{
	size_t mask = set->slot_count - 1;
	size_t slot = find_slot(set, kb_config_entry_kind(entry),
				kb_config_entry_name(entry));

	unlink_entry(set, entry);
	set->count--;
	set->slots[slot] = NULL;
	/* Reinserts the rest of the run, so that no probe stops too early. */
	for (slot = (slot + 1) & mask; set->slots[slot];
	     slot = (slot + 1) & mask) {
		kb_config_entry_t *moved = set->slots[slot];

		set->slots[slot] = NULL;
		set->slots[find_slot(set, kb_config_entry_kind(moved),
				     kb_config_entry_name(moved))] = moved;
	}
	free(entry->value);
	free(entry);
}

static void evict_old_tombstones(kb_config_set_t *set)
{
	kb_config_entry_t *next;

	for (kb_config_entry_t *entry = set->first;
	     entry && entry->revision <= set->complete &&
	     set->tombstone_count > KB_CONFIG_TOMBSTONES_MAX;
	     entry = next) {
		next = entry->next;
		if (!entry->deleted)
			continue;
		set->tombstone_floor = entry->revision;
		remove_entry(set, entry);
	}
}

/* Adds an entry without revision or value to the table, not to the list. */
static kb_config_entry_t *add_entry(kb_config_set_t *set, kb_str_t kind,
				    kb_str_t name)
{
	kb_config_entry_t *entry;

	if (reserve_slot(set))
		return NULL;
	entry = calloc(1, sizeof(*entry) + kind.len + name.len);
	if (!entry)
		return NULL;
	entry->kind_len = (uint8_t)kind.len;
	entry->name_len = (uint8_t)name.len;
	memcpy(entry->text, kind.data, kind.len);
	memcpy(entry->text + kind.len, name.data, name.len);
	set->slots[find_slot(set, kind, name)] = entry;
	set->count++;
	return entry;
}

static kb_result_t validate(const kb_config_change_t *change)
{
	if (!change->kind.len || change->kind.len > KB_NAME_MAX_BYTES ||
	    !change->name.len || change->name.len > KB_NAME_MAX_BYTES)
		return KB_ERR_INVALID;
	if (change->value.len > KB_CONFIG_VALUE_MAX_BYTES)
		return KB_ERR_TOO_LARGE;
	return KB_OK;
}

/* Stores `change` in `entry`, or in a new entry if that is NULL. */
static kb_result_t store(kb_config_set_t *set, kb_config_entry_t *entry,
			 const kb_config_change_t *change)
{
	size_t value_len = change->deleted ? 0 : change->value.len;
	char *value = malloc(value_len ? value_len : 1);

	if (!value)
		return KB_ERR_NO_MEMORY;
	if (entry)
		unlink_entry(set, entry);
	else
		entry = add_entry(set, change->kind, change->name);
	if (!entry) {
		free(value);
		return KB_ERR_NO_MEMORY;
	}
	if (value_len)
		memcpy(value, change->value.data, value_len);
	free(entry->value);
	entry->value = value;
	entry->value_len = value_len;
	entry->revision = change->revision;
	entry->deleted = change->deleted;
	link_entry(set, entry);
	set->ops->accepted(set, entry);
	return KB_OK;
}

static kb_config_entry_t *find(const kb_config_set_t *set,
			       const kb_config_change_t *change)
{
	if (!set->slot_count)
		return NULL;
	return set->slots[find_slot(set, change->kind, change->name)];
}

kb_result_t kb_config_set_apply(kb_config_set_t *set,
				const kb_config_change_t *change,
				bool *accepted)
{
	kb_result_t result = validate(change);
	kb_config_entry_t *entry;

	*accepted = false;
	if (result)
		return result;
	entry = find(set, change);
	if (entry && entry->revision >= change->revision)
		return KB_OK;
	/* The resource may have been deleted and its tombstone evicted. */
	if (!entry && change->revision &&
	    change->revision <= set->tombstone_floor)
		return KB_OK;
	result = store(set, entry, change);
	*accepted = !result;
	evict_old_tombstones(set);
	return result;
}

bool kb_config_set_advance(kb_config_set_t *set, uint64_t after,
			   uint64_t revision)
{
	if (set->complete < after)
		return false;
	if (revision > set->complete)
		set->complete = revision;
	return true;
}

bool kb_config_set_begin_snapshot(kb_config_set_t *set, uint64_t revision)
{
	if (revision < set->complete)
		return false;
	set->snapshot++;
	return true;
}

kb_result_t kb_config_set_apply_snapshot(kb_config_set_t *set,
					 const kb_config_change_t *change)
{
	kb_result_t result = validate(change);
	kb_config_entry_t *entry;

	if (result)
		return result;
	entry = find(set, change);
	if (!entry || entry->revision < change->revision)
		result = store(set, entry, change);
	if (!result)
		find(set, change)->snapshot = set->snapshot;
	return result;
}

/* Deletes `entry` as of `revision`. */
static kb_result_t delete_entry(kb_config_set_t *set, kb_config_entry_t *entry,
				uint64_t revision)
{
	kb_config_change_t change = kb_config_entry_change(entry);

	change.revision = revision;
	change.deleted = true;
	return store(set, entry, &change);
}

kb_result_t kb_config_set_end_snapshot(kb_config_set_t *set, uint64_t revision,
				       uint64_t floor)
{
	kb_config_entry_t *next;

	if (revision < set->complete || !revision)
		return KB_OK;
	for (kb_config_entry_t *entry = set->first;
	     entry && entry->revision < revision; entry = next) {
		kb_result_t result = KB_OK;

		next = entry->next;
		if (!entry->deleted && entry->snapshot != set->snapshot)
			result = delete_entry(set, entry, revision);
		if (result)
			return result;
	}
	set->complete = revision;
	if (floor > set->tombstone_floor)
		set->tombstone_floor = floor;
	evict_old_tombstones(set);
	return KB_OK;
}

const kb_config_entry_t *kb_config_set_since(const kb_config_set_t *set,
					     uint64_t after)
{
	const kb_config_entry_t *entry = set->last;

	if (!entry || entry->revision <= after)
		return NULL;
	while (entry->prev && entry->prev->revision > after)
		entry = entry->prev;
	return entry;
}

uint64_t kb_config_set_digest(const kb_config_set_t *set)
{
	uint64_t digest = set->digest;

	for (const kb_config_entry_t *entry = set->last;
	     entry && entry->revision > set->complete; entry = entry->prev)
		digest -= entry_hash(entry);
	return digest;
}

size_t kb_config_set_bytes(const kb_config_set_t *set)
{
	size_t bytes = set->slot_count * sizeof(kb_config_entry_t *) +
		       set->count * sizeof(kb_config_entry_t) +
		       set->value_bytes;

	for (const kb_config_entry_t *entry = set->first; entry;
	     entry = entry->next)
		bytes += (size_t)entry->kind_len + entry->name_len;
	return bytes;
}

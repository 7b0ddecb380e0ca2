#include "mirror.h"

#include "text.h"

#include <stdlib.h>

static void free_entry(kb_mirror_entry_t *entry)
{
	free((char *)entry->key.data);
	free((char *)entry->value.data);
	free(entry);
}

void kb_mirror_finish(kb_mirror_t *mirror)
{
	kb_mirror_entry_t *entry = mirror->entries;

	/* Frees the table only; the entries stay linked. */
	HASH_CLEAR(by_key, mirror->entries);
	while (entry) {
		kb_mirror_entry_t *next = entry->by_key.next;

		free_entry(entry);
		entry = next;
	}
	for (size_t i = 0; i < KB_MIRROR_REMOVALS_MAX; i++)
		free((char *)mirror->removals[i].key.data);
	memset(mirror->removals, 0, sizeof(mirror->removals));
}

static kb_mirror_entry_t *find_entry(const kb_mirror_t *mirror, kb_str_t key)
{
	kb_mirror_entry_t *entry = NULL;

	HASH_FIND(by_key, mirror->entries, key.data, key.len, entry);
	return entry;
}

const kb_mirror_entry_t *kb_mirror_find(const kb_mirror_t *mirror, kb_str_t key)
{
	return find_entry(mirror, key);
}

static kb_result_t copy_str(kb_str_t from, kb_str_t *to)
{
	char *data = malloc(from.len + 1);

	if (!data)
		return KB_ERR_NO_MEMORY;
	memcpy(data, from.data, from.len);
	data[from.len] = 0;
	*to = (kb_str_t){ data, from.len };
	return KB_OK;
}

static kb_mirror_entry_t *add_entry(kb_mirror_t *mirror, kb_str_t key)
{
	kb_mirror_entry_t *entry = calloc(1, sizeof(*entry));

	if (!entry)
		return NULL;
	if (copy_str(key, &entry->key)) {
		free(entry);
		return NULL;
	}
	HASH_ADD_KEYPTR(by_key, mirror->entries, entry->key.data,
			entry->key.len, entry);
	return entry;
}

static kb_result_t put_entry(kb_mirror_t *mirror, kb_str_t key, kb_str_t value,
			     int64_t revision)
{
	kb_mirror_entry_t *entry = find_entry(mirror, key);
	kb_str_t copied = { NULL, 0 };

	if (entry && entry->revision >= revision)
		return KB_OK;
	if (copy_str(value, &copied))
		return KB_ERR_NO_MEMORY;
	if (!entry)
		entry = add_entry(mirror, key);
	if (!entry) {
		free((char *)copied.data);
		return KB_ERR_NO_MEMORY;
	}
	free((char *)entry->value.data);
	entry->value = copied;
	entry->revision = revision;
	mirror->changed(mirror->ctx, entry->key, entry);
	return KB_OK;
}

/* Remembers a removal in place of the oldest one; takes `key`. */
static void remember_removal(kb_mirror_t *mirror, kb_str_t key)
{
	kb_mirror_removal_t *removal =
		&mirror->removals[mirror->removal_count++ %
				  KB_MIRROR_REMOVALS_MAX];

	if (removal->key.data && removal->revision > mirror->removals_since)
		mirror->removals_since = removal->revision;
	free((char *)removal->key.data);
	removal->key = key;
	removal->revision = mirror->revision;
}

/* The same for a key that this copy never had, but others may have. */
static void remember_unknown(kb_mirror_t *mirror, kb_str_t key)
{
	kb_str_t copied;

	if (copy_str(key, &copied))
		mirror->removals_since = mirror->revision;
	else
		remember_removal(mirror, copied);
}

static void remove_entry(kb_mirror_t *mirror, kb_mirror_entry_t *entry)
{
	HASH_DELETE(by_key, mirror->entries, entry);
	mirror->changed(mirror->ctx, entry->key, NULL);
	remember_removal(mirror, entry->key);
	entry->key = (kb_str_t){ NULL, 0 };
	free_entry(entry);
}

/* Marks a key as part of the whole copy that is being applied. */
static void mark_entry(kb_mirror_t *mirror, kb_str_t key)
{
	kb_mirror_entry_t *entry = find_entry(mirror, key);

	if (entry)
		entry->sweep = mirror->sweep;
}

/* Removes the entries that were not marked. */
static void sweep_entries(kb_mirror_t *mirror)
{
	kb_mirror_entry_t *entry;
	kb_mirror_entry_t *next;

	HASH_ITER(by_key, mirror->entries, entry, next)
	if (entry->sweep != mirror->sweep &&
	    entry->revision <= mirror->revision)
		remove_entry(mirror, entry);
}

static void advance_as_of(kb_mirror_t *mirror, kb_time_t at)
{
	if (at > mirror->as_of)
		mirror->as_of = at;
}

/*
 * Sets the revision of a copy. Keys that were created and removed since the
 * former one are not in a whole copy, so the removals before it are not known;
 * a host that has such a key needs a whole copy, too.
 */
static void set_revision(kb_mirror_t *mirror, int64_t revision, int whole)
{
	if (whole && revision > mirror->revision)
		mirror->removals_since = revision;
	mirror->revision = revision;
}

kb_result_t kb_mirror_apply_snapshot(kb_mirror_t *mirror,
				     const kb_store_range_t *range,
				     kb_time_t sent_at)
{
	if (range->revision < mirror->revision)
		return KB_OK;
	set_revision(mirror, range->revision, 1);
	advance_as_of(mirror, sent_at);
	mirror->sweep++;
	for (size_t i = 0; i < range->count; i++)
		mark_entry(mirror, range->entries[i].key);
	sweep_entries(mirror);
	for (size_t i = 0; i < range->count; i++)
		if (put_entry(mirror, range->entries[i].key,
			      range->entries[i].value,
			      range->entries[i].revision))
			return KB_ERR_NO_MEMORY;
	return KB_OK;
}

kb_result_t kb_mirror_apply_changes(kb_mirror_t *mirror,
				    const kb_store_range_t *range,
				    kb_time_t sent_at)
{
	if (range->revision < mirror->revision)
		return KB_OK;
	for (size_t i = 0; i < range->count; i++) {
		const kb_store_entry_t *entry = &range->entries[i];
		kb_mirror_entry_t *known = find_entry(mirror, entry->key);

		if (!entry->deleted) {
			if (put_entry(mirror, entry->key, entry->value,
				      entry->revision))
				return KB_ERR_NO_MEMORY;
		} else if (!known || known->revision < entry->revision) {
			mirror->revision = entry->revision;
			if (known)
				remove_entry(mirror, known);
			else
				remember_unknown(mirror, entry->key);
		}
	}
	mirror->revision = range->revision;
	advance_as_of(mirror, sent_at);
	return KB_OK;
}

static kb_result_t fill_lists(const kb_mirror_t *mirror, int64_t after,
			      kbs_sync_res *res)
{
	size_t count = HASH_CNT(by_key, mirror->entries);
	const kb_mirror_entry_t *entry;

	res->changed.changed_val =
		calloc(count + 1, sizeof(*res->changed.changed_val));
	res->removed.removed_val = calloc(KB_MIRROR_REMOVALS_MAX,
					  sizeof(*res->removed.removed_val));
	if (!res->changed.changed_val || !res->removed.removed_val)
		return KB_ERR_NO_MEMORY;
	for (entry = mirror->entries; entry; entry = entry->by_key.next) {
		kbs_entry *change;

		if (!res->whole && entry->revision <= after)
			continue;
		change = &res->changed.changed_val[res->changed.changed_len++];
		change->key = kb_text_view(entry->key);
		change->value = kb_text_view(entry->value);
		change->revision = (uint64_t)entry->revision;
	}
	for (size_t i = 0; !res->whole && i < KB_MIRROR_REMOVALS_MAX; i++)
		if (mirror->removals[i].key.data &&
		    mirror->removals[i].revision > after)
			res->removed.removed_val[res->removed.removed_len++] =
				kb_text_view(mirror->removals[i].key);
	return KB_OK;
}

kb_result_t kb_mirror_fill_sync(const kb_mirror_t *mirror,
				const kbs_sync_args *args, kbs_sync_res *res,
				kb_time_t now)
{
	int64_t after = (int64_t)args->revision;

	memset(res, 0, sizeof(*res));
	res->revision = (uint64_t)mirror->revision;
	res->age_us = (now - mirror->as_of) / KB_NS_PER_US;
	if (!mirror->revision || (!args->whole && after >= mirror->revision))
		return KB_OK;
	res->whole = args->whole || after < mirror->removals_since;
	if (!fill_lists(mirror, after, res))
		return KB_OK;
	kb_mirror_sync_finish(res);
	return KB_ERR_NO_MEMORY;
}

void kb_mirror_sync_finish(kbs_sync_res *res)
{
	free(res->changed.changed_val);
	free(res->removed.removed_val);
	memset(res, 0, sizeof(*res));
}

static int has_changed(const kbs_sync_res *res, kb_str_t key)
{
	for (u_int i = 0; i < res->changed.changed_len; i++)
		if (kb_str_equal(kb_text_str(res->changed.changed_val[i].key),
				 key))
			return 1;
	return 0;
}

/* Removes the entries that the other host has not got any more. */
static void apply_removals(kb_mirror_t *mirror, const kbs_sync_res *res)
{
	if (res->whole) {
		mirror->sweep++;
		for (u_int i = 0; i < res->changed.changed_len; i++)
			mark_entry(
				mirror,
				kb_text_str(res->changed.changed_val[i].key));
		sweep_entries(mirror);
		return;
	}
	for (u_int i = 0; i < res->removed.removed_len; i++) {
		kb_str_t key = kb_text_str(res->removed.removed_val[i]);
		kb_mirror_entry_t *entry = find_entry(mirror, key);

		/* It may have been written again since. */
		if (has_changed(res, key))
			continue;
		if (!entry)
			remember_unknown(mirror, key);
		else if (entry->revision <= mirror->revision)
			remove_entry(mirror, entry);
	}
}

kb_result_t kb_mirror_apply_sync(kb_mirror_t *mirror, const kbs_sync_res *res,
				 kb_time_t sent_at)
{
	int64_t revision = (int64_t)res->revision;
	kb_time_t as_of = sent_at - res->age_us * KB_NS_PER_US;

	if (revision < mirror->revision || !revision)
		return KB_OK;
	if (revision == mirror->revision) {
		advance_as_of(mirror, as_of);
		return KB_OK;
	}
	set_revision(mirror, revision,
		     res->whole || !mirror->revision ||
			     kb_store_era(revision) !=
				     kb_store_era(mirror->revision));
	advance_as_of(mirror, as_of);
	apply_removals(mirror, res);
	for (u_int j = 0; j < res->changed.changed_len; j++) {
		const kbs_entry *change = &res->changed.changed_val[j];

		if (put_entry(mirror, kb_text_str(change->key),
			      kb_text_str(change->value),
			      (int64_t)change->revision))
			return KB_ERR_NO_MEMORY;
	}
	return KB_OK;
}

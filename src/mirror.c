#include "mirror.h"

#include "text.h"

#include <stdlib.h>

enum {
	INITIAL_CAPACITY = 32,
};

static void finish_entry(kb_mirror_entry_t *entry)
{
	free((char *)entry->key.data);
	free((char *)entry->value.data);
}

void kb_mirror_finish(kb_mirror_t *mirror)
{
	for (size_t i = 0; i < mirror->count; i++)
		finish_entry(&mirror->entries[i]);
	free(mirror->entries);
	mirror->entries = NULL;
	mirror->count = 0;
	mirror->capacity = 0;
}

static kb_mirror_entry_t *find_entry(const kb_mirror_t *mirror, kb_str_t key)
{
	for (size_t i = 0; i < mirror->count; i++)
		if (kb_str_equal(mirror->entries[i].key, key))
			return &mirror->entries[i];
	return NULL;
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
	size_t capacity =
		mirror->capacity ? mirror->capacity * 2 : INITIAL_CAPACITY;
	kb_mirror_entry_t *entries;
	kb_mirror_entry_t *entry;

	if (mirror->count == mirror->capacity) {
		entries = reallocarray(mirror->entries, capacity,
				       sizeof(*entries));
		if (!entries)
			return NULL;
		mirror->entries = entries;
		mirror->capacity = capacity;
	}
	entry = &mirror->entries[mirror->count];
	memset(entry, 0, sizeof(*entry));
	if (copy_str(key, &entry->key))
		return NULL;
	mirror->count++;
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

static void remove_entry(kb_mirror_t *mirror, kb_mirror_entry_t *entry)
{
	size_t after = (size_t)(mirror->entries + mirror->count - entry) - 1;
	kb_mirror_entry_t old = *entry;

	mirror->removed_revision = mirror->revision;
	memmove(entry, entry + 1, after * sizeof(*entry));
	mirror->count--;
	mirror->changed(mirror->ctx, old.key, NULL);
	finish_entry(&old);
}

static int in_range(const kb_store_range_t *range, kb_str_t key)
{
	for (size_t i = 0; i < range->count; i++)
		if (kb_str_equal(range->entries[i].key, key))
			return 1;
	return 0;
}

static void advance_as_of(kb_mirror_t *mirror, kb_time_t at)
{
	if (at > mirror->as_of)
		mirror->as_of = at;
}

kb_result_t kb_mirror_apply_snapshot(kb_mirror_t *mirror,
				     const kb_store_range_t *range,
				     kb_time_t sent_at)
{
	size_t i = 0;

	if (range->revision < mirror->revision)
		return KB_OK;
	mirror->revision = range->revision;
	advance_as_of(mirror, sent_at);
	while (i < mirror->count) {
		kb_mirror_entry_t *entry = &mirror->entries[i];

		if (!in_range(range, entry->key) &&
		    entry->revision <= range->revision)
			remove_entry(mirror, entry);
		else
			i++;
	}
	for (i = 0; i < range->count; i++)
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
		} else if (known && known->revision < entry->revision) {
			mirror->revision = entry->revision;
			remove_entry(mirror, known);
		}
	}
	mirror->revision = range->revision;
	advance_as_of(mirror, sent_at);
	return KB_OK;
}

kb_result_t kb_mirror_fill_sync(const kb_mirror_t *mirror,
				const kbs_sync_args *args, kbs_sync_res *res,
				kb_time_t now)
{
	memset(res, 0, sizeof(*res));
	res->revision = (uint64_t)mirror->revision;
	res->age_us = (now - mirror->as_of) / KB_NS_PER_US;
	if (!mirror->revision ||
	    (!args->whole && args->revision >= (uint64_t)mirror->revision))
		return KB_OK;
	/* The remaining keys are needed only if one was removed since then. */
	res->removed = args->whole ||
		       args->revision < (uint64_t)mirror->removed_revision;
	res->changed.changed_val =
		calloc(mirror->count + 1, sizeof(*res->changed.changed_val));
	res->keys.keys_val =
		calloc(mirror->count + 1, sizeof(*res->keys.keys_val));
	if (!res->changed.changed_val || !res->keys.keys_val) {
		kb_mirror_sync_finish(res);
		return KB_ERR_NO_MEMORY;
	}
	for (size_t i = 0; i < mirror->count; i++) {
		const kb_mirror_entry_t *entry = &mirror->entries[i];
		kbs_entry *change;

		if (res->removed)
			res->keys.keys_val[res->keys.keys_len++] =
				kb_text_view(entry->key);
		if (!args->whole && (uint64_t)entry->revision <= args->revision)
			continue;
		change = &res->changed.changed_val[res->changed.changed_len++];
		change->key = kb_text_view(entry->key);
		change->value = kb_text_view(entry->value);
		change->revision = (uint64_t)entry->revision;
	}
	return KB_OK;
}

void kb_mirror_sync_finish(kbs_sync_res *res)
{
	free(res->changed.changed_val);
	free(res->keys.keys_val);
	memset(res, 0, sizeof(*res));
}

static int has_key(const kbs_sync_res *res, kb_str_t key)
{
	for (u_int i = 0; i < res->keys.keys_len; i++)
		if (kb_str_equal(kb_text_str(res->keys.keys_val[i]), key))
			return 1;
	return 0;
}

kb_result_t kb_mirror_apply_sync(kb_mirror_t *mirror, const kbs_sync_res *res,
				 kb_time_t sent_at)
{
	int64_t revision = (int64_t)res->revision;
	kb_time_t as_of = sent_at - res->age_us * KB_NS_PER_US;
	size_t i = 0;

	if (revision < mirror->revision || !revision)
		return KB_OK;
	if (revision == mirror->revision) {
		advance_as_of(mirror, as_of);
		return KB_OK;
	}
	mirror->revision = revision;
	advance_as_of(mirror, as_of);
	while (res->removed && i < mirror->count) {
		kb_mirror_entry_t *entry = &mirror->entries[i];

		if (!has_key(res, entry->key) && entry->revision <= revision)
			remove_entry(mirror, entry);
		else
			i++;
	}
	for (u_int j = 0; j < res->changed.changed_len; j++) {
		const kbs_entry *change = &res->changed.changed_val[j];

		if (put_entry(mirror, kb_text_str(change->key),
			      kb_text_str(change->value),
			      (int64_t)change->revision))
			return KB_ERR_NO_MEMORY;
	}
	return KB_OK;
}

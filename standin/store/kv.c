#include "kv.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* Number of elements by which the arrays grow. */
	ARRAY_GROWTH = 256,
	POINTER_BYTES = sizeof(void *),
};

void standin_kv_init(standin_kv_t *kv)
{
	memset(kv, 0, sizeof(*kv));
	kv->revision = 1;
}

static void free_versions(standin_version_t *version)
{
	while (version) {
		standin_version_t *older = version->older;

		free(version);
		version = older;
	}
}

void standin_kv_finish(standin_kv_t *kv)
{
	for (size_t i = 0; i < kv->key_count; i++) {
		free_versions(kv->keys[i]->newest);
		free(kv->keys[i]);
	}
	free(kv->keys);
	free(kv->log);
	memset(kv, 0, sizeof(*kv));
}

static kb_str_t key_str(const standin_key_t *key)
{
	return (kb_str_t){ key->data, key->len };
}

int standin_kv_in_range(const standin_range_t *range, kb_str_t key)
{
	if (!range->end.len)
		return kb_str_equal(key, range->key);
	if (kb_str_compare(key, range->key) < 0)
		return 0;
	if (range->end.len == 1 && !range->end.data[0])
		return 1;
	return kb_str_compare(key, range->end) < 0;
}

/* Returns the index of the first key that is not below `key`. */
static size_t lower_bound(const standin_kv_t *kv, kb_str_t key)
{
	size_t low = 0;
	size_t high = kv->key_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (kb_str_compare(key_str(kv->keys[middle]), key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static const standin_version_t *version_at(const standin_key_t *key,
					   int64_t revision)
{
	const standin_version_t *version = key->newest;

	while (version && version->mod_revision > revision)
		version = version->older;
	return version && !version->deleted ? version : NULL;
}

const standin_version_t *standin_kv_find(const standin_kv_t *kv, kb_str_t key,
					 int64_t revision)
{
	size_t i = lower_bound(kv, key);

	if (i == kv->key_count || !kb_str_equal(key_str(kv->keys[i]), key))
		return NULL;
	return version_at(kv->keys[i], revision);
}

void standin_kv_each(const standin_kv_t *kv, const standin_range_t *range,
		     int64_t revision,
		     void (*fn)(void *ctx, const standin_version_t *version),
		     void *ctx)
{
	for (size_t i = lower_bound(kv, range->key); i < kv->key_count; i++) {
		const standin_version_t *version;

		if (!standin_kv_in_range(range, key_str(kv->keys[i])))
			break;
		version = version_at(kv->keys[i], revision);
		if (version)
			fn(ctx, version);
	}
}

/* Makes room for one more pointer in an array that holds `count`. */
static kb_result_t reserve(void *array, size_t count)
{
	void **old;
	void **resized;

	if (count % ARRAY_GROWTH)
		return KB_OK;
	memcpy((void *)&old, array, sizeof(old));
	resized = realloc((void *)old, (count + ARRAY_GROWTH) * POINTER_BYTES);
	if (!resized)
		return KB_ERR_NO_MEMORY;
	memcpy(array, (const void *)&resized, sizeof(resized));
	return KB_OK;
}

static standin_key_t *find_or_add(standin_kv_t *kv, kb_str_t key)
{
	size_t i = lower_bound(kv, key);
	standin_key_t *added;

	if (i < kv->key_count && kb_str_equal(key_str(kv->keys[i]), key))
		return kv->keys[i];
	if (reserve((void *)&kv->keys, kv->key_count) != KB_OK)
		return NULL;
	added = calloc(1, sizeof(*added) + key.len);
	if (!added)
		return NULL;
	added->len = key.len;
	memcpy(added->data, key.data, key.len);
	memmove((void *)&kv->keys[i + 1], (const void *)&kv->keys[i],
		(kv->key_count - i) * POINTER_BYTES);
	kv->keys[i] = added;
	kv->key_count++;
	return added;
}

static kb_result_t add_version(standin_kv_t *kv, standin_key_t *key,
			       kb_str_t value, int64_t at,
			       standin_version_t **added)
{
	const standin_version_t *newest = key->newest;
	standin_version_t *version;

	if (reserve((void *)&kv->log, kv->log_count) != KB_OK)
		return KB_ERR_NO_MEMORY;
	version = calloc(1, sizeof(*version) + value.len);
	if (!version)
		return KB_ERR_NO_MEMORY;
	version->key = key;
	version->mod_revision = at;
	version->create_revision = at;
	version->version = 1;
	if (newest && !newest->deleted) {
		version->create_revision = newest->create_revision;
		version->version = newest->version + 1;
	}
	version->value_len = value.len;
	if (value.len)
		memcpy(version->value, value.data, value.len);
	version->older = key->newest;
	key->newest = version;
	kv->log[kv->log_count++] = version;
	*added = version;
	return KB_OK;
}

kb_result_t standin_kv_put(standin_kv_t *kv, kb_str_t key, kb_str_t value,
			   int64_t lease, int64_t at)
{
	standin_key_t *entry = find_or_add(kv, key);
	standin_version_t *version;
	kb_result_t result;

	if (!entry)
		return KB_ERR_NO_MEMORY;
	result = add_version(kv, entry, value, at, &version);
	if (result == KB_OK)
		version->lease = lease;
	return result;
}

static kb_result_t delete_key(standin_kv_t *kv, standin_key_t *key, int64_t at)
{
	standin_version_t *version;
	kb_result_t result = add_version(kv, key, KB_STR(""), at, &version);

	if (result != KB_OK)
		return result;
	version->deleted = 1;
	version->create_revision = 0;
	version->version = 0;
	return KB_OK;
}

kb_result_t standin_kv_delete(standin_kv_t *kv, const standin_range_t *range,
			      int64_t at, size_t *deleted)
{
	kb_result_t result;

	*deleted = 0;
	for (size_t i = lower_bound(kv, range->key); i < kv->key_count; i++) {
		standin_key_t *key = kv->keys[i];

		if (!standin_kv_in_range(range, key_str(key)))
			break;
		if (!key->newest || key->newest->deleted)
			continue;
		result = delete_key(kv, key, at);
		if (result != KB_OK)
			return result;
		(*deleted)++;
	}
	return KB_OK;
}

kb_result_t standin_kv_delete_leased(standin_kv_t *kv, int64_t lease,
				     int64_t at)
{
	kb_result_t result;

	for (size_t i = 0; i < kv->key_count; i++) {
		standin_key_t *key = kv->keys[i];

		if (!key->newest || key->newest->deleted ||
		    key->newest->lease != lease)
			continue;
		result = delete_key(kv, key, at);
		if (result != KB_OK)
			return result;
	}
	return KB_OK;
}

void standin_kv_commit(standin_kv_t *kv, int64_t at)
{
	if (kv->log_count && kv->log[kv->log_count - 1]->mod_revision == at)
		kv->revision = at;
}

/* Frees the versions of `key` that were replaced at or before `revision`. */
static void compact_key(standin_key_t *key, int64_t revision)
{
	standin_version_t *version = key->newest;

	while (version && version->mod_revision > revision)
		version = version->older;
	if (!version)
		return;
	free_versions(version->older);
	version->older = NULL;
}

kb_result_t standin_kv_compact(standin_kv_t *kv, int64_t revision)
{
	standin_version_t **log = NULL;
	size_t removed = 0;
	size_t kept;

	if (revision <= kv->compacted || revision > kv->revision)
		return KB_ERR_INVALID;
	while (removed < kv->log_count &&
	       kv->log[removed]->mod_revision <= revision)
		removed++;
	kept = kv->log_count - removed;
	/* Round the capacity up to a multiple of ARRAY_GROWTH. */
	if (kept) {
		log = calloc((kept / ARRAY_GROWTH + 1) * ARRAY_GROWTH,
			     POINTER_BYTES);
		if (!log)
			return KB_ERR_NO_MEMORY;
		memcpy((void *)log, (const void *)(kv->log + removed),
		       kept * POINTER_BYTES);
	}
	free((void *)kv->log);
	kv->log = log;
	kv->log_count = kept;
	kv->compacted = revision;
	for (size_t i = 0; i < kv->key_count; i++)
		compact_key(kv->keys[i], revision);
	return KB_OK;
}

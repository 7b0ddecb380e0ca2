#ifndef STANDIN_KV_H
#define STANDIN_KV_H

#include "str.h"

typedef struct standin_key standin_key_t;

/* One version of a key. */
typedef struct standin_version {
	const standin_key_t *key;
	struct standin_version *older;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version;
	int64_t lease;
	int deleted;
	size_t value_len;
	char value[];
} standin_version_t;

struct standin_key {
	standin_version_t *newest;
	size_t len;
	char data[];
};

/* A range of keys, as in the requests to the gateway. */
typedef struct standin_range {
	kb_str_t key;
	/* Exclusive. Empty: only `key`; one NUL byte: no upper bound. */
	kb_str_t end;
} standin_range_t;

/* A multi-version key-value store. */
typedef struct standin_kv {
	/* Sorted by key. */
	standin_key_t **keys;
	size_t key_count;
	/* Versions after the compacted revision, oldest first. */
	standin_version_t **log;
	size_t log_count;
	/* The current revision. */
	int64_t revision;
	/* The revision of the last compaction. */
	int64_t compacted;
} standin_kv_t;

void standin_kv_init(standin_kv_t *kv);
void standin_kv_finish(standin_kv_t *kv);

/* Returns non-zero if `key` lies in `range`. */
int standin_kv_in_range(const standin_range_t *range, kb_str_t key);

/* Returns the version of `key` at `revision`; NULL if missing or deleted. */
const standin_version_t *standin_kv_find(const standin_kv_t *kv, kb_str_t key,
					 int64_t revision);

/* Calls `fn` for each key in `range` that exists at `revision`. */
void standin_kv_each(const standin_kv_t *kv, const standin_range_t *range,
		     int64_t revision,
		     void (*fn)(void *ctx, const standin_version_t *version),
		     void *ctx);

/*
 * Writes `key` at revision `at`, which is the revision after the current one.
 * All writes of a transaction have the same revision, which becomes current
 * with standin_kv_commit(). Returns KB_OK or KB_ERR_NO_MEMORY.
 */
kb_result_t standin_kv_put(standin_kv_t *kv, kb_str_t key, kb_str_t value,
			   int64_t lease, int64_t at);

/* Deletes the keys of `range` at revision `at`; `*deleted` is their number. */
kb_result_t standin_kv_delete(standin_kv_t *kv, const standin_range_t *range,
			      int64_t at, size_t *deleted);

/* Deletes the keys that are attached to `lease` at revision `at`. */
kb_result_t standin_kv_delete_leased(standin_kv_t *kv, int64_t lease,
				     int64_t at);

/* Makes `at` the current revision if anything was written at it. */
void standin_kv_commit(standin_kv_t *kv, int64_t at);

/*
 * Removes the versions that were replaced at or before `revision`. Returns
 * KB_ERR_INVALID if `revision` is compacted already or in the future.
 */
kb_result_t standin_kv_compact(standin_kv_t *kv, int64_t revision);

#endif

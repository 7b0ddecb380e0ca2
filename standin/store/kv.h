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

/* Which keys a request concerns, as in the gateway's requests. */
typedef struct standin_range {
	kb_str_t key;
	/* Empty: `key` alone; one NUL byte: all keys from `key` on. */
	kb_str_t end;
} standin_range_t;

/* Keys with their versions since the last compaction. */
typedef struct standin_kv {
	/* Sorted by key. */
	standin_key_t **keys;
	size_t key_count;
	/* Versions after the compacted revision, oldest first. */
	standin_version_t **log;
	size_t log_count;
	int64_t revision;
	int64_t compacted;
} standin_kv_t;

void standin_kv_init(standin_kv_t *kv);
void standin_kv_finish(standin_kv_t *kv);

/* Returns non-zero if `key` lies in `range`. */
int standin_kv_in_range(const standin_range_t *range, kb_str_t key);

/* Returns the live version of `key` at `revision`, or NULL. */
const standin_version_t *standin_kv_find(const standin_kv_t *kv, kb_str_t key,
					 int64_t revision);

/* Calls `fn` for each live version in `range` at `revision`. */
void standin_kv_each(const standin_kv_t *kv, const standin_range_t *range,
		     int64_t revision,
		     void (*fn)(void *ctx, const standin_version_t *version),
		     void *ctx);

/*
 * Writes at revision `at`, which is the next one. The writes of a transaction
 * share it and end with standin_kv_commit().
 */
kb_result_t standin_kv_put(standin_kv_t *kv, kb_str_t key, kb_str_t value,
			   int64_t lease, int64_t at);

/* Deletes the keys of `range` at revision `at`; sets `*deleted`. */
kb_result_t standin_kv_delete(standin_kv_t *kv, const standin_range_t *range,
			      int64_t at, size_t *deleted);

/* Deletes the keys bound to `lease` at revision `at`. */
kb_result_t standin_kv_delete_leased(standin_kv_t *kv, int64_t lease,
				     int64_t at);

/* Makes `at` the revision if something was written at it. */
void standin_kv_commit(standin_kv_t *kv, int64_t at);

/* Forgets versions that were replaced at or before `revision`. */
kb_result_t standin_kv_compact(standin_kv_t *kv, int64_t revision);

#endif

#ifndef KB_MIRROR_H
#define KB_MIRROR_H

#include "kumquat_session.h"
#include "store.h"

KB_BEGIN_DECLS

/* A key of the store and its last known value. */
typedef struct kb_mirror_entry {
	kb_str_t key;
	kb_str_t value;
	int64_t revision;
} kb_mirror_entry_t;

/*
 * Local copy of the store's keys, updated from the store itself or from other
 * hosts. It never goes back to an older revision of the store.
 */
typedef struct kb_mirror {
	kb_mirror_entry_t *entries;
	size_t count;
	size_t capacity;
	/* Revision of the store that the entries show; 0: none yet. */
	int64_t revision;
	/* Revision of the copy at the latest removal of a key from it. */
	int64_t removed_revision;
	/* Latest time at which the store had no newer revision. */
	kb_time_t as_of;
	/* Called when a key changed; `entry` is NULL if it was removed. */
	void (*changed)(void *ctx, kb_str_t key,
			const kb_mirror_entry_t *entry);
	void *ctx;
} kb_mirror_t;

void kb_mirror_finish(kb_mirror_t *mirror);

/*
 * Applies a read of the whole store that was sent at `sent_at`. Ignored if the
 * copy is newer. Returns KB_ERR_NO_MEMORY.
 */
kb_result_t kb_mirror_apply_snapshot(kb_mirror_t *mirror,
				     const kb_store_range_t *range,
				     kb_time_t sent_at);

/*
 * Applies the changes from the copy's revision up to that of `range`, as of
 * `sent_at`. Ignored if the copy is newer. Returns KB_ERR_NO_MEMORY.
 */
kb_result_t kb_mirror_apply_changes(kb_mirror_t *mirror,
				    const kb_store_range_t *range,
				    kb_time_t sent_at);

/*
 * Fills `res` with the changes since `args->revision`, or with everything if
 * `args->whole` is set. Keys and values point into the mirror. Returns
 * KB_ERR_NO_MEMORY.
 */
kb_result_t kb_mirror_fill_sync(const kb_mirror_t *mirror,
				const kbs_sync_args *args, kbs_sync_res *res,
				kb_time_t now);

/* Frees the lists of `res`. */
void kb_mirror_sync_finish(kbs_sync_res *res);

/*
 * Applies another host's answer to a call that was sent at `sent_at`. Ignored
 * if the copy is newer. Returns KB_ERR_NO_MEMORY.
 */
kb_result_t kb_mirror_apply_sync(kb_mirror_t *mirror, const kbs_sync_res *res,
				 kb_time_t sent_at);

/* Returns the entry of a key, or NULL. */
const kb_mirror_entry_t *kb_mirror_find(const kb_mirror_t *mirror,
					kb_str_t key);

KB_END_DECLS

#endif

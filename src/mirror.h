#ifndef KB_MIRROR_H
#define KB_MIRROR_H

#include "kumquat_session.h"
#include "store.h"

#include <uthash.h>

KB_BEGIN_DECLS

enum {
	/* Removals that a copy remembers for hosts that lag behind. */
	KB_MIRROR_REMOVALS_MAX = 256,
};

/* A key of the store and its last known value. */
typedef struct kb_mirror_entry {
	kb_str_t key;
	kb_str_t value;
	int64_t revision;
	/* Number of the last whole copy that had the key. */
	uint64_t sweep;
	UT_hash_handle by_key;
} kb_mirror_entry_t;

/* A key that was removed, and the revision of the copy without it. */
typedef struct kb_mirror_removal {
	kb_str_t key;
	int64_t revision;
} kb_mirror_removal_t;

/*
 * Local copy of the store's keys, updated from the store itself or from other
 * hosts. It never goes back to an older revision of the store; after a restore
 * of the store, a host whose copy is of an earlier era needs a whole copy.
 */
typedef struct kb_mirror {
	/* Hash table of the entries by key. */
	kb_mirror_entry_t *entries;
	/* Revision of the store that the entries show; 0: none yet. */
	int64_t revision;
	/*
	 * The last removals, a ring; `removal_count` counts all. A host whose
	 * revision is before `removals_since` needs a whole copy.
	 */
	kb_mirror_removal_t removals[KB_MIRROR_REMOVALS_MAX];
	size_t removal_count;
	int64_t removals_since;
	/* Number of whole copies applied. */
	uint64_t sweep;
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

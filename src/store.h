#ifndef KB_STORE_H
#define KB_STORE_H

#include "str.h"

KB_BEGIN_DECLS

/* Expected revision of a key that must not exist. */
#define KB_STORE_ABSENT INT64_C(0)
/* Expected revision of a write without a condition. */
#define KB_STORE_ANY INT64_C(-1)

/*
 * A store may be restored from an older copy. It then gives out again the
 * revision numbers that it has lost, and begins a new era. A revision is the
 * era in its high bits and the store's number in the low ones, so that those
 * from after a restore are later than all from before it.
 */
#define KB_STORE_NUMBER_BITS 40
#define KB_STORE_NUMBER_MAX ((INT64_C(1) << KB_STORE_NUMBER_BITS) - 1)
/* Highest era of a store that was never restored. */
#define KB_STORE_FIRST_ERA 1
#define KB_STORE_ERA_MAX (INT64_MAX >> KB_STORE_NUMBER_BITS)

static inline int64_t kb_store_revision(int64_t era, int64_t number)
{
	return era << KB_STORE_NUMBER_BITS | number;
}

static inline int64_t kb_store_era(int64_t revision)
{
	return revision >> KB_STORE_NUMBER_BITS;
}

/* Returns the number by which the store knows a revision. */
static inline int64_t kb_store_number(int64_t revision)
{
	return revision & KB_STORE_NUMBER_MAX;
}

/* A key and its value, as stored. */
typedef struct kb_store_entry {
	kb_str_t key;
	kb_str_t value;
	/* Store revision of the last change of the key. */
	int64_t revision;
	/* Store revision at which the key was created. */
	int64_t created;
	/* Number of changes of the key since then, with its creation. */
	int64_t version;
	/* Set if the key was deleted; `value` is empty then. */
	int deleted;
} kb_store_entry_t;

/* The keys of a range in ascending order. */
typedef struct kb_store_range {
	/* Store revision as of which the range was read. */
	int64_t revision;
	size_t count;
	const kb_store_entry_t *entries;
} kb_store_range_t;

/* The keys to which a call applies. */
typedef struct kb_store_keys {
	kb_str_t key;
	/* If set, all keys that begin with `key`. */
	int prefix;
	/*
	 * If set, a read may return data that is some seconds old, which costs
	 * the store less.
	 */
	int stale;
} kb_store_keys_t;

/* A conditional put or delete. */
typedef struct kb_store_write {
	kb_str_t key;
	/* The value to put; a delete puts it under the key `record`. */
	kb_str_t value;
	/*
	 * Key of the deletion record, which a delete puts in the same
	 * transaction, or empty. A put with KB_STORE_ABSENT also requires
	 * that this key has revision `record_expected`, so that it fails if
	 * `key` was created and deleted again in the meantime.
	 */
	kb_str_t record;
	/* Revision that `record` must have for a put, or KB_STORE_ABSENT. */
	int64_t record_expected;
	/* Revision that the key must have, KB_STORE_ABSENT or KB_STORE_ANY. */
	int64_t expected;
	/* Lease to which the key is attached, or 0. Ignored by a delete. */
	int64_t lease;
} kb_store_write_t;

/* Answer to a write. */
typedef struct kb_store_written {
	/* Revision of the store after the write, or at the conflict. */
	int64_t revision;
	/* After KB_ERR_CONFLICT the current entry, or NULL if none exists. */
	const kb_store_entry_t *current;
} kb_store_written_t;

/*
 * Receives the answer to a read. `range` is NULL unless `result` is KB_OK,
 * and valid until the return. Errors: KB_ERR_TIMEOUT, KB_ERR_UNREACHABLE,
 * KB_ERR_OVERLOADED (retry budget exhausted), KB_ERR_PROTOCOL,
 * KB_ERR_NOT_FOUND (the store was restored during the read).
 */
typedef void kb_store_range_fn_t(void *ctx, kb_result_t result,
				 const kb_store_range_t *range);

/*
 * Receives the answer to a write; `written` is valid until the return and
 * NULL unless `result` is KB_OK or KB_ERR_CONFLICT. KB_ERR_UNREACHABLE and
 * KB_ERR_OVERLOADED: not written. KB_ERR_UNKNOWN: it may have been written, or
 * it was written in a later era than that of the expected revision.
 */
typedef void kb_store_write_fn_t(void *ctx, kb_result_t result,
				 const kb_store_written_t *written);

/*
 * Receives the answer to a lease call. `ttl` is the time to live that the
 * store granted; count it from before the call was sent. KB_ERR_NOT_FOUND:
 * the lease has expired.
 */
typedef void kb_store_lease_fn_t(void *ctx, kb_result_t result, int64_t lease,
				 kb_time_t ttl);

/* Callbacks of a watch. Their data is valid until the return. */
typedef struct kb_store_watch_ops {
	/*
	 * All entries of the range: at the start of a watch without a
	 * revision, and after a compaction. Keys that it does not contain do
	 * not exist any more.
	 */
	void (*snapshot)(void *ctx, const kb_store_range_t *range);
	/* One change, in the order of revisions. */
	void (*changed)(void *ctx, const kb_store_entry_t *entry);
	/* KB_OK: the stream is running. Else it broke and will be resumed. */
	void (*state)(void *ctx, kb_result_t result);
} kb_store_watch_ops_t;

typedef struct kb_store kb_store_t;

/*
 * Operations of a store client. Arguments are copied. An operation that
 * returns KB_OK calls `done` exactly once, after its return, unless it is
 * cancelled; one that returns KB_ERR_NO_MEMORY or KB_ERR_IO never does.
 */
typedef struct kb_store_ops {
	/* Reads keys at the newest revision. */
	kb_result_t (*get)(kb_store_t *store, const kb_store_keys_t *keys,
			   kb_store_range_fn_t *done, void *ctx);
	kb_result_t (*put)(kb_store_t *store, const kb_store_write_t *write,
			   kb_store_write_fn_t *done, void *ctx);
	kb_result_t (*remove)(kb_store_t *store, const kb_store_write_t *write,
			      kb_store_write_fn_t *done, void *ctx);
	/*
	 * Reports the changes after revision `after`; 0 begins with a
	 * snapshot. Runs until it is cancelled.
	 */
	kb_result_t (*watch)(kb_store_t *store, const kb_store_keys_t *keys,
			     int64_t after, const kb_store_watch_ops_t *ops,
			     void *ctx);
	/*
	 * Waits up to `wait` for changes after revision `after` and reports
	 * them once, in the order of revisions; an empty range if there were
	 * none. May be NULL. KB_ERR_NOT_FOUND: the store has compacted some
	 * of them or is in a later era.
	 */
	kb_result_t (*poll)(kb_store_t *store, const kb_store_keys_t *keys,
			    int64_t after, kb_time_t wait,
			    kb_store_range_fn_t *done, void *ctx);
	kb_result_t (*lease_grant)(kb_store_t *store, kb_time_t ttl,
				   kb_store_lease_fn_t *done, void *ctx);
	kb_result_t (*lease_keep)(kb_store_t *store, int64_t lease,
				  kb_store_lease_fn_t *done, void *ctx);
	/* Revokes a lease and deletes its keys. May be NULL. */
	kb_result_t (*lease_end)(kb_store_t *store, int64_t lease,
				 kb_store_lease_fn_t *done, void *ctx);
	/* Cancels all calls and watches with this `ctx`, without an answer. */
	void (*cancel)(kb_store_t *store, void *ctx);
} kb_store_ops_t;

/* A client of the platform's store; first member of an implementation. */
struct kb_store {
	const kb_store_ops_t *ops;
};

KB_END_DECLS

#endif

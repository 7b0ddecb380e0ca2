#ifndef KB_CONFIG_SET_H
#define KB_CONFIG_SET_H

#include "str.h"

#include <stdbool.h>

KB_BEGIN_DECLS

enum {
	/* Tombstones that are kept; the oldest are evicted first. */
	KB_CONFIG_TOMBSTONES_MAX = 1024,
	/* Largest value that the platform's store accepts. */
	KB_CONFIG_VALUE_MAX_BYTES = 1 << 20,
};

/* A change of one resource; the strings belong to the caller. */
typedef struct kb_config_change {
	kb_str_t kind;
	kb_str_t name;
	/* The store's revision of the change; 0 marks a built-in default. */
	uint64_t revision;
	bool deleted;
	kb_str_t value;
} kb_config_change_t;

/* The newest accepted revision of a resource. */
typedef struct kb_config_entry {
	struct kb_config_entry *next;
	struct kb_config_entry *prev;
	uint64_t revision;
	char *value;
	size_t value_len;
	/* Number of the last snapshot that contained it. */
	uint32_t snapshot;
	bool deleted;
	uint8_t kind_len;
	uint8_t name_len;
	/* The kind, followed by the name. */
	char text[];
} kb_config_entry_t;

typedef struct kb_config_set kb_config_set_t;

/* Callbacks of a set. */
typedef struct kb_config_set_ops {
	/* `entry` has a newer revision than before, or was deleted. */
	void (*accepted)(kb_config_set_t *set, const kb_config_entry_t *entry);
} kb_config_set_ops_t;

/*
 * The newest accepted revision of each resource. A resource never reverts to
 * an older revision.
 */
struct kb_config_set {
	const kb_config_set_ops_t *ops;
	/* Hash table with open addressing, keyed by kind and name. */
	kb_config_entry_t **slots;
	size_t slot_count;
	/* All entries in the order of their revisions. */
	kb_config_entry_t *first;
	kb_config_entry_t *last;
	size_t count;
	size_t tombstone_count;
	/* The set contains every change up to this revision. */
	uint64_t complete;
	/* Tombstones up to this revision may have been evicted. */
	uint64_t tombstone_floor;
	/* Sum of the hashes of all resources that have a revision. */
	uint64_t digest;
	size_t value_bytes;
	uint32_t snapshot;
};

void kb_config_set_init(kb_config_set_t *set, const kb_config_set_ops_t *ops);

void kb_config_set_finish(kb_config_set_t *set);

/*
 * Applies a change if it is newer than the entry of its resource, and sets
 * `*accepted` accordingly. Returns KB_ERR_INVALID for an invalid kind or
 * name, KB_ERR_TOO_LARGE or KB_ERR_NO_MEMORY, leaving the set unchanged.
 */
kb_result_t kb_config_set_apply(kb_config_set_t *set,
				const kb_config_change_t *change,
				bool *accepted);

/*
 * Records that all changes after revision `after` up to `revision` have been
 * applied. Returns false if changes before `after` are missing.
 */
bool kb_config_set_advance(kb_config_set_t *set, uint64_t after,
			   uint64_t revision);

/*
 * Begins a snapshot: all resources as of `revision`. Abandons an earlier
 * snapshot. Returns false if the set is already newer.
 */
bool kb_config_set_begin_snapshot(kb_config_set_t *set, uint64_t revision);

/* Applies a resource of the snapshot. Errors as kb_config_set_apply(). */
kb_result_t kb_config_set_apply_snapshot(kb_config_set_t *set,
					 const kb_config_change_t *change);

/*
 * Ends the snapshot, which contained all resources as of `revision` and the
 * tombstones after revision `floor`. Deletes the resources that it did not
 * contain, unless they are newer. A snapshot older than the set deletes
 * nothing. Returns KB_ERR_NO_MEMORY or KB_OK.
 */
kb_result_t kb_config_set_end_snapshot(kb_config_set_t *set, uint64_t revision,
				       uint64_t floor);

/* Returns the entry of a resource, or NULL. It may be a tombstone. */
const kb_config_entry_t *kb_config_set_find(const kb_config_set_t *set,
					    kb_str_t kind, kb_str_t name);

/* Returns the first entry with a revision above `after`, or NULL; `next`
 * links to the others in the order of revisions. */
const kb_config_entry_t *kb_config_set_since(const kb_config_set_t *set,
					     uint64_t after);

/*
 * Returns whether the entries after revision `after` include all deletions.
 * If not, tombstones have been evicted and a snapshot is needed.
 */
static inline bool kb_config_set_has_since(const kb_config_set_t *set,
					   uint64_t after)
{
	return after >= set->tombstone_floor;
}

/* Returns a digest of all resources up to the complete revision. */
uint64_t kb_config_set_digest(const kb_config_set_t *set);

/* Returns the bytes allocated by `set`. */
size_t kb_config_set_bytes(const kb_config_set_t *set);

static inline kb_str_t kb_config_entry_kind(const kb_config_entry_t *entry)
{
	return (kb_str_t){ entry->text, entry->kind_len };
}

static inline kb_str_t kb_config_entry_name(const kb_config_entry_t *entry)
{
	return (kb_str_t){ entry->text + entry->kind_len, entry->name_len };
}

/* Returns the entry as a change whose strings belong to the entry. */
static inline kb_config_change_t
kb_config_entry_change(const kb_config_entry_t *entry)
{
	return (kb_config_change_t){ kb_config_entry_kind(entry),
				     kb_config_entry_name(entry),
				     entry->revision,
				     entry->deleted,
				     { entry->value, entry->value_len } };
}

KB_END_DECLS

#endif

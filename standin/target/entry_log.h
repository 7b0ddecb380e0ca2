#ifndef ST_ENTRY_LOG_H
#define ST_ENTRY_LOG_H

#include "text.h"

#include "point.h"

KB_BEGIN_DECLS

struct st_txn;

/* The new state of one row, and the former state for undo. */
typedef struct st_change {
	st_text_t table;
	st_text_t id;
	/* The new body; unused if `deletes`. */
	st_text_t body;
	int deletes;
	/* The former body; valid if the change is applied and `had_old`. */
	st_text_t old;
	int had_old;
	/* The open transaction that has locked the row, or NULL. */
	struct st_txn *owner;
} st_change_t;

/* Allocates a change of `table` and `id`; NULL if memory is short. */
st_change_t *st_change_create(kb_str_t table, kb_str_t id);

/* Frees `change`, which may be NULL. */
void st_change_free(st_change_t *change);

/* A committed transaction. */
typedef struct st_entry {
	uint64_t term;
	size_t count;
	st_change_t **changes;
} st_entry_t;

/* Allocates an entry with room for `count` changes; NULL if memory is short. */
st_entry_t *st_entry_create(uint64_t term, size_t count);

/* Frees `entry`, which may be NULL, and its changes. */
void st_entry_free(st_entry_t *entry);

/* The log of a target; the first entry has position 1. */
typedef struct st_log {
	st_entry_t **entries;
	size_t count;
	size_t capacity;
	/* Each term of the log with its first position, oldest first. */
	kb_history_entry_t *terms;
	size_t term_count;
	size_t term_capacity;
} st_log_t;

void st_log_init(st_log_t *log);
void st_log_finish(st_log_t *log);

/* Appends `entry`; the log takes ownership if KB_OK is returned. */
kb_result_t st_log_append(st_log_t *log, st_entry_t *entry);

/* Frees all entries after `position`. */
void st_log_truncate(st_log_t *log, uint64_t position);

/* Returns the entry at `position`, which must exist. */
st_entry_t *st_log_at(const st_log_t *log, uint64_t position);

/* Returns the term and position of the entry at `position`; 0:0 for 0. */
kb_point_t st_log_point(const st_log_t *log, uint64_t position);

/* Fills `history` with the newest terms. */
void st_log_history(const st_log_t *log, kb_history_t *history);

/*
 * Returns the last position up to which this log and another are equal.
 * `terms` has each term of the other log; `last` is its last position.
 */
uint64_t st_log_common_position(const st_log_t *log,
				const kb_history_entry_t *terms,
				size_t term_count, uint64_t last);

KB_END_DECLS

#endif

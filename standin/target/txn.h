#ifndef ST_TXN_H
#define ST_TXN_H

#include "engine.h"

KB_BEGIN_DECLS

/* A transaction: buffered changes, each of which locks its row. */
struct st_txn {
	st_engine_t *engine;
	st_txn_t *next;
	st_change_t **changes;
	size_t count;
	size_t capacity;
	/* Rolled back because the target is no longer primary. */
	int aborted;
};

/* Begins a transaction; `txn` must stay in place until st_txn_finish(). */
void st_txn_init(st_txn_t *txn, st_engine_t *engine);

/* Rolls back and releases `txn`. */
void st_txn_finish(st_txn_t *txn);

/* Rolls back the uncommitted changes; `txn` can be used again. */
void st_txn_rollback(st_txn_t *txn);

/*
 * Sets `*body` to the body of the row `id` that is visible to `txn`. Returns 0
 * if there is none. The bytes are valid until the row changes.
 */
int st_txn_find(const st_txn_t *txn, kb_str_t table, kb_str_t id,
		kb_str_t *body);

/* Returns the uncommitted change of a row by `txn`, or NULL. */
const st_change_t *st_txn_change(const st_txn_t *txn, kb_str_t table,
				 kb_str_t id);

/* Inserts a row. Returns NULL on success. */
const st_error_t *st_txn_insert(st_txn_t *txn, kb_str_t table, kb_str_t id,
				kb_str_t body);

/*
 * Updates a row if it exists and its body is `*expected`; NULL accepts any
 * body. Returns NULL on success, also if no row matches.
 */
const st_error_t *st_txn_update(st_txn_t *txn, kb_str_t table, kb_str_t id,
				kb_str_t body, const kb_str_t *expected,
				size_t *affected);

/* Deletes a row if it exists. Returns NULL on success. */
const st_error_t *st_txn_delete(st_txn_t *txn, kb_str_t table, kb_str_t id,
				size_t *affected);

/*
 * Commits and clears `txn`; sets `*point` to the point of its entry if it has
 * changes. Returns NULL on success.
 */
const st_error_t *st_txn_commit(st_txn_t *txn, kb_point_t *point);

/* Rolls back every open transaction of `engine`. */
void st_txn_abort_all(st_engine_t *engine);

KB_END_DECLS

#endif

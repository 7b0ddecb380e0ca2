#ifndef ST_TXN_H
#define ST_TXN_H

#include "engine.h"

KB_BEGIN_DECLS

/* A transaction: buffered changes that hold the locks of their rows. */
struct st_txn {
	st_engine_t *engine;
	st_txn_t *next;
	st_change_t **changes;
	size_t count;
	size_t capacity;
	/* The engine rolled it back when the target ceased to be primary. */
	int aborted;
};

/* Begins a transaction; `txn` must not move until st_txn_finish(). */
void st_txn_init(st_txn_t *txn, st_engine_t *engine);

/* Rolls back and ends the use of `txn`. */
void st_txn_finish(st_txn_t *txn);

/* Rolls back what is not committed; `txn` may be used again. */
void st_txn_rollback(st_txn_t *txn);

/*
 * Sets `*body` to what `txn` sees in the row `id`; zero if there is none. The
 * bytes remain valid until the next change of the row.
 */
int st_txn_find(const st_txn_t *txn, kb_str_t table, kb_str_t id,
		kb_str_t *body);

/* Returns the change that `txn` holds of a row, or NULL. */
const st_change_t *st_txn_change(const st_txn_t *txn, kb_str_t table,
				 kb_str_t id);

/* Inserts a row; NULL on success. */
const st_error_t *st_txn_insert(st_txn_t *txn, kb_str_t table, kb_str_t id,
				kb_str_t body);

/* Sets a row that exists, if its body is `*expected` or that is NULL. */
const st_error_t *st_txn_update(st_txn_t *txn, kb_str_t table, kb_str_t id,
				kb_str_t body, const kb_str_t *expected,
				size_t *affected);

/* Deletes a row if it exists. */
const st_error_t *st_txn_delete(st_txn_t *txn, kb_str_t table, kb_str_t id,
				size_t *affected);

/* Commits and empties `txn`; `*point` is that of its entry if it wrote. */
const st_error_t *st_txn_commit(st_txn_t *txn, kb_point_t *point);

/* Rolls back every open transaction of `engine`. */
void st_txn_abort_all(st_engine_t *engine);

KB_END_DECLS

#endif

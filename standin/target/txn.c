#include "txn.h"

#include "str.h"

#include <search.h>
#include <stdlib.h>
#include <string.h>

enum { FIRST_CAPACITY_CHANGES = 4 };

static int compare_changes(const void *left, const void *right)
{
	const st_change_t *a = left;
	const st_change_t *b = right;
	int order = kb_str_compare(st_text_str(&a->id), st_text_str(&b->id));

	if (order)
		return order;
	return kb_str_compare(st_text_str(&a->table), st_text_str(&b->table));
}

void st_txn_init(st_txn_t *txn, st_engine_t *engine)
{
	memset(txn, 0, sizeof(*txn));
	txn->engine = engine;
	txn->next = engine->transactions;
	engine->transactions = txn;
}

static void discard_changes(st_txn_t *txn)
{
	for (size_t i = 0; i < txn->count; i++) {
		tdelete(txn->changes[i], &txn->engine->locks, compare_changes);
		st_change_free(txn->changes[i]);
	}
	txn->count = 0;
}

void st_txn_finish(st_txn_t *txn)
{
	st_txn_t **link = &txn->engine->transactions;

	discard_changes(txn);
	free(txn->changes);
	while (*link != txn)
		link = &(*link)->next;
	*link = txn->next;
}

void st_txn_rollback(st_txn_t *txn)
{
	discard_changes(txn);
	txn->aborted = 0;
}

void st_txn_abort_all(st_engine_t *engine)
{
	for (st_txn_t *txn = engine->transactions; txn; txn = txn->next) {
		if (txn->count)
			txn->aborted = 1;
		discard_changes(txn);
	}
}

static st_change_t *find_lock(const st_txn_t *txn, kb_str_t table, kb_str_t id)
{
	st_change_t key = { .table = { (char *)table.data, table.len },
			    .id = { (char *)id.data, id.len } };
	st_change_t **node = tfind(&key, &txn->engine->locks, compare_changes);

	return node ? *node : NULL;
}

const st_change_t *st_txn_change(const st_txn_t *txn, kb_str_t table,
				 kb_str_t id)
{
	const st_change_t *lock = find_lock(txn, table, id);

	return lock && lock->owner == txn ? lock : NULL;
}

int st_txn_find(const st_txn_t *txn, kb_str_t table, kb_str_t id,
		kb_str_t *body)
{
	const st_change_t *own = st_txn_change(txn, table, id);
	const st_table_t *rows = st_engine_table(txn->engine, table);
	const st_row_t *row;

	if (own) {
		*body = st_text_str(&own->body);
		return !own->deletes;
	}
	row = rows ? st_table_find(rows, id) : NULL;
	if (!row)
		return 0;
	*body = st_text_str(&row->body);
	return 1;
}

static const st_error_t *reserve(st_txn_t *txn)
{
	size_t capacity =
		txn->capacity ? txn->capacity * 2 : FIRST_CAPACITY_CHANGES;
	st_change_t **changes;

	if (txn->count < txn->capacity)
		return NULL;
	changes = realloc(txn->changes, capacity * sizeof(st_change_t *));
	if (!changes)
		return &st_error_no_memory;
	txn->changes = changes;
	txn->capacity = capacity;
	return NULL;
}

/* Acquires the lock of a row and returns it in `*lock`. */
static const st_error_t *acquire_lock(st_txn_t *txn, kb_str_t table,
				      kb_str_t id, st_change_t **lock)
{
	const st_error_t *error;

	if (txn->engine->role != KB_ROLE_PRIMARY || txn->aborted)
		return &st_error_read_only;
	*lock = find_lock(txn, table, id);
	if (*lock)
		return (*lock)->owner == txn ? NULL : &st_error_conflict;
	error = reserve(txn);
	if (error)
		return error;
	*lock = st_change_create(table, id);
	if (!*lock)
		return &st_error_no_memory;
	if (!tsearch(*lock, &txn->engine->locks, compare_changes)) {
		st_change_free(*lock);
		return &st_error_no_memory;
	}
	(*lock)->owner = txn;
	/* The change counts as a deletion until a body is set. */
	(*lock)->deletes = 1;
	txn->changes[txn->count++] = *lock;
	return NULL;
}

static const st_error_t *set_body(st_txn_t *txn, kb_str_t table, kb_str_t id,
				  kb_str_t body)
{
	st_text_t copy;
	st_change_t *lock;
	const st_error_t *error;

	if (st_text_init(&copy, body))
		return &st_error_no_memory;
	error = acquire_lock(txn, table, id, &lock);
	if (error) {
		st_text_finish(&copy);
		return error;
	}
	st_text_finish(&lock->body);
	lock->body = copy;
	lock->deletes = 0;
	return NULL;
}

const st_error_t *st_txn_insert(st_txn_t *txn, kb_str_t table, kb_str_t id,
				kb_str_t body)
{
	const st_change_t *lock = find_lock(txn, table, id);
	kb_str_t existing;

	if (txn->engine->role != KB_ROLE_PRIMARY || txn->aborted)
		return &st_error_read_only;
	if (lock && lock->owner != txn)
		return &st_error_conflict;
	if (st_txn_find(txn, table, id, &existing))
		return &st_error_duplicate;
	return set_body(txn, table, id, body);
}

/*
 * Checks that `txn` may change a row. `*found` is non-zero if the row exists
 * and has the expected body; NULL accepts any body.
 */
static const st_error_t *check_row(st_txn_t *txn, kb_str_t table, kb_str_t id,
				   const kb_str_t *expected, int *found)
{
	const st_change_t *lock = find_lock(txn, table, id);
	kb_str_t body;

	*found = 0;
	if (txn->engine->role != KB_ROLE_PRIMARY || txn->aborted)
		return &st_error_read_only;
	if (!st_txn_find(txn, table, id, &body))
		return NULL;
	if (lock && lock->owner != txn)
		return &st_error_conflict;
	*found = !expected || kb_str_equal(body, *expected);
	return NULL;
}

const st_error_t *st_txn_update(st_txn_t *txn, kb_str_t table, kb_str_t id,
				kb_str_t body, const kb_str_t *expected,
				size_t *affected)
{
	int found;
	const st_error_t *error = check_row(txn, table, id, expected, &found);

	*affected = 0;
	if (error || !found)
		return error;
	error = set_body(txn, table, id, body);
	*affected = !error;
	return error;
}

const st_error_t *st_txn_delete(st_txn_t *txn, kb_str_t table, kb_str_t id,
				size_t *affected)
{
	int found;
	st_change_t *lock;
	const st_error_t *error = check_row(txn, table, id, NULL, &found);

	*affected = 0;
	if (error || !found)
		return error;
	error = acquire_lock(txn, table, id, &lock);
	if (error)
		return error;
	lock->deletes = 1;
	*affected = 1;
	return NULL;
}

const st_error_t *st_txn_commit(st_txn_t *txn, kb_point_t *point)
{
	st_engine_t *engine = txn->engine;
	st_entry_t *entry;

	if (txn->aborted) {
		txn->aborted = 0;
		return &st_error_read_only;
	}
	if (!txn->count)
		return NULL;
	entry = st_entry_create(engine->term, txn->count);
	if (!entry)
		return &st_error_no_memory;
	for (size_t i = 0; i < txn->count; i++) {
		tdelete(txn->changes[i], &engine->locks, compare_changes);
		txn->changes[i]->owner = NULL;
		entry->changes[entry->count++] = txn->changes[i];
	}
	txn->count = 0;
	if (st_engine_commit(engine, entry))
		return &st_error_no_memory;
	*point = st_log_point(&engine->log, engine->log.count);
	return NULL;
}

#include "engine.h"

#include "str.h"
#include "txn.h"

#include <search.h>
#include <stdlib.h>
#include <string.h>

const st_error_t st_error_no_memory = { "53200", "out of memory" };
const st_error_t st_error_read_only = { "25006", "the target is a replica" };
const st_error_t st_error_conflict = { "40001",
				       "another transaction holds the row" };
const st_error_t st_error_duplicate = { "23505", "the id already exists" };

static int compare_tables(const void *left, const void *right)
{
	const st_table_t *a = left;
	const st_table_t *b = right;

	return kb_str_compare(st_text_str(&a->name), st_text_str(&b->name));
}

static void free_table(void *node)
{
	st_table_finish(node);
	free(node);
}

void st_engine_init(st_engine_t *engine)
{
	memset(engine, 0, sizeof(*engine));
	st_log_init(&engine->log);
	engine->role = KB_ROLE_REPLICA;
}

void st_engine_finish(st_engine_t *engine)
{
	tdestroy(engine->tables, free_table);
	st_log_finish(&engine->log);
}

static st_table_t *find_table(const st_engine_t *engine, kb_str_t name)
{
	st_table_t key = { .name = { (char *)name.data, name.len } };
	st_table_t **node = tfind(&key, &engine->tables, compare_tables);

	return node ? *node : NULL;
}

const st_table_t *st_engine_table(const st_engine_t *engine, kb_str_t name)
{
	return find_table(engine, name);
}

static st_table_t *require_table(st_engine_t *engine, kb_str_t name)
{
	st_table_t *table = find_table(engine, name);

	if (table)
		return table;
	table = calloc(1, sizeof(*table));
	if (!table)
		return NULL;
	if (st_table_init(table, name) ||
	    !tsearch(table, &engine->tables, compare_tables)) {
		free_table(table);
		return NULL;
	}
	return table;
}

static kb_result_t apply_change(st_engine_t *engine, st_change_t *change)
{
	st_table_t *table = require_table(engine, st_text_str(&change->table));
	kb_str_t id = st_text_str(&change->id);
	const st_row_t *row;

	if (!table)
		return KB_ERR_NO_MEMORY;
	row = st_table_find(table, id);
	st_text_finish(&change->old);
	change->had_old = !!row;
	if (row && st_text_init(&change->old, st_text_str(&row->body)))
		return KB_ERR_NO_MEMORY;
	if (!change->deletes)
		return st_table_put(table, id, st_text_str(&change->body));
	st_table_remove(table, id);
	return KB_OK;
}

static kb_result_t undo_change(st_engine_t *engine, st_change_t *change)
{
	st_table_t *table = require_table(engine, st_text_str(&change->table));
	kb_str_t id = st_text_str(&change->id);

	if (!table)
		return KB_ERR_NO_MEMORY;
	if (change->had_old)
		return st_table_put(table, id, st_text_str(&change->old));
	st_table_remove(table, id);
	return KB_OK;
}

kb_result_t st_engine_apply(st_engine_t *engine, uint64_t position)
{
	while (engine->applied < position) {
		st_entry_t *entry =
			st_log_at(&engine->log, engine->applied + 1);

		for (size_t i = 0; i < entry->count; i++)
			if (apply_change(engine, entry->changes[i]))
				return KB_ERR_NO_MEMORY;
		engine->applied++;
	}
	return KB_OK;
}

kb_result_t st_engine_rewind(st_engine_t *engine, uint64_t position)
{
	while (engine->applied > position) {
		st_entry_t *entry = st_log_at(&engine->log, engine->applied);

		for (size_t i = entry->count; i > 0; i--)
			if (undo_change(engine, entry->changes[i - 1]))
				return KB_ERR_NO_MEMORY;
		engine->applied--;
	}
	st_log_truncate(&engine->log, position);
	return KB_OK;
}

kb_result_t st_engine_receive(st_engine_t *engine, st_entry_t *entry)
{
	return st_log_append(&engine->log, entry);
}

kb_result_t st_engine_commit(st_engine_t *engine, st_entry_t *entry)
{
	if (st_log_append(&engine->log, entry)) {
		st_entry_free(entry);
		return KB_ERR_NO_MEMORY;
	}
	if (st_engine_apply(engine, engine->log.count))
		return KB_ERR_NO_MEMORY;
	if (engine->listener)
		engine->listener->ops->appended(engine->listener);
	return KB_OK;
}

void st_engine_report(const st_engine_t *engine, kb_report_t *report)
{
	memset(report, 0, sizeof(*report));
	report->term = engine->term;
	report->role = engine->role;
	report->received = engine->log.count;
	report->applied = engine->applied;
	st_log_history(&engine->log, &report->history);
	report->promoter = engine->promoter;
}

static void on_role_change(st_engine_t *engine)
{
	if (engine->role != KB_ROLE_PRIMARY)
		st_txn_abort_all(engine);
	if (engine->listener)
		engine->listener->ops->role_changed(engine->listener);
}

int st_engine_fence(st_engine_t *engine, uint64_t term, kb_str_t promoter)
{
	if (!promoter.len || promoter.len > KB_NAME_MAX_BYTES)
		return 0;
	if (engine->term == term && kb_name_is(&engine->promoter, promoter))
		return 1;
	if (engine->term >= term || kb_name_set(&engine->promoter, promoter))
		return 0;
	engine->term = term;
	engine->role = KB_ROLE_REPLICA;
	engine->primary_port = 0;
	on_role_change(engine);
	return 1;
}

int st_engine_promote(st_engine_t *engine, uint64_t term, kb_str_t promoter)
{
	st_entry_t *entry;

	if (engine->term != term || !promoter.len ||
	    !kb_name_is(&engine->promoter, promoter))
		return 0;
	if (engine->role == KB_ROLE_PRIMARY)
		return 1;
	if (engine->primary_port)
		return 0;
	entry = st_entry_create(term, 0);
	if (!entry || st_engine_apply(engine, engine->log.count) ||
	    st_log_append(&engine->log, entry)) {
		st_entry_free(entry);
		return 0;
	}
	engine->applied = engine->log.count;
	engine->role = KB_ROLE_PRIMARY;
	engine->next_id = 0;
	on_role_change(engine);
	return 1;
}

void st_engine_adopt_term(st_engine_t *engine, uint64_t term)
{
	if (engine->term >= term)
		return;
	engine->term = term;
	kb_name_set(&engine->promoter, KB_STR(""));
}

int st_engine_follow(st_engine_t *engine, uint64_t term, kb_str_t address,
		     uint16_t port)
{
	if (engine->term > term || !port ||
	    (engine->term == term && engine->role == KB_ROLE_PRIMARY))
		return 0;
	if (engine->term == term && engine->primary_port == port &&
	    kb_name_is(&engine->primary_address, address))
		return 1;
	if (kb_name_set(&engine->primary_address, address))
		return 0;
	st_engine_adopt_term(engine, term);
	engine->role = KB_ROLE_REPLICA;
	engine->primary_port = port;
	on_role_change(engine);
	return 1;
}

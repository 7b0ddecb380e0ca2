#include "table.h"

#include "str.h"

#include <search.h>
#include <stdlib.h>
#include <string.h>

/* The rows that share a body. */
typedef struct st_body {
	st_text_t body;
	st_row_t *first;
} st_body_t;

enum { FIRST_CAPACITY_ROWS = 64 };

static int compare_ids(const void *left, const void *right)
{
	const st_row_t *a = left;
	const st_row_t *b = right;

	return kb_str_compare(st_text_str(&a->id), st_text_str(&b->id));
}

static int compare_bodies(const void *left, const void *right)
{
	const st_body_t *a = left;
	const st_body_t *b = right;

	return kb_str_compare(st_text_str(&a->body), st_text_str(&b->body));
}

kb_result_t st_table_init(st_table_t *table, kb_str_t name)
{
	memset(table, 0, sizeof(*table));
	return st_text_init(&table->name, name);
}

static void free_row(void *node)
{
	st_row_t *row = node;

	st_text_finish(&row->id);
	st_text_finish(&row->body);
	free(row);
}

static void free_body(void *node)
{
	st_body_t *body = node;

	st_text_finish(&body->body);
	free(body);
}

void st_table_finish(st_table_t *table)
{
	tdestroy(table->by_body, free_body);
	tdestroy(table->by_id, free_row);
	free(table->slots);
	st_text_finish(&table->name);
}

static st_row_t *find_row(const st_table_t *table, kb_str_t id)
{
	st_row_t key = { .id = { (char *)id.data, id.len } };
	st_row_t **node = tfind(&key, &table->by_id, compare_ids);

	return node ? *node : NULL;
}

static st_body_t *find_body(const st_table_t *table, kb_str_t body)
{
	st_body_t key = { .body = { (char *)body.data, body.len } };
	st_body_t **node = tfind(&key, &table->by_body, compare_bodies);

	return node ? *node : NULL;
}

const st_row_t *st_table_find(const st_table_t *table, kb_str_t id)
{
	return find_row(table, id);
}

const st_row_t *st_table_find_body(const st_table_t *table, kb_str_t body)
{
	st_body_t *found = find_body(table, body);

	return found ? found->first : NULL;
}

static kb_result_t link_body(st_table_t *table, st_row_t *row)
{
	st_body_t *body = find_body(table, st_text_str(&row->body));

	if (!body) {
		body = calloc(1, sizeof(*body));
		if (!body)
			return KB_ERR_NO_MEMORY;
		if (st_text_init(&body->body, st_text_str(&row->body)) ||
		    !tsearch(body, &table->by_body, compare_bodies)) {
			free_body(body);
			return KB_ERR_NO_MEMORY;
		}
	}
	row->previous = NULL;
	row->next = body->first;
	if (body->first)
		body->first->previous = row;
	body->first = row;
	return KB_OK;
}

static void unlink_body(st_table_t *table, st_row_t *row)
{
	st_body_t *body = find_body(table, st_text_str(&row->body));

	if (row->next)
		row->next->previous = row->previous;
	if (row->previous)
		row->previous->next = row->next;
	else
		body->first = row->next;
	if (body->first)
		return;
	tdelete(body, &table->by_body, compare_bodies);
	free_body(body);
}

static kb_result_t reserve_slot(st_table_t *table)
{
	size_t capacity = table->slot_capacity ? table->slot_capacity * 2
					       : FIRST_CAPACITY_ROWS;
	st_row_t **slots;

	if (table->slot_count < table->slot_capacity)
		return KB_OK;
	slots = realloc(table->slots, capacity * sizeof(st_row_t *));
	if (!slots)
		return KB_ERR_NO_MEMORY;
	table->slots = slots;
	table->slot_capacity = capacity;
	return KB_OK;
}

static kb_result_t insert_row(st_table_t *table, kb_str_t id, kb_str_t body)
{
	st_row_t *row = calloc(1, sizeof(*row));

	if (!row)
		return KB_ERR_NO_MEMORY;
	if (st_text_init(&row->id, id) || st_text_init(&row->body, body) ||
	    reserve_slot(table) || !tsearch(row, &table->by_id, compare_ids))
		goto fail;
	if (link_body(table, row)) {
		tdelete(row, &table->by_id, compare_ids);
		goto fail;
	}
	row->slot = table->slot_count++;
	table->slots[row->slot] = row;
	table->row_count++;
	return KB_OK;
fail:
	free_row(row);
	return KB_ERR_NO_MEMORY;
}

kb_result_t st_table_put(st_table_t *table, kb_str_t id, kb_str_t body)
{
	st_row_t *row = find_row(table, id);
	st_text_t copy;

	if (!row)
		return insert_row(table, id, body);
	if (st_text_init(&copy, body))
		return KB_ERR_NO_MEMORY;
	unlink_body(table, row);
	st_text_finish(&row->body);
	row->body = copy;
	return link_body(table, row);
}

void st_table_remove(st_table_t *table, kb_str_t id)
{
	st_row_t *row = find_row(table, id);

	if (!row)
		return;
	unlink_body(table, row);
	tdelete(row, &table->by_id, compare_ids);
	table->slots[row->slot] = NULL;
	table->row_count--;
	free_row(row);
}

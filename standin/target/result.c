#include "result.h"

#include "str.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { FIRST_CAPACITY_CELLS = 8, NUMBER_BYTES = 24 };

void st_result_init(st_result_t *result, const char *verb, size_t columns)
{
	memset(result, 0, sizeof(*result));
	result->verb = verb;
	result->column_count = columns;
	result->limit = UINT64_MAX;
}

void st_result_finish(st_result_t *result)
{
	for (size_t i = 0; i < result->cell_count; i++)
		st_text_finish(&result->cells[i]);
	free(result->cells);
	memset(result, 0, sizeof(*result));
}

kb_result_t st_result_add(st_result_t *result, kb_str_t cell)
{
	size_t capacity = result->cell_capacity ? result->cell_capacity * 2
						: FIRST_CAPACITY_CELLS;
	st_text_t *cells;

	if (result->cell_count == result->cell_capacity) {
		cells = realloc(result->cells, capacity * sizeof(*cells));
		if (!cells)
			return KB_ERR_NO_MEMORY;
		result->cells = cells;
		result->cell_capacity = capacity;
	}
	if (st_text_init(&result->cells[result->cell_count], cell))
		return KB_ERR_NO_MEMORY;
	result->cell_count++;
	return KB_OK;
}

kb_result_t st_result_add_number(st_result_t *result, uint64_t number)
{
	char text[NUMBER_BYTES];

	snprintf(text, sizeof(text), "%" PRIu64, number);
	return st_result_add(result, kb_str_from(text));
}

kb_result_t st_result_scan(st_result_t *result, kb_str_t table,
			   const st_txn_t *txn, uint64_t limit)
{
	result->scan = st_engine_table(txn->engine, table);
	result->slot_end = result->scan ? result->scan->slot_count : 0;
	result->limit = limit;
	for (size_t i = 0; i < txn->count; i++) {
		const st_change_t *change = txn->changes[i];
		kb_str_t id = st_text_str(&change->id);

		if (change->deletes ||
		    !kb_str_equal(st_text_str(&change->table), table) ||
		    (result->scan && st_table_find(result->scan, id)))
			continue;
		if (st_result_add(result, id) ||
		    st_result_add(result, st_text_str(&change->body)))
			return KB_ERR_NO_MEMORY;
	}
	return KB_OK;
}

static int next_scanned(st_result_t *result, const st_txn_t *txn,
			kb_str_t *cells)
{
	while (result->scan && result->slot < result->slot_end) {
		const st_row_t *row = result->scan->slots[result->slot++];
		const st_change_t *change;

		if (!row)
			continue;
		cells[0] = st_text_str(&row->id);
		cells[1] = st_text_str(&row->body);
		change = st_txn_change(txn, st_text_str(&result->scan->name),
				       cells[0]);
		if (change && change->deletes)
			continue;
		if (change)
			cells[1] = st_text_str(&change->body);
		return 1;
	}
	return 0;
}

int st_result_next(st_result_t *result, const st_txn_t *txn, kb_str_t *cells)
{
	if (result->row_count >= result->limit)
		return 0;
	if (next_scanned(result, txn, cells)) {
		result->row_count++;
		return 1;
	}
	if (!result->column_count ||
	    result->next_cell + result->column_count > result->cell_count)
		return 0;
	for (size_t i = 0; i < result->column_count; i++)
		cells[i] = st_text_str(&result->cells[result->next_cell++]);
	result->row_count++;
	return 1;
}

void st_result_tag(const st_result_t *result, char tag[ST_TAG_BYTES])
{
	uint64_t count =
		result->column_count ? result->row_count : result->affected;

	if (result->verb[strlen(result->verb) - 1] == ' ')
		snprintf(tag, ST_TAG_BYTES, "%s%" PRIu64, result->verb, count);
	else
		snprintf(tag, ST_TAG_BYTES, "%s", result->verb);
}

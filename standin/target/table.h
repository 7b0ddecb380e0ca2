#ifndef ST_TABLE_H
#define ST_TABLE_H

#include "text.h"

KB_BEGIN_DECLS

/* A row whose change was applied. */
typedef struct st_row {
	st_text_t id;
	st_text_t body;
	/* Index in the table's array of rows. */
	size_t slot;
	/* List of the rows that have the same body. */
	struct st_row *next;
	struct st_row *previous;
} st_row_t;

/* A table of applied rows, indexed by id and by body. */
typedef struct st_table {
	st_text_t name;
	void *by_id;
	void *by_body;
	/* Rows in insertion order; NULL for deleted rows. */
	st_row_t **slots;
	size_t slot_count;
	size_t slot_capacity;
	size_t row_count;
} st_table_t;

/* Initializes an empty table. Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_table_init(st_table_t *table, kb_str_t name);

/* Frees all rows. */
void st_table_finish(st_table_t *table);

/* Returns the row with `id`, or NULL. */
const st_row_t *st_table_find(const st_table_t *table, kb_str_t id);

/* Returns the list of rows with `body`, or NULL. */
const st_row_t *st_table_find_body(const st_table_t *table, kb_str_t body);

/* Inserts or updates the row `id`. Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_table_put(st_table_t *table, kb_str_t id, kb_str_t body);

/* Removes the row `id` if it exists. */
void st_table_remove(st_table_t *table, kb_str_t id);

KB_END_DECLS

#endif

#ifndef ST_RESULT_H
#define ST_RESULT_H

#include "txn.h"

enum { ST_TAG_BYTES = 32, ST_RESULT_MAX_COLUMNS = 7 };

/* The result of a statement, read row by row. */
typedef struct st_result {
	size_t column_count;
	/* Copied cells in row order; returned after the rows of the scan. */
	st_text_t *cells;
	size_t cell_count;
	size_t cell_capacity;
	size_t next_cell;
	/* The table to scan, from `slot` to before `slot_end`, or NULL. */
	const st_table_t *scan;
	size_t slot;
	size_t slot_end;
	uint64_t limit;
	uint64_t row_count;
	/* The command tag without the row count. */
	const char *verb;
	/* Number of rows changed by a write. */
	size_t affected;
} st_result_t;

/* Initializes a result without rows. */
void st_result_init(st_result_t *result, const char *verb, size_t columns);
void st_result_finish(st_result_t *result);

/* Appends a copy of `cell`. Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_result_add(st_result_t *result, kb_str_t cell);

/* Appends `number` as decimal text. */
kb_result_t st_result_add_number(st_result_t *result, uint64_t number);

/*
 * Adds the rows of `table` that are visible to `txn`, up to `limit`. Returns
 * KB_OK or KB_ERR_NO_MEMORY.
 */
kb_result_t st_result_scan(st_result_t *result, kb_str_t table,
			   const st_txn_t *txn, uint64_t limit);

/*
 * Fills `cells` with the next row and returns 1; returns 0 after the last row.
 * The cells are valid until the data changes.
 */
int st_result_next(st_result_t *result, const st_txn_t *txn, kb_str_t *cells);

/* Writes the command tag, such as "SELECT 3". */
void st_result_tag(const st_result_t *result, char tag[ST_TAG_BYTES]);

#endif

#ifndef ST_RESULT_H
#define ST_RESULT_H

#include "txn.h"

enum { ST_TAG_BYTES = 32, ST_RESULT_MAX_COLUMNS = 7 };

/* The answer to a statement, taken row by row. */
typedef struct st_result {
	size_t column_count;
	/* Copies of cells, row after row; they follow the rows of the scan. */
	st_text_t *cells;
	size_t cell_count;
	size_t cell_capacity;
	size_t next_cell;
	/* The table to scan from `slot` up to `slot_end`, or NULL. */
	const st_table_t *scan;
	size_t slot;
	size_t slot_end;
	uint64_t limit;
	uint64_t row_count;
	/* The command tag without its count of rows. */
	const char *verb;
	/* Rows changed by a write. */
	size_t affected;
} st_result_t;

/* Initializes an answer without rows. */
void st_result_init(st_result_t *result, const char *verb, size_t columns);
void st_result_finish(st_result_t *result);

/* Appends a copy of `cell`. Returns KB_OK or KB_ERR_NO_MEMORY. */
kb_result_t st_result_add(st_result_t *result, kb_str_t cell);

/* Appends a decimal number. */
kb_result_t st_result_add_number(st_result_t *result, uint64_t number);

/* Lets the rows of `table` as `txn` sees them follow, up to `limit`. */
kb_result_t st_result_scan(st_result_t *result, kb_str_t table,
			   const st_txn_t *txn, uint64_t limit);

/*
 * Fills `cells` with the next row and returns 1, or returns 0 after the last.
 * The cells remain valid until the data changes.
 */
int st_result_next(st_result_t *result, const st_txn_t *txn, kb_str_t *cells);

/* Writes the command tag, such as "SELECT 3". */
void st_result_tag(const st_result_t *result, char tag[ST_TAG_BYTES]);

#endif

#ifndef ST_EXECUTE_H
#define ST_EXECUTE_H

#include "result.h"
#include "statement.h"

/* The bound parameters of a statement; `data` is NULL for SQL null. */
typedef struct st_params {
	size_t count;
	kb_str_t values[ST_STATEMENT_MAX_VALUES];
} st_params_t;

/* A statement to be run, with its parameters and transaction. */
typedef struct st_call {
	const st_statement_t *statement;
	const st_params_t *params;
	st_txn_t *txn;
	/* Result of kumquat.position(). */
	kb_point_t point;
} st_call_t;

/* Returns the column names of a form; `*count` is 0 if it has no rows. */
const char *const *st_columns(st_form_t form, size_t *count);

/* Returns non-zero if the form reads or writes a table. */
int st_form_uses_table(st_form_t form);

/* Returns non-zero if the form writes to a table. */
int st_form_writes(st_form_t form);

/*
 * Runs a statement other than BEGIN, COMMIT and ROLLBACK. Returns NULL on
 * success. `result` is always initialized; the caller finishes it.
 */
const st_error_t *st_execute(const st_call_t *call, st_result_t *result);

#endif

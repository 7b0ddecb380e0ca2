#ifndef ST_STATEMENT_H
#define ST_STATEMENT_H

#include "str.h"

/* The supported forms of statements. */
typedef enum st_form {
	ST_EMPTY,
	ST_BEGIN,
	ST_BEGIN_READ,
	ST_COMMIT,
	ST_ROLLBACK,
	ST_SELECT_ONE,
	ST_INSERT,
	ST_INSERT_BODY,
	ST_UPDATE,
	ST_UPDATE_CHECKED,
	ST_DELETE,
	ST_SELECT_ID,
	ST_SELECT_BODY,
	ST_SELECT_ALL,
	ST_SELECT_LIMIT,
	ST_COUNT,
	ST_PROBE,
	ST_FENCE,
	ST_PROMOTE,
	ST_FOLLOW,
	ST_POSITION,
} st_form_t;

enum { ST_STATEMENT_MAX_VALUES = 3, ST_TABLE_MAX_BYTES = 63 };

/* A value in a statement: the number of a parameter, or 0 and a literal. */
typedef struct st_value {
	unsigned param;
	/* Points into the text of the statement. */
	kb_str_t literal;
} st_value_t;

/* A parsed statement; the values are in textual order. */
typedef struct st_statement {
	st_form_t form;
	kb_name_t table;
	size_t value_count;
	st_value_t values[ST_STATEMENT_MAX_VALUES];
} st_statement_t;

/*
 * Parses the statement at the start of `*text` and advances `*text` past its
 * semicolon. Returns KB_ERR_INVALID if the form is not supported.
 */
kb_result_t st_statement_parse(st_statement_t *statement, kb_str_t *text);

/* Returns the highest parameter number that `statement` uses. */
unsigned st_statement_params(const st_statement_t *statement);

#endif

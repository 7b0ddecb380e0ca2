#include "execute.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

enum { HISTORY_BYTES = 1024, ID_BYTES = 64 };

static const st_error_t error_null = { "23502", "id and body are not null" };
static const st_error_t error_number = { "22P02", "not a number" };
static const st_error_t error_encoding = { "22021", "not valid UTF-8" };
static const st_error_t error_params = { "08P01", "a parameter is not bound" };

static const char *const row_columns[] = { "id", "body" };
static const char *const one_columns[] = { "?column?" };
static const char *const count_columns[] = { "count" };
static const char *const point_columns[] = { "term", "position" };
static const char *const report_columns[] = { "granted",  "term",    "role",
					      "received", "applied", "history",
					      "promoter" };

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

const char *const *st_columns(st_form_t form, size_t *count)
{
	switch (form) {
	case ST_SELECT_ONE:
		*count = COUNT_OF(one_columns);
		return one_columns;
	case ST_SELECT_ID:
	case ST_SELECT_BODY:
	case ST_SELECT_ALL:
	case ST_SELECT_LIMIT:
		*count = COUNT_OF(row_columns);
		return row_columns;
	case ST_COUNT:
		*count = COUNT_OF(count_columns);
		return count_columns;
	case ST_PROBE:
	case ST_FENCE:
	case ST_PROMOTE:
	case ST_FOLLOW:
		*count = COUNT_OF(report_columns);
		return report_columns;
	case ST_POSITION:
		*count = COUNT_OF(point_columns);
		return point_columns;
	default:
		*count = 0;
		return NULL;
	}
}

int st_form_uses_table(st_form_t form)
{
	return form >= ST_INSERT && form <= ST_COUNT;
}

int st_form_writes(st_form_t form)
{
	return form >= ST_INSERT && form <= ST_DELETE;
}

static const char *verb_of(st_form_t form)
{
	switch (form) {
	case ST_INSERT:
	case ST_INSERT_BODY:
		return "INSERT 0 ";
	case ST_UPDATE:
	case ST_UPDATE_CHECKED:
		return "UPDATE ";
	case ST_DELETE:
		return "DELETE ";
	default:
		return "SELECT ";
	}
}

static kb_str_t value_of(const st_call_t *call, size_t i)
{
	const st_value_t *value = &call->statement->values[i];

	return value->param ? call->params->values[value->param - 1]
			    : value->literal;
}

static const st_error_t *check_text(kb_str_t value)
{
	json_t *text;

	if (!value.data)
		return &error_null;
	text = json_stringn(value.data, value.len);
	json_decref(text);
	return text ? NULL : &error_encoding;
}

static const st_error_t *insert(const st_call_t *call, st_result_t *result,
				kb_str_t id, kb_str_t body)
{
	const st_error_t *error = check_text(id);

	if (!error)
		error = check_text(body);
	if (error)
		return error;
	error = st_txn_insert(call->txn, kb_name_str(&call->statement->table),
			      id, body);
	result->affected = !error;
	return error;
}

static const st_error_t *insert_generated(const st_call_t *call,
					  st_result_t *result)
{
	st_engine_t *engine = call->txn->engine;
	char id[ID_BYTES];

	snprintf(id, sizeof(id), "g%" PRIu64 "-%" PRIu64, engine->term,
		 ++engine->next_id);
	return insert(call, result, kb_str_from(id), value_of(call, 0));
}

static const st_error_t *update(const st_call_t *call, st_result_t *result)
{
	kb_str_t body = value_of(call, 0);
	kb_str_t expected = { NULL, 0 };
	int checked = call->statement->form == ST_UPDATE_CHECKED;
	const st_error_t *error = check_text(body);

	if (error)
		return error;
	if (checked)
		expected = value_of(call, 2);
	return st_txn_update(call->txn, kb_name_str(&call->statement->table),
			     value_of(call, 1), body,
			     checked ? &expected : NULL, &result->affected);
}

static const st_error_t *add_row(st_result_t *result, kb_str_t id,
				 kb_str_t body)
{
	if (st_result_add(result, id) || st_result_add(result, body))
		return &st_error_no_memory;
	return NULL;
}

static const st_error_t *select_id(const st_call_t *call, st_result_t *result)
{
	kb_str_t id = value_of(call, 0);
	kb_str_t body;

	if (!st_txn_find(call->txn, kb_name_str(&call->statement->table), id,
			 &body))
		return NULL;
	return add_row(result, id, body);
}

/* Adds the transaction's uncommitted rows that have `body`. */
static const st_error_t *add_own_rows(const st_call_t *call,
				      st_result_t *result, kb_str_t body)
{
	kb_str_t table = kb_name_str(&call->statement->table);
	const st_error_t *error = NULL;

	for (size_t i = 0; i < call->txn->count && !error; i++) {
		const st_change_t *change = call->txn->changes[i];

		if (!change->deletes &&
		    kb_str_equal(st_text_str(&change->table), table) &&
		    kb_str_equal(st_text_str(&change->body), body))
			error = add_row(result, st_text_str(&change->id), body);
	}
	return error;
}

static const st_error_t *select_body(const st_call_t *call, st_result_t *result)
{
	kb_str_t name = kb_name_str(&call->statement->table);
	kb_str_t body = value_of(call, 0);
	const st_table_t *table = st_engine_table(call->txn->engine, name);
	const st_row_t *row = table ? st_table_find_body(table, body) : NULL;
	const st_error_t *error = NULL;

	for (; row && !error; row = row->next)
		if (!st_txn_change(call->txn, name, st_text_str(&row->id)))
			error = add_row(result, st_text_str(&row->id), body);
	return error ? error : add_own_rows(call, result, body);
}

static const st_error_t *scan(const st_call_t *call, st_result_t *result,
			      uint64_t limit)
{
	if (st_result_scan(result, kb_name_str(&call->statement->table),
			   call->txn, limit))
		return &st_error_no_memory;
	return NULL;
}

static const st_error_t *select_limit(const st_call_t *call,
				      st_result_t *result)
{
	uint64_t limit;

	if (kb_str_to_u64(value_of(call, 0), &limit))
		return &error_number;
	return scan(call, result, limit);
}

static const st_error_t *count_rows(const st_call_t *call, st_result_t *result)
{
	st_result_t rows;
	kb_str_t cells[ST_RESULT_MAX_COLUMNS];
	const st_error_t *error;

	st_result_init(&rows, "", COUNT_OF(row_columns));
	error = scan(call, &rows, UINT64_MAX);
	while (!error && st_result_next(&rows, call->txn, cells))
		continue;
	if (!error && st_result_add_number(result, rows.row_count))
		error = &st_error_no_memory;
	st_result_finish(&rows);
	return error;
}

static const st_error_t *report(const st_call_t *call, st_result_t *result,
				int granted)
{
	kb_report_t report;
	char history[HISTORY_BYTES];

	st_engine_report(call->txn->engine, &report);
	if (kb_history_format(&report.history, history, sizeof(history)))
		return &st_error_no_memory;
	if (st_result_add(result, granted ? KB_STR("t") : KB_STR("f")) ||
	    st_result_add_number(result, report.term) ||
	    st_result_add(result, report.role == KB_ROLE_PRIMARY
					  ? KB_STR("primary")
					  : KB_STR("replica")) ||
	    st_result_add_number(result, report.received) ||
	    st_result_add_number(result, report.applied) ||
	    st_result_add(result, kb_str_from(history)) ||
	    st_result_add(result, kb_name_str(&report.promoter)))
		return &st_error_no_memory;
	return NULL;
}

static const st_error_t *run_command(const st_call_t *call, st_result_t *result)
{
	st_engine_t *engine = call->txn->engine;
	kb_str_t second = value_of(call, 1);
	uint64_t term;
	uint64_t port;

	if (kb_str_to_u64(value_of(call, 0), &term))
		return &error_number;
	if (call->statement->form == ST_FENCE)
		return report(call, result,
			      st_engine_fence(engine, term, second));
	if (call->statement->form == ST_PROMOTE)
		return report(call, result,
			      st_engine_promote(engine, term, second));
	if (kb_str_to_u64(value_of(call, 2), &port) || port > UINT16_MAX)
		return &error_number;
	return report(call, result,
		      st_engine_follow(engine, term, second, (uint16_t)port));
}

static const st_error_t *position(const st_call_t *call, st_result_t *result)
{
	if (st_result_add_number(result, call->point.term) ||
	    st_result_add_number(result, call->point.position))
		return &st_error_no_memory;
	return NULL;
}

static const st_error_t *run(const st_call_t *call, st_result_t *result)
{
	switch (call->statement->form) {
	case ST_INSERT:
		return insert(call, result, value_of(call, 0),
			      value_of(call, 1));
	case ST_INSERT_BODY:
		return insert_generated(call, result);
	case ST_UPDATE:
	case ST_UPDATE_CHECKED:
		return update(call, result);
	case ST_DELETE:
		return st_txn_delete(call->txn,
				     kb_name_str(&call->statement->table),
				     value_of(call, 0), &result->affected);
	case ST_SELECT_ID:
		return select_id(call, result);
	case ST_SELECT_BODY:
		return select_body(call, result);
	case ST_SELECT_ALL:
		return scan(call, result, UINT64_MAX);
	case ST_SELECT_LIMIT:
		return select_limit(call, result);
	case ST_COUNT:
		return count_rows(call, result);
	case ST_SELECT_ONE:
		return st_result_add(result, KB_STR("1")) ? &st_error_no_memory
							  : NULL;
	case ST_PROBE:
		return report(call, result, 1);
	case ST_POSITION:
		return position(call, result);
	default:
		return run_command(call, result);
	}
}

const st_error_t *st_execute(const st_call_t *call, st_result_t *result)
{
	size_t columns;

	st_columns(call->statement->form, &columns);
	st_result_init(result, verb_of(call->statement->form), columns);
	if (st_statement_params(call->statement) > call->params->count)
		return &error_params;
	return run(call, result);
}

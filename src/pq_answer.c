#include "pq_answer.h"

#include <stdlib.h>

/* Estimated memory of a row or value in addition to its text. */
#define VALUE_OVERHEAD_BYTES 32

void kb_pq_answer_init(kb_pq_answer_t *answer, size_t limit_bytes)
{
	memset(answer, 0, sizeof(*answer));
	answer->limit_bytes = limit_bytes;
}

void kb_pq_answer_finish(kb_pq_answer_t *answer)
{
	json_decref(answer->columns);
	json_decref(answer->rows);
}

void kb_pq_answer_reset(kb_pq_answer_t *answer)
{
	size_t limit = answer->limit_bytes;

	kb_pq_answer_finish(answer);
	kb_pq_answer_init(answer, limit);
}

static int add_columns(kb_pq_answer_t *answer, const PGresult *result)
{
	if (answer->columns)
		return 1;
	answer->columns = json_array();
	answer->rows = json_array();
	if (!answer->columns || !answer->rows)
		return 0;
	for (int i = 0; i < PQnfields(result); i++)
		if (json_array_append_new(answer->columns,
					  json_string(PQfname(result, i))))
			return 0;
	return 1;
}

static json_t *row_values(const PGresult *result, int row, size_t *bytes)
{
	json_t *values = json_array();

	for (int i = 0; values && i < PQnfields(result); i++) {
		size_t len = (size_t)PQgetlength(result, row, i);
		json_t *value =
			PQgetisnull(result, row, i)
				? json_null()
				: json_stringn(PQgetvalue(result, row, i), len);

		*bytes += len + VALUE_OVERHEAD_BYTES;
		if (json_array_append_new(values, value)) {
			json_decref(values);
			return NULL;
		}
	}
	*bytes += VALUE_OVERHEAD_BYTES;
	return values;
}

void kb_pq_answer_add(kb_pq_answer_t *answer, const PGresult *result)
{
	if (answer->failed)
		return;
	if (!add_columns(answer, result))
		answer->failed = 1;
	for (int row = 0; !answer->failed && row < PQntuples(result); row++) {
		json_t *values = row_values(result, row, &answer->bytes);

		if (!values || answer->bytes > answer->limit_bytes) {
			json_decref(values);
			answer->failed = 1;
		} else if (json_array_append_new(answer->rows, values)) {
			answer->failed = 1;
		}
	}
	if (answer->failed && answer->rows)
		json_array_clear(answer->rows);
}

static void end_with_error(const PGresult *result, kb_answer_t *out)
{
	const char *sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
	const char *message =
		PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);

	out->result = KB_ERR_STATEMENT;
	if (sqlstate)
		snprintf(out->sqlstate, sizeof(out->sqlstate), "%s", sqlstate);
	out->message = kb_str_from(message ? message : "");
}

void kb_pq_answer_end(kb_pq_answer_t *answer, const PGresult *result,
		      kb_answer_t *out)
{
	ExecStatusType status = PQresultStatus(result);
	const char *affected;

	memset(out, 0, sizeof(*out));
	out->message = KB_STR("");
	if (status != PGRES_COMMAND_OK && status != PGRES_TUPLES_OK) {
		end_with_error(result, out);
		return;
	}
	kb_pq_answer_add(answer, result);
	if (answer->failed)
		out->result = KB_ERR_TOO_LARGE;
	out->columns = answer->columns;
	out->rows = answer->rows;
	affected = PQcmdTuples((PGresult *)result);
	kb_str_to_u64(kb_str_from(affected), &out->affected);
}

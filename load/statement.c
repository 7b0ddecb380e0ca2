#include "statement.h"

#include <stdio.h>

enum { SQL_BYTES = 256, BULK_ROWS = 200 };

static json_t *write_statement(const kl_op_spec_t *spec, const char *sql,
			       json_t *params)
{
	return json_pack("{s:s,s:o,s:s}", "sql", sql, "params", params, "class",
			 spec->traffic_class);
}

static json_t *read_statement(const kl_read_kind_t *kind, const char *sql,
			      json_t *params)
{
	return json_pack("{s:s,s:o,s:s*}", "sql", sql, "params", params, "read",
			 kind ? kind->name : NULL);
}

json_t *kl_statement_insert(const kl_op_spec_t *spec, const char *table,
			    const char *body)
{
	char sql[SQL_BYTES];

	snprintf(sql, sizeof(sql), "INSERT INTO %s (body) VALUES ($1)", table);
	return write_statement(spec, sql, json_pack("[s]", body));
}

json_t *kl_statement_part(const kl_op_spec_t *spec, const char *table,
			  const char *id)
{
	char sql[SQL_BYTES];

	snprintf(sql, sizeof(sql), "INSERT INTO %s (id, body) VALUES ($1, $2)",
		 table);
	return write_statement(spec, sql, json_pack("[s,s]", id, KL_PART_FREE));
}

json_t *kl_statement_take(const kl_op_spec_t *spec, const char *table,
			  const char *id, const char *body)
{
	char sql[SQL_BYTES];

	snprintf(sql, sizeof(sql),
		 "UPDATE %s SET body = $2 WHERE id = $1 AND body = $3", table);
	return write_statement(spec, sql,
			       json_pack("[s,s,s]", id, body, KL_PART_FREE));
}

json_t *kl_statement_find_body(const kl_read_kind_t *kind, const char *table,
			       const char *body)
{
	char sql[SQL_BYTES];

	snprintf(sql, sizeof(sql), "SELECT id, body FROM %s WHERE body = $1",
		 table);
	return read_statement(kind, sql, json_pack("[s]", body));
}

json_t *kl_statement_find_id(const char *table, const char *id)
{
	char sql[SQL_BYTES];

	snprintf(sql, sizeof(sql), "SELECT id, body FROM %s WHERE id = $1",
		 table);
	return read_statement(NULL, sql, json_pack("[s]", id));
}

json_t *kl_statement_bulk(const kl_read_kind_t *kind, const char *table)
{
	char sql[SQL_BYTES];

	snprintf(sql, sizeof(sql), "SELECT id, body FROM %s LIMIT %d", table,
		 BULK_ROWS);
	return read_statement(kind, sql, json_array());
}

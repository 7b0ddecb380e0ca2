#include "exec.h"

#include "exec_batch.h"
#include "idempotency_record.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#define SQL_BEGIN KB_STR("BEGIN")
#define SQL_BEGIN_READ KB_STR("BEGIN READ ONLY")
#define SQL_COMMIT KB_STR("COMMIT")
#define SQL_ROLLBACK KB_STR("ROLLBACK")
#define SQL_POSITION KB_STR("SELECT * FROM kumquat.position()")

#define SQLSTATE_UNIQUE_VIOLATION "23505"
#define SQLSTATE_READ_ONLY "25006"
#define SQLSTATE_SERIALIZATION "40001"

void kb_exec_init(kb_exec_t *exec, const kb_exec_events_t *events, void *owner)
{
	memset(exec, 0, sizeof(*exec));
	exec->events = events;
	exec->owner = owner;
}

void kb_exec_finish(kb_exec_t *exec)
{
	json_decref(exec->body);
	free(exec->answer);
	exec->body = NULL;
	exec->answer = NULL;
}

static void end(kb_exec_t *exec, int in_transaction)
{
	if (exec->body && exec->result == KB_OK)
		exec->answer = json_dumps(exec->body, JSON_COMPACT);
	exec->phase = KB_EXEC_IDLE;
	exec->events->finished(exec, in_transaction);
}

static void fail(kb_exec_t *exec, kb_result_t result, const char *detail)
{
	exec->result = result;
	snprintf(exec->detail, sizeof(exec->detail), "%s", detail);
}

static void send_batch(kb_exec_t *exec, kb_exec_phase_t phase,
		       const kb_statement_t *statements, size_t count)
{
	kb_result_t result;
	int first = exec->phase == KB_EXEC_IDLE;

	exec->phase = phase;
	exec->failed_index = -1;
	result = exec->conn->ops->send(exec->conn, statements, count);
	if (!result)
		return;
	if (first && result == KB_ERR_UNREACHABLE)
		fail(exec, KB_ERR_UNREACHABLE, "the connection was lost");
	else if (!exec->result)
		fail(exec, KB_ERR_UNKNOWN, "the connection broke");
	end(exec, 1);
}

/* Returns a view of the first statement of the request, if there is one. */
static kb_statement_t caller_statement(const kbx_execute_args *args,
				       kb_str_t params[KBX_ITEMS_MAX])
{
	kb_statement_t view = { KB_STR(""), 0, params };
	const kbx_statement *statement;

	if (!args->statements.statements_len)
		return view;
	statement = &args->statements.statements_val[0];
	view.sql = kb_str_from(statement->sql);
	view.param_count = statement->params.params_len;
	for (size_t i = 0; i < view.param_count; i++) {
		const kbx_param *param = &statement->params.params_val[i];

		params[i] = param->is_null ? (kb_str_t){ NULL, 0 }
					   : kb_str_from(param->text);
	}
	return view;
}

static void start_keyed(kb_exec_t *exec, const kb_statement_t *statement)
{
	kb_idempotency_record_t record;
	kb_str_t params[KB_IDEMPOTENCY_RECORD_PARAMS];
	kb_statement_t batch[] = { { SQL_BEGIN, 0, NULL },
				   { SQL_BEGIN, 0, NULL },
				   *statement };

	kb_idempotency_record_init(&record, kb_str_from(exec->args->caller),
				   kb_str_from(exec->args->key), exec->digest);
	batch[KB_EXEC_BATCH_KEYED_RECORD] =
		kb_idempotency_record_insert(&record, params);
	send_batch(exec, KB_EXEC_KEYED_STATEMENT, batch, 3);
	kb_idempotency_record_finish(&record);
}

static void start_keyed_transaction(kb_exec_t *exec)
{
	kb_idempotency_record_t record;
	kb_str_t params[KB_IDEMPOTENCY_RECORD_PARAMS];
	kb_statement_t batch[] = { { SQL_COMMIT, 0, NULL },
				   { SQL_COMMIT, 0, NULL },
				   { SQL_POSITION, 0, NULL } };

	kb_idempotency_record_init(&record, kb_str_from(exec->args->caller),
				   kb_str_from(exec->args->key), exec->digest);
	batch[KB_EXEC_BATCH_TRANSACTION_RECORD] =
		kb_idempotency_record_insert(&record, params);
	send_batch(exec, KB_EXEC_KEYED_TRANSACTION, batch, 3);
	kb_idempotency_record_finish(&record);
}

static void start_write(kb_exec_t *exec, const kb_statement_t *statement)
{
	kb_statement_t batch[] = { { SQL_BEGIN, 0, NULL },
				   *statement,
				   { SQL_COMMIT, 0, NULL },
				   { SQL_POSITION, 0, NULL } };

	send_batch(exec, KB_EXEC_WRITE, batch, 4);
}

static void start_read(kb_exec_t *exec, const kb_statement_t *statement)
{
	kb_statement_t batch[] = { { SQL_BEGIN_READ, 0, NULL },
				   *statement,
				   { SQL_COMMIT, 0, NULL } };

	send_batch(exec, KB_EXEC_READ, batch, 3);
}

static void start_commit(kb_exec_t *exec)
{
	kb_statement_t batch[] = { { SQL_COMMIT, 0, NULL },
				   { SQL_POSITION, 0, NULL } };

	if (exec->args->key[0])
		start_keyed_transaction(exec);
	else
		send_batch(exec, KB_EXEC_COMMIT, batch, 2);
}

static void send_one(kb_exec_t *exec, kb_exec_phase_t phase, kb_str_t sql)
{
	kb_statement_t batch = { sql, 0, NULL };

	send_batch(exec, phase, &batch, 1);
}

void kb_exec_start(kb_exec_t *exec, kb_conn_t *conn,
		   const kbx_execute_args *args)
{
	kb_str_t params[KBX_ITEMS_MAX];
	kb_statement_t statement = caller_statement(args, params);

	kb_exec_finish(exec);
	exec->conn = conn;
	exec->args = args;
	exec->phase = KB_EXEC_IDLE;
	exec->committed = 0;
	exec->result = KB_OK;
	exec->detail[0] = 0;
	exec->point = (kb_point_t){ 0, 0 };
	exec->replayed = 0;
	if (statement.sql.len)
		kb_idempotency_record_digest(exec->digest, &statement);
	switch (args->action) {
	case KBX_ACTION_READ:
		start_read(exec, &statement);
		break;
	case KBX_ACTION_WRITE:
		if (args->key[0])
			start_keyed(exec, &statement);
		else
			start_write(exec, &statement);
		break;
	case KBX_ACTION_BEGIN:
		send_one(exec, KB_EXEC_BEGIN, SQL_BEGIN);
		break;
	case KBX_ACTION_STATEMENT:
		send_batch(exec, KB_EXEC_STATEMENT, &statement, 1);
		break;
	case KBX_ACTION_COMMIT:
		start_commit(exec);
		break;
	case KBX_ACTION_ROLLBACK:
		send_one(exec, KB_EXEC_ROLLBACK, SQL_ROLLBACK);
		break;
	}
}

static void store_body(kb_exec_t *exec, const kb_answer_t *answer)
{
	json_decref(exec->body);
	exec->body = json_pack("{s:O?,s:O?,s:I}", "columns", answer->columns,
			       "rows", answer->rows, "affected",
			       (json_int_t)answer->affected);
	if (!exec->body)
		fail(exec, KB_ERR_NO_MEMORY, "the answer does not fit");
}

static kb_str_t cell(const kb_answer_t *answer, size_t column)
{
	json_t *value = json_array_get(json_array_get(answer->rows, 0), column);

	return (kb_str_t){ json_string_value(value),
			   json_string_length(value) };
}

static void store_point(kb_exec_t *exec, const kb_answer_t *answer)
{
	if (kb_str_to_u64(cell(answer, 0), &exec->point.term) ||
	    kb_str_to_u64(cell(answer, 1), &exec->point.position))
		exec->point = (kb_point_t){ 0, 0 };
}

static void store_replayed_answer(kb_exec_t *exec, const kb_answer_t *answer)
{
	kb_str_t stored = cell(answer, 1);

	if (!stored.data) {
		fail(exec, KB_ERR_ROLLED_BACK,
		     "a rival request with the same key was rolled back");
		return;
	}
	json_decref(exec->body);
	exec->body = NULL;
	exec->result =
		kb_idempotency_record_read(stored, exec->digest, &exec->body);
	if (exec->result)
		fail(exec, exec->result, kb_strerror(exec->result));
	else
		exec->replayed = 1;
}

static void store_error(kb_exec_t *exec, size_t index,
			const kb_answer_t *answer)
{
	exec->failed_index = (int)index;
	memcpy(exec->sqlstate, answer->sqlstate, sizeof(exec->sqlstate));
	if (!strcmp(answer->sqlstate, SQLSTATE_SERIALIZATION))
		exec->result = KB_ERR_ROLLED_BACK;
	else if (!strcmp(answer->sqlstate, SQLSTATE_READ_ONLY))
		exec->result = KB_ERR_NO_PRIMARY;
	else
		exec->result = KB_ERR_STATEMENT;
	snprintf(exec->detail, sizeof(exec->detail), "%s: %.*s",
		 answer->sqlstate, KB_STR_ARG(answer->message));
}

void kb_exec_on_answer(kb_exec_t *exec, size_t index, const kb_answer_t *answer)
{
	if (answer->result && exec->phase == KB_EXEC_LOOKUP) {
		/* The first request with this key may have committed. */
		fail(exec, KB_ERR_UNKNOWN, "the stored answer is not readable");
		return;
	}
	if (answer->result == KB_ERR_STATEMENT) {
		if (!exec->committed && exec->phase != KB_EXEC_ROLLBACK)
			store_error(exec, index, answer);
		return;
	}
	if (answer->result) {
		/* A transaction that is still open is rolled back later. */
		fail(exec, answer->result, "the answer exceeds the limit");
		return;
	}
	if (kb_exec_batch_is_statement(exec->phase, index))
		store_body(exec, answer);
	else if (kb_exec_batch_is_commit(exec->phase, index))
		exec->committed = 1;
	else if (kb_exec_batch_is_position(exec->phase, index))
		store_point(exec, answer);
	else if (exec->phase == KB_EXEC_LOOKUP &&
		 index == KB_EXEC_BATCH_LOOKUP_RECORD)
		store_replayed_answer(exec, answer);
}

static void store_answer(kb_exec_t *exec)
{
	kb_idempotency_record_t record;
	kb_str_t params[KB_IDEMPOTENCY_RECORD_PARAMS];
	kb_statement_t batch[] = { { SQL_COMMIT, 0, NULL },
				   { SQL_COMMIT, 0, NULL },
				   { SQL_POSITION, 0, NULL } };
	kb_result_t result;

	kb_idempotency_record_init(&record, kb_str_from(exec->args->caller),
				   kb_str_from(exec->args->key), exec->digest);
	result = kb_idempotency_record_store(&record, exec->body, params,
					     &batch[KB_EXEC_BATCH_KEYED_STORE]);
	if (result) {
		fail(exec, result, kb_strerror(result));
		send_one(exec, KB_EXEC_ROLLBACK, SQL_ROLLBACK);
	} else {
		send_batch(exec, KB_EXEC_KEYED_COMMIT, batch, 3);
	}
	kb_idempotency_record_finish(&record);
}

static void look_up_record(kb_exec_t *exec)
{
	kb_idempotency_record_t record;
	kb_str_t params[KB_IDEMPOTENCY_RECORD_PARAMS];
	kb_statement_t batch[] = { { SQL_ROLLBACK, 0, NULL },
				   { SQL_ROLLBACK, 0, NULL },
				   { SQL_POSITION, 0, NULL } };

	exec->result = KB_OK;
	exec->detail[0] = 0;
	kb_idempotency_record_init(&record, kb_str_from(exec->args->caller),
				   kb_str_from(exec->args->key), exec->digest);
	batch[KB_EXEC_BATCH_LOOKUP_RECORD] =
		kb_idempotency_record_select(&record, params);
	send_batch(exec, KB_EXEC_LOOKUP, batch, 3);
	kb_idempotency_record_finish(&record);
}

/* Whether inserting the key's record failed because it exists already. */
static int is_key_used(const kb_exec_t *exec)
{
	int index = exec->phase == KB_EXEC_KEYED_STATEMENT
			    ? (int)KB_EXEC_BATCH_KEYED_RECORD
			    : (int)KB_EXEC_BATCH_TRANSACTION_RECORD;

	return (exec->phase == KB_EXEC_KEYED_STATEMENT ||
		exec->phase == KB_EXEC_KEYED_TRANSACTION) &&
	       exec->failed_index == index &&
	       !strcmp(exec->sqlstate, SQLSTATE_UNIQUE_VIOLATION);
}

static int is_write(const kb_exec_t *exec)
{
	return exec->args->action != KBX_ACTION_READ;
}

void kb_exec_on_batch_end(kb_exec_t *exec, int in_transaction)
{
	if (is_key_used(exec)) {
		look_up_record(exec);
		return;
	}
	if (exec->phase == KB_EXEC_KEYED_STATEMENT && !exec->result) {
		store_answer(exec);
		return;
	}
	if (exec->result && in_transaction && exec->phase != KB_EXEC_ROLLBACK) {
		send_one(exec, KB_EXEC_ROLLBACK, SQL_ROLLBACK);
		return;
	}
	if (is_write(exec) && (exec->committed || exec->replayed) &&
	    !exec->point.position)
		fail(exec, KB_ERR_UNKNOWN, "the position was not reported");
	else if (exec->committed && exec->result)
		fail(exec, KB_ERR_UNKNOWN, "committed without an answer");
	end(exec, in_transaction);
}

void kb_exec_on_lost(kb_exec_t *exec)
{
	int read_only = exec->args->action == KBX_ACTION_READ;

	if (!exec->result || exec->phase != KB_EXEC_ROLLBACK)
		fail(exec, read_only ? KB_ERR_CLOSED : KB_ERR_UNKNOWN,
		     "the connection broke before the answer");
	end(exec, 1);
}

#include "caller_session.h"

#include <stdlib.h>

enum {
	KIND_READ = 'r',
	KIND_WRITE = 'w',
};

static void answer_with(kb_caller_session_t *session, kb_result_t result,
			const char *message)
{
	kb_query_answer_t answer = {
		.result = result,
		.message = kb_str_from(message),
		.signature = { "", 0 },
		.state = session->state,
	};

	session->ops->answer(session->ctx, &answer);
}

/* Updates the team of the session's key; public databases need none. */
static kb_result_t refresh_team(kb_caller_session_t *session, kb_str_t id)
{
	memset(&session->team, 0, sizeof(session->team));
	if (session->database.is_public)
		return KB_OK;
	return session->ops->authenticate(session->ctx, session, id);
}

kb_result_t kb_caller_session_init(kb_caller_session_t *session,
				   const kb_caller_session_ops_t *ops,
				   void *ctx, kb_str_t name, kb_str_t key)
{
	const kb_database_t *database = ops->find(ctx, name);

	memset(session, 0, sizeof(*session));
	session->ops = ops;
	session->ctx = ctx;
	if (!database)
		return KB_ERR_NOT_FOUND;
	session->database = *database;
	session->name = database->name;
	session->key = kb_key_digest(key);
	return refresh_team(session, KB_STR(""));
}

void kb_caller_session_finish(kb_caller_session_t *session)
{
	if (session->transaction)
		session->ops->roll_back(session->ctx, session);
	session->transaction = 0;
	kb_session_values_finish(&session->values);
	kb_session_values_finish(&session->prepared);
	kb_text_free(&session->id);
	kb_text_free(&session->shape);
	kb_text_free(&session->body);
}

int kb_caller_session_needs_primary(const kb_caller_session_t *session)
{
	if (session->database.consistency == KB_READ_STRONG)
		return 1;
	if (session->state == KB_TXN_OPEN)
		return !session->read_only;
	return session->args.kind != KBS_READ;
}

static void end_transaction(kb_caller_session_t *session)
{
	session->state = KB_TXN_NONE;
	session->transaction = 0;
	session->read_only = 0;
	session->wrote = 0;
}

static void fail_transaction(kb_caller_session_t *session)
{
	if (session->transaction)
		session->ops->roll_back(session->ctx, session);
	session->transaction = 0;
	session->state = KB_TXN_FAILED;
}

static void run(kb_caller_session_t *session, kbs_kind kind, kb_str_t shape,
		const kb_query_t *query)
{
	kbs_run_args *args = &session->args;

	if (kb_text_copy(&session->id, query->id) ||
	    kb_text_copy(&session->shape, shape) ||
	    kb_text_copy(&session->body, query->body)) {
		answer_with(session, KB_ERR_OVERLOADED, "memory is short");
		return;
	}
	memset(args, 0, sizeof(*args));
	args->group = kb_text_view(kb_name_str(&session->database.group));
	args->team = kb_text_view(kb_name_str(&session->team));
	args->kind = kind;
	args->transactional = session->state == KB_TXN_OPEN;
	args->read_only = session->read_only;
	args->transaction = session->transaction;
	args->id = session->id;
	args->shape = session->shape;
	args->body = session->body;
	args->values.values_len = (u_int)session->values.count;
	args->values.values_val = session->values.items;
	args->priority = session->database.priority;
	session->running = 1;
	session->ops->run(session->ctx, session);
}

/*
 * Updates the configuration of the database and the session's team, but not
 * within a transaction. Returns 0 if there is no such database any more or the
 * key identifies nobody.
 */
static int refresh_database(kb_caller_session_t *session, kb_str_t id)
{
	const kb_database_t *database;

	if (session->state != KB_TXN_NONE)
		return 1;
	database =
		session->ops->find(session->ctx, kb_name_str(&session->name));
	if (!database) {
		answer_with(session, KB_ERR_NOT_FOUND,
			    "no such database is configured");
		return 0;
	}
	session->database = *database;
	if (refresh_team(session, id)) {
		answer_with(session, KB_ERR_UNAUTHENTICATED,
			    "the key identifies no team");
		return 0;
	}
	return 1;
}

static void run_statement(kb_caller_session_t *session, kbs_kind kind,
			  kb_str_t shape, const kb_query_t *query)
{
	if (!refresh_database(session, query->id))
		return;
	if (kind == KBS_WRITE && session->state == KB_TXN_OPEN &&
	    session->read_only) {
		fail_transaction(session);
		answer_with(session, KB_ERR_READ_ONLY,
			    "the transaction is read-only");
		return;
	}
	run(session, kind, shape, query);
}

static void execute(kb_caller_session_t *session, const kb_query_t *query)
{
	const kbs_text *prepared =
		kb_session_values_get(&session->prepared, query->name);
	kb_str_t text;

	if (!prepared) {
		answer_with(session, KB_ERR_NO_STATEMENT,
			    "no statement is prepared under the name");
		return;
	}
	text = kb_text_str(*prepared);
	run_statement(session, text.data[0] == KIND_READ ? KBS_READ : KBS_WRITE,
		      (kb_str_t){ text.data + 1, text.len - 1 }, query);
}

static void prepare(kb_caller_session_t *session, const kb_query_t *query)
{
	kbs_text text = { 0 };
	kb_result_t result;

	/* The kind is stored in front of the shape. */
	result = kb_text_copy(&text, query->body);
	if (!result) {
		char *grown = realloc(text.kbs_text_val, query->body.len + 2);

		if (grown) {
			memmove(grown + 1, grown, query->body.len);
			grown[0] = query->verb == KB_QUERY_PREPARE_READ
					   ? KIND_READ
					   : KIND_WRITE;
			text.kbs_text_val = grown;
			text.kbs_text_len++;
			result = kb_session_values_set(&session->prepared,
						       query->name,
						       kb_text_str(text));
		} else {
			result = KB_ERR_NO_MEMORY;
		}
	}
	kb_text_free(&text);
	answer_with(session, result ? KB_ERR_OVERLOADED : KB_OK,
		    result ? "the statement cannot be prepared" : "");
}

static void set_value(kb_caller_session_t *session, const kb_query_t *query)
{
	kb_result_t result = kb_session_values_set(&session->values,
						   query->name, query->body);

	answer_with(session, result ? KB_ERR_OVERLOADED : KB_OK,
		    result ? "the value cannot be set" : "");
}

static void close_statement(kb_caller_session_t *session,
			    const kb_query_t *query)
{
	if (kb_session_values_remove(&session->prepared, query->name))
		answer_with(session, KB_OK, "");
	else
		answer_with(session, KB_ERR_NO_STATEMENT,
			    "no statement is prepared under the name");
}

static void begin(kb_caller_session_t *session, const kb_query_t *query)
{
	if (session->state != KB_TXN_NONE) {
		answer_with(session, KB_ERR_INVALID,
			    "a transaction is open already");
		return;
	}
	if (!refresh_database(session, query->id))
		return;
	session->state = KB_TXN_OPEN;
	session->read_only = query->verb == KB_QUERY_BEGIN_READ_ONLY;
	answer_with(session, KB_OK, "");
}

static void end(kb_caller_session_t *session, const kb_query_t *query)
{
	int failed = session->state == KB_TXN_FAILED;

	if (session->state == KB_TXN_NONE) {
		answer_with(session, KB_ERR_INVALID, "no transaction is open");
		return;
	}
	if (!failed && query->verb == KB_QUERY_COMMIT) {
		run(session, KBS_COMMIT, KB_STR(""), query);
		return;
	}
	if (session->transaction)
		session->ops->roll_back(session->ctx, session);
	end_transaction(session);
	if (query->verb == KB_QUERY_COMMIT)
		answer_with(session, KB_ERR_ROLLED_BACK,
			    "the transaction had failed");
	else
		answer_with(session, KB_OK, "");
}

void kb_caller_session_query(kb_caller_session_t *session,
			     const kb_query_t *query)
{
	int ends = query->verb == KB_QUERY_COMMIT ||
		   query->verb == KB_QUERY_ROLLBACK;

	if (query->verb == KB_QUERY_MALFORMED ||
	    (session->state == KB_TXN_FAILED && !ends)) {
		answer_with(session, KB_ERR_INVALID,
			    session->state == KB_TXN_FAILED
				    ? "the transaction has failed"
				    : "the request is malformed");
		return;
	}
	switch (query->verb) {
	case KB_QUERY_BEGIN:
	case KB_QUERY_BEGIN_READ_ONLY:
		begin(session, query);
		break;
	case KB_QUERY_COMMIT:
	case KB_QUERY_ROLLBACK:
		end(session, query);
		break;
	case KB_QUERY_READ:
		run_statement(session, KBS_READ, KB_STR(""), query);
		break;
	case KB_QUERY_WRITE:
		run_statement(session, KBS_WRITE, KB_STR(""), query);
		break;
	case KB_QUERY_SET:
		set_value(session, query);
		break;
	case KB_QUERY_PREPARE_READ:
	case KB_QUERY_PREPARE_WRITE:
		prepare(session, query);
		break;
	case KB_QUERY_EXECUTE:
		execute(session, query);
		break;
	default:
		close_statement(session, query);
		break;
	}
}

/*
 * Returns the result to report to the caller. If a statement ended without a
 * definite result, a commit or a write outside a transaction may have run, an
 * open transaction is rolled back, and a read has timed out.
 */
static kb_result_t result_for_caller(const kb_caller_session_t *session,
				     kb_result_t result)
{
	kbs_kind kind = session->args.kind;

	if (result / 100 <= 2 || result == KB_ERR_UNKNOWN)
		return result;
	if (kind == KBS_COMMIT ||
	    (kind == KBS_WRITE && !session->args.transactional))
		return KB_ERR_UNKNOWN;
	return session->args.transactional ? KB_ERR_ROLLED_BACK
					   : KB_ERR_TIMEOUT;
}

static void advance_committed(kb_caller_session_t *session, kb_point_t point)
{
	if (kb_point_compare(point, session->committed) > 0)
		session->committed = point;
}

void kb_caller_session_on_result(kb_caller_session_t *session,
				 const kbs_run_res *res)
{
	kb_result_t result =
		result_for_caller(session, (kb_result_t)res->result);
	kbs_kind kind = session->args.kind;
	kb_query_answer_t answer = {
		.result = result,
		.message = kb_text_str(res->message),
		.retry = res->retry_us * KB_NS_PER_US,
		.row_count = res->rows.rows_len,
		.rows = res->rows.rows_val,
		.signature = kb_text_str(res->signature),
		.point = kb_point_from(res->point),
	};

	session->running = 0;
	if (kind == KBS_COMMIT) {
		if (!result && session->wrote)
			advance_committed(session, answer.point);
		session->transaction = res->transaction;
		if (session->transaction)
			session->ops->roll_back(session->ctx, session);
		end_transaction(session);
	} else if (session->state == KB_TXN_OPEN) {
		session->transaction = res->transaction;
		if (!result && kind == KBS_WRITE)
			session->wrote = 1;
		if (result && !res->transaction)
			fail_transaction(session);
	} else if (!result && kind == KBS_WRITE) {
		advance_committed(session, answer.point);
	}
	answer.state = session->state;
	session->ops->answer(session->ctx, &answer);
}

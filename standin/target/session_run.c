#include "session_run.h"

const st_error_t st_error_syntax = { "42601", "unsupported statement form" };
static const st_error_t error_block_failed = {
	"25P02", "the transaction failed and must be rolled back"
};

static const st_error_t error_read_only_block = {
	"25006", "the transaction is read only"
};

void st_session_fail(st_session_t *session, const st_error_t *error)
{
	if (st_wire_error(session->out, "ERROR", error))
		session->transport->ops->close(session->transport);
	st_txn_rollback(&session->txn);
	session->block_failed = session->in_block;
	session->skipping = 1;
	session->busy = ST_IDLE;
}

static void complete(st_session_t *session, const char *tag)
{
	if (st_wire_complete(session->out, tag))
		session->transport->ops->close(session->transport);
	session->busy = ST_IDLE;
}

/* Sends rows while the output has room, then the command tag. */
static void stream(st_session_t *session)
{
	kb_str_t cells[ST_RESULT_MAX_COLUMNS];
	char tag[ST_TAG_BYTES];

	while (st_result_next(&session->result, &session->txn, cells)) {
		if (st_wire_row(session->out, cells,
				session->result.column_count))
			session->transport->ops->close(session->transport);
		if (session->transport->ops->has_room(session->transport))
			continue;
		session->busy = ST_STREAMING;
		session->transport->ops->flush(session->transport);
		return;
	}
	st_result_tag(&session->result, tag);
	st_result_finish(&session->result);
	complete(session, tag);
}

void st_session_writable(st_session_t *session)
{
	if (session->busy != ST_STREAMING)
		return;
	stream(session);
	if (!session->busy)
		st_session_proceed(session);
}

static void execute(st_session_t *session)
{
	st_engine_t *engine = session->txn.engine;
	st_call_t call = { .statement = &session->statement,
			   .params = &session->params,
			   .txn = &session->txn,
			   .point = session->committed };
	const st_error_t *error;
	const char *const *columns;
	size_t count;

	if (!call.point.term)
		call.point = st_log_point(&engine->log, engine->applied);
	if (session->statement.form != ST_POSITION)
		session->committed.term = 0;
	st_result_finish(&session->result);
	error = st_execute(&call, &session->result);
	if (error) {
		st_session_fail(session, error);
		return;
	}
	columns = st_columns(session->statement.form, &count);
	if (session->simple && count &&
	    st_wire_columns(session->out, columns, count))
		session->transport->ops->close(session->transport);
	stream(session);
}

static void commit(st_session_t *session)
{
	const st_error_t *error = NULL;
	int failed = session->block_failed;

	session->in_block = 0;
	session->block_failed = 0;
	if (failed)
		st_txn_rollback(&session->txn);
	else
		error = st_txn_commit(&session->txn, &session->committed);
	if (error)
		st_session_fail(session, error);
	else
		complete(session, failed ? "ROLLBACK" : "COMMIT");
}

static void begin(st_session_t *session)
{
	session->in_block = 1;
	session->read_only = session->statement.form == ST_BEGIN_READ;
	complete(session, "BEGIN");
}

static void roll_back(st_session_t *session)
{
	st_txn_rollback(&session->txn);
	session->in_block = 0;
	session->block_failed = 0;
	complete(session, "ROLLBACK");
}

void st_session_on_slot(void *ctx)
{
	st_session_t *session = ctx;

	session->busy = ST_IDLE;
	if (session->statement.form == ST_COMMIT)
		commit(session);
	else
		execute(session);
	if (!session->busy)
		st_session_proceed(session);
}

static void wait_for_slot(st_session_t *session, unsigned service_ms)
{
	session->busy = ST_EXECUTING;
	session->carries_data = 1;
	st_job_submit(&session->job, service_ms);
}

void st_session_run(st_session_t *session)
{
	st_form_t form = session->statement.form;

	if (form != ST_POSITION)
		session->committed.term = 0;
	if (form == ST_ROLLBACK)
		roll_back(session);
	else if (form == ST_COMMIT)
		wait_for_slot(session, 0);
	else if (session->block_failed)
		st_session_fail(session, &error_block_failed);
	else if (session->txn.aborted)
		st_session_fail(session, &st_error_read_only);
	else if (form == ST_BEGIN || form == ST_BEGIN_READ)
		begin(session);
	else if (session->in_block && session->read_only &&
		 st_form_writes(form))
		st_session_fail(session, &error_read_only_block);
	else if (st_form_uses_table(form))
		wait_for_slot(session, session->service_ms);
	else
		execute(session);
}

#include "session.h"

#include "extended.h"
#include "session_run.h"

#include <string.h>

kb_result_t st_session_init(st_session_t *session,
			    st_session_transport_t *transport,
			    st_engine_t *engine, st_slots_t *slots,
			    struct evbuffer *out, unsigned service_ms)
{
	memset(session, 0, sizeof(*session));
	if (st_job_init(&session->job, slots, st_session_on_slot, session))
		return KB_ERR_NO_MEMORY;
	session->transport = transport;
	session->out = out;
	session->service_ms = service_ms;
	st_txn_init(&session->txn, engine);
	return KB_OK;
}

void st_session_finish(st_session_t *session)
{
	st_job_finish(&session->job);
	st_result_finish(&session->result);
	st_text_finish(&session->text);
	st_text_finish(&session->bound);
	st_txn_finish(&session->txn);
}

static char status(const st_session_t *session)
{
	if (session->block_failed)
		return 'E';
	return session->in_block ? 'T' : 'I';
}

/*
 * Ends a simple query or handles Sync: commits unless in a transaction block,
 * and sends ReadyForQuery.
 */
static void finish_request(st_session_t *session)
{
	const st_error_t *error = NULL;

	if (!session->in_block)
		error = st_txn_commit(&session->txn, &session->committed);
	if (error)
		st_wire_error(session->out, "ERROR", error);
	session->simple = 0;
	session->skipping = 0;
	if (st_wire_ready(session->out, status(session)))
		session->transport->ops->close(session->transport);
	session->transport->ops->flush(session->transport);
	session->carries_data = 0;
}

/* Runs the statements of a simple query until one is pending. */
static void advance(st_session_t *session)
{
	while (session->simple && !session->busy) {
		if (session->skipping || !session->rest.len) {
			finish_request(session);
			return;
		}
		if (st_statement_parse(&session->statement, &session->rest)) {
			st_session_fail(session, &st_error_syntax);
			continue;
		}
		if (session->statement.form != ST_EMPTY)
			st_session_run(session);
	}
}

void st_session_proceed(st_session_t *session)
{
	advance(session);
	if (!session->busy)
		session->transport->ops->resume(session->transport);
}

static void start_query(st_session_t *session, st_reader_t *body)
{
	kb_str_t text = st_read_text(body);
	kb_str_t rest;

	st_text_finish(&session->text);
	if (body->bad || st_text_init(&session->text, text)) {
		session->transport->ops->close(session->transport);
		return;
	}
	memset(&session->params, 0, sizeof(session->params));
	session->has_statement = 0;
	session->simple = 1;
	session->rest = st_text_str(&session->text);
	rest = session->rest;
	if (!st_statement_parse(&session->statement, &rest) && !rest.len &&
	    session->statement.form == ST_EMPTY)
		st_wire_simple(session->out, 'I');
	advance(session);
}

void st_session_message(st_session_t *session, char type, st_reader_t *body)
{
	if (type == 'X') {
		session->transport->ops->close(session->transport);
		return;
	}
	if (type == 'S') {
		finish_request(session);
		return;
	}
	if (session->skipping)
		return;
	if (type == 'Q')
		start_query(session, body);
	else if (type == 'H')
		session->transport->ops->flush(session->transport);
	else if (st_extended_message(session, type, body))
		session->transport->ops->close(session->transport);
}

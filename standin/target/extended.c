#include "extended.h"

#include "session_run.h"

static const st_error_t error_named = { "0A000",
					"only unnamed statements and portals" };
static const st_error_t error_format = { "0A000", "only the text format" };
static const st_error_t error_no_statement = { "26000", "no statement" };

#define NULL_LENGTH UINT32_MAX

static kb_result_t parse(st_session_t *session, st_reader_t *body)
{
	kb_str_t name = st_read_text(body);
	kb_str_t text = st_read_text(body);
	kb_str_t rest;

	if (body->bad)
		return KB_ERR_PROTOCOL;
	if (name.len) {
		st_session_fail(session, &error_named);
		return KB_OK;
	}
	session->has_statement = 0;
	st_text_finish(&session->text);
	if (st_text_init(&session->text, text))
		return KB_ERR_NO_MEMORY;
	rest = st_text_str(&session->text);
	if (st_statement_parse(&session->statement, &rest) || rest.len) {
		st_session_fail(session, &st_error_syntax);
		return KB_OK;
	}
	session->has_statement = 1;
	return st_wire_simple(session->out, '1') ? KB_ERR_NO_MEMORY : KB_OK;
}

static int read_formats(st_reader_t *body)
{
	int text_only = 1;

	for (uint16_t left = st_read_u16(body); left && !body->bad; left--)
		text_only &= !st_read_u16(body);
	return text_only;
}

static kb_result_t read_values(st_session_t *session, st_reader_t *body)
{
	uint16_t count = st_read_u16(body);

	if (body->bad || count > ST_STATEMENT_MAX_VALUES)
		return KB_ERR_PROTOCOL;
	session->params.count = count;
	for (uint16_t i = 0; i < count; i++) {
		uint32_t len = st_read_u32(body);

		if (len == NULL_LENGTH)
			session->params.values[i] = (kb_str_t){ NULL, 0 };
		else
			session->params.values[i] = st_read_bytes(body, len);
	}
	return body->bad ? KB_ERR_PROTOCOL : KB_OK;
}

/* Handles Bind; copies the message because the values point into it. */
static kb_result_t bind_values(st_session_t *session, st_reader_t *body)
{
	kb_str_t all = { (const char *)body->at,
			 (size_t)(body->end - body->at) };
	st_reader_t copy;
	kb_str_t portal;
	kb_str_t name;
	int text_only;

	st_text_finish(&session->bound);
	if (st_text_init(&session->bound, all))
		return KB_ERR_NO_MEMORY;
	copy.at = (const uint8_t *)session->bound.data;
	copy.end = copy.at + session->bound.len;
	copy.bad = 0;
	portal = st_read_text(&copy);
	name = st_read_text(&copy);
	text_only = read_formats(&copy);
	if (read_values(session, &copy))
		return KB_ERR_PROTOCOL;
	text_only &= read_formats(&copy);
	if (copy.bad)
		return KB_ERR_PROTOCOL;
	if (portal.len || name.len)
		st_session_fail(session, &error_named);
	else if (!text_only)
		st_session_fail(session, &error_format);
	else if (!session->has_statement)
		st_session_fail(session, &error_no_statement);
	else if (st_wire_simple(session->out, '2'))
		return KB_ERR_NO_MEMORY;
	return KB_OK;
}

static kb_result_t describe(st_session_t *session, st_reader_t *body)
{
	kb_str_t kind = st_read_bytes(body, 1);
	const char *const *columns;
	size_t count;

	if (body->bad)
		return KB_ERR_PROTOCOL;
	if (!session->has_statement) {
		st_session_fail(session, &error_no_statement);
		return KB_OK;
	}
	columns = st_columns(session->statement.form, &count);
	if (kind.data[0] == 'S' &&
	    st_wire_params(session->out,
			   st_statement_params(&session->statement)))
		return KB_ERR_NO_MEMORY;
	if (count ? st_wire_columns(session->out, columns, count)
		  : st_wire_simple(session->out, 'n'))
		return KB_ERR_NO_MEMORY;
	return KB_OK;
}

static kb_result_t execute(st_session_t *session)
{
	if (!session->has_statement) {
		st_session_fail(session, &error_no_statement);
		return KB_OK;
	}
	if (session->statement.form == ST_EMPTY)
		return st_wire_simple(session->out, 'I') ? KB_ERR_NO_MEMORY
							 : KB_OK;
	st_session_run(session);
	return KB_OK;
}

kb_result_t st_extended_message(st_session_t *session, char type,
				st_reader_t *body)
{
	switch (type) {
	case 'P':
		return parse(session, body);
	case 'B':
		return bind_values(session, body);
	case 'D':
		return describe(session, body);
	case 'E':
		return execute(session);
	case 'C':
		return st_wire_simple(session->out, '3') ? KB_ERR_NO_MEMORY
							 : KB_OK;
	default:
		return KB_ERR_PROTOCOL;
	}
}

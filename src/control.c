#include "control.h"

#include "log.h"

#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>

enum {
	/* The connection is closed if an answer takes longer. */
	ANSWER_TIMEOUT_MS = 500,
	PARAMS_MAX = 3,
	NUMBER_BYTES = 24,
};

/* Columns of the result row of the target's control functions. */
enum {
	COLUMN_GRANTED,
	COLUMN_TERM,
	COLUMN_ROLE,
	COLUMN_RECEIVED,
	COLUMN_APPLIED,
	COLUMN_HISTORY,
	COLUMN_PROMOTER,
};

static void send_first(kb_control_t *control);

static kb_str_t column(json_t *row, size_t index)
{
	json_t *value = json_array_get(row, index);

	return (kb_str_t){ json_string_value(value),
			   json_string_length(value) };
}

kb_result_t kb_control_parse_row(json_t *row, kb_report_t *report, int *granted)
{
	kb_str_t role = column(row, COLUMN_ROLE);
	kb_str_t history = column(row, COLUMN_HISTORY);

	memset(report, 0, sizeof(*report));
	*granted = kb_str_equal(column(row, COLUMN_GRANTED), KB_STR("t"));
	if (kb_str_equal(role, KB_STR("primary")))
		report->role = KB_ROLE_PRIMARY;
	else if (!kb_str_equal(role, KB_STR("replica")))
		return KB_ERR_PROTOCOL;
	if (kb_str_to_u64(column(row, COLUMN_TERM), &report->term) ||
	    kb_str_to_u64(column(row, COLUMN_RECEIVED), &report->received) ||
	    kb_str_to_u64(column(row, COLUMN_APPLIED), &report->applied) ||
	    kb_history_parse(&report->history, history.data, history.len) ||
	    kb_name_set(&report->promoter, column(row, COLUMN_PROMOTER)))
		return KB_ERR_PROTOCOL;
	return KB_OK;
}

static void finish_first(kb_control_t *control, kb_result_t result,
			 const kb_report_t *report)
{
	kb_control_command_t command = control->commands[0];

	control->command_count--;
	memmove(&control->commands[0], &control->commands[1],
		sizeof(control->commands[0]) * control->command_count);
	control->busy = 0;
	control->events->ended(control, &command, result, report);
}

static void connect_target(kb_control_t *control);

/*
 * Closes the connection and ends the commands queued at this time: the one
 * that was sent with `sent`, the others with `waiting`.
 */
static void disconnect(kb_control_t *control, kb_result_t sent,
		       kb_result_t waiting)
{
	size_t count = control->command_count;

	if (control->conn)
		control->conn->ops->close(control->conn);
	control->conn = NULL;
	control->connected = 0;
	if (control->timer)
		event_del(control->timer);
	for (; count && control->command_count; count--)
		finish_first(control, control->busy ? sent : waiting, NULL);
}

static void start_timer(kb_control_t *control)
{
	struct timeval timeout = {
		.tv_sec = ANSWER_TIMEOUT_MS / 1000,
		.tv_usec = ANSWER_TIMEOUT_MS % 1000 * 1000,
	};

	event_add(control->timer, &timeout);
}

/* Defers a failure to the event loop, as the owner must not be re-entered. */
static void fail_deferred(kb_control_t *control, kb_result_t result)
{
	control->failed = result;
	event_active(control->timer, EV_TIMEOUT, 0);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	kb_control_t *control = arg;
	kb_result_t result = control->failed;

	(void)fd;
	(void)what;
	control->failed = KB_OK;
	if (!result) {
		kb_log(KB_EVENT_TARGET_CONNECTION_LOST,
		       "target=%s:%u cause=silence",
		       control->address.address.data, control->address.port);
		result = KB_ERR_TIMEOUT;
	}
	disconnect(control, result, result);
}

static void on_open(kb_conn_t *conn, kb_result_t result)
{
	kb_control_t *control = conn->owner;

	if (result) {
		disconnect(control, result, result);
		return;
	}
	event_del(control->timer);
	control->connected = 1;
	send_first(control);
}

static void on_answer(kb_conn_t *conn, size_t index, const kb_answer_t *answer)
{
	kb_control_t *control = conn->owner;
	int granted = 0;

	(void)index;
	control->answer_result = KB_ERR_PROTOCOL;
	if (answer->result)
		return;
	control->answer_result = kb_control_parse_row(
		json_array_get(answer->rows, 0), &control->report, &granted);
	if (!control->answer_result && !granted)
		control->answer_result = KB_ERR_CONFLICT;
}

static void on_batch_end(kb_conn_t *conn, int in_transaction)
{
	kb_control_t *control = conn->owner;
	kb_result_t result = control->answer_result;
	int reported = result == KB_OK || result == KB_ERR_CONFLICT;

	(void)in_transaction;
	event_del(control->timer);
	finish_first(control, result, reported ? &control->report : NULL);
	if (control->connected && !control->busy)
		send_first(control);
}

static void on_lost(kb_conn_t *conn)
{
	kb_control_t *control = conn->owner;

	kb_log(KB_EVENT_TARGET_CONNECTION_LOST, "target=%s:%u cause=closed",
	       control->address.address.data, control->address.port);
	disconnect(control, KB_ERR_CLOSED, KB_ERR_UNREACHABLE);
}

static const kb_conn_events_t conn_events = {
	.on_open = on_open,
	.on_answer = on_answer,
	.on_batch_end = on_batch_end,
	.on_lost = on_lost,
};

static kb_statement_t command_statement(const kb_control_command_t *command,
					kb_str_t params[PARAMS_MAX],
					char term[NUMBER_BYTES],
					char port[NUMBER_BYTES])
{
	kb_statement_t statement = { KB_STR(""), 0, params };

	snprintf(term, NUMBER_BYTES, "%" PRIu64, command->term);
	snprintf(port, NUMBER_BYTES, "%u", command->port);
	params[0] = kb_str_from(term);
	params[1] = kb_name_str(&command->promoter);
	switch (command->kind) {
	case KB_CONTROL_PROBE:
		statement.sql = KB_STR("SELECT * FROM kumquat.probe()");
		break;
	case KB_CONTROL_FENCE:
		statement.sql = KB_STR("SELECT * FROM kumquat.fence($1, $2)");
		statement.param_count = 2;
		break;
	case KB_CONTROL_PROMOTE:
		statement.sql = KB_STR("SELECT * FROM kumquat.promote($1, $2)");
		statement.param_count = 2;
		break;
	case KB_CONTROL_FOLLOW:
		statement.sql =
			KB_STR("SELECT * FROM kumquat.follow($1, $2, $3)");
		statement.param_count = 3;
		params[1] = kb_name_str(&command->address);
		params[2] = kb_str_from(port);
		break;
	}
	return statement;
}

static void send_first(kb_control_t *control)
{
	kb_str_t params[PARAMS_MAX];
	char term[NUMBER_BYTES], port[NUMBER_BYTES];
	kb_statement_t statement;

	if (!control->command_count || !control->conn)
		return;
	statement =
		command_statement(&control->commands[0], params, term, port);
	control->answer_result = KB_ERR_PROTOCOL;
	control->busy = 1;
	start_timer(control);
	if (control->conn->ops->send(control->conn, &statement, 1))
		fail_deferred(control, KB_ERR_CLOSED);
}

static void connect_target(kb_control_t *control)
{
	kb_result_t result = control->connector->ops->open(
		control->connector, &control->address, &conn_events, control,
		&control->conn);

	if (result) {
		control->conn = NULL;
		fail_deferred(control, KB_ERR_UNREACHABLE);
		return;
	}
	start_timer(control);
}

kb_result_t kb_control_send(kb_control_t *control,
			    const kb_control_command_t *command)
{
	if (control->command_count == KB_CONTROL_COMMANDS_MAX)
		return KB_ERR_OVERLOADED;
	control->commands[control->command_count++] = *command;
	if (!control->conn && control->command_count == 1)
		connect_target(control);
	else if (control->connected && !control->busy)
		send_first(control);
	return KB_OK;
}

kb_result_t kb_control_init(kb_control_t *control,
			    const kb_control_events_t *events, void *owner,
			    kb_connector_t *connector, struct event_base *loop,
			    const kb_conn_address_t *address)
{
	memset(control, 0, sizeof(*control));
	control->events = events;
	control->owner = owner;
	control->connector = connector;
	control->loop = loop;
	control->address = *address;
	control->timer = evtimer_new(loop, on_timer, control);
	return control->timer ? KB_OK : KB_ERR_NO_MEMORY;
}

void kb_control_finish(kb_control_t *control)
{
	if (control->conn)
		control->conn->ops->close(control->conn);
	if (control->timer)
		event_free(control->timer);
	memset(control, 0, sizeof(*control));
}

#include "pq.h"

#include "pq_answer.h"

#include <event2/event.h>
#include <libpq-fe.h>
#include <stdlib.h>

enum {
	PARAMS_MAX = 64,
	PORT_TEXT_BYTES = 8,
	RESULT_FORMAT_TEXT = 0,
};

#define CONNECT_TIMEOUT_S "5"

typedef struct pq_conn {
	kb_conn_t base;
	PGconn *pg;
	struct event *event;
	struct event_base *loop;
	int open;
	/* Callbacks in progress; until they return, close() frees nothing. */
	int in_callback;
	int closing;
	/* A batch was sent and its last result was not received yet. */
	int busy;
	size_t statement_index;
	kb_pq_answer_t answer;
} pq_conn_t;

static void pq_free(pq_conn_t *conn)
{
	if (conn->event)
		event_free(conn->event);
	if (conn->pg)
		PQfinish(conn->pg);
	kb_pq_answer_finish(&conn->answer);
	free(conn);
}

static void pq_close(kb_conn_t *base)
{
	pq_conn_t *conn = (pq_conn_t *)base;

	conn->closing = 1;
	if (conn->event)
		event_del(conn->event);
	if (!conn->in_callback)
		pq_free(conn);
}

/* Frees a connection that was closed inside a callback. */
static int pq_end_callback(pq_conn_t *conn)
{
	conn->in_callback--;
	if (!conn->closing || conn->in_callback)
		return conn->closing;
	pq_free(conn);
	return 1;
}

static int pq_set_event(pq_conn_t *conn, short what, event_callback_fn fn)
{
	if (conn->event)
		event_free(conn->event);
	conn->event = event_new(conn->loop, PQsocket(conn->pg), what, fn, conn);
	return conn->event && !event_add(conn->event, NULL);
}

static void pq_lost(pq_conn_t *conn)
{
	if (conn->event)
		event_del(conn->event);
	conn->open = 0;
	conn->in_callback++;
	conn->base.events->on_lost(&conn->base);
	pq_end_callback(conn);
}

static void on_ready(evutil_socket_t fd, short what, void *arg);

static int pq_flush(pq_conn_t *conn)
{
	int pending = PQflush(conn->pg);

	if (pending < 0)
		return 0;
	return pq_set_event(
		conn, (short)(EV_READ | EV_PERSIST | (pending ? EV_WRITE : 0)),
		on_ready);
}

/* Handles one result. Returns 0 if a callback closed the connection. */
static int pq_handle_result(pq_conn_t *conn, PGresult *result)
{
	ExecStatusType status = PQresultStatus(result);
	kb_answer_t answer;
	int in_transaction;

	if (status == PGRES_SINGLE_TUPLE) {
		kb_pq_answer_add(&conn->answer, result);
		PQclear(result);
		return 1;
	}
	if (status == PGRES_PIPELINE_SYNC) {
		PQclear(result);
		conn->busy = 0;
		in_transaction = PQtransactionStatus(conn->pg) != PQTRANS_IDLE;
		conn->in_callback++;
		conn->base.events->on_batch_end(&conn->base, in_transaction);
		return !pq_end_callback(conn);
	}
	if (status == PGRES_PIPELINE_ABORTED) {
		PQclear(result);
		conn->statement_index++;
		return 1;
	}
	kb_pq_answer_end(&conn->answer, result, &answer);
	conn->in_callback++;
	conn->base.events->on_answer(&conn->base, conn->statement_index++,
				     &answer);
	kb_pq_answer_reset(&conn->answer);
	PQclear(result);
	return !pq_end_callback(conn);
}

/* Handles the results received. Returns 0 if a callback closed `conn`. */
static int pq_handle_results(pq_conn_t *conn)
{
	int ended = 0;

	while (conn->busy && !PQisBusy(conn->pg)) {
		PGresult *result = PQgetResult(conn->pg);

		if (!result) {
			/*
			 * NULL ends a statement; a second one in a row means
			 * that no further results have arrived.
			 */
			if (ended++)
				break;
			PQsetSingleRowMode(conn->pg);
			continue;
		}
		ended = 0;
		if (!pq_handle_result(conn, result))
			return 0;
	}
	return 1;
}

static void on_ready(evutil_socket_t fd, short what, void *arg)
{
	pq_conn_t *conn = arg;

	(void)fd;
	if (what & EV_WRITE && !pq_flush(conn))
		goto lost;
	if (what & EV_READ) {
		if (!PQconsumeInput(conn->pg))
			goto lost;
		if (!pq_handle_results(conn))
			return;
		if (PQstatus(conn->pg) == CONNECTION_BAD)
			goto lost;
	}
	return;

lost:
	pq_lost(conn);
}

static void pq_opened(pq_conn_t *conn, kb_result_t result)
{
	conn->in_callback++;
	conn->base.events->on_open(&conn->base, result);
	pq_end_callback(conn);
}

static void on_connect(evutil_socket_t fd, short what, void *arg)
{
	pq_conn_t *conn = arg;
	int reached = PQstatus(conn->pg) != CONNECTION_STARTED;

	(void)fd;
	(void)what;
	switch (PQconnectPoll(conn->pg)) {
	case PGRES_POLLING_READING:
		if (pq_set_event(conn, EV_READ, on_connect))
			return;
		break;
	case PGRES_POLLING_WRITING:
		if (pq_set_event(conn, EV_WRITE, on_connect))
			return;
		break;
	case PGRES_POLLING_OK:
		if (PQsetnonblocking(conn->pg, 1) ||
		    !PQenterPipelineMode(conn->pg) ||
		    !pq_set_event(conn, EV_READ | EV_PERSIST, on_ready))
			break;
		conn->open = 1;
		pq_opened(conn, KB_OK);
		return;
	default:
		break;
	}
	pq_opened(conn, reached ? KB_ERR_OVERLOADED : KB_ERR_UNREACHABLE);
}

static int pq_add(pq_conn_t *conn, const kb_statement_t *statement)
{
	const char *params[PARAMS_MAX];

	if (statement->param_count > PARAMS_MAX)
		return 0;
	for (size_t i = 0; i < statement->param_count; i++)
		params[i] = statement->params[i].data;
	return PQsendQueryParams(conn->pg, statement->sql.data,
				 (int)statement->param_count, NULL, params,
				 NULL, NULL, RESULT_FORMAT_TEXT);
}

static kb_result_t pq_send(kb_conn_t *base, const kb_statement_t *statements,
			   size_t count)
{
	pq_conn_t *conn = (pq_conn_t *)base;

	if (!conn->open || conn->closing || conn->busy)
		return KB_ERR_UNREACHABLE;
	conn->statement_index = 0;
	kb_pq_answer_reset(&conn->answer);
	for (size_t i = 0; i < count; i++) {
		if (!pq_add(conn, &statements[i]))
			return KB_ERR_CLOSED;
		if (!i)
			PQsetSingleRowMode(conn->pg);
	}
	if (!PQpipelineSync(conn->pg))
		return KB_ERR_CLOSED;
	conn->busy = 1;
	return pq_flush(conn) ? KB_OK : KB_ERR_CLOSED;
}

static const kb_conn_ops_t pq_ops = {
	.send = pq_send,
	.close = pq_close,
};

static kb_result_t pq_open(kb_connector_t *base,
			   const kb_conn_address_t *address,
			   const kb_conn_events_t *events, void *owner,
			   kb_conn_t **out)
{
	kb_pq_connector_t *connector = (kb_pq_connector_t *)base;
	char port[PORT_TEXT_BYTES];
	const char *keys[] = { "hostaddr",	  "port", "dbname",
			       "connect_timeout", "user", "sslmode",
			       "gssencmode",	  NULL };
	const char *values[] = { address->address.data,
				 port,
				 address->database.data,
				 CONNECT_TIMEOUT_S,
				 "kumquatbridge",
				 "disable",
				 "disable",
				 NULL };
	pq_conn_t *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return KB_ERR_NO_MEMORY;
	snprintf(port, sizeof(port), "%u", address->port);
	conn->base = (kb_conn_t){ &pq_ops, events, owner };
	conn->loop = connector->loop;
	kb_pq_answer_init(&conn->answer, address->answer_limit_bytes);
	conn->pg = PQconnectStartParams(keys, values, 0);
	if (!conn->pg || PQstatus(conn->pg) == CONNECTION_BAD ||
	    !pq_set_event(conn, EV_WRITE, on_connect)) {
		pq_free(conn);
		return KB_ERR_UNREACHABLE;
	}
	*out = &conn->base;
	return KB_OK;
}

static const kb_connector_ops_t connector_ops = {
	.open = pq_open,
};

void kb_pq_connector_init(kb_pq_connector_t *connector, struct event_base *loop)
{
	connector->base.ops = &connector_ops;
	connector->loop = loop;
}

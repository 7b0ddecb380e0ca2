#include "closed_loop.h"

#include <libpq-fe.h>
#include <stdio.h>
#include <stdlib.h>

enum { TEXT_BYTES = 256 };

/* One connection, with one statement at a time. */
typedef struct session {
	closed_loop_t *loop;
	const closed_loop_request_t *request;
	PGconn *pg;
	struct event *readable;
	kb_time_t sent;
	int failed;
} session_t;

static void send_next(session_t *session)
{
	static const char *const values[] = { "1" };

	if (!closed_loop_claim_request(session->loop))
		return;
	session->sent = closed_loop_now();
	session->failed = 0;
	if (!PQsendQueryParams(session->pg, session->request->sql, 1, NULL,
			       values, NULL, NULL, 0))
		closed_loop_on_reply(session->loop, session->sent, 1);
}

static void on_readable(evutil_socket_t fd, short what, void *ctx)
{
	session_t *session = ctx;
	PGresult *answer;

	(void)fd;
	(void)what;
	if (!PQconsumeInput(session->pg)) {
		event_del(session->readable);
		closed_loop_on_reply(session->loop, session->sent, 1);
		return;
	}
	while (!PQisBusy(session->pg)) {
		ExecStatusType status;

		answer = PQgetResult(session->pg);
		if (!answer) {
			closed_loop_on_reply(session->loop, session->sent,
					     session->failed);
			send_next(session);
			return;
		}
		status = PQresultStatus(answer);
		session->failed |=
			status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK;
		PQclear(answer);
	}
}

static kb_result_t session_init(session_t *session, closed_loop_t *loop,
				const closed_loop_request_t *request)
{
	char text[TEXT_BYTES];

	session->loop = loop;
	session->request = request;
	snprintf(text, sizeof(text),
		 "hostaddr=%s port=%u dbname=bench user=bench "
		 "sslmode=disable gssencmode=disable",
		 request->address, request->port);
	session->pg = PQconnectdb(text);
	if (!session->pg)
		return KB_ERR_NO_MEMORY;
	if (PQstatus(session->pg) != CONNECTION_OK) {
		fputs(PQerrorMessage(session->pg), stderr);
		return KB_ERR_UNREACHABLE;
	}
	session->readable =
		event_new(loop->base, PQsocket(session->pg),
			  EV_READ | EV_PERSIST, on_readable, session);
	if (!session->readable || event_add(session->readable, NULL))
		return KB_ERR_NO_MEMORY;
	return KB_OK;
}

static void session_finish(session_t *session)
{
	if (session->readable)
		event_free(session->readable);
	if (session->pg)
		PQfinish(session->pg);
}

kb_result_t closed_loop_run_pq(const closed_loop_request_t *request,
			       size_t connections, size_t total,
			       closed_loop_result_t *result)
{
	session_t *sessions = calloc(connections, sizeof(*sessions));
	closed_loop_t loop = { 0 };
	kb_result_t error = KB_ERR_NO_MEMORY;

	if (!sessions)
		return error;
	error = closed_loop_init(&loop, total);
	for (size_t i = 0; !error && i < connections; i++)
		error = session_init(&sessions[i], &loop, request);
	if (error)
		goto done;
	for (size_t i = 0; i < connections; i++)
		send_next(&sessions[i]);
	closed_loop_run(&loop, result);
done:
	for (size_t i = 0; i < connections; i++)
		session_finish(&sessions[i]);
	closed_loop_finish(&loop);
	free(sessions);
	return error;
}

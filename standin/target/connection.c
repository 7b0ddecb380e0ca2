#include "connection.h"

#include "server.h"
#include "socket_options.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

enum {
	PROTOCOL_3 = 196608,
	CANCEL_REQUEST = 80877102,
	SSL_REQUEST = 80877103,
	GSSENC_REQUEST = 80877104,
};

enum {
	MAX_STARTUP_BYTES = 10000,
	MAX_MESSAGE_BYTES = 8 * 1024 * 1024,
	/* Output sizes at which row streams pause and resume. */
	OUTPUT_HIGH_WATERMARK_BYTES = 256 * 1024,
	OUTPUT_LOW_WATERMARK_BYTES = 64 * 1024,
};

static const st_error_t error_connections = { "53300", "too many connections" };

static st_connection_t *connection_from(st_session_transport_t *transport)
{
	return (st_connection_t *)transport;
}

/* Stops all I/O; the timer frees the connection from the event loop. */
static void mark_closed(st_connection_t *connection)
{
	static const struct timeval at_once;

	if (connection->state == ST_CONNECTION_CLOSED)
		return;
	connection->state = ST_CONNECTION_CLOSED;
	bufferevent_disable(connection->bev, EV_READ | EV_WRITE);
	evtimer_add(connection->timer, &at_once);
}

/* Closes the connection once its output has been written. */
static void close_after_output(st_connection_t *connection)
{
	if (connection->state == ST_CONNECTION_CLOSED)
		return;
	connection->state = ST_CONNECTION_CLOSING;
	if (!st_delayed_writer_pending(&connection->writer))
		mark_closed(connection);
}

/*
 * Drops or truncates the response if a fault requires it. Returns non-zero if
 * it did.
 */
static int inject_answer_fault(st_connection_t *connection)
{
	st_faults_t *faults = &connection->server->faults;
	size_t len = evbuffer_get_length(connection->out);

	if (!connection->session.carries_data || !len)
		return 0;
	if (faults->drop_answers) {
		faults->drop_answers--;
		mark_closed(connection);
		return 1;
	}
	if (!faults->cut_answer_half)
		return 0;
	faults->cut_answer_half = 0;
	evbuffer_remove_buffer(connection->out,
			       bufferevent_get_output(connection->bev),
			       len / 2);
	evbuffer_drain(connection->out, evbuffer_get_length(connection->out));
	close_after_output(connection);
	return 1;
}

static void flush(st_session_transport_t *transport)
{
	st_connection_t *connection = connection_from(transport);

	if (connection->state >= ST_CONNECTION_CLOSING ||
	    inject_answer_fault(connection))
		return;
	if (st_delayed_writer_send(&connection->writer, connection->out))
		mark_closed(connection);
}

static int has_room(st_session_transport_t *transport)
{
	st_connection_t *connection = connection_from(transport);

	return st_delayed_writer_pending(&connection->writer) +
		       evbuffer_get_length(connection->out) <
	       OUTPUT_HIGH_WATERMARK_BYTES;
}

static void close_now(st_session_transport_t *transport)
{
	mark_closed(connection_from(transport));
}

static int read_startup(st_connection_t *connection);
static int read_message(st_connection_t *connection);

static void read_input(st_connection_t *connection)
{
	int more = 1;

	while (more) {
		if (connection->state == ST_CONNECTION_STARTING)
			more = read_startup(connection);
		else if (connection->state == ST_CONNECTION_RUNNING &&
			 !connection->session.busy)
			more = read_message(connection);
		else
			more = 0;
	}
}

static void resume(st_session_transport_t *transport)
{
	read_input(connection_from(transport));
}

static const st_session_transport_ops_t transport_ops = {
	.flush = flush,
	.has_room = has_room,
	.resume = resume,
	.close = close_now,
};

static void start_session(st_connection_t *connection)
{
	st_server_t *server = connection->server;

	if (st_session_init(&connection->session, &connection->transport,
			    &server->engine, &server->slots, connection->out,
			    server->options->statement_time_ms)) {
		mark_closed(connection);
		return;
	}
	connection->has_session = 1;
	connection->state = ST_CONNECTION_RUNNING;
	if (st_wire_start(connection->out, connection->process))
		mark_closed(connection);
	flush(&connection->transport);
	read_input(connection);
}

static void refuse(st_connection_t *connection)
{
	st_wire_error(connection->out, "FATAL", &error_connections);
	flush(&connection->transport);
	close_after_output(connection);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	st_connection_t *connection = ctx;

	(void)fd;
	(void)what;
	if (connection->state == ST_CONNECTION_CLOSED)
		st_connection_free(connection);
	else if (connection->state == ST_CONNECTION_DELAYED)
		start_session(connection);
}

static void start(st_connection_t *connection)
{
	const st_options_t *options = connection->server->options;
	struct timeval delay = st_timeval_from_ms(options->connect_delay_ms);

	if (options->connections &&
	    connection->server->connection_count > options->connections) {
		refuse(connection);
		return;
	}
	connection->state = ST_CONNECTION_DELAYED;
	if (options->connect_delay_ms)
		evtimer_add(connection->timer, &delay);
	else
		start_session(connection);
}

/* Reads a start-up packet; returns non-zero if another one may follow. */
static int read_startup(st_connection_t *connection)
{
	struct evbuffer *in = bufferevent_get_input(connection->bev);
	uint32_t head[2];

	if (evbuffer_copyout(in, head, sizeof(head)) < (int)sizeof(head))
		return 0;
	head[0] = ntohl(head[0]);
	head[1] = ntohl(head[1]);
	if (head[0] < sizeof(head) || head[0] > MAX_STARTUP_BYTES) {
		mark_closed(connection);
		return 0;
	}
	if (evbuffer_get_length(in) < head[0])
		return 0;
	evbuffer_drain(in, head[0]);
	if (head[1] == SSL_REQUEST || head[1] == GSSENC_REQUEST) {
		if (evbuffer_add(connection->out, "N", 1))
			mark_closed(connection);
		flush(&connection->transport);
		return 1;
	}
	if (head[1] == PROTOCOL_3)
		start(connection);
	else
		mark_closed(connection);
	return 0;
}

/* Reads one message; returns non-zero if another one may follow. */
static int read_message(st_connection_t *connection)
{
	struct evbuffer *in = bufferevent_get_input(connection->bev);
	uint8_t head[1 + sizeof(uint32_t)];
	uint32_t len;
	st_reader_t body;

	if (evbuffer_copyout(in, head, sizeof(head)) < (int)sizeof(head))
		return 0;
	memcpy(&len, head + 1, sizeof(len));
	len = ntohl(len);
	if (len < sizeof(len) || len > MAX_MESSAGE_BYTES) {
		mark_closed(connection);
		return 0;
	}
	if (evbuffer_get_length(in) < len + 1)
		return 0;
	body.at = evbuffer_pullup(in, len + 1);
	if (!body.at) {
		mark_closed(connection);
		return 0;
	}
	body.end = body.at + len + 1;
	body.at += sizeof(head);
	body.bad = 0;
	st_session_message(&connection->session, (char)head[0], &body);
	evbuffer_drain(in, len + 1);
	return 1;
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	(void)bev;
	read_input(ctx);
}

static void on_write(struct bufferevent *bev, void *ctx)
{
	st_connection_t *connection = ctx;

	(void)bev;
	if (connection->state == ST_CONNECTION_CLOSING)
		close_after_output(connection);
	else if (connection->state == ST_CONNECTION_RUNNING &&
		 st_delayed_writer_pending(&connection->writer) <=
			 OUTPUT_LOW_WATERMARK_BYTES)
		st_session_writable(&connection->session);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		mark_closed(ctx);
}

static void attach(st_connection_t *connection)
{
	st_server_t *server = connection->server;

	connection->process = ++server->next_process;
	connection->next = server->connections;
	if (server->connections)
		server->connections->previous = connection;
	server->connections = connection;
	server->connection_count++;
}

static void detach(st_connection_t *connection)
{
	st_server_t *server = connection->server;

	if (connection->next)
		connection->next->previous = connection->previous;
	if (connection->previous)
		connection->previous->next = connection->next;
	else
		server->connections = connection->next;
	server->connection_count--;
}

void st_connection_accept(st_server_t *server, evutil_socket_t fd)
{
	st_connection_t *connection = calloc(1, sizeof(*connection));

	if (!connection) {
		evutil_closesocket(fd);
		return;
	}
	kb_socket_set_options(fd, NULL);
	connection->transport.ops = &transport_ops;
	connection->server = server;
	attach(connection);
	connection->bev =
		bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
	if (!connection->bev)
		evutil_closesocket(fd);
	connection->out = evbuffer_new();
	connection->timer = evtimer_new(server->base, on_timer, connection);
	if (!connection->bev || !connection->out || !connection->timer ||
	    st_delayed_writer_init(&connection->writer, server->base,
				   connection->bev,
				   server->options->one_way_latency_ms)) {
		st_connection_free(connection);
		return;
	}
	bufferevent_setcb(connection->bev, on_read, on_write, on_event,
			  connection);
	bufferevent_setwatermark(connection->bev, EV_READ, 0,
				 MAX_MESSAGE_BYTES + sizeof(uint32_t) + 1);
	bufferevent_setwatermark(connection->bev, EV_WRITE, 0, 0);
	bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
}

void st_connection_free(st_connection_t *connection)
{
	if (connection->has_session)
		st_session_finish(&connection->session);
	st_delayed_writer_finish(&connection->writer);
	if (connection->timer)
		event_free(connection->timer);
	if (connection->out)
		evbuffer_free(connection->out);
	if (connection->bev)
		bufferevent_free(connection->bev);
	detach(connection);
	free(connection);
}

void st_connection_set_frozen(st_connection_t *connection, int frozen)
{
	if (connection->state == ST_CONNECTION_CLOSED)
		return;
	if (frozen)
		bufferevent_disable(connection->bev, EV_READ | EV_WRITE);
	else
		bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
}

#include "http_connections.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	INITIAL_CAPACITY = 64,
	HEAD_MAX_BYTES = 256,
	DISCARD_BYTES = 16384,
};

/* The server removes its callbacks from a connection that it has closed. */
static int is_open(struct bufferevent *stream)
{
	bufferevent_data_cb on_read = NULL;
	bufferevent_event_cb on_event = NULL;

	bufferevent_getcb(stream, &on_read, NULL, &on_event, NULL);
	return on_read || on_event;
}

static void forget_closed(kb_http_connections_t *connections)
{
	size_t count = 0;

	for (size_t i = 0; i < connections->stream_count; i++) {
		struct bufferevent *stream = connections->streams[i];

		if (is_open(stream))
			connections->streams[count++] = stream;
		else
			bufferevent_decref(stream);
	}
	connections->stream_count = count;
}

/* Makes room for one more connection of the server. */
static int reserve_stream(kb_http_connections_t *connections)
{
	struct bufferevent **streams;
	size_t capacity = connections->stream_capacity;

	if (connections->stream_count < capacity)
		return 1;
	forget_closed(connections);
	if (connections->stream_count < capacity - capacity / 2)
		return 1;
	capacity = capacity ? capacity * 2 : INITIAL_CAPACITY;
	streams = reallocarray(connections->streams, capacity,
			       sizeof(struct bufferevent *));
	if (!streams)
		return connections->stream_count < connections->stream_capacity;
	connections->streams = streams;
	connections->stream_capacity = capacity;
	return 1;
}

static struct bufferevent *new_stream(struct event_base *loop, void *ctx)
{
	kb_http_connections_t *connections = ctx;
	struct bufferevent *stream = bufferevent_socket_new(loop, -1, 0);

	if (stream && reserve_stream(connections)) {
		bufferevent_incref(stream);
		connections->streams[connections->stream_count++] = stream;
	}
	return stream;
}

void kb_http_connections_init(kb_http_connections_t *connections,
			      struct evhttp *http)
{
	memset(connections, 0, sizeof(*connections));
	evhttp_set_bevcb(http, new_stream, connections);
}

void kb_http_connections_finish(kb_http_connections_t *connections)
{
	for (size_t i = 0; i < connections->stream_count; i++)
		bufferevent_decref(connections->streams[i]);
	for (size_t i = 0; i < connections->socket_count; i++)
		evutil_closesocket(connections->sockets[i]);
	free(connections->streams);
	free(connections->sockets);
	free(connections->answer);
	memset(connections, 0, sizeof(*connections));
}

static void format_answer(kb_http_connections_t *connections,
			  const kb_problem_t *problem)
{
	char head[HEAD_MAX_BYTES];
	int status;
	char *body = kb_problem_format(problem, &status);
	size_t body_len = body ? strlen(body) : 0;
	int head_len = snprintf(head, sizeof(head),
				"HTTP/1.1 %d Closing\r\n"
				"Content-Type: " KB_PROBLEM_MEDIA_TYPE "\r\n"
				"Content-Length: %zu\r\n"
				"Connection: close\r\n\r\n",
				status, body_len);

	free(connections->answer);
	connections->answer = malloc((size_t)head_len + body_len);
	connections->answer_len = 0;
	if (connections->answer) {
		memcpy(connections->answer, head, (size_t)head_len);
		if (body)
			memcpy(connections->answer + head_len, body, body_len);
		connections->answer_len = (size_t)head_len + body_len;
	}
	free(body);
}

/* Sends the answer and the end of the stream, in one segment if possible. */
static void end_stream(const kb_http_connections_t *connections,
		       evutil_socket_t fd)
{
	if (connections->answer_len)
		(void)send(fd, connections->answer, connections->answer_len,
			   MSG_NOSIGNAL | MSG_DONTWAIT | MSG_MORE);
	(void)shutdown(fd, SHUT_WR);
}

static int add_socket(kb_http_connections_t *connections, evutil_socket_t fd)
{
	size_t capacity = connections->socket_capacity;
	evutil_socket_t *sockets;

	if (connections->socket_count == capacity) {
		capacity = capacity ? capacity * 2 : INITIAL_CAPACITY;
		sockets = reallocarray(connections->sockets, capacity,
				       sizeof(*sockets));
		if (!sockets)
			return 0;
		connections->sockets = sockets;
		connections->socket_capacity = capacity;
	}
	connections->sockets[connections->socket_count++] = fd;
	return 1;
}

void kb_http_connections_refuse(kb_http_connections_t *connections,
				evutil_socket_t listener,
				const kb_problem_t *problem)
{
	evutil_socket_t fd;

	format_answer(connections, problem);
	for (;;) {
		fd = accept4(listener, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
			continue;
		if (fd < 0)
			return;
		end_stream(connections, fd);
		if (!add_socket(connections, fd))
			evutil_closesocket(fd);
	}
}

/* Returns 0 once nothing more is received. */
static int discard(evutil_socket_t fd)
{
	char bytes[DISCARD_BYTES];
	ssize_t len = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	return len > 0 || (len < 0 && (errno == EAGAIN ||
				       errno == EWOULDBLOCK || errno == EINTR));
}

/* Discards what is received until all peers have closed or time is up. */
static void wait_for_peers(struct pollfd *polls, size_t count,
			   kb_time_t timeout)
{
	kb_clock_t clock;
	kb_time_t end;
	kb_time_t left;

	kb_clock_init_system(&clock);
	end = kb_clock_monotonic(&clock) + timeout;
	while (count) {
		left = end - kb_clock_monotonic(&clock);
		if (left <= 0)
			return;
		if (poll(polls, count, (int)(left / KB_NS_PER_MS) + 1) < 0 &&
		    errno != EINTR)
			return;
		for (size_t i = count; i > 0; i--)
			if (polls[i - 1].revents && !discard(polls[i - 1].fd))
				polls[i - 1] = polls[--count];
	}
}

/* Takes a connection from the server and ends it. */
static evutil_socket_t take(const kb_http_connections_t *connections,
			    struct bufferevent *stream)
{
	evutil_socket_t fd = bufferevent_getfd(stream);
	struct evbuffer *output = bufferevent_get_output(stream);

	if (fd < 0)
		return fd;
	bufferevent_disable(stream, EV_READ | EV_WRITE);
	if (!evbuffer_get_length(output)) {
		end_stream(connections, fd);
	} else {
		evbuffer_unfreeze(output, 1);
		(void)evbuffer_write(output, fd);
		(void)shutdown(fd, SHUT_WR);
	}
	return fd;
}

void kb_http_connections_close(kb_http_connections_t *connections,
			       const kb_problem_t *problem, kb_time_t timeout)
{
	struct pollfd *polls;
	size_t count = 0;

	forget_closed(connections);
	polls = calloc(connections->stream_count + connections->socket_count +
			       1,
		       sizeof(*polls));
	if (!polls)
		return;
	format_answer(connections, problem);
	for (size_t i = 0; i < connections->stream_count; i++) {
		polls[count].fd = take(connections, connections->streams[i]);
		polls[count].events = POLLIN;
		count += polls[count].fd >= 0;
	}
	for (size_t i = 0; i < connections->socket_count; i++) {
		polls[count].fd = connections->sockets[i];
		polls[count++].events = POLLIN;
	}
	wait_for_peers(polls, count, timeout);
	free(polls);
}

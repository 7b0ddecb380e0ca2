#ifndef ST_CONNECTION_H
#define ST_CONNECTION_H

#include "delayed_writer.h"
#include "session.h"

struct st_server;

/* A client connection: start-up, message framing and output. */
typedef struct st_connection {
	st_session_transport_t transport;
	struct st_server *server;
	struct bufferevent *bev;
	struct evbuffer *out;
	st_delayed_writer_t writer;
	st_session_t session;
	int has_session;
	uint32_t process;
	enum {
		ST_CONNECTION_STARTING,
		ST_CONNECTION_DELAYED,
		ST_CONNECTION_RUNNING,
		/* Is closed once the output has been written. */
		ST_CONNECTION_CLOSING,
		/* About to be freed by the timer. */
		ST_CONNECTION_CLOSED,
	} state;
	/* Ends the connect delay; frees a closed connection. */
	struct event *timer;
	struct st_connection *next;
	struct st_connection *previous;
} st_connection_t;

/* Takes ownership of the socket `fd`; closes it if memory is short. */
void st_connection_accept(struct st_server *server, evutil_socket_t fd);

/* Frees `connection` at once. */
void st_connection_free(st_connection_t *connection);

/* Suspends reading and writing, or resumes both if `frozen` is 0. */
void st_connection_set_frozen(st_connection_t *connection, int frozen);

#endif

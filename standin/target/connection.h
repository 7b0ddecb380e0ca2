#ifndef ST_CONNECTION_H
#define ST_CONNECTION_H

#include "delayed_writer.h"
#include "session.h"

struct st_server;

/* A client connection: start-up, framing of messages and output. */
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
		/* Closes once the output is written. */
		ST_CONNECTION_CLOSING,
		/* Waits to be freed. */
		ST_CONNECTION_CLOSED,
	} state;
	/* Ends the connect delay; frees a dead connection. */
	struct event *timer;
	struct st_connection *next;
	struct st_connection *previous;
} st_connection_t;

/* Takes over the socket `fd`; closes it if memory is short. */
void st_connection_accept(struct st_server *server, evutil_socket_t fd);

/* Frees `connection` at once. */
void st_connection_free(st_connection_t *connection);

/* Stops or continues reading and writing. */
void st_connection_set_frozen(st_connection_t *connection, int frozen);

#endif

#ifndef KB_HTTP_CONNECTIONS_H
#define KB_HTTP_CONNECTIONS_H

#include "problem.h"

#include <event2/util.h>

struct bufferevent;
struct evhttp;

KB_BEGIN_DECLS

/*
 * The open connections of an HTTP server. When the server ends, each gets a
 * last response, so that a request that arrives at that moment is answered
 * rather than cut off by a reset.
 */
typedef struct kb_http_connections {
	/* Connections of the server; some may be closed. */
	struct bufferevent **streams;
	size_t stream_count;
	size_t stream_capacity;
	/* Connections that the server was not given. */
	evutil_socket_t *sockets;
	size_t socket_count;
	size_t socket_capacity;
	/* The last response. */
	char *answer;
	size_t answer_len;
} kb_http_connections_t;

/* Records the connections that `http` accepts from now on. */
void kb_http_connections_init(kb_http_connections_t *connections,
			      struct evhttp *http);
/* Closes what is left; call it after the server was freed. */
void kb_http_connections_finish(kb_http_connections_t *connections);

/*
 * Accepts the connections that wait at `listener` and answers them with
 * `problem`.
 */
void kb_http_connections_refuse(kb_http_connections_t *connections,
				evutil_socket_t listener,
				const kb_problem_t *problem);

/*
 * Ends all connections: answers each with `problem`, unless a response is on
 * its way, and discards what its peer still sends until the peer has closed it
 * or `timeout` has passed.
 */
void kb_http_connections_close(kb_http_connections_t *connections,
			       const kb_problem_t *problem, kb_time_t timeout);

KB_END_DECLS

#endif

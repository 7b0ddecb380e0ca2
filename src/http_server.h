#ifndef KB_HTTP_SERVER_H
#define KB_HTTP_SERVER_H

#include "kumquatbridge.h"

struct event_base;
struct evhttp;
struct evhttp_bound_socket;

KB_BEGIN_DECLS

/*
 * Returns an HTTP server that passes requests of every method to its
 * callbacks, or NULL; free it with evhttp_free().
 */
struct evhttp *kb_http_server_new(struct event_base *loop);

/*
 * Listens on a numeric IP address. If `*port` is 0, a free port is chosen.
 * Stores the port in use in `*port`, and the listener in `*listener` unless
 * that is NULL. Returns KB_ERR_IO if the address cannot be bound.
 */
kb_result_t kb_http_server_listen(struct evhttp *http, const char *address,
				  uint16_t *port,
				  struct evhttp_bound_socket **listener);

KB_END_DECLS

#endif

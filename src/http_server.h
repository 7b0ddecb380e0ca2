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
 * Listens on an IP number. A port of 0 chooses a free one; the port in use is
 * stored, and so is the listener unless `listener` is NULL. Returns KB_ERR_IO
 * if the address cannot be had.
 */
kb_result_t kb_http_server_listen(struct evhttp *http, const char *address,
				  uint16_t *port,
				  struct evhttp_bound_socket **listener);

KB_END_DECLS

#endif

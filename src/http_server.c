#include "http_server.h"

#include "socket_options.h"

#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>

enum {
	ALL_METHODS = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
		      EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
		      EVHTTP_REQ_TRACE | EVHTTP_REQ_PATCH,
};

struct evhttp *kb_http_server_new(struct event_base *loop)
{
	struct evhttp *http = evhttp_new(loop);

	if (http)
		evhttp_set_allowed_methods(http, ALL_METHODS);
	return http;
}

kb_result_t kb_http_server_listen(struct evhttp *http, const char *address,
				  uint16_t *port,
				  struct evhttp_bound_socket **listener)
{
	union {
		struct sockaddr any;
		struct sockaddr_in v4;
		struct sockaddr_in6 v6;
	} bound = { 0 };
	socklen_t len = sizeof(bound);
	struct evhttp_bound_socket *socket =
		evhttp_bind_socket_with_handle(http, address, *port);

	if (!socket ||
	    getsockname(evhttp_bound_socket_get_fd(socket), &bound.any, &len))
		return KB_ERR_IO;
	kb_socket_set_options(evhttp_bound_socket_get_fd(socket), NULL);
	*port = ntohs(bound.any.sa_family == AF_INET6 ? bound.v6.sin6_port
						      : bound.v4.sin_port);
	if (listener)
		*listener = socket;
	return KB_OK;
}

#ifndef ST_LISTEN_H
#define ST_LISTEN_H

#include <event2/event.h>
#include <event2/listener.h>
#include <stdint.h>

/* Returns a listener on an IPv4 address; NULL on failure. */
struct evconnlistener *st_listen(struct event_base *base, const char *address,
				 uint16_t port, evconnlistener_cb accepted,
				 void *ctx);

#endif

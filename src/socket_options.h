#ifndef KB_SOCKET_OPTIONS_H
#define KB_SOCKET_OPTIONS_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

/* TCP keep-alive probes, which detect a peer that vanished without a FIN. */
typedef struct kb_keepalive {
	int idle_s;
	int interval_s;
	int probes;
} kb_keepalive_t;

/*
 * Sets TCP_NODELAY on a connection, so that no message waits for the
 * acknowledgement of an earlier one, and keep-alive probes unless `keepalive`
 * is NULL. On a listener it applies to the connections that are accepted. A
 * negative `fd` is ignored.
 */
void kb_socket_set_options(int fd, const kb_keepalive_t *keepalive);

/*
 * Lets the end of a connection, also that by the end of the process, reset it:
 * bytes that have not reached the peer by then are lost instead of delivered
 * later. A negative `fd` is ignored.
 */
void kb_socket_reset_on_close(int fd);

KB_END_DECLS

#endif

#ifndef KB_PROXY_LOAN_CALL_H
#define KB_PROXY_LOAN_CALL_H

#include "proxy_loans.h"

#include <event2/util.h>

KB_BEGIN_DECLS

/*
 * Asks keepers for the teams whose sessions wait, in one call to each host.
 * `arg` is the proxy.
 */
void kb_proxy_loans_flush(evutil_socket_t fd, short what, void *arg);

/* Lets the sessions of a team go on that need not wait any more. */
void kb_proxy_loans_pump(kb_proxy_t *proxy, kb_proxy_team_t *team);

/* Asks keepers at the next turn of the event loop. */
void kb_proxy_loans_wake(kb_proxy_t *proxy);

KB_END_DECLS

#endif

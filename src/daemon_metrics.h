#ifndef KB_DAEMON_METRICS_H
#define KB_DAEMON_METRICS_H

#include "daemon.h"

struct evbuffer;

KB_BEGIN_DECLS

/* Appends the counters of a daemon in the Prometheus text format. */
void kb_daemon_metrics_write(void *daemon, struct evbuffer *out);

KB_END_DECLS

#endif

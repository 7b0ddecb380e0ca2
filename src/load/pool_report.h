#ifndef KB_POOL_REPORT_H
#define KB_POOL_REPORT_H

#include "pool_conn.h"

KB_BEGIN_DECLS

enum {
	/* Shortest time between two reports of a pool. */
	POOL_REPORT_INTERVAL_MS = 1000,
	/* A team that has waited for a connection this long is reported. */
	POOL_REPORT_WAIT_MS = 200,
};

/*
 * Logs, at most once in each interval, which team has waited for longest for a
 * connection or for its transactions to end.
 */
void kb_pool_report(kb_link_pool_t *pool, kb_time_t now);

KB_END_DECLS

#endif

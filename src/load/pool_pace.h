#ifndef KB_POOL_PACE_H
#define KB_POOL_PACE_H

#include "link_pool.h"

KB_BEGIN_DECLS

/* What a pool tells the pace of its target. */

/*
 * Sets whether statements outside of open transactions are held back, given
 * the number in flight and the limit for a target that is known to be well.
 */
void kb_pool_pace_hold(kb_link_pool_t *pool, unsigned in_flight, unsigned limit,
		       kb_time_t now);

/* A job was given to a connection. */
void kb_pool_pace_on_sent(kb_pool_conn_t *conn);

/* A statement was answered. */
void kb_pool_pace_on_reply(kb_pool_conn_t *conn, kb_result_t result);

/* The answer of a statement timed out. */
void kb_pool_pace_on_silent(kb_pool_conn_t *conn);

/* A connection was lost and has been removed from the pool. */
void kb_pool_pace_on_lost(kb_link_pool_t *pool);

KB_END_DECLS

#endif

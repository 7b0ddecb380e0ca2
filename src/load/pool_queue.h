#ifndef KB_POOL_QUEUE_H
#define KB_POOL_QUEUE_H

#include "pool_conn.h"

KB_BEGIN_DECLS

/* Returns the connection that an open transaction holds, or NULL. */
kb_pool_conn_t *kb_pool_find_transaction(const kb_link_pool_t *pool,
					 uint64_t transaction);

/*
 * Returns the next job that may be sent, or NULL. While the pool is paused or a
 * team has no idle connection, only jobs of open transactions can be sent.
 */
kb_pool_job_t *kb_pool_choose_job(const kb_link_pool_t *pool, kb_time_t now);

/* Removes a job from the queue and returns it. */
kb_pool_job_t *kb_pool_job_unlink(kb_link_pool_t *pool, kb_pool_job_t *job);

/* Returns the estimated time until `job`, if queued now, would be served. */
kb_time_t kb_pool_expected_wait(const kb_link_pool_t *pool,
				const kb_pool_job_t *job, kb_time_t now);

KB_END_DECLS

#endif

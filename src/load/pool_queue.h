#ifndef KB_POOL_QUEUE_H
#define KB_POOL_QUEUE_H

#include "pool_conn.h"

KB_BEGIN_DECLS

enum {
	/* A class gets this many times the service of the next one. */
	KB_POOL_CLASS_RATIO = 8,
	/* Classes that differ in weight; lower ones have the least. */
	KB_POOL_CLASS_WEIGHTS = 5,
	/*
	 * A team this many mean service times ahead of another that competes
	 * comes after it, whatever the classes of their statements.
	 */
	KB_POOL_LEAD_MAX = 2,
	/* The same for a statement of an open transaction, for each slot. */
	KB_POOL_TRANSACTION_LEAD_MAX = 2,
	/*
	 * Mean service times, for each slot, that a team which asked for less
	 * than its share may catch up on, so that its bursts are served as if
	 * nobody else had a queue.
	 */
	KB_POOL_CREDIT = 3,
};

/* Returns the connection that an open transaction holds, or NULL. */
kb_pool_conn_t *kb_pool_find_transaction(const kb_link_pool_t *pool,
					 uint64_t transaction);

/* Returns the class of a job; 0 is served first. */
unsigned kb_pool_job_class(const kb_pool_job_t *job);

/* Whether `a` is served before `b` of the same class. */
int kb_pool_job_precedes(const kb_pool_job_t *a, const kb_pool_job_t *b);

/* Puts a job that has not run into the queue. */
void kb_pool_job_requeue(kb_link_pool_t *pool, kb_pool_job_t *job);

/* Removes a job from the queue and returns it. */
kb_pool_job_t *kb_pool_job_unlink(kb_link_pool_t *pool, kb_pool_job_t *job);

/* What teams compete for in a pool. */
kb_team_room_t kb_pool_room(const kb_link_pool_t *pool);

/*
 * Returns the next job that may be sent, or NULL. While the pool is paused or a
 * team has no idle connection, only jobs of open transactions can be sent.
 */
kb_pool_job_t *kb_pool_choose_job(kb_link_pool_t *pool, kb_time_t now);

/* Returns the estimated time until `job`, if queued now, would be served. */
kb_time_t kb_pool_expected_wait(const kb_link_pool_t *pool,
				const kb_pool_job_t *job, kb_time_t now);

/* Whether a job of a team would exceed the length of the queue. */
int kb_pool_queue_is_full(const kb_link_pool_t *pool,
			  const kb_pool_team_t *team);

KB_END_DECLS

#endif

#include "pool_queue.h"

enum {
	/* Service times vary; an answer needs its way to the caller, too. */
	LATE_SERVICE_TIMES = 2,
};

kb_pool_conn_t *kb_pool_find_transaction(const kb_link_pool_t *pool,
					 uint64_t transaction)
{
	kb_pool_conn_t *conn = pool->conns;

	while (conn && conn->transaction != transaction)
		conn = conn->next;
	return conn;
}

/*
 * Whether `a` is served before `b`: first the jobs that can still meet their
 * objective, then by priority, where open transactions count as one class
 * higher, then by the earliest objective.
 */
static int is_before(const kb_pool_job_t *a, const kb_pool_job_t *b,
		     kb_time_t now)
{
	int a_late = a->objective < now;
	int b_late = b->objective < now;
	int a_class = (int)a->args->priority - (a->transaction != 0);
	int b_class = (int)b->args->priority - (b->transaction != 0);

	if (a_late != b_late)
		return b_late;
	if (a_class != b_class)
		return a_class < b_class;
	if (a->objective != b->objective)
		return a->objective < b->objective;
	return a->number < b->number;
}

/* Whether a transaction has no statement running, or has ended. */
static int is_free(const kb_link_pool_t *pool, uint64_t transaction)
{
	const kb_pool_conn_t *conn =
		kb_pool_find_transaction(pool, transaction);

	return !conn || conn->state == KB_POOL_CONN_PINNED;
}

kb_pool_job_t *kb_pool_choose_job(const kb_link_pool_t *pool, kb_time_t now,
				  int has_idle)
{
	kb_pool_job_t *best = NULL;

	/* One that may end after its objective counts as late already. */
	now += pool->service_time * LATE_SERVICE_TIMES;
	for (kb_pool_job_t *job = pool->jobs; job; job = job->next) {
		if (job->transaction ? !is_free(pool, job->transaction)
				     : pool->paused || !has_idle)
			continue;
		if (!best || is_before(job, best, now))
			best = job;
	}
	return best;
}

kb_time_t kb_pool_expected_wait(const kb_link_pool_t *pool,
				const kb_pool_job_t *job, kb_time_t now)
{
	unsigned slots = pool->slots ? pool->slots : 1;
	unsigned ahead = 0;

	for (const kb_pool_job_t *other = pool->jobs; other;
	     other = other->next)
		ahead += (unsigned)is_before(other, job, now);
	return pool->service_time * (kb_time_t)(ahead + 1) / (kb_time_t)slots;
}

#include "pool_queue.h"

#include "pool_team.h"

/* Whether `a`, without teams, is served before `b`. */
static int is_before(const kb_pool_job_t *a, const kb_pool_job_t *b,
		     kb_time_t now)
{
	int a_late = a->objective < now;
	int b_late = b->objective < now;

	if (a_late != b_late)
		return b_late;
	if (kb_pool_job_class(a) != kb_pool_job_class(b))
		return kb_pool_job_class(a) < kb_pool_job_class(b);
	return kb_pool_job_precedes(a, b);
}

static unsigned count_ahead(const kb_link_pool_t *pool,
			    const kb_pool_job_t *job, kb_time_t now)
{
	unsigned ahead = 0;

	for (const kb_pool_job_t *other = pool->jobs; other;
	     other = other->next)
		ahead += (unsigned)is_before(other, job, now);
	return ahead;
}

/* Jobs of a team that are served before one of class `class`. */
static unsigned count_own(const kb_pool_team_t *team, unsigned class)
{
	unsigned count = 0;

	for (size_t i = 0; i <= class; i++)
		for (int kind = 0; kind < KB_POOL_JOB_KINDS; kind++)
			count += team->classes[i].on_time[kind].count;
	return count;
}

/* Jobs ahead, by the share of the job's team among those with a queue. */
static unsigned count_shared(const kb_link_pool_t *pool,
			     const kb_pool_job_t *job)
{
	unsigned competing = 1;

	for (const kb_pool_team_t *team = pool->teams; team;
	     team = team->hh.next)
		competing += team != job->team && team->queued;
	return (unsigned)kb_stride_expected(
		count_own(job->team, kb_pool_job_class(job)), pool->job_count,
		1, competing);
}

kb_time_t kb_pool_expected_wait(const kb_link_pool_t *pool,
				const kb_pool_job_t *job, kb_time_t now)
{
	unsigned slots = kb_pace_slots(&pool->pace, pool->slots);
	unsigned ahead = pool->named_teams ? count_shared(pool, job)
					   : count_ahead(pool, job, now);

	slots = slots ? slots : 1;
	return pool->service_time * (kb_time_t)(ahead + 1) / (kb_time_t)slots;
}

int kb_pool_queue_is_full(const kb_link_pool_t *pool,
			  const kb_pool_team_t *team)
{
	unsigned with_queue = 1;

	if (pool->job_count < POOL_JOBS_MAX)
		return 0;
	for (const kb_pool_team_t *other = pool->teams; other;
	     other = other->hh.next)
		with_queue += other != team && other->queued;
	/* A team below its share of the queue may exceed the length. */
	return team->queued >= POOL_JOBS_MAX / with_queue;
}

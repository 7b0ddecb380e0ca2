#include "pool_queue.h"

#include "pool_team.h"

enum {
	/* Service times vary; an answer needs its way to the caller, too. */
	LATE_SERVICE_TIMES = 2,
};

kb_pool_conn_t *kb_pool_find_transaction(const kb_link_pool_t *pool,
					 uint64_t transaction)
{
	kb_pool_conn_t *conn;

	HASH_FIND(hh, pool->transactions, &transaction, sizeof(transaction),
		  conn);
	return conn;
}

static kb_pool_job_kind_t kind_of(const kb_pool_job_t *job)
{
	if (job->transaction)
		return KB_POOL_JOB_IN_TRANSACTION;
	return job->args->transactional ? KB_POOL_JOB_BEGIN
					: KB_POOL_JOB_STATEMENT;
}

unsigned kb_pool_job_class(const kb_pool_job_t *job)
{
	unsigned class = job->args->priority + (job->transaction == 0);

	return class < KB_POOL_CLASSES ? class : KB_POOL_CLASSES - 1;
}

int kb_pool_job_precedes(const kb_pool_job_t *a, const kb_pool_job_t *b)
{
	if (a->objective != b->objective)
		return a->objective < b->objective;
	return a->number < b->number;
}

static void list_add(kb_pool_list_t *list, kb_pool_job_t *job)
{
	kb_pool_job_t *before = list->last;

	while (before && kb_pool_job_precedes(job, before))
		before = before->list_prev;
	job->list = list;
	job->list_prev = before;
	job->list_next = before ? before->list_next : list->first;
	if (job->list_next)
		job->list_next->list_prev = job;
	else
		list->last = job;
	if (before)
		before->list_next = job;
	else
		list->first = job;
	list->count++;
}

static void list_remove(kb_pool_job_t *job)
{
	kb_pool_list_t *list = job->list;

	if (job->list_prev)
		job->list_prev->list_next = job->list_next;
	else
		list->first = job->list_next;
	if (job->list_next)
		job->list_next->list_prev = job->list_prev;
	else
		list->last = job->list_prev;
	job->list = NULL;
	list->count--;
}

static kb_time_t credit_of(const kb_link_pool_t *pool)
{
	return pool->service_time * KB_POOL_CREDIT * (kb_time_t)pool->slots;
}

void kb_pool_job_requeue(kb_link_pool_t *pool, kb_pool_job_t *job)
{
	kb_pool_team_t *team = job->team;
	kb_pool_job_kind_t kind = kind_of(job);

	job->prev = NULL;
	job->next = pool->jobs;
	if (job->next)
		job->next->prev = job;
	pool->jobs = job;
	pool->job_count++;
	if (!team->queued++)
		kb_stride_join(&team->stride, &pool->team_clock,
			       credit_of(pool));
	job->queued_kind = (int)kind;
	list_add(&team->classes[kb_pool_job_class(job)].on_time[kind], job);
	if (kind != KB_POOL_JOB_IN_TRANSACTION)
		kb_team_use_wait(&team->use, kind == KB_POOL_JOB_BEGIN,
				 kb_clock_monotonic(pool->clock));
}

kb_pool_job_t *kb_pool_job_unlink(kb_link_pool_t *pool, kb_pool_job_t *job)
{
	kb_pool_job_kind_t kind = (kb_pool_job_kind_t)job->queued_kind;

	if (!job->list)
		return job;
	if (job->prev)
		job->prev->next = job->next;
	else
		pool->jobs = job->next;
	if (job->next)
		job->next->prev = job->prev;
	job->prev = job->next = NULL;
	pool->job_count--;
	list_remove(job);
	job->team->queued--;
	if (kind != KB_POOL_JOB_IN_TRANSACTION)
		kb_team_use_end_wait(&job->team->use, kind == KB_POOL_JOB_BEGIN,
				     kb_clock_monotonic(pool->clock));
	return job;
}

kb_team_room_t kb_pool_room(const kb_link_pool_t *pool)
{
	kb_team_room_t room = { .limit = pool->limit,
				.parallel = pool->slots,
				.shared = pool->named_teams != 0 };

	if (kb_clock_monotonic(pool->clock) < pool->full_until &&
	    pool->full_limit < room.limit)
		room.limit = pool->full_limit;
	return room;
}

/* Whether a transaction has no statement running, or has ended. */
static int is_free(const kb_link_pool_t *pool, uint64_t transaction)
{
	const kb_pool_conn_t *conn =
		kb_pool_find_transaction(pool, transaction);

	return !conn || conn->state == KB_POOL_CONN_PINNED;
}

/* Moves the jobs whose objective has passed behind the others. */
static void move_late(kb_pool_class_t *class, kb_time_t now)
{
	for (int kind = 0; kind < KB_POOL_JOB_KINDS; kind++) {
		kb_pool_job_t *job;

		while ((job = class->on_time[kind].first) &&
		       job->objective < now) {
			list_remove(job);
			list_add(&class->late[kind], job);
		}
	}
}

/* Returns the first of the lists of a class that can be sent, or NULL. */
static kb_pool_job_t *find_head(const kb_link_pool_t *pool,
				const kb_pool_team_t *team,
				const kb_pool_list_t *lists)
{
	const kb_team_room_t room = kb_pool_room(pool);
	kb_pool_job_t *best = lists[KB_POOL_JOB_IN_TRANSACTION].first;

	while (best && !is_free(pool, best->transaction))
		best = best->list_next;
	if (pool->paused || pool->pace_holds ||
	    !team->use.conns[KB_TEAM_CONN_IDLE])
		return best;
	for (int kind = 0; kind < KB_POOL_JOB_IN_TRANSACTION; kind++) {
		kb_pool_job_t *job = lists[kind].first;

		if (!job || (best && !kb_pool_job_precedes(job, best)))
			continue;
		if (kind == KB_POOL_JOB_STATEMENT ||
		    kb_team_share_begins_left(&pool->share, &team->use, &room))
			best = job;
	}
	return best;
}

/*
 * Fills in the first job of each class of a team that can be sent; the late
 * ones stand after the others. Returns how many there are.
 */
static unsigned find_heads(const kb_link_pool_t *pool, kb_pool_team_t *team,
			   kb_time_t now, kb_pool_job_t **heads)
{
	unsigned found = 0;

	for (size_t i = 0; i < KB_POOL_CLASSES; i++) {
		kb_pool_class_t *class = &team->classes[i];

		move_late(class, now);
		heads[i] = find_head(pool, team, class->on_time);
		heads[KB_POOL_CLASSES + i] = find_head(pool, team, class->late);
		found += heads[i] || heads[KB_POOL_CLASSES + i];
	}
	return found;
}

/* A choice between the statements of teams. */
typedef struct kb_pool_choice {
	kb_pool_job_t *job;
	/* Rank of its class; late statements are one rank after all others. */
	unsigned rank;
} kb_pool_choice_t;

static unsigned rank_of(size_t head)
{
	return head < KB_POOL_CLASSES ? (unsigned)head : KB_POOL_CLASSES;
}

static unsigned weight_of(unsigned rank)
{
	unsigned weight = 1;

	if (rank == KB_POOL_CLASSES)
		return weight;
	for (unsigned i = rank; i < KB_POOL_CLASS_WEIGHTS; i++)
		weight *= KB_POOL_CLASS_RATIO;
	return weight;
}

/* Whether a team has had so much service that others come first. */
static int is_ahead(const kb_link_pool_t *pool, const kb_pool_job_t *job,
		    const kb_stride_clock_t *least)
{
	kb_time_t bound = pool->service_time * KB_POOL_LEAD_MAX;

	if (job->transaction)
		bound = pool->service_time * KB_POOL_TRANSACTION_LEAD_MAX *
			(kb_time_t)pool->slots;
	return kb_stride_lead(&job->team->stride, least) > bound;
}

static int is_better(const kb_link_pool_t *pool, const kb_pool_choice_t *a,
		     const kb_pool_choice_t *b)
{
	const kb_stride_t *a_class = &pool->classes[a->rank];
	const kb_stride_t *b_class = &pool->classes[b->rank];

	if (a->rank != b->rank) {
		if (kb_stride_before(a_class, b_class) ||
		    kb_stride_before(b_class, a_class))
			return kb_stride_before(a_class, b_class);
		return a->rank < b->rank;
	}
	if (a->job->team != b->job->team)
		return kb_stride_before(&a->job->team->stride,
					&b->job->team->stride);
	return kb_pool_job_precedes(a->job, b->job);
}

/* The least service that a team with a job that can be sent has received. */
static int find_least(kb_link_pool_t *pool, kb_time_t now,
		      kb_stride_clock_t *least)
{
	kb_pool_job_t *heads[2 * KB_POOL_CLASSES];
	const kb_stride_t *found = NULL;

	for (kb_pool_team_t *team = pool->teams; team; team = team->hh.next) {
		if (!team->queued || !find_heads(pool, team, now, heads))
			continue;
		if (!found || kb_stride_before(&team->stride, found))
			found = &team->stride;
	}
	if (!found)
		return 0;
	least->virtual_time = found->virtual_time;
	kb_stride_advance(&pool->team_clock, found);
	return 1;
}

static kb_pool_job_t *choose_among_teams(kb_link_pool_t *pool, kb_time_t now)
{
	kb_pool_job_t *heads[2 * KB_POOL_CLASSES];
	kb_pool_choice_t best = { NULL, 0 };
	kb_stride_clock_t least;

	if (!find_least(pool, now, &least))
		return NULL;
	for (kb_pool_team_t *team = pool->teams; team; team = team->hh.next) {
		if (!team->queued || !find_heads(pool, team, now, heads))
			continue;
		for (size_t i = 0; i < 2 * KB_POOL_CLASSES; i++) {
			const kb_pool_choice_t choice = { heads[i],
							  rank_of(i) };

			if (!heads[i] || is_ahead(pool, heads[i], &least))
				continue;
			kb_stride_join(&pool->classes[choice.rank],
				       &pool->class_clock, 0);
			if (!best.job || is_better(pool, &choice, &best))
				best = choice;
		}
	}
	if (best.job) {
		kb_stride_t *class = &pool->classes[best.rank];

		kb_stride_advance(&pool->class_clock, class);
		kb_stride_charge(class, pool->service_time,
				 weight_of(best.rank));
	}
	return best.job;
}

/*
 * Without teams: first the jobs that can still meet their objective, then by
 * class, then by the earliest objective.
 */
static kb_pool_job_t *choose_in_order(kb_link_pool_t *pool, kb_time_t now)
{
	kb_pool_job_t *heads[2 * KB_POOL_CLASSES];

	if (!pool->teams || !pool->teams->queued ||
	    !find_heads(pool, pool->teams, now, heads))
		return NULL;
	for (size_t i = 0; i < 2 * KB_POOL_CLASSES; i++)
		if (heads[i])
			return heads[i];
	return NULL;
}

kb_pool_job_t *kb_pool_choose_job(kb_link_pool_t *pool, kb_time_t now)
{
	/* One that may end after its objective counts as late already. */
	now += pool->service_time * LATE_SERVICE_TIMES;
	return pool->named_teams ? choose_among_teams(pool, now)
				 : choose_in_order(pool, now);
}

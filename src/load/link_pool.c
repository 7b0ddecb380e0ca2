#include "pool_pace.h"
#include "pool_queue.h"
#include "pool_report.h"

#include <stdlib.h>

static kb_time_t now_of(const kb_link_pool_t *pool)
{
	return kb_clock_monotonic(pool->clock);
}

void kb_link_pool_init(kb_link_pool_t *pool, const kb_link_pool_ops_t *ops,
		       void *ctx, kb_link_connector_t *connector,
		       kb_clock_t *clock, uint64_t nonce)
{
	memset(pool, 0, sizeof(*pool));
	pool->ops = ops;
	pool->ctx = ctx;
	pool->connector = connector;
	pool->clock = clock;
	pool->next_transaction = nonce;
	pool->service_time = POOL_INITIAL_SERVICE_TIME_MS * KB_NS_PER_MS;
}

kb_time_t kb_link_pool_answer_timeout(const kb_link_pool_t *pool)
{
	kb_time_t silence = pool->service_time * POOL_ANSWER_TIMEOUT_FACTOR;

	return silence > POOL_ANSWER_TIMEOUT_MIN_MS * KB_NS_PER_MS
		       ? silence
		       : POOL_ANSWER_TIMEOUT_MIN_MS * KB_NS_PER_MS;
}

void kb_pool_job_end(kb_link_pool_t *pool, kb_pool_job_t *job, kbs_run_res *res)
{
	kb_link_pool_load(pool, &res->load);
	job->done(job->ctx, res);
	free(job);
}

/* Time until a retry may succeed: when the present queue has been served. */
static kb_time_t retry_after(kb_link_pool_t *pool)
{
	unsigned slots = kb_pace_slots(&pool->pace, pool->slots);
	kb_time_t interval =
		pool->service_time / (kb_time_t)(slots ? slots : 1);

	return kb_return_pace_next(&pool->returns, interval * pool->job_count,
				   interval, now_of(pool));
}

void kb_pool_job_refuse(kb_link_pool_t *pool, kb_pool_job_t *job,
			kb_result_t result, const char *message)
{
	kbs_run_res res = {
		.result = (int)result,
		.message = kb_text_view(kb_str_from(message)),
		.offered = job->sent,
		.retry_us = retry_after(pool) / KB_NS_PER_US,
	};

	kb_pool_job_end(pool, job, &res);
}

static unsigned used_slots(const kb_link_pool_t *pool)
{
	unsigned used = 0;

	for (const kb_pool_conn_t *conn = pool->conns; conn; conn = conn->next)
		used += (unsigned)kb_pool_conn_uses_slot(conn);
	return used;
}

/* Number of commands that an idle connection needs before it can run a job. */
static int preparation_cost(const kb_pool_conn_t *conn,
			    const kbs_run_args *args)
{
	if (kb_session_values_has_extra(&conn->values, args->values.values_val,
					args->values.values_len))
		return 2 + (int)args->values.values_len;
	return kb_session_values_find_mismatch(&conn->values,
					       args->values.values_val,
					       args->values.values_len) != NULL;
}

static kb_pool_conn_t *choose_conn(const kb_link_pool_t *pool,
				   const kb_pool_job_t *job)
{
	kb_pool_conn_t *best = NULL;
	int best_cost = 0;

	if (job->transaction)
		return kb_pool_find_transaction(pool, job->transaction);
	for (kb_pool_conn_t *conn = pool->conns; conn; conn = conn->next) {
		int cost;

		if (conn->state != KB_POOL_CONN_IDLE || conn->team != job->team)
			continue;
		cost = preparation_cost(conn, job->args);
		if (!best || cost < best_cost) {
			best = conn;
			best_cost = cost;
		}
	}
	return best;
}

/* Closes the connection of a team that has been idle for longest. */
static void close_idle_conn(kb_link_pool_t *pool, const kb_team_use_t *use)
{
	kb_pool_conn_t *oldest = NULL;

	for (kb_pool_conn_t *conn = pool->conns; conn; conn = conn->next)
		if (&conn->team->use == use &&
		    conn->state == KB_POOL_CONN_IDLE &&
		    (!oldest || conn->since < oldest->since))
			oldest = conn;
	if (oldest)
		kb_pool_conn_close(oldest);
}

/* Closes idle connections beyond the limit, which may have been lowered. */
static void close_surplus(kb_link_pool_t *pool)
{
	kb_time_t now = now_of(pool);
	const kb_team_use_t *use;

	while ((use = kb_team_share_surplus(&pool->share, pool->limit, now)))
		close_idle_conn(pool, use);
}

/*
 * Number of statements that may be in flight: enough to keep the slots busy
 * during the network round trip between an answer and the next statement.
 */
static unsigned send_limit(const kb_link_pool_t *pool)
{
	kb_time_t target_time = pool->service_time - pool->round_trip;
	kb_time_t network_time = pool->round_trip;

	if (target_time < KB_NS_PER_MS)
		target_time = KB_NS_PER_MS;
	if (network_time > target_time * POOL_PIPELINED_PER_SLOT_MAX)
		network_time = target_time * POOL_PIPELINED_PER_SLOT_MAX;
	return pool->slots + POOL_EXTRA_SENDS +
	       (unsigned)(pool->slots * network_time / target_time);
}

/* Bounds the part of the slots that opening connections may take. */
static void set_opening_bounds(const kb_link_pool_t *pool, kb_team_room_t *room)
{
	unsigned used = used_slots(pool) - pool->share.opening;
	unsigned half = pool->slots / 2 ? pool->slots / 2 : 1;

	room->in_flight = send_limit(pool);
	if (room->shared)
		room->parallel =
			pool->slots > used + half ? pool->slots - used : half;
	/* Attempts at a target without free connections keep others out. */
	if (pool->target_full)
		room->parallel = 1;
}

/* Opens connections for queued jobs that have none. */
static void open_connections(kb_link_pool_t *pool, kb_time_t now)
{
	kb_team_room_t room = kb_pool_room(pool);
	kb_team_opening_t next;

	if (pool->paused || now < pool->open_blocked_until ||
	    !pool->place.endpoint.port)
		return;
	set_opening_bounds(pool, &room);
	while (pool->ops->may_serve(pool->ctx, now)) {
		next = kb_team_share_next_opening(&pool->share, &room, now);
		if (!next.team)
			return;
		if (next.closed) {
			close_idle_conn(pool, next.closed);
			pool->counters.displaced++;
		}
		/* The first member of the team's entry. */
		if (kb_pool_conn_open(pool, (kb_pool_team_t *)next.team))
			return;
	}
}

void kb_link_pool_dispatch(kb_link_pool_t *pool)
{
	kb_time_t now = now_of(pool);

	if (pool->dispatching)
		return;
	pool->dispatching = 1;
	/* A freed connection may be closed for a team that has none. */
	if (pool->named_teams)
		open_connections(pool, now);
	while (now >= pool->send_blocked_until &&
	       pool->ops->may_serve(pool->ctx, now) &&
	       used_slots(pool) < send_limit(pool)) {
		kb_pool_conn_t *conn;
		kb_pool_job_t *job;

		kb_pool_pace_hold(pool, used_slots(pool) - pool->share.opening,
				  send_limit(pool), now);
		job = kb_pool_choose_job(pool, now);
		if (!job)
			break;
		conn = choose_conn(pool, job);
		kb_pool_job_unlink(pool, job);
		if (!conn) {
			kb_pool_job_refuse(pool, job, KB_ERR_ROLLED_BACK,
					   "the transaction has ended");
			continue;
		}
		kb_pool_pace_on_sent(conn);
		kb_pool_conn_start(conn, job);
	}
	close_surplus(pool);
	open_connections(pool, now);
	pool->dispatching = 0;
}

static void end_transaction(kb_link_pool_t *pool, kb_pool_conn_t *conn,
			    kb_run_done_fn_t *done, void *ctx)
{
	kbs_run_res res = { .result = KB_OK };

	if (conn && conn->state == KB_POOL_CONN_PINNED) {
		kb_pool_conn_roll_back(conn);
	} else if (conn) {
		kb_pool_conn_fail_job(conn, KB_ERR_ROLLED_BACK,
				      "the caller ended the transaction");
		kb_pool_conn_close(conn);
	}
	kb_link_pool_load(pool, &res.load);
	done(ctx, &res);
}

static int may_begin(const kb_link_pool_t *pool, const kb_pool_team_t *team)
{
	const kb_team_room_t room = kb_pool_room(pool);

	return kb_team_share_begins_left(&pool->share, &team->use, &room) != 0;
}

void kb_link_pool_run(kb_link_pool_t *pool, const kbs_run_args *args,
		      kb_run_done_fn_t *done, void *ctx)
{
	kb_time_t now = now_of(pool);
	kb_pool_conn_t *conn = NULL;
	kb_pool_team_t *team;
	kb_pool_job_t *job;

	if (args->transaction)
		conn = kb_pool_find_transaction(pool, args->transaction);
	if (conn && !kb_name_is(&conn->team->name, kb_text_str(args->team)))
		conn = NULL;
	if (args->kind == KBS_ROLLBACK) {
		end_transaction(pool, conn, done, ctx);
		kb_link_pool_dispatch(pool);
		return;
	}
	team = kb_pool_team_get(pool, kb_text_str(args->team));
	job = team ? calloc(1, sizeof(*job)) : NULL;
	if (!job) {
		kbs_run_res res = { .result = KB_ERR_OVERLOADED };

		done(ctx, &res);
		return;
	}
	job->team = team;
	job->args = args;
	job->done = done;
	job->ctx = ctx;
	job->number = pool->next_job++;
	job->deadline = now + args->time_left_us * KB_NS_PER_US;
	job->objective = now + args->objective_left_us * KB_NS_PER_US;
	job->transaction = args->transaction;
	if (args->transaction &&
	    (!conn || conn->state != KB_POOL_CONN_PINNED)) {
		kb_pool_job_refuse(pool, job, KB_ERR_ROLLED_BACK,
				   "the transaction has ended");
		return;
	}
	if (!args->transaction &&
	    (kb_pool_queue_is_full(pool, team) ||
	     now + kb_pool_expected_wait(pool, job, now) > job->deadline)) {
		pool->counters.refused++;
		kb_pool_job_refuse(pool, job, KB_ERR_OVERLOADED,
				   "the target cannot serve it in time");
		return;
	}
	if (args->transactional && !args->transaction && !may_begin(pool, team))
		pool->counters.held_back++;
	kb_pool_job_requeue(pool, job);
	kb_link_pool_dispatch(pool);
}

/* Ends a queued job whose deadline has passed; it has not run. */
static void expire(kb_link_pool_t *pool, kb_pool_job_t *job)
{
	kb_pool_conn_t *conn =
		job->transaction
			? kb_pool_find_transaction(pool, job->transaction)
			: NULL;

	pool->counters.expired++;
	kb_pool_job_unlink(pool, job);
	if (conn && conn->state == KB_POOL_CONN_PINNED)
		kb_pool_conn_roll_back(conn);
	kb_pool_job_refuse(pool, job,
			   job->transaction ? KB_ERR_ROLLED_BACK
					    : KB_ERR_DEADLINE,
			   "its time passed before a slot was free");
}

static kb_time_t expire_jobs(kb_link_pool_t *pool, kb_time_t now)
{
	kb_time_t next = KB_TIME_NEVER;
	kb_pool_job_t *job = pool->jobs;

	while (job) {
		if (job->deadline <= now) {
			expire(pool, job);
			/* Callbacks may have changed the whole list. */
			job = pool->jobs;
			continue;
		}
		if (job->deadline < next)
			next = job->deadline;
		job = job->next;
	}
	return next;
}

kb_time_t kb_link_pool_tick(kb_link_pool_t *pool)
{
	kb_time_t now = now_of(pool);
	kb_pool_conn_t *conn;
	kb_time_t next;

	kb_pool_conn_free_closed(pool);
	kb_pool_teams_prune(pool, now);
	kb_pool_report(pool, now);
	/* Ending jobs may queue new ones; these are sent after the loop. */
	pool->dispatching = 1;
	next = expire_jobs(pool, now);
	for (conn = pool->conns; conn; conn = conn->next) {
		kb_time_t at = KB_TIME_NEVER;

		if (conn->state != KB_POOL_CONN_CLOSED)
			at = kb_pool_conn_tick(conn, now);
		if (at < next)
			next = at;
	}
	pool->dispatching = 0;
	kb_link_pool_dispatch(pool);
	if (pool->jobs && pool->send_blocked_until > now &&
	    pool->send_blocked_until < next)
		next = pool->send_blocked_until;
	if (pool->jobs && kb_pace_next(&pool->pace, now) < next)
		next = kb_pace_next(&pool->pace, now);
	if (pool->jobs && pool->open_blocked_until > now &&
	    pool->open_blocked_until < next)
		next = pool->open_blocked_until;
	return next;
}

unsigned kb_link_pool_active(const kb_link_pool_t *pool)
{
	unsigned active = 0;

	for (const kb_pool_conn_t *conn = pool->conns; conn; conn = conn->next)
		active += conn->state == KB_POOL_CONN_BUSY ||
			  conn->transaction != 0;
	return active;
}

void kb_link_pool_load(const kb_link_pool_t *pool, kbs_load *load)
{
	load->waiting = pool->job_count;
	load->running = used_slots(pool);
	load->slots = kb_pace_slots(&pool->pace, pool->slots);
	load->service_us = pool->service_time / KB_NS_PER_US;
}

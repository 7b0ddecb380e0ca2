#include "pool_conn_internal.h"

#include "pool_command.h"
#include "pool_pace.h"
#include "pool_queue.h"

#include <stdlib.h>

int kb_pool_command_is_statement(kb_link_command_kind_t kind)
{
	return kind == KB_LINK_COMMAND_READ || kind == KB_LINK_COMMAND_WRITE ||
	       kind == KB_LINK_COMMAND_COMMIT;
}

static kb_team_conn_use_t use_of(kb_pool_conn_state_t state)
{
	switch (state) {
	case KB_POOL_CONN_OPENING:
		return KB_TEAM_CONN_OPENING;
	case KB_POOL_CONN_IDLE:
		return KB_TEAM_CONN_IDLE;
	case KB_POOL_CONN_PINNED:
		return KB_TEAM_CONN_PINNED;
	case KB_POOL_CONN_CLOSED:
		return KB_TEAM_CONN_NONE;
	default:
		return KB_TEAM_CONN_BUSY;
	}
}

/* Charges the team for the slot time of a connection that changes its use. */
static void charge_team(kb_pool_conn_t *conn, kb_team_conn_use_t from,
			kb_team_conn_use_t to, kb_time_t now)
{
	kb_time_t service = 0;

	if (from == KB_TEAM_CONN_OPENING)
		service = now - conn->since;
	if (from == KB_TEAM_CONN_BUSY)
		service = now - conn->busy_since - conn->charged;
	if (to == KB_TEAM_CONN_BUSY) {
		conn->busy_since = now;
		conn->charged = conn->pool->service_time;
		service += conn->charged;
	}
	kb_stride_charge(&conn->team->stride, service, 1);
}

static void count_transaction(kb_pool_conn_t *conn, int counted)
{
	kb_link_pool_t *pool = conn->pool;

	if (counted && !conn->counted)
		kb_team_share_begin(&pool->share, &conn->team->use);
	if (!counted && conn->counted)
		kb_team_share_end(&pool->share, &conn->team->use);
	conn->counted = counted;
}

void kb_pool_conn_set_state(kb_pool_conn_t *conn, kb_pool_conn_state_t state)
{
	kb_time_t now = kb_clock_monotonic(conn->pool->clock);
	kb_team_conn_use_t from = use_of(conn->state);
	kb_team_conn_use_t to = use_of(state);

	if (conn->state == KB_POOL_CONN_CLOSED)
		return;
	if (from != to) {
		charge_team(conn, from, to, now);
		kb_team_share_move(&conn->pool->share, &conn->team->use, from,
				   to, now);
	}
	if (to == KB_TEAM_CONN_IDLE || to == KB_TEAM_CONN_NONE)
		count_transaction(conn, 0);
	conn->state = state;
	conn->since = now;
	conn->slot_released = 0;
}

void kb_pool_conn_set_transaction(kb_pool_conn_t *conn, uint64_t id)
{
	kb_link_pool_t *pool = conn->pool;

	if (conn->transaction)
		HASH_DEL(pool->transactions, conn);
	conn->transaction = id;
	if (id)
		HASH_ADD(hh, pool->transactions, transaction, sizeof(id), conn);
}

static void unlink_conn(kb_pool_conn_t *conn)
{
	kb_pool_conn_t **link = &conn->pool->conns;

	while (*link != conn)
		link = &(*link)->next;
	*link = conn->next;
	conn->pool->conn_count--;
	/* The id stays, for those who ask what the connection was used for. */
	if (conn->transaction)
		HASH_DEL(conn->pool->transactions, conn);
}

void kb_pool_conn_close(kb_pool_conn_t *conn)
{
	if (conn->state == KB_POOL_CONN_CLOSED)
		return;
	if (conn->link)
		kb_link_close(conn->link);
	conn->link = NULL;
	unlink_conn(conn);
	kb_pool_conn_set_state(conn, KB_POOL_CONN_CLOSED);
	conn->next_closed = conn->pool->closed;
	conn->pool->closed = conn;
}

void kb_pool_conn_free_closed(kb_link_pool_t *pool)
{
	kb_pool_conn_t *conn;

	while ((conn = pool->closed)) {
		pool->closed = conn->next_closed;
		kb_session_values_finish(&conn->values);
		kb_session_values_finish(&conn->shapes);
		free(conn);
	}
}

void kb_pool_conn_fail_job(kb_pool_conn_t *conn, kb_result_t result,
			   const char *message)
{
	kb_pool_job_t *job = conn->job;

	conn->job = NULL;
	if (job)
		kb_pool_job_refuse(conn->pool, job, result, message);
}

kb_result_t kb_pool_conn_lost_result(const kb_pool_job_t *job)
{
	if (job->args->kind == KBS_COMMIT)
		return job->sent ? KB_ERR_UNKNOWN : KB_ERR_ROLLED_BACK;
	if (job->args->transactional)
		return KB_ERR_ROLLED_BACK;
	if (job->args->kind == KBS_WRITE)
		return job->sent ? KB_ERR_UNKNOWN : KB_ERR_UNREACHABLE;
	return KB_ERR_CLOSED;
}

void kb_pool_conn_retry_or_fail(kb_pool_conn_t *conn, const char *message)
{
	kb_pool_job_t *job = conn->job;

	conn->job = NULL;
	if (!job)
		return;
	if (!job->sent && !conn->transaction &&
	    job->attempts < POOL_ATTEMPTS_MAX)
		kb_pool_job_requeue(conn->pool, job);
	else
		kb_pool_job_refuse(conn->pool, job,
				   kb_pool_conn_lost_result(job), message);
}

void kb_pool_conn_send_next(kb_pool_conn_t *conn)
{
	kb_link_pool_t *pool = conn->pool;
	char name[KB_POOL_SHAPE_NAME_BYTES];
	kb_link_command_t command;

	kb_pool_command_choose(conn, &command, name);
	if (!pool->ops->may_serve(pool->ctx, kb_clock_monotonic(pool->clock))) {
		int pinned = conn->transaction != 0;

		if (pinned) {
			kb_pool_conn_fail_job(conn, KB_ERR_ROLLED_BACK,
					      "this host no longer serves the "
					      "primary");
			kb_pool_conn_close(conn);
			return;
		}
		kb_pool_conn_retry_or_fail(
			conn, "this host no longer serves the primary");
		kb_pool_conn_set_state(conn, KB_POOL_CONN_IDLE);
		return;
	}
	if (kb_link_send(conn->link, &command)) {
		kb_pool_conn_retry_or_fail(conn,
					   "the statement cannot be sent");
		kb_pool_conn_close(conn);
		return;
	}
	conn->sent_kind = command.kind;
	conn->sent_at = kb_clock_monotonic(pool->clock);
	if (kb_pool_command_is_statement(command.kind)) {
		conn->job->sent = 1;
		pool->counters.statements++;
	}
	kb_pool_conn_set_state(conn, KB_POOL_CONN_BUSY);
}

kb_result_t kb_pool_conn_open(kb_link_pool_t *pool, kb_pool_team_t *team)
{
	kb_pool_conn_t *conn = calloc(1, sizeof(*conn));
	kb_link_place_t place = pool->place;

	if (!conn)
		return KB_ERR_NO_MEMORY;
	place.team = team->name;
	conn->pool = pool;
	conn->team = team;
	conn->next = pool->conns;
	pool->conns = conn;
	pool->conn_count++;
	conn->state = KB_POOL_CONN_OPENING;
	conn->since = kb_clock_monotonic(pool->clock);
	kb_team_share_move(&pool->share, &team->use, KB_TEAM_CONN_NONE,
			   KB_TEAM_CONN_OPENING, conn->since);
	conn->link = kb_link_open(pool->connector, &place, &kb_pool_conn_events,
				  conn);
	if (!conn->link) {
		kb_pool_conn_close(conn);
		return KB_ERR_NO_MEMORY;
	}
	return KB_OK;
}

void kb_pool_conn_start(kb_pool_conn_t *conn, kb_pool_job_t *job)
{
	conn->job = job;
	if (job->args->transactional)
		count_transaction(conn, 1);
	conn->idle_timeout = job->args->idle_limit_us * KB_NS_PER_US;
	job->attempts++;
	kb_pool_conn_send_next(conn);
}

void kb_pool_conn_roll_back(kb_pool_conn_t *conn)
{
	kb_link_command_t command = { .kind = KB_LINK_COMMAND_ROLLBACK,
				      .id = { "", 0 },
				      .name = { "", 0 },
				      .body = { "", 0 } };

	if (conn->state == KB_POOL_CONN_CLOSED)
		return;
	kb_pool_conn_set_transaction(conn, 0);
	if (kb_link_send(conn->link, &command)) {
		kb_pool_conn_close(conn);
		return;
	}
	conn->sent_kind = KB_LINK_COMMAND_ROLLBACK;
	conn->sent_at = kb_clock_monotonic(conn->pool->clock);
	kb_pool_conn_set_state(conn, KB_POOL_CONN_ABANDONED);
	conn->slot_released = 1;
}

int kb_pool_conn_uses_slot(const kb_pool_conn_t *conn)
{
	return !conn->slot_released && (conn->state == KB_POOL_CONN_OPENING ||
					conn->state == KB_POOL_CONN_BUSY ||
					conn->state == KB_POOL_CONN_ABANDONED);
}

/*
 * Ends a job whose answer timed out or whose deadline has passed. If a read
 * outside a transaction was sent, the connection stays open until its answer
 * arrives, for POOL_ABANDONED_TIMEOUT_MS at most. Otherwise it is closed.
 */
static void fail_timed_out_job(kb_pool_conn_t *conn)
{
	kb_pool_job_t *job = conn->job;
	kb_result_t result = kb_pool_conn_lost_result(job);

	conn->job = NULL;
	if (job->args->kind == KBS_READ && !job->args->transactional &&
	    job->sent) {
		kb_pool_conn_set_state(conn, KB_POOL_CONN_ABANDONED);
		conn->slot_released = 1;
	}
	kb_pool_job_refuse(conn->pool, job, result,
			   "the target did not answer in time");
	if (conn->state != KB_POOL_CONN_ABANDONED)
		kb_pool_conn_close(conn);
}

static kb_time_t tick_busy(kb_pool_conn_t *conn, kb_time_t now)
{
	kb_link_pool_t *pool = conn->pool;
	kb_time_t lost_at = conn->sent_at + kb_link_pool_answer_timeout(pool);
	kb_pool_job_t *job = conn->job;
	int is_final =
		job->sent &&
		(job->args->kind == KBS_COMMIT ||
		 (job->args->kind == KBS_WRITE && !job->args->transactional));

	if (now >= lost_at && !conn->slot_released) {
		conn->slot_released = 1;
		pool->counters.timeouts++;
		kb_pool_pace_on_silent(conn);
		pool->ops->on_target_event(pool->ctx, KB_TARGET_EVENT_TIMED_OUT,
					   (kb_point_t){ 0 });
		if (conn->state == KB_POOL_CONN_CLOSED)
			return KB_TIME_NEVER;
	}
	if (now >= job->deadline || (conn->slot_released && !is_final)) {
		fail_timed_out_job(conn);
		return KB_TIME_NEVER;
	}
	return conn->slot_released || job->deadline < lost_at ? job->deadline
							      : lost_at;
}

kb_time_t kb_pool_conn_tick(kb_pool_conn_t *conn, kb_time_t now)
{
	kb_time_t until;

	switch (conn->state) {
	case KB_POOL_CONN_BUSY:
		return tick_busy(conn, now);
	case KB_POOL_CONN_OPENING:
		until = conn->since + POOL_OPEN_TIMEOUT_MS * KB_NS_PER_MS;
		break;
	case KB_POOL_CONN_IDLE:
		until = conn->since + POOL_IDLE_TIMEOUT_S * KB_NS_PER_S;
		break;
	case KB_POOL_CONN_PINNED:
		until = conn->since + conn->idle_timeout;
		break;
	default:
		until = conn->since + POOL_ABANDONED_TIMEOUT_MS * KB_NS_PER_MS;
		break;
	}
	if (now < until)
		return until;
	if (conn->state == KB_POOL_CONN_OPENING) {
		kb_link_pool_t *pool = conn->pool;

		pool->counters.open_failed++;
		pool->open_blocked_until =
			now + POOL_OPEN_RETRY_DELAY_MS * KB_NS_PER_MS;
		kb_pool_conn_close(conn);
		pool->ops->on_target_event(pool->ctx, KB_TARGET_EVENT_TIMED_OUT,
					   (kb_point_t){ 0 });
		return KB_TIME_NEVER;
	}
	kb_pool_conn_close(conn);
	return KB_TIME_NEVER;
}

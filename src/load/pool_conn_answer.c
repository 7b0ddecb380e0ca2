#include "pool_conn_internal.h"

#include "log.h"
#include "pool_command.h"
#include "pool_pace.h"
#include "pool_queue.h"

enum {
	/* The newest sample has a weight of 1/8 in the moving averages. */
	SERVICE_WEIGHT = 8,
};

static const kbs_run_args *args_of(const kb_pool_conn_t *conn)
{
	return conn->job->args;
}

static void update_service_time(kb_pool_conn_t *conn)
{
	kb_link_pool_t *pool = conn->pool;
	kb_time_t took = kb_clock_monotonic(pool->clock) - conn->sent_at;

	pool->service_time += (took - pool->service_time) / SERVICE_WEIGHT;
}

/* Commands that prepare a connection run quickly and need no slot. */
static void update_round_trip(kb_pool_conn_t *conn)
{
	kb_link_pool_t *pool = conn->pool;
	kb_time_t took = kb_clock_monotonic(pool->clock) - conn->sent_at;

	pool->round_trip += (took - pool->round_trip) / SERVICE_WEIGHT;
}

/* Updates the recorded state of a connection after a preparing command. */
static kb_result_t record_preparation(kb_pool_conn_t *conn)
{
	char name[KB_POOL_SHAPE_NAME_BYTES];

	switch (conn->sent_kind) {
	case KB_LINK_COMMAND_RESET:
		conn->pool->counters.resets++;
		kb_session_values_finish(&conn->values);
		kb_session_values_finish(&conn->shapes);
		return KB_OK;
	case KB_LINK_COMMAND_SET:
		return kb_session_values_set(
			&conn->values, kb_text_str(conn->value_sent->name),
			kb_text_str(conn->value_sent->value));
	case KB_LINK_COMMAND_PREPARE_READ:
	case KB_LINK_COMMAND_PREPARE_WRITE:
		return kb_session_values_set(
			&conn->shapes, kb_pool_shape_name(args_of(conn), name),
			kb_text_str(args_of(conn)->shape));
	default:
		conn->in_transaction = 1;
		kb_pool_conn_set_transaction(conn,
					     ++conn->pool->next_transaction);
		return KB_OK;
	}
}

static void fill_res(kbs_run_res *res, const kb_reply_t *reply)
{
	memset(res, 0, sizeof(*res));
	res->result = (int)reply->result;
	res->message = kb_text_view(reply->message);
	res->rows.rows_len = (u_int)reply->row_count;
	res->rows.rows_val = (kbs_text *)reply->rows;
	res->signature = kb_text_view(reply->signature);
	res->point = kb_point_to(reply->point);
	res->offered = TRUE;
}

/* Makes the connection idle, or rolls back its failed transaction. */
static void release(kb_pool_conn_t *conn, kb_txn_state_t state)
{
	if (conn->state == KB_POOL_CONN_CLOSED)
		return;
	if (state == KB_TXN_NONE) {
		kb_pool_conn_set_transaction(conn, 0);
		conn->in_transaction = 0;
		kb_pool_conn_set_state(conn, KB_POOL_CONN_IDLE);
	} else {
		kb_pool_conn_roll_back(conn);
	}
}

/* Ends a job whose success must not be reported, as the lease has ended. */
static void discard_result(kb_pool_conn_t *conn)
{
	kb_pool_job_t *job = conn->job;
	kb_result_t result = kb_pool_conn_lost_result(job);

	conn->job = NULL;
	kb_pool_job_refuse(conn->pool, job, result,
			   "the primary may have been replaced meanwhile");
	kb_pool_conn_close(conn);
}

static void handle_statement_reply(kb_pool_conn_t *conn,
				   const kb_reply_t *reply)
{
	kb_link_pool_t *pool = conn->pool;
	kb_pool_job_t *job = conn->job;
	kb_time_t now = kb_clock_monotonic(pool->clock);
	kbs_run_res res;

	update_service_time(conn);
	kb_pool_pace_on_reply(conn, reply->result);
	if (!reply->result && !pool->ops->may_serve(pool->ctx, now)) {
		discard_result(conn);
		return;
	}
	if (reply->result == KB_ERR_OVERLOADED && now < job->deadline &&
	    job->attempts < POOL_ATTEMPTS_MAX &&
	    (reply->state == KB_TXN_OPEN) == (conn->transaction != 0)) {
		/* The target did not run it. */
		pool->send_blocked_until =
			now + POOL_OVERLOADED_DELAY_MS * KB_NS_PER_MS;
		job->sent = 0;
		job->transaction = conn->transaction;
		conn->job = NULL;
		kb_pool_conn_set_state(conn, conn->transaction
						     ? KB_POOL_CONN_PINNED
						     : KB_POOL_CONN_IDLE);
		kb_pool_job_requeue(pool, job);
		return;
	}
	fill_res(&res, reply);
	conn->job = NULL;
	if (reply->result == KB_ERR_READ_ONLY)
		pool->ops->on_target_event(pool->ctx, KB_TARGET_EVENT_READ_ONLY,
					   reply->point);
	if (conn->transaction && reply->state == KB_TXN_OPEN) {
		res.transaction = conn->transaction;
		kb_pool_conn_set_state(conn, KB_POOL_CONN_PINNED);
	} else {
		release(conn, reply->state);
	}
	kb_pool_job_end(pool, job, &res);
}

/* The reply's point lets the caller avoid this target for later reads. */
static void refuse_with_point(kb_link_pool_t *pool, kb_pool_job_t *job,
			      const kb_reply_t *reply)
{
	kbs_run_res res;

	fill_res(&res, reply);
	res.offered = FALSE;
	kb_pool_job_end(pool, job, &res);
}

static void handle_preparation_reply(kb_pool_conn_t *conn,
				     const kb_reply_t *reply)
{
	kb_link_pool_t *pool = conn->pool;
	kb_pool_job_t *job = conn->job;

	update_round_trip(conn);
	if (!reply->result) {
		if (record_preparation(conn)) {
			kb_pool_conn_fail_job(conn, KB_ERR_OVERLOADED,
					      "memory is short");
			kb_pool_conn_close(conn);
			return;
		}
		kb_pool_conn_send_next(conn);
		return;
	}
	conn->job = NULL;
	if (reply->result == KB_ERR_READ_ONLY)
		pool->ops->on_target_event(pool->ctx, KB_TARGET_EVENT_READ_ONLY,
					   reply->point);
	if (conn->transaction)
		kb_pool_job_refuse(pool, job, KB_ERR_ROLLED_BACK,
				   "the connection could not be prepared");
	else if (reply->result == KB_ERR_READ_ONLY ||
		 reply->result == KB_ERR_NOT_FRESH)
		refuse_with_point(pool, job, reply);
	else if (job->attempts < POOL_ATTEMPTS_MAX)
		kb_pool_job_requeue(pool, job);
	else
		kb_pool_job_refuse(pool, job, KB_ERR_OVERLOADED,
				   "the connection could not be prepared");
	if (reply->result == KB_ERR_OVERLOADED)
		kb_pool_pace_on_reply(conn, reply->result);
	if (reply->result == KB_ERR_OVERLOADED)
		pool->send_blocked_until =
			kb_clock_monotonic(pool->clock) +
			POOL_OVERLOADED_DELAY_MS * KB_NS_PER_MS;
	if (reply->state == KB_TXN_NONE && !conn->transaction &&
	    (reply->result == KB_ERR_READ_ONLY ||
	     reply->result == KB_ERR_NOT_FRESH ||
	     reply->result == KB_ERR_OVERLOADED))
		kb_pool_conn_set_state(conn, KB_POOL_CONN_IDLE);
	else
		kb_pool_conn_close(conn);
}

/*
 * With connections of its own the pool can wait for others to close, or close
 * another team's instead.
 */
static void record_full_target(kb_link_pool_t *pool, kb_time_t now)
{
	if (pool->conn_count < 2)
		return;
	if (!pool->named_teams) {
		pool->open_blocked_until +=
			POOL_FULL_RETRY_DELAY_MS * KB_NS_PER_MS;
		return;
	}
	pool->full_limit = pool->conn_count - 1;
	pool->full_until = now + POOL_FULL_LIMIT_MS * KB_NS_PER_MS;
}

static void on_opened(void *ctx, kb_result_t result, kb_point_t point)
{
	kb_pool_conn_t *conn = ctx;
	kb_link_pool_t *pool = conn->pool;
	kb_time_t now = kb_clock_monotonic(pool->clock);

	if (!result) {
		kb_pool_conn_set_state(conn, KB_POOL_CONN_IDLE);
		pool->target_full = 0;
		pool->counters.opened++;
		kb_pace_on_opened(&pool->pace);
		pool->ops->on_target_event(pool->ctx, KB_TARGET_EVENT_ANSWERED,
					   point);
		kb_link_pool_dispatch(pool);
		return;
	}
	kb_log(KB_EVENT_TARGET_CONNECT_FAILED, "target=%s result=%s",
	       pool->place.target.data, kb_result_name(result));
	pool->counters.open_failed++;
	pool->target_full = result == KB_ERR_TOO_MANY;
	pool->open_blocked_until =
		now + POOL_OPEN_RETRY_DELAY_MS * KB_NS_PER_MS;
	if (pool->target_full)
		record_full_target(pool, now);
	conn->link = NULL;
	kb_pool_conn_close(conn);
	if (result != KB_ERR_TOO_MANY)
		pool->ops->on_target_event(pool->ctx,
					   KB_TARGET_EVENT_CONNECTION_LOST,
					   (kb_point_t){ 0 });
	kb_link_pool_dispatch(pool);
}

static void on_answered(void *ctx, const kb_reply_t *reply)
{
	kb_pool_conn_t *conn = ctx;
	kb_link_pool_t *pool = conn->pool;

	pool->ops->on_target_event(pool->ctx, KB_TARGET_EVENT_ANSWERED,
				   reply->point);
	if (conn->state == KB_POOL_CONN_CLOSED)
		return;
	if (conn->state == KB_POOL_CONN_ABANDONED) {
		if (conn->sent_kind == KB_LINK_COMMAND_ROLLBACK ||
		    !conn->in_transaction)
			release(conn, reply->state);
		else
			kb_pool_conn_roll_back(conn);
	} else if (kb_pool_command_is_statement(conn->sent_kind)) {
		handle_statement_reply(conn, reply);
	} else {
		handle_preparation_reply(conn, reply);
	}
	kb_link_pool_dispatch(pool);
}

static void on_lost(void *ctx, kb_result_t result)
{
	kb_pool_conn_t *conn = ctx;
	kb_link_pool_t *pool = conn->pool;

	kb_log(KB_EVENT_TARGET_CONNECTION_LOST, "target=%s result=%s state=%d",
	       pool->place.target.data, kb_result_name(result), conn->state);
	pool->counters.lost++;
	conn->link = NULL;
	kb_pool_conn_retry_or_fail(conn,
				   "the connection to the target was lost");
	kb_pool_conn_close(conn);
	kb_pool_pace_on_lost(pool);
	pool->ops->on_target_event(pool->ctx, KB_TARGET_EVENT_CONNECTION_LOST,
				   (kb_point_t){ 0 });
	kb_link_pool_dispatch(pool);
}

const kb_link_events_t kb_pool_conn_events = {
	.opened = on_opened,
	.answered = on_answered,
	.lost = on_lost,
};

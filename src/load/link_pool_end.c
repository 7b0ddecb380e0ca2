#include "pool_queue.h"

static void close_conns(kb_link_pool_t *pool, const char *message)
{
	while (pool->conns) {
		kb_pool_conn_t *conn = pool->conns;
		kb_pool_job_t *job = conn->job;

		conn->job = NULL;
		if (job && !job->sent && !conn->transaction)
			kb_pool_job_requeue(pool, job);
		else if (job)
			kb_pool_job_refuse(
				pool, job,
				job->args->kind == KBS_COMMIT ||
						(job->args->kind == KBS_WRITE &&
						 !job->args->transactional)
					? KB_ERR_UNKNOWN
				: job->args->transactional ? KB_ERR_ROLLED_BACK
							   : KB_ERR_CLOSED,
				message);
		kb_pool_conn_close(conn);
	}
}

void kb_link_pool_refuse_waiting(kb_link_pool_t *pool, kb_result_t result,
				 const char *message)
{
	while (pool->jobs) {
		kb_pool_job_t *job = kb_pool_job_unlink(pool, pool->jobs);

		kb_pool_job_refuse(pool, job,
				   job->transaction ? KB_ERR_ROLLED_BACK
						    : result,
				   message);
	}
}

void kb_link_pool_finish(kb_link_pool_t *pool)
{
	if (!pool->clock)
		return;
	pool->dispatching = 1;
	close_conns(pool, "this host stops");
	kb_link_pool_refuse_waiting(pool, KB_ERR_DRAINING, "this host stops");
	kb_pool_conn_free_closed(pool);
	kb_pool_teams_finish(pool);
}

void kb_link_pool_bind(kb_link_pool_t *pool, const kb_link_place_t *place,
		       unsigned slots, unsigned limit)
{
	int moved =
		!kb_name_is(&pool->place.target, kb_name_str(&place->target)) ||
		!kb_name_is(&pool->place.endpoint.address,
			    kb_name_str(&place->endpoint.address)) ||
		pool->place.endpoint.port != place->endpoint.port;

	kb_pace_bind(&pool->pace, slots, moved);
	pool->slots = slots;
	pool->limit = limit;
	pool->place = *place;
	if (moved) {
		pool->open_blocked_until = 0;
		pool->send_blocked_until = 0;
		pool->pace_reduced = 0;
		pool->full_until = 0;
		pool->dispatching = 1;
		close_conns(pool, "the group has another primary");
		pool->dispatching = 0;
	}
	kb_link_pool_dispatch(pool);
}

void kb_link_pool_abort_transactions(kb_link_pool_t *pool)
{
	pool->dispatching = 1;
	for (kb_pool_conn_t *conn = pool->conns; conn; conn = conn->next) {
		if (conn->transaction && conn->state == KB_POOL_CONN_PINNED) {
			kb_pool_conn_roll_back(conn);
		} else if (conn->transaction && conn->job &&
			   conn->job->args->kind != KBS_COMMIT) {
			kb_pool_conn_fail_job(conn, KB_ERR_ROLLED_BACK,
					      "the primary is being replaced");
			kb_pool_conn_close(conn);
		}
	}
	pool->dispatching = 0;
	kb_link_pool_dispatch(pool);
}

void kb_link_pool_close_idle(kb_link_pool_t *pool)
{
	for (kb_pool_conn_t *conn = pool->conns; conn; conn = conn->next)
		if (conn->state == KB_POOL_CONN_IDLE)
			kb_pool_conn_close(conn);
}

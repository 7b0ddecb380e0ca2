#include "target_gate.h"

#include "gate_confirm.h"
#include "gate_request.h"
#include "gate_wait.h"
#include "log.h"

#include <stdlib.h>

/* One connection of the pool. */
typedef struct gate_conn {
	kb_target_gate_t *gate;
	kb_conn_t *conn;
	kb_pool_connection_t *slot;
	/* The request that runs on it, or NULL during a rollback. */
	kb_gate_request_t *request;
} gate_conn_t;

static kb_time_t gate_now(const kb_target_gate_t *gate)
{
	return kb_clock_monotonic(gate->clock);
}

static kb_target_gate_t *from_pool(kb_pool_t *pool)
{
	return (kb_target_gate_t *)((char *)pool -
				    offsetof(kb_target_gate_t, pool));
}

static void end_hopeless(kb_target_gate_t *gate);

static void on_wakeup(void *ctx, kb_time_t now)
{
	(void)now;
	end_hopeless(ctx);
	kb_target_gate_tick(ctx);
}

/* Returns the earliest deadline of a request in execution. */
static kb_time_t next_deadline(const kb_target_gate_t *gate)
{
	kb_time_t next = KB_TIME_NEVER;

	for (size_t i = 0; i < KB_POOL_MAX_CONNECTIONS; i++) {
		const gate_conn_t *held = gate->pool.connections[i].handle;

		if (held && held->request &&
		    held->request->entry.deadline < next)
			next = held->request->entry.deadline;
	}
	return next;
}

void kb_target_gate_tick(kb_target_gate_t *gate)
{
	kb_time_t now = gate_now(gate);
	kb_time_t next = kb_admission_on_timer(&gate->admission, now);
	kb_time_t pool_next = kb_pool_tick(&gate->pool, now);
	kb_time_t wait_next = kb_gate_wait_recheck(gate);

	if (pool_next < next)
		next = pool_next;
	if (wait_next < next)
		next = wait_next;
	if (next_deadline(gate) < next)
		next = next_deadline(gate);
	kb_wakeup_reschedule(&gate->wakeup, next);
}

static void on_open(kb_conn_t *conn, kb_result_t result)
{
	gate_conn_t *held = conn->owner;
	kb_target_gate_t *gate = held->gate;
	kb_pool_connection_t *slot = held->slot;

	if (!result) {
		kb_log(KB_EVENT_TARGET_CONNECTED, "target=%s",
		       gate->spec.name.data);
		kb_pool_connected(&gate->pool, slot, gate_now(gate));
	} else {
		kb_log(KB_EVENT_TARGET_CONNECT_FAILED, "target=%s",
		       gate->spec.name.data);
		conn->ops->close(conn);
		free(held);
		slot->handle = NULL;
		kb_pool_closed(&gate->pool, slot, gate_now(gate));
	}
	kb_target_gate_tick(gate);
}

static void on_answer(kb_conn_t *conn, size_t index, const kb_answer_t *answer)
{
	gate_conn_t *held = conn->owner;

	if (held->request)
		kb_exec_on_answer(&held->request->exec, index, answer);
}

static void on_batch_end(kb_conn_t *conn, int in_transaction)
{
	gate_conn_t *held = conn->owner;
	kb_target_gate_t *gate = held->gate;

	if (held->request) {
		kb_exec_on_batch_end(&held->request->exec, in_transaction);
		return;
	}
	kb_pool_release(&gate->pool, held->slot,
			in_transaction ? KB_CONNECTION_IN_TRANSACTION
				       : KB_CONNECTION_CLEAN,
			gate_now(gate));
	kb_target_gate_tick(gate);
}

/* Ends the transaction that held a connection between its statements. */
static void transaction_lost(kb_target_gate_t *gate, kb_pool_connection_t *slot)
{
	kb_transaction_t *transaction =
		kb_transactions_find_by_connection(&gate->transactions, slot);

	if (!transaction)
		return;
	transaction->connection = NULL;
	/* A statement that is queued learns it when it gets its slot. */
	if (transaction->busy)
		return;
	kb_admission_transaction_ended(&gate->admission,
				       &transaction->admission, gate_now(gate));
	kb_transactions_remove(&gate->transactions, transaction);
}

static void on_lost(kb_conn_t *conn)
{
	gate_conn_t *held = conn->owner;
	kb_target_gate_t *gate = held->gate;
	kb_pool_connection_t *slot = held->slot;

	kb_log(KB_EVENT_TARGET_CONNECTION_LOST, "target=%s cause=closed",
	       gate->spec.name.data);
	if (held->request) {
		kb_exec_on_lost(&held->request->exec);
		return;
	}
	conn->ops->close(conn);
	free(held);
	slot->handle = NULL;
	transaction_lost(gate, slot);
	kb_pool_closed(&gate->pool, slot, gate_now(gate));
	kb_target_gate_tick(gate);
}

static const kb_conn_events_t conn_events = {
	.on_open = on_open,
	.on_answer = on_answer,
	.on_batch_end = on_batch_end,
	.on_lost = on_lost,
};

static void pool_open(kb_pool_t *pool, kb_pool_connection_t *slot)
{
	kb_target_gate_t *gate = from_pool(pool);
	gate_conn_t *held = calloc(1, sizeof(*held));

	slot->handle = NULL;
	if (held) {
		held->gate = gate;
		held->slot = slot;
		if (!gate->connector->ops->open(gate->connector, &gate->address,
						&conn_events, held,
						&held->conn)) {
			slot->handle = held;
			return;
		}
		free(held);
	}
	kb_pool_closed(pool, slot, gate_now(gate));
}

static void pool_rollback(kb_pool_t *pool, kb_pool_connection_t *slot)
{
	static const kb_statement_t rollback = {
		{ "ROLLBACK", sizeof("ROLLBACK") - 1 }, 0, NULL
	};
	kb_target_gate_t *gate = from_pool(pool);
	gate_conn_t *held = slot->handle;

	held->request = NULL;
	if (held->conn->ops->send(held->conn, &rollback, 1))
		kb_pool_release(pool, slot, KB_CONNECTION_BROKEN,
				gate_now(gate));
}

static void pool_close(kb_pool_t *pool, kb_pool_connection_t *slot)
{
	kb_target_gate_t *gate = from_pool(pool);
	gate_conn_t *held = slot->handle;

	if (held) {
		held->conn->ops->close(held->conn);
		free(held);
	}
	slot->handle = NULL;
	kb_pool_closed(pool, slot, gate_now(gate));
}

static void pool_expire(kb_pool_t *pool, kb_pool_connection_t *slot,
			kb_time_t now)
{
	(void)now;
	transaction_lost(from_pool(pool), slot);
}

static void pool_grant(kb_pool_t *pool, kb_pool_waiter_t *waiter,
		       kb_pool_connection_t *slot, kb_time_t now)
{
	(void)pool;
	(void)now;
	kb_gate_request_on_connection(kb_gate_request_from_waiter(waiter),
				      slot);
}

static void pool_refuse(kb_pool_t *pool, kb_pool_waiter_t *waiter,
			kb_result_t result, kb_time_t now)
{
	(void)pool;
	(void)now;
	kb_gate_request_fail(kb_gate_request_from_waiter(waiter), result,
			     kb_strerror(result));
}

static const kb_pool_ops_t pool_ops = {
	.open = pool_open,
	.rollback = pool_rollback,
	.close = pool_close,
	.expire = pool_expire,
	.grant = pool_grant,
	.refuse = pool_refuse,
};

kb_conn_t *kb_target_gate_bind(kb_pool_connection_t *slot,
			       kb_gate_request_t *request)
{
	gate_conn_t *held = slot->handle;

	held->request = request;
	return held->conn;
}

static const kb_admission_ops_t admission_ops = {
	.start = kb_gate_request_on_slot,
	.refuse = kb_gate_request_on_refused,
};

kb_result_t kb_target_gate_init(kb_target_gate_t *gate, kb_agent_t *agent,
				size_t index, kb_connector_t *connector,
				struct event_base *loop, kb_clock_t *clock,
				size_t answer_limit_bytes, uint64_t seed)
{
	const kb_target_spec_t *spec = &agent->spec.targets[index];
	kb_pool_settings_t pool;
	kb_admission_limits_t limits;
	kb_result_t result;

	memset(gate, 0, sizeof(*gate));
	gate->agent = agent;
	gate->index = index;
	gate->connector = connector;
	gate->loop = loop;
	gate->clock = clock;
	gate->spec = *spec;
	gate->address =
		(kb_conn_address_t){ spec->address, spec->port,
				     agent->spec.database, answer_limit_bytes };
	result = kb_wakeup_init(&gate->wakeup, loop, clock, on_wakeup, gate);
	if (result)
		return result;
	kb_pool_default_settings(&pool, spec->connections, seed);
	limits = kb_admission_default_limits(spec->slots, pool.limit);
	kb_pool_init(&gate->pool, &pool_ops, &pool);
	kb_admission_init(&gate->admission, &admission_ops, &limits);
	return KB_OK;
}

void kb_target_gate_finish(kb_target_gate_t *gate)
{
	kb_time_t now = gate_now(gate);

	kb_admission_refuse_all(&gate->admission, KB_ERR_DRAINING, now);
	kb_pool_set_limit(&gate->pool, 0, now);
	for (size_t i = 0; i < KB_POOL_MAX_CONNECTIONS; i++) {
		gate_conn_t *held = gate->pool.connections[i].handle;

		if (!held)
			continue;
		if (held->request) {
			kb_exec_on_lost(&held->request->exec);
			continue;
		}
		held->conn->ops->close(held->conn);
		free(held);
		gate->pool.connections[i].handle = NULL;
	}
	kb_gate_wait_flush(gate, KB_ERR_DRAINING);
	kb_gate_confirm_end_all(gate);
	while (gate->transactions.first)
		kb_transactions_remove(&gate->transactions,
				       gate->transactions.first);
	kb_wakeup_finish(&gate->wakeup);
}

void kb_target_gate_set_spec(kb_target_gate_t *gate,
			     const kb_target_spec_t *spec)
{
	kb_admission_limits_t limits;
	kb_pool_settings_t pool;

	kb_pool_default_settings(&pool, spec->connections, 0);
	limits = kb_admission_default_limits(spec->slots, pool.limit);
	gate->spec = *spec;
	kb_admission_set_limits(&gate->admission, &limits, gate_now(gate));
	kb_pool_set_limit(&gate->pool, pool.limit, gate_now(gate));
	kb_target_gate_tick(gate);
}

void kb_target_gate_set_class(kb_target_gate_t *gate,
			      const kb_traffic_class_t *spec)
{
	kb_admission_set_class(&gate->admission, spec);
}

void kb_target_gate_drain(kb_target_gate_t *gate, kb_time_t until)
{
	kb_admission_drain(&gate->admission, until, gate_now(gate));
	kb_target_gate_tick(gate);
}

void kb_target_gate_resume(kb_target_gate_t *gate)
{
	kb_admission_resume(&gate->admission);
}

int kb_target_gate_is_idle(const kb_target_gate_t *gate)
{
	return !gate->active && !gate->transactions.count &&
	       kb_admission_is_idle(&gate->admission);
}

/* Whether a request in execution is better ended than waited for. */
static int is_hopeless(const kb_target_gate_t *gate,
		       const kb_gate_request_t *request)
{
	size_t primary = kb_agent_primary(gate->agent);

	if (gate_now(gate) >= request->entry.deadline)
		return 1;
	if (kb_gate_request_is_read(request))
		return kb_agent_is_silent(gate->agent, gate->index);
	return primary != KB_NO_TARGET && primary != gate->index;
}

static void end_hopeless(kb_target_gate_t *gate)
{
	for (size_t i = 0; i < KB_POOL_MAX_CONNECTIONS; i++) {
		gate_conn_t *held = gate->pool.connections[i].handle;

		if (held && held->request && is_hopeless(gate, held->request))
			kb_exec_on_lost(&held->request->exec);
	}
}

void kb_target_gate_on_report(kb_target_gate_t *gate)
{
	end_hopeless(gate);
	kb_target_gate_tick(gate);
}

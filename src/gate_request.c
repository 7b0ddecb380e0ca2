#include "gate_request.h"

#include "log.h"

#include <stdio.h>
#include <stdlib.h>

static kb_time_t request_now(const kb_gate_request_t *request)
{
	return kb_clock_monotonic(request->gate->clock);
}

kb_gate_request_t *kb_gate_request_from_waiter(kb_pool_waiter_t *waiter)
{
	return (kb_gate_request_t *)((char *)waiter -
				     offsetof(kb_gate_request_t, waiter));
}

static kb_gate_request_t *from_confirm(kb_confirm_entry_t *entry)
{
	return (kb_gate_request_t *)((char *)entry -
				     offsetof(kb_gate_request_t, confirm));
}

static int is_read(const kb_gate_request_t *request)
{
	return request->args->action == KBX_ACTION_READ;
}

static int on_primary(const kb_gate_request_t *request)
{
	return kb_agent_primary(request->gate->agent) == request->gate->index;
}

/* Completes the JSON text of an answer, or returns NULL. */
static char *complete_answer(const kb_gate_request_t *request)
{
	const char *body = request->exec.answer;
	size_t body_len = body ? strlen(body) : 0;
	char age[32] = "null";
	char *text = NULL;

	if (is_read(request) && request->age != KB_TIME_NEVER)
		snprintf(age, sizeof(age), "%lld",
			 (long long)(request->age / KB_NS_PER_MS));
	if (asprintf(&text,
		     "%.*s%s\"target\":\"%s\",\"role\":\"%s\",\"ageMs\":%s,"
		     "\"replayed\":%s}",
		     body_len ? (int)body_len - 1 : 1, body_len ? body : "{",
		     body_len > 2 ? "," : "", request->gate->spec.name.data,
		     on_primary(request) ? "primary" : "replica", age,
		     request->exec.replayed ? "true" : "false") < 0)
		return NULL;
	return text;
}

static void answer(kb_gate_request_t *request, kb_result_t result,
		   const char *detail)
{
	kb_target_gate_t *gate = request->gate;
	kbx_target_view items[KB_GROUP_MAX_TARGETS];
	kbx_execute_res res;
	char *text = NULL;

	memset(&res, 0, sizeof(res));
	if (!result) {
		text = complete_answer(request);
		if (!text)
			result = is_read(request) ? KB_ERR_NO_MEMORY
						  : KB_ERR_UNKNOWN;
	}
	if (text) {
		res.answer.answer_val = text;
		res.answer.answer_len = (u_int)strlen(text);
		res.point.term = request->exec.point.term;
		res.point.position = request->exec.point.position;
		res.replayed = request->exec.replayed;
	}
	res.result = result;
	res.message = (char *)detail;
	res.transaction =
		request->transaction && !result ? request->transaction->id : "";
	res.age_us = request->age == KB_TIME_NEVER
			     ? -1
			     : request->age / KB_NS_PER_US;
	kb_agent_fill_view(gate->agent, &res.view, items);
	items[gate->index].waiting = kb_admission_outstanding(&gate->admission);
	if (result == KB_ERR_UNKNOWN) {
		gate->counters.unknown++;
		kb_log(KB_EVENT_OUTCOME_UNKNOWN, "target=%s caller=%s",
		       gate->spec.name.data, request->args->caller);
	}
	gate->active--;
	request->done(request->ctx, &res);
	free(text);
	kb_exec_finish(&request->exec);
	free(request);
}

static void drop_transaction(kb_gate_request_t *request)
{
	kb_target_gate_t *gate = request->gate;
	kb_transaction_t *transaction = request->transaction;

	if (!transaction)
		return;
	request->transaction = NULL;
	kb_admission_transaction_ended(&gate->admission,
				       &transaction->admission,
				       request_now(request));
	kb_transactions_remove(&gate->transactions, transaction);
}

void kb_gate_request_fail(kb_gate_request_t *request, kb_result_t result,
			  const char *detail)
{
	kb_target_gate_t *gate = request->gate;

	kb_admission_done(&gate->admission, &request->entry,
			  request_now(request));
	if (request->confirming)
		kb_agent_unconfirm(gate->agent, &request->confirm);
	drop_transaction(request);
	gate->counters.refused++;
	answer(request, result, detail);
	kb_target_gate_tick(gate);
}

void kb_gate_request_on_refused(kb_admission_t *admission,
				kb_admission_entry_t *entry, kb_result_t result,
				kb_time_t now)
{
	kb_gate_request_t *request = (kb_gate_request_t *)entry;

	(void)admission;
	(void)now;
	if (request->args->action == KBX_ACTION_BEGIN)
		drop_transaction(request);
	else if (request->transaction)
		request->transaction->busy = 0;
	request->transaction = NULL;
	request->gate->counters.refused++;
	answer(request, result, kb_strerror(result));
}

static void on_confirmed(kb_confirm_entry_t *entry, kb_result_t result)
{
	kb_gate_request_t *request = from_confirm(entry);

	request->confirming = 0;
	if (!is_read(request)) {
		answer(request, result, result ? "not confirmed in time" : "");
		return;
	}
	request->age = 0;
	if (result)
		request->exec.result = KB_ERR_NOT_FRESH;
	if (!request->executed)
		return;
	answer(request, request->exec.result,
	       result ? "the primary was not confirmed in time" : "");
}

static const kb_confirm_entry_ops_t confirm_ops = {
	.done = on_confirmed,
};

static void confirm(kb_gate_request_t *request, uint64_t term,
		    uint64_t position)
{
	request->confirm.ops = &confirm_ops;
	request->confirm.target = request->gate->index;
	request->confirm.term = term;
	request->confirm.position = position;
	request->confirm.deadline = request->entry.deadline;
	request->confirming = 1;
	kb_agent_confirm(request->gate->agent, &request->confirm);
}

static void end_read(kb_gate_request_t *request)
{
	if (request->exec.result) {
		if (request->confirming)
			kb_agent_unconfirm(request->gate->agent,
					   &request->confirm);
		request->confirming = 0;
		answer(request, request->exec.result, request->exec.detail);
		return;
	}
	request->executed = 1;
	if (request->confirming)
		return;
	answer(request, KB_OK, "");
}

static void end_write(kb_gate_request_t *request)
{
	kb_exec_t *exec = &request->exec;

#ifdef KB_BREAK_CONFIRM
	answer(request, exec->result, exec->detail);
#else
	if (!exec->result && (exec->committed || exec->replayed))
		confirm(request, exec->point.term, exec->point.position);
	else
		answer(request, exec->result, exec->detail);
#endif
}

/* Gives back the connection after a statement of a transaction. */
static void keep_transaction(kb_gate_request_t *request, int in_transaction)
{
	kb_target_gate_t *gate = request->gate;
	kb_transaction_t *transaction = request->transaction;
	kb_time_t now = request_now(request);

	transaction->connection = request->connection;
	transaction->busy = 0;
	memcpy(transaction->digest, request->exec.digest,
	       sizeof(transaction->digest));
	kb_target_gate_bind(request->connection, NULL);
	if (kb_pool_pin(&gate->pool, request->connection,
			in_transaction ? KB_CONNECTION_IN_TRANSACTION
				       : KB_CONNECTION_CLEAN,
			now)) {
		request->exec.result = KB_ERR_ROLLED_BACK;
		drop_transaction(request);
	}
}

static void release(kb_gate_request_t *request, int in_transaction)
{
	kb_target_gate_t *gate = request->gate;
	kb_exec_t *exec = &request->exec;
	unsigned flags = in_transaction ? KB_CONNECTION_IN_TRANSACTION
					: KB_CONNECTION_CLEAN;

	if (exec->result == KB_ERR_UNKNOWN || exec->result == KB_ERR_CLOSED ||
	    exec->result == KB_ERR_UNREACHABLE)
		flags = KB_CONNECTION_BROKEN;
	kb_target_gate_bind(request->connection, NULL);
	kb_pool_release(&gate->pool, request->connection, flags,
			request_now(request));
	drop_transaction(request);
}

static int keeps_transaction(const kb_gate_request_t *request)
{
	return !request->exec.result &&
	       (request->args->action == KBX_ACTION_BEGIN ||
		request->args->action == KBX_ACTION_STATEMENT);
}

static void on_finished(kb_exec_t *exec, int in_transaction)
{
	kb_gate_request_t *request = exec->owner;
	kb_target_gate_t *gate = request->gate;

	gate->counters.executed++;
	gate->counters.replayed += (uint64_t)exec->replayed;
	if (keeps_transaction(request))
		keep_transaction(request, in_transaction);
	else
		release(request, in_transaction);
	kb_admission_done(&gate->admission, &request->entry,
			  request_now(request));
	if (is_read(request))
		end_read(request);
	else
		end_write(request);
	kb_target_gate_tick(gate);
}

static const kb_exec_events_t exec_events = {
	.finished = on_finished,
};

void kb_gate_request_on_connection(kb_gate_request_t *request,
				   kb_pool_connection_t *connection)
{
	kb_conn_t *conn;

	request->connection = connection;
	conn = kb_target_gate_bind(connection, request);
	kb_exec_start(&request->exec, conn, request->args);
}

/* Returns KB_OK if the target may serve the read, and starts what it needs. */
static kb_result_t prepare_read(kb_gate_request_t *request)
{
	kb_agent_t *agent = request->gate->agent;
	kb_point_t include = { request->args->include.term,
			       request->args->include.position };
	kb_time_t reached = kb_agent_reached(agent, request->gate->index);
	kb_time_t now = request_now(request);

	if (!kb_agent_includes(agent, request->gate->index, include))
		return KB_ERR_NOT_FRESH;
	if (reached != KB_TIME_NEVER)
		request->age = now > reached ? now - reached : 0;
	if (reached != KB_TIME_NEVER &&
	    kb_freshness_accepts(reached,
				 request->args->max_age_us * KB_NS_PER_US,
				 request->arrived, now))
		return KB_OK;
	if (!on_primary(request))
		return KB_ERR_NOT_FRESH;
	confirm(request, kb_failover_term(&agent->failover), 0);
	return KB_OK;
}

void kb_gate_request_on_slot(kb_admission_t *admission,
			     kb_admission_entry_t *entry, kb_time_t now)
{
	kb_gate_request_t *request = (kb_gate_request_t *)entry;
	kb_target_gate_t *gate = request->gate;
	kb_result_t result = KB_OK;

	(void)admission;
	if (is_read(request))
		result = prepare_read(request);
	else if (!request->transaction && !on_primary(request))
		result = KB_ERR_NO_PRIMARY;
	if (result) {
		kb_gate_request_fail(request, result, kb_strerror(result));
		return;
	}
	if (!request->transaction || !request->transaction->connection) {
		kb_pool_acquire(&gate->pool, &request->waiter, now);
		return;
	}
	result = kb_pool_resume(&gate->pool, request->transaction->connection,
				now);
	if (result) {
		request->transaction->connection = NULL;
		kb_gate_request_fail(request, result,
				     "the transaction was rolled back");
		return;
	}
	kb_gate_request_on_connection(request,
				      request->transaction->connection);
}

/*
 * Attaches the request to its transaction. One that is not open any more may
 * have been committed by an earlier submission.
 */
static kb_result_t attach(kb_gate_request_t *request)
{
	kb_target_gate_t *gate = request->gate;
	const kbx_execute_args *args = request->args;
	kb_transaction_t *transaction;

	if (args->action == KBX_ACTION_READ || args->action == KBX_ACTION_WRITE)
		return KB_OK;
	if (args->action == KBX_ACTION_BEGIN)
		transaction = kb_transactions_add(&gate->transactions,
						  kb_str_from(args->caller));
	else
		transaction = kb_transactions_find(
			&gate->transactions, kb_str_from(args->transaction),
			kb_str_from(args->caller));
	if (!transaction)
		return args->action == KBX_ACTION_BEGIN ? KB_ERR_NO_MEMORY
							: KB_ERR_NOT_FOUND;
	if (transaction->busy)
		return KB_ERR_CONFLICT;
	transaction->busy = 1;
	request->transaction = transaction;
	request->entry.transaction = &transaction->admission;
	request->entry.ends_transaction = args->action == KBX_ACTION_COMMIT ||
					  args->action == KBX_ACTION_ROLLBACK;
	memcpy(request->exec.digest, transaction->digest,
	       sizeof(transaction->digest));
	return KB_OK;
}

void kb_target_gate_execute(kb_target_gate_t *gate,
			    const kbx_execute_args *args,
			    kb_gate_done_fn_t *done, void *ctx)
{
	kb_gate_request_t *request = calloc(1, sizeof(*request));
	kbx_execute_res res;
	kb_result_t result;

	if (!request) {
		memset(&res, 0, sizeof(res));
		res.result = KB_ERR_OVERLOADED;
		res.message = "out of memory";
		res.transaction = "";
		done(ctx, &res);
		return;
	}
	gate->active++;
	request->gate = gate;
	request->args = args;
	request->done = done;
	request->ctx = ctx;
	request->age = KB_TIME_NEVER;
	request->arrived = request_now(request);
	kb_exec_init(&request->exec, &exec_events, request);
	request->entry.deadline =
		request->arrived + args->deadline_us * KB_NS_PER_US;
	result = kb_name_set(&request->entry.caller, kb_str_from(args->caller));
	if (!result)
		result = kb_name_set(&request->entry.traffic_class,
				     kb_str_from(args->traffic_class));
	if (!result)
		result = attach(request);
	if (result) {
		answer(request, result, kb_strerror(result));
		return;
	}
	kb_admission_submit(&gate->admission, &request->entry,
			    request->arrived);
	kb_target_gate_tick(gate);
}

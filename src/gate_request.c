#include "gate_request.h"

#include "gate_answer.h"
#include "gate_confirm.h"
#include "gate_read.h"
#include "gate_wait.h"

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

static void begin_span(kb_gate_request_t *request, kb_span_kind_t kind)
{
	kb_trace_begin(request->gate->trace, &request->span, kind,
		       &request->trace);
}

static void end_span(kb_gate_request_t *request, kb_result_t result)
{
	kb_trace_end(request->gate->trace, &request->span, result,
		     request->args->group, request->gate->spec.name.data);
}

static void count_queue_wait(kb_gate_request_t *request, kb_result_t result)
{
	kb_target_gate_counters_t *counters = &request->gate->counters;

	counters->queue_waits++;
	counters->queue_wait += request_now(request) - request->arrived;
	end_span(request, result);
}

void kb_gate_request_fail(kb_gate_request_t *request, kb_result_t result,
			  const char *detail)
{
	kb_target_gate_t *gate = request->gate;

	end_span(request, result);
	kb_admission_done(&gate->admission, &request->entry,
			  request_now(request));
	kb_gate_confirm_stop(request);
	drop_transaction(request);
	gate->counters.refused++;
	kb_gate_answer_send(request, result, detail);
	kb_target_gate_tick(gate);
}

void kb_gate_request_on_refused(kb_admission_t *admission,
				kb_admission_entry_t *entry, kb_result_t result,
				kb_time_t now)
{
	kb_gate_request_t *request = (kb_gate_request_t *)entry;
	kb_transaction_t *transaction = request->transaction;

	(void)admission;
	(void)now;
	count_queue_wait(request, result);
	if (transaction && !transaction->connection)
		drop_transaction(request);
	else if (transaction)
		transaction->busy = 0;
	request->transaction = NULL;
	request->gate->counters.refused++;
	kb_gate_answer_send(request, result, kb_strerror(result));
}

static void end_read(kb_gate_request_t *request)
{
	kb_result_t result = request->exec.result;
	const char *detail = request->exec.detail;

	if (!result && request->confirming)
		return;
	kb_gate_confirm_stop(request);
	if (!result) {
		result = kb_gate_read_check(request);
		detail = result ? kb_strerror(result) : "";
	}
	kb_gate_answer_send(request, result, detail);
}

void kb_gate_request_on_confirmed(kb_gate_request_t *request,
				  kb_result_t result)
{
	if (!kb_gate_request_is_read(request)) {
		kb_gate_answer_send(request, result,
				    result ? "not confirmed in time" : "");
		return;
	}
	request->confirm_result = result ? KB_ERR_NOT_FRESH : KB_OK;
	if (request->executed)
		end_read(request);
}

static void end_write(kb_gate_request_t *request)
{
	kb_exec_t *exec = &request->exec;

#ifdef KB_BREAK_CONFIRM
	kb_gate_answer_send(request, exec->result, exec->detail);
#else
	if (!exec->result && (exec->committed || exec->replayed))
		kb_gate_confirm_start(request, exec->point.term,
				      exec->point.position);
	else
		kb_gate_answer_send(request, exec->result, exec->detail);
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

	end_span(request, exec->result);
	request->executed = 1;
	request->service = request_now(request) - request->sent;
	gate->counters.executed++;
	gate->counters.replayed += (uint64_t)exec->replayed;
	if (keeps_transaction(request))
		keep_transaction(request, in_transaction);
	else
		release(request, in_transaction);
	kb_admission_done(&gate->admission, &request->entry,
			  request_now(request));
	if (kb_gate_request_is_read(request))
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

	end_span(request, KB_OK);
	begin_span(request, KB_SPAN_STATEMENT);
	kb_gate_read_sent(request);
	request->connection = connection;
	conn = kb_target_gate_bind(connection, request);
	kb_exec_start(&request->exec, conn, request->args);
}

static int needs_connection(const kb_gate_request_t *request)
{
	return !request->transaction ||
	       request->args->action == KBX_ACTION_BEGIN;
}

/* Goes on with the connection of the transaction. */
static void resume(kb_gate_request_t *request, kb_time_t now)
{
	kb_transaction_t *transaction = request->transaction;

	if (transaction->connection &&
	    !kb_pool_resume(&request->gate->pool, transaction->connection,
			    now)) {
		kb_gate_request_on_connection(request, transaction->connection);
		return;
	}
	transaction->connection = NULL;
	kb_gate_request_fail(request, KB_ERR_ROLLED_BACK,
			     "the transaction was rolled back");
}

void kb_gate_request_on_slot(kb_admission_t *admission,
			     kb_admission_entry_t *entry, kb_time_t now)
{
	kb_gate_request_t *request = (kb_gate_request_t *)entry;
	kb_result_t result = KB_OK;

	(void)admission;
	count_queue_wait(request, KB_OK);
	if (kb_gate_request_is_read(request) &&
	    request->gate->spec.state == KB_ADMIN_STATE_LEAVING &&
	    !kb_gate_request_on_primary(request))
		result = KB_ERR_DRAINING;
	else if (!request->transaction &&
		 kb_agent_is_silent(request->gate->agent, request->gate->index))
		result = KB_ERR_UNREACHABLE;
	else if (kb_gate_request_is_read(request))
		result = kb_gate_read_prepare(request);
	else if (!request->transaction && !kb_gate_request_on_primary(request))
		result = KB_ERR_NO_PRIMARY;
	if (result) {
		kb_gate_request_fail(request, result, kb_strerror(result));
		return;
	}
	begin_span(request, KB_SPAN_CONNECTION);
	if (needs_connection(request))
		kb_pool_acquire(&request->gate->pool, &request->waiter, now);
	else
		resume(request, now);
}

static kb_result_t missing_result(kbx_action action)
{
	switch (action) {
	case KBX_ACTION_BEGIN:
		return KB_ERR_NO_MEMORY;
	case KBX_ACTION_COMMIT:
		/* The answer to an earlier COMMIT may have been lost. */
		return KB_ERR_UNKNOWN;
	default:
		return KB_ERR_NOT_FOUND;
	}
}

/* Attaches the request to its transaction. */
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
		return missing_result(args->action);
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
	request->as_of = KB_TIME_NEVER;
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
		kb_gate_answer_send(request, result, kb_strerror(result));
		return;
	}
	if (gate->trace && gate->trace->exporter)
		kb_trace_context_parse(&request->trace,
				       kb_str_from(args->traceparent));
	begin_span(request, KB_SPAN_QUEUE);
	kb_gate_wait_submit(request);
	kb_target_gate_tick(gate);
}

#ifndef KB_GATE_REQUEST_H
#define KB_GATE_REQUEST_H

#include "read_check.h"
#include "target_gate.h"

KB_BEGIN_DECLS

/* One request at a gate, from its arrival to its answer. */
typedef struct kb_gate_request {
	/* First member: admission callbacks cast it to the request. */
	kb_admission_entry_t entry;
	kb_pool_waiter_t waiter;
	kb_confirm_entry_t confirm;
	kb_target_gate_t *gate;
	const kbx_execute_args *args;
	kb_exec_t exec;
	/* The transaction that it opens or belongs to, or NULL. */
	kb_transaction_t *transaction;
	kb_pool_connection_t *connection;
	kb_time_t arrived_at;
	/* For a read at a replica that waits for a probe. */
	kb_read_check_t check;
	struct kb_gate_request *waiting_next;
	/* Set while it waits for confirmation; a read may run meanwhile. */
	int confirming;
	struct kb_gate_request *confirming_next, *confirming_prev;
	/* Start of the confirmation wait; for a read, also its result. */
	kb_time_t confirm_started;
	kb_result_t confirm_result;
	/* Set when the statement has ended. */
	int executed;
	/* Time at which the statement was sent, and the term at that time. */
	kb_time_t sent_at;
	uint64_t sent_term;
	/* Execution time of the statement; 0 if it did not run. */
	kb_time_t service_time;
	/*
	 * Time up to which the data of a read is known to be complete, or
	 * KB_TIME_NEVER if unknown.
	 */
	kb_time_t as_of;
	/* Trace that it belongs to, and the spans of its current stage. */
	kb_trace_context_t trace;
	kb_span_t span;
	kb_span_t confirm_span;
	kb_gate_done_fn_t *done;
	void *ctx;
} kb_gate_request_t;

/* Returns the request that a waiter of the pool belongs to. */
kb_gate_request_t *kb_gate_request_from_waiter(kb_pool_waiter_t *waiter);

/* Admission callbacks: the request got a slot, or is refused. */
void kb_gate_request_on_slot(kb_admission_t *admission,
			     kb_admission_entry_t *entry, kb_time_t now);
void kb_gate_request_on_refused(kb_admission_t *admission,
				kb_admission_entry_t *entry, kb_result_t result,
				kb_time_t now);

/* Runs the request on `connection`. */
void kb_gate_request_on_connection(kb_gate_request_t *request,
				   kb_pool_connection_t *connection);

/*
 * Ends a request that holds a slot and of which no byte was sent to the
 * target.
 */
void kb_gate_request_fail(kb_gate_request_t *request, kb_result_t result,
			  const char *detail);

/* The request's wait for confirmation has ended. */
void kb_gate_request_on_confirmed(kb_gate_request_t *request,
				  kb_result_t result);

static inline int kb_gate_request_is_read(const kb_gate_request_t *request)
{
	return request->args->action == KBX_ACTION_READ;
}

/* Whether the target is the primary in this host's view of the group. */
static inline int kb_gate_request_on_primary(const kb_gate_request_t *request)
{
	return kb_agent_primary(request->gate->agent) == request->gate->index;
}

/* Makes `request`, or none if NULL, the user of a connection; returns it. */
kb_conn_t *kb_target_gate_bind(kb_pool_connection_t *slot,
			       kb_gate_request_t *request);

/* Acts on everything that is due and reschedules the timer. */
void kb_target_gate_tick(kb_target_gate_t *gate);

KB_END_DECLS

#endif

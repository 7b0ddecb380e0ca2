#ifndef KB_GATE_REQUEST_H
#define KB_GATE_REQUEST_H

#include "read_check.h"
#include "target_gate.h"

KB_BEGIN_DECLS

/* One request on its way through a gate. */
typedef struct kb_gate_request {
	/* First member: operations of the admission refer to it. */
	kb_admission_entry_t entry;
	kb_pool_waiter_t waiter;
	kb_confirm_entry_t confirm;
	kb_target_gate_t *gate;
	const kbx_execute_args *args;
	kb_exec_t exec;
	/* The transaction that it opens or belongs to, or NULL. */
	kb_transaction_t *transaction;
	kb_pool_connection_t *connection;
	kb_time_t arrived;
	/* For a read at a replica that waits for a probe. */
	kb_read_check_t check;
	struct kb_gate_request *waiting_next;
	/* It waits for confirmation, a read perhaps beside its execution. */
	int confirming;
	struct kb_gate_request *confirming_next, *confirming_prev;
	/* When confirmation was asked for, and how it ended for a read. */
	kb_time_t asked;
	kb_result_t confirm_result;
	/* The statement has ended. */
	int executed;
	/* When the statement was sent, and the term then known. */
	kb_time_t sent;
	uint64_t sent_term;
	/* Time that the statement ran; 0 if it did not. */
	kb_time_t service;
	/*
	 * Time whose data a read certainly shows, or KB_TIME_NEVER if none is
	 * known.
	 */
	kb_time_t as_of;
	/* The trace that it belongs to, and its present hop. */
	kb_trace_context_t trace;
	kb_span_t span;
	kb_span_t confirm_span;
	kb_gate_done_fn_t *done;
	void *ctx;
} kb_gate_request_t;

/* Returns the request that a waiter of the pool belongs to. */
kb_gate_request_t *kb_gate_request_from_waiter(kb_pool_waiter_t *waiter);

/* Operations of the admission: a slot is free, or the request is refused. */
void kb_gate_request_on_slot(kb_admission_t *admission,
			     kb_admission_entry_t *entry, kb_time_t now);
void kb_gate_request_on_refused(kb_admission_t *admission,
				kb_admission_entry_t *entry, kb_result_t result,
				kb_time_t now);

/* A connection is there for the request. */
void kb_gate_request_on_connection(kb_gate_request_t *request,
				   kb_pool_connection_t *connection);

/* The request holds a slot, no byte of it was sent and it is not to run. */
void kb_gate_request_fail(kb_gate_request_t *request, kb_result_t result,
			  const char *detail);

/* A wait for confirmation has ended. */
void kb_gate_request_on_confirmed(kb_gate_request_t *request,
				  kb_result_t result);

static inline int kb_gate_request_is_read(const kb_gate_request_t *request)
{
	return request->args->action == KBX_ACTION_READ;
}

/* Whether the target is the primary as far as this host knows. */
static inline int kb_gate_request_on_primary(const kb_gate_request_t *request)
{
	return kb_agent_primary(request->gate->agent) == request->gate->index;
}

/* Makes `request` the user of a connection; returns the connection. */
kb_conn_t *kb_target_gate_bind(kb_pool_connection_t *slot,
			       kb_gate_request_t *request);

/* Acts on what is due and sets the timer anew. */
void kb_target_gate_tick(kb_target_gate_t *gate);

KB_END_DECLS

#endif

#ifndef KB_TARGET_GATE_H
#define KB_TARGET_GATE_H

#include "load/admission.h"
#include "agent.h"
#include "exec.h"
#include "load/pool.h"
#include "router.h"
#include "trace.h"
#include "transaction.h"
#include "wakeup.h"

KB_BEGIN_DECLS

/* Counters of a gate. */
typedef struct kb_target_gate_counters {
	uint64_t executed;
	uint64_t refused;
	uint64_t unknown;
	uint64_t replayed;
	/* Waits for a slot and for confirmation, and their total time. */
	uint64_t queue_waits;
	kb_time_t queue_wait;
	uint64_t confirm_waits;
	kb_time_t confirm_wait;
} kb_target_gate_counters_t;

/*
 * The gate of one target on this host. It owns the connections to the target,
 * its slots and its queue, and executes the requests that this and other hosts
 * route to it.
 */
typedef struct kb_target_gate {
	kb_admission_t admission;
	kb_pool_t pool;
	kb_agent_t *agent;
	kb_connector_t *connector;
	struct event_base *loop;
	kb_clock_t *clock;
	/* Copy of the target's declaration, and its place in the group. */
	kb_target_spec_t spec;
	size_t index;
	kb_conn_address_t address;
	kb_transactions_t transactions;
	kb_wakeup_t wakeup;
	size_t active;
	/* Reads that wait for a probe. */
	struct kb_gate_request *waiting;
	/* Requests that wait for confirmation. */
	struct kb_gate_request *confirming;
	/* May be NULL. */
	kb_trace_t *trace;
	kb_target_gate_counters_t counters;
} kb_target_gate_t;

/* Initializes the gate of target `index` of the group of `agent`. */
kb_result_t kb_target_gate_init(kb_target_gate_t *gate, kb_agent_t *agent,
				size_t index, kb_connector_t *connector,
				struct event_base *loop, kb_clock_t *clock,
				size_t answer_limit_bytes, uint64_t seed);

/*
 * Closes all connections and ends the requests in flight: writes that may have
 * run with KB_ERR_UNKNOWN, other requests with another error.
 */
void kb_target_gate_finish(kb_target_gate_t *gate);

/*
 * Applies a changed declaration of the target, whose name and address are the
 * same; work in flight continues.
 */
void kb_target_gate_set_spec(kb_target_gate_t *gate,
			     const kb_target_spec_t *spec);

/* Adds or changes a traffic class. */
void kb_target_gate_set_class(kb_target_gate_t *gate,
			      const kb_traffic_class_t *spec);

/*
 * Executes a request. `done` is called once, possibly before the return;
 * `args` must stay valid until then.
 */
void kb_target_gate_execute(kb_target_gate_t *gate,
			    const kbx_execute_args *args,
			    kb_gate_done_fn_t *done, void *ctx);

/* Refuses new work; work in flight may continue until `until`. */
void kb_target_gate_drain(kb_target_gate_t *gate, kb_time_t until);

/* Accepts work again after kb_target_gate_drain(). */
void kb_target_gate_resume(kb_target_gate_t *gate);

/* Returns non-zero if no request and no transaction is left. */
int kb_target_gate_is_idle(const kb_target_gate_t *gate);

/*
 * Acts on a new report of a target of the group, or on the lack of one. Checks
 * the waiting reads again. Aborts reads at a target that no longer answers
 * probes, so that they are retried elsewhere, and writes at a primary that was
 * replaced, whose outcome is unknown.
 */
void kb_target_gate_on_report(kb_target_gate_t *gate);

KB_END_DECLS

#endif

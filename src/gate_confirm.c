#include "gate_confirm.h"

static kb_gate_request_t *from_entry(kb_confirm_entry_t *entry)
{
	return (kb_gate_request_t *)((char *)entry -
				     offsetof(kb_gate_request_t, confirm));
}

static void add(kb_gate_request_t *request)
{
	kb_target_gate_t *gate = request->gate;

	request->confirming = 1;
	request->confirming_prev = NULL;
	request->confirming_next = gate->confirming;
	if (gate->confirming)
		gate->confirming->confirming_prev = request;
	gate->confirming = request;
}

static void unlink_request(kb_gate_request_t *request)
{
	kb_gate_request_t *next = request->confirming_next;
	kb_gate_request_t *prev = request->confirming_prev;

	request->confirming = 0;
	if (prev)
		prev->confirming_next = next;
	else
		request->gate->confirming = next;
	if (next)
		next->confirming_prev = prev;
}

static void end(kb_gate_request_t *request, kb_result_t result)
{
	kb_target_gate_t *gate = request->gate;

	unlink_request(request);
	gate->counters.confirm_waits++;
	gate->counters.confirm_wait +=
		kb_clock_monotonic(gate->clock) - request->confirm_started;
	kb_trace_end(gate->trace, &request->confirm_span, result,
		     request->args->group, gate->spec.name.data);
}

static void on_done(kb_confirm_entry_t *entry, kb_result_t result)
{
	kb_gate_request_t *request = from_entry(entry);

	end(request, result);
	kb_gate_request_on_confirmed(request, result);
}

static const kb_confirm_entry_ops_t entry_ops = {
	.done = on_done,
};

void kb_gate_confirm_start(kb_gate_request_t *request, uint64_t term,
			   uint64_t position)
{
	kb_target_gate_t *gate = request->gate;

	request->confirm.ops = &entry_ops;
	request->confirm.target = gate->index;
	request->confirm.term = term;
	request->confirm.position = position;
	request->confirm.deadline = request->entry.deadline;
	request->confirm_started = kb_clock_monotonic(gate->clock);
	kb_trace_begin(gate->trace, &request->confirm_span,
		       KB_SPAN_CONFIRMATION, &request->trace);
	add(request);
	kb_agent_confirm(gate->agent, &request->confirm);
}

void kb_gate_confirm_stop(kb_gate_request_t *request)
{
	if (!request->confirming)
		return;
	kb_agent_cancel_confirm(request->gate->agent, &request->confirm);
	end(request, KB_ERR_CLOSED);
}

void kb_gate_confirm_end_all(kb_target_gate_t *gate)
{
	while (gate->confirming) {
		kb_gate_request_t *request = gate->confirming;

		kb_agent_cancel_confirm(gate->agent, &request->confirm);
		on_done(&request->confirm, KB_ERR_UNKNOWN);
	}
}

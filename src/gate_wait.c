#include "gate_wait.h"

#include "gate_answer.h"

static kb_time_t gate_now(const kb_target_gate_t *gate)
{
	return kb_clock_monotonic(gate->clock);
}

static kb_read_verdict_t check_freshness(kb_gate_request_t *request,
					 kb_time_t now)
{
	const kb_target_gate_t *gate = request->gate;
	kb_read_state_t state = { 0 };

	if (kb_agent_is_silent(gate->agent, gate->index))
		return KB_READ_REFUSE;
	state.report =
		kb_agent_report(gate->agent, gate->index, &state.reported_at);
	if (!state.report)
		return KB_READ_REFUSE;
	state.as_of = kb_agent_data_as_of(gate->agent, gate->index);
	return kb_read_check(&request->check, &state, now);
}

static void add(kb_gate_request_t *request)
{
	kb_target_gate_t *gate = request->gate;

	request->waiting_next = gate->waiting;
	gate->waiting = request;
}

static void admit(kb_gate_request_t *request, kb_time_t now)
{
	kb_admission_submit(&request->gate->admission, &request->entry, now);
}

void kb_gate_wait_submit(kb_gate_request_t *request)
{
	kb_target_gate_t *gate = request->gate;
	kb_time_t now = gate_now(gate);

	if (!kb_gate_request_is_read(request) ||
	    kb_gate_request_on_primary(request)) {
		admit(request, now);
		return;
	}
	request->check.arrival = request->arrived_at;
	request->check.deadline = request->entry.deadline;
	request->check.max_age = request->args->max_age_us * KB_NS_PER_US;
	request->check.point = (kb_point_t){ request->args->include.term,
					     request->args->include.position };
	switch (check_freshness(request, now)) {
	case KB_READ_SERVE:
		admit(request, now);
		break;
	case KB_READ_REFRESH:
		add(request);
		kb_agent_request_probes(gate->agent);
		break;
	case KB_READ_WAIT:
		add(request);
		break;
	case KB_READ_REFUSE:
		gate->counters.refused++;
		kb_gate_answer_send(request, KB_ERR_NOT_FRESH,
				    kb_strerror(KB_ERR_NOT_FRESH));
		break;
	}
}

kb_time_t kb_gate_wait_recheck(kb_target_gate_t *gate)
{
	kb_gate_request_t *request = gate->waiting;
	kb_time_t now = gate_now(gate);
	kb_time_t next = KB_TIME_NEVER;

	gate->waiting = NULL;
	while (request) {
		kb_gate_request_t *following = request->waiting_next;
		kb_time_t until = request->arrived_at +
				  KB_READ_CHECK_WAIT_MS * KB_NS_PER_MS;

		switch (check_freshness(request, now)) {
		case KB_READ_SERVE:
			admit(request, now);
			break;
		case KB_READ_REFUSE:
			gate->counters.refused++;
			kb_gate_answer_send(request, KB_ERR_NOT_FRESH,
					    kb_strerror(KB_ERR_NOT_FRESH));
			break;
		case KB_READ_REFRESH:
		case KB_READ_WAIT:
			add(request);
			if (until < next)
				next = until;
			break;
		}
		request = following;
	}
	return next;
}

void kb_gate_wait_flush(kb_target_gate_t *gate, kb_result_t result)
{
	kb_gate_request_t *request = gate->waiting;

	gate->waiting = NULL;
	while (request) {
		kb_gate_request_t *following = request->waiting_next;

		kb_gate_answer_send(request, result, kb_strerror(result));
		request = following;
	}
}

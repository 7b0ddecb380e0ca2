#include "gate_read.h"

#include "gate_confirm.h"

static kb_time_t read_now(const kb_gate_request_t *request)
{
	return kb_clock_monotonic(request->gate->clock);
}

static int is_accepted(const kb_gate_request_t *request)
{
	return kb_freshness_accepts(request->as_of,
				    request->args->max_age_us * KB_NS_PER_US,
				    request->arrived_at, read_now(request));
}

kb_result_t kb_gate_read_prepare(kb_gate_request_t *request)
{
	kb_agent_t *agent = request->gate->agent;
	kb_point_t include = { request->args->include.term,
			       request->args->include.position };

	if (!kb_agent_includes(agent, request->gate->index, include))
		return KB_ERR_NOT_FRESH;
	request->as_of = kb_agent_data_as_of(agent, request->gate->index);
	if (is_accepted(request))
		return KB_OK;
	if (!kb_gate_request_on_primary(request))
		return KB_ERR_NOT_FRESH;
	/* If the term is confirmed later, the data is as of now or later. */
	request->as_of = read_now(request);
	kb_gate_confirm_start(request, kb_failover_term(&agent->failover), 0);
	return KB_OK;
}

void kb_gate_read_sent(kb_gate_request_t *request)
{
	request->sent_at = read_now(request);
	request->sent_term = kb_failover_term(&request->gate->agent->failover);
}

/*
 * If the primary was confirmed in the same term after the statement was sent,
 * the answer's data is at least as recent as the time of sending.
 */
static void use_confirmed_term(kb_gate_request_t *request)
{
	kb_agent_t *agent = request->gate->agent;
	kb_time_t confirmed;

	if (!kb_gate_request_on_primary(request) ||
	    kb_failover_term(&agent->failover) != request->sent_term)
		return;
	confirmed = kb_agent_data_as_of(agent, request->gate->index);
	if (confirmed != KB_TIME_NEVER && confirmed >= request->sent_at)
		request->as_of = request->sent_at;
}

kb_result_t kb_gate_read_check(kb_gate_request_t *request)
{
	if (request->confirm_result)
		return request->confirm_result;
	use_confirmed_term(request);
	return is_accepted(request) ? KB_OK : KB_ERR_NOT_FRESH;
}

kb_time_t kb_gate_read_age(const kb_gate_request_t *request)
{
	kb_time_t now = read_now(request);

	if (request->as_of == KB_TIME_NEVER)
		return KB_TIME_NEVER;
	return now > request->as_of ? now - request->as_of : 0;
}

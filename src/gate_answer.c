#include "gate_answer.h"

#include "gate_read.h"
#include "log.h"

#include <stdio.h>
#include <stdlib.h>

enum {
	AGE_BYTES = 32,
};

/* Rounds up, so that the data is never older than stated. */
static kb_time_t round_up_to_ms(kb_time_t time)
{
	return (time + KB_NS_PER_MS - 1) / KB_NS_PER_MS;
}

/*
 * Returns the answer's JSON text with the target and the age of its data
 * added, to be freed with free(); NULL if memory is short.
 */
static char *complete_answer(const kb_gate_request_t *request)
{
	const char *body = request->exec.answer;
	size_t body_len = body ? strlen(body) : 0;
	kb_time_t data_age = kb_gate_read_age(request);
	char age[AGE_BYTES] = "null";
	char *text = NULL;

	if (kb_gate_request_is_read(request) && data_age != KB_TIME_NEVER)
		snprintf(age, sizeof(age), "%lld",
			 (long long)round_up_to_ms(data_age));
	if (asprintf(&text,
		     "%.*s%s\"target\":\"%s\",\"role\":\"%s\",\"ageMs\":%s,"
		     "\"replayed\":%s}",
		     body_len ? (int)body_len - 1 : 1, body_len ? body : "{",
		     body_len > 2 ? "," : "", request->gate->spec.name.data,
		     kb_gate_request_on_primary(request) ? "primary"
							 : "replica",
		     age, request->exec.replayed ? "true" : "false") < 0)
		return NULL;
	return text;
}

void kb_gate_answer_send(kb_gate_request_t *request, kb_result_t result,
			 const char *detail)
{
	kb_target_gate_t *gate = request->gate;
	kbx_target_view items[KB_GROUP_MAX_TARGETS];
	kbx_execute_res res;
	char *text = NULL;
	kb_time_t age;

	memset(&res, 0, sizeof(res));
	if (!result) {
		text = complete_answer(request);
		if (!text)
			result = kb_gate_request_is_read(request)
					 ? KB_ERR_NO_MEMORY
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
	res.service_us =
		request->executed ? request->service_time / KB_NS_PER_US : -1;
	age = kb_gate_read_age(request);
	res.age_us = age == KB_TIME_NEVER ? -1 : age / KB_NS_PER_US;
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

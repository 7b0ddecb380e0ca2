#include "submit.h"
#include "commands.h"
#include "show.h"

#include <sodium.h>
#include <stdio.h>

enum {
	ID_BYTES = 16,
	STATUS_CONFLICT = 409,
	STATUS_PRECONDITION_FAILED = 412,
	STATUS_GATEWAY_TIMEOUT = 504,
};

#define RETRY_DELAY (500 * KB_NS_PER_MS)
#define POLL_PERIOD (250 * KB_NS_PER_MS)

static int is_answer_lost(const ctl_answer_t *answer)
{
	if (answer->result == KB_OK)
		return answer->status == STATUS_GATEWAY_TIMEOUT;
	return answer->result == KB_ERR_CLOSED ||
	       answer->result == KB_ERR_TIMEOUT;
}

ctl_exit_t ctl_submit_quiet(ctl_session_t *session,
			    const ctl_request_t *request, ctl_answer_t *answer)
{
	ctl_request_t submission = *request;
	char id[2 * ID_BYTES + 1];
	unsigned char random[ID_BYTES];
	kb_time_t deadline;
	kb_clock_t clock;

	kb_clock_init_system(&clock);
	deadline = kb_clock_monotonic(&clock) + session->options->timeout;
	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(id, sizeof(id), random, sizeof(random));
	submission.idempotency_key = id;
	ctl_session_call(session, &submission, answer);
	while (is_answer_lost(answer) &&
	       kb_clock_monotonic(&clock) < deadline) {
		ctl_session_answer_finish(answer);
		fprintf(stderr, "no response; retrying with the same id\n");
		ctl_session_sleep(session, RETRY_DELAY);
		ctl_session_call(session, &submission, answer);
	}
	if (answer->result == KB_OK && answer->status == HTTP_OK)
		return CTL_OK;
	if (answer->status == STATUS_CONFLICT ||
	    answer->status == STATUS_PRECONDITION_FAILED)
		return CTL_CONFLICT;
	return ctl_session_report(session, answer);
}

ctl_exit_t ctl_submit(ctl_session_t *session, const ctl_request_t *request,
		      ctl_answer_t *answer)
{
	ctl_exit_t status = ctl_submit_quiet(session, request, answer);

	return status == CTL_CONFLICT ? ctl_session_report(session, answer)
				      : status;
}

static json_int_t number_of(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

/* Returns non-zero if `revision`, or a later one, is in force on all hosts. */
static int is_in_force(const json_t *resource, json_int_t revision)
{
	const json_t *status = json_object_get(resource, "status");

	return number_of(resource, "revision") >= revision &&
	       number_of(status, "hosts") > 0 &&
	       number_of(status, "inForce") >= number_of(status, "hosts");
}

static void print_progress(const json_t *resource, json_int_t revision,
			   json_int_t *printed)
{
	const json_t *status = json_object_get(resource, "status");
	json_int_t count = number_of(status, "inForce");

	if (number_of(resource, "revision") < revision || count == *printed)
		return;
	*printed = count;
	fprintf(stderr, "in force on ");
	ctl_show_status(stderr, status);
	fputc('\n', stderr);
}

ctl_exit_t ctl_submit_wait(ctl_session_t *session, const json_t *resource)
{
	const char *kind = json_string_value(json_object_get(resource, "kind"));
	const char *name = json_string_value(json_object_get(resource, "name"));
	json_int_t revision = number_of(resource, "revision");
	char path[CTL_PATH_BYTES];
	ctl_request_t request = { .method = EVHTTP_REQ_GET, .path = path };
	json_int_t printed = -1;
	ctl_answer_t answer;
	kb_time_t deadline;
	kb_clock_t clock;
	int done = 0;

	kb_clock_init_system(&clock);
	deadline = kb_clock_monotonic(&clock) + session->options->timeout;
	ctl_commands_path(path, kind ? kind : "", name, "");
	while (!done && kb_clock_monotonic(&clock) < deadline) {
		ctl_session_call(session, &request, &answer);
		print_progress(answer.body, revision, &printed);
		done = is_in_force(answer.body, revision);
		ctl_session_answer_finish(&answer);
		if (!done)
			ctl_session_sleep(session, POLL_PERIOD);
	}
	if (done)
		return CTL_OK;
	fprintf(stderr, "%s is accepted, but not yet in force everywhere\n",
		path);
	return CTL_NOT_IN_FORCE;
}

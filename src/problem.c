#include "problem.h"

#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>

#define TYPE_PREFIX "urn:kumquatbridge:problem:"

enum {
	TYPE_MAX_BYTES = 96,
	STATUS_UNAUTHORIZED = 401,
	STATUS_FORBIDDEN = 403,
	STATUS_CONFLICT = 409,
	STATUS_UNPROCESSABLE = 422,
	STATUS_BAD_GATEWAY = 502,
	STATUS_GATEWAY_TIMEOUT = 504,
};

int kb_problem_status(kb_result_t result)
{
	switch (result) {
	case KB_OK:
		return HTTP_OK;
	case KB_ERR_INVALID:
	case KB_ERR_TOKEN_INVALID:
		return HTTP_BADREQUEST;
	case KB_ERR_TOO_LARGE:
		return HTTP_ENTITYTOOLARGE;
	case KB_ERR_UNAUTHENTICATED:
		return STATUS_UNAUTHORIZED;
	case KB_ERR_FORBIDDEN:
		return STATUS_FORBIDDEN;
	case KB_ERR_NOT_FOUND:
		return HTTP_NOTFOUND;
	case KB_ERR_CONFLICT:
	case KB_ERR_ROLLED_BACK:
		return STATUS_CONFLICT;
	case KB_ERR_KEY_REUSED:
	case KB_ERR_STATEMENT:
	case KB_ERR_NO_STATEMENT:
		return STATUS_UNPROCESSABLE;
	case KB_ERR_OVERLOADED:
	case KB_ERR_DEADLINE:
	case KB_ERR_NO_PRIMARY:
	case KB_ERR_NOT_FRESH:
	case KB_ERR_DRAINING:
	case KB_ERR_NOT_GATE:
	case KB_ERR_UNREACHABLE:
	case KB_ERR_READ_ONLY:
	case KB_ERR_WRONG_TARGET:
	case KB_ERR_TOO_MANY:
		return HTTP_SERVUNAVAIL;
	case KB_ERR_UNKNOWN:
	case KB_ERR_TIMEOUT:
		return STATUS_GATEWAY_TIMEOUT;
	case KB_ERR_PROTOCOL:
	case KB_ERR_VERSION:
	case KB_ERR_CLOSED:
		return STATUS_BAD_GATEWAY;
	case KB_ERR_NO_MEMORY:
	case KB_ERR_IO:
	case KB_ERR_SETTINGS:
		break;
	}
	return HTTP_INTERNAL;
}

const char *kb_problem_outcome(kb_result_t result)
{
	switch (kb_result_outcome(result)) {
	case KB_OUTCOME_NOT_RUN:
		return "not run";
	case KB_OUTCOME_UNKNOWN:
		return "unknown";
	case KB_OUTCOME_DONE:
		break;
	}
	return NULL;
}

static int problem_status(const kb_problem_t *problem)
{
	return problem->status ? problem->status
			       : kb_problem_status(problem->result);
}

json_t *kb_problem_to_json(const kb_problem_t *problem)
{
	char type[TYPE_MAX_BYTES];
	json_t *body;

	snprintf(type, sizeof(type), TYPE_PREFIX "%s",
		 kb_result_name(problem->result));
	body = json_pack("{s:s,s:s,s:i,s:i,s:s*,s:s*,s:s*}", "type", type,
			 "title", kb_strerror(problem->result), "status",
			 problem_status(problem), "code", (int)problem->result,
			 "outcome", kb_problem_outcome(problem->result),
			 "detail", problem->detail, "field", problem->field);
	if (body && problem->members &&
	    json_object_update(body, problem->members)) {
		json_decref(body);
		return NULL;
	}
	return body;
}

char *kb_problem_format(const kb_problem_t *problem, int *status)
{
	json_t *body = kb_problem_to_json(problem);
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	*status = problem_status(problem);
	json_decref(body);
	return text;
}

#include "operator_submission.h"
#include "http_reply.h"
#include "log.h"
#include "operator_json.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	SUBMISSIONS_MAX = 64,
	STATUS_PRECONDITION_FAILED = 412,
	TAG_BYTES = 32,
};

#define SUBMISSION_TIMEOUT (10 * KB_NS_PER_S)

void kb_operator_submission_free(kb_operator_submission_t *submission)
{
	kb_operator_submission_t **link = &submission->api->submissions;

	while (*link != submission)
		link = &(*link)->next;
	*link = submission->next;
	submission->api->submission_count--;
	kb_change_runner_finish(&submission->runner);
	free(submission);
}

static void reply_accepted(kb_operator_submission_t *submission,
			   int64_t revision)
{
	kb_resource_t *resource = &submission->resource;
	kb_config_view_t *view = submission->api->settings.view;
	char tag[TAG_BYTES];

	resource->revision = revision;
	snprintf(tag, sizeof(tag), "\"%" PRId64 "\"", revision);
	if (submission->remove) {
		kb_http_reply_json(submission->http, HTTP_OK,
				   json_pack("{s:s,s:s,s:I,s:b}", "kind",
					     kb_spec_kind_name(resource->kind),
					     "name", resource->name.data,
					     "revision", (json_int_t)revision,
					     "deleted", 1));
		return;
	}
	evhttp_add_header(evhttp_request_get_output_headers(submission->http),
			  "ETag", tag);
	kb_http_reply_json(submission->http, HTTP_OK,
			   kb_operator_json_resource(view, resource));
}

/* Returns the extension members of a problem document: the id of the change
 * and the current value. */
static json_t *problem_members(kb_config_view_t *view, const char *change_id,
			       const kb_resource_t *current)
{
	json_t *members = json_pack("{s:s*}", "changeId", change_id);
	json_t *value = current ? kb_operator_json_resource(view, current)
				: json_null();

	json_object_set_new(members, "current", value);
	return members;
}

void kb_operator_submission_conflict(kb_operator_api_t *api,
				     struct evhttp_request *http,
				     int is_conditional,
				     const kb_resource_t *current)
{
	json_t *members = problem_members(api->settings.view, NULL, current);
	kb_problem_t problem = {
		.result = KB_ERR_CONFLICT,
		.status = is_conditional ? STATUS_PRECONDITION_FAILED : 0,
		.detail = current ? "the present value is given in \"current\""
				  : "the resource does not exist",
		.members = members,
	};

	kb_http_reply_problem(http, &problem);
	json_decref(members);
}

static void reply_failed(kb_operator_submission_t *submission,
			 kb_result_t result, const kb_resource_t *current)
{
	json_t *members =
		problem_members(submission->api->settings.view,
				submission->resource.change.id.data, current);
	kb_problem_t problem = { .result = result, .members = members };

	switch (result) {
	case KB_ERR_UNKNOWN:
		problem.detail = "the store's answer was lost; repeat with "
				 "\"changeId\" as Idempotency-Key, or read the "
				 "resource and compare its change id";
		break;
	case KB_ERR_UNREACHABLE:
	case KB_ERR_DEADLINE:
	case KB_ERR_OVERLOADED:
		problem.detail = "the store does not answer; the change was "
				 "not made";
		break;
	default:
		break;
	}
	kb_http_reply_problem(submission->http, &problem);
	json_decref(members);
}

static void log_outcome(const kb_operator_submission_t *submission,
			const kb_change_outcome_t *outcome)
{
	const kb_resource_t *resource = &submission->resource;
	kb_event_t event = KB_EVENT_RESOURCE_CHANGED;

	if (outcome->result == KB_ERR_CONFLICT)
		event = KB_EVENT_RESOURCE_CONFLICT;
	else if (outcome->result == KB_ERR_UNKNOWN)
		event = KB_EVENT_RESOURCE_UNKNOWN;
	else if (outcome->result != KB_OK)
		return;
	kb_log(event,
	       "resource=%s/%s by=%s change=%s deleted=%d revision=%" PRId64,
	       kb_spec_kind_name(resource->kind), resource->name.data,
	       resource->change.by.data, resource->change.id.data,
	       submission->remove, outcome->revision);
}

static void on_done(void *ctx, const kb_change_outcome_t *outcome)
{
	kb_operator_submission_t *submission = ctx;
	const kb_store_entry_t *entry = outcome->current;
	const kb_resource_t *current = NULL;
	kb_resource_t resource;
	kb_fault_t fault;

	log_outcome(submission, outcome);
	if (entry && kb_resource_parse(&resource, entry->key, entry->value,
				       entry->revision, &fault) == KB_OK)
		current = &resource;
	if (outcome->result == KB_OK)
		reply_accepted(submission, outcome->revision);
	else if (outcome->result == KB_ERR_CONFLICT)
		kb_operator_submission_conflict(
			submission->api, submission->http,
			submission->is_conditional, current);
	else
		reply_failed(submission, outcome->result, current);
	kb_operator_submission_free(submission);
}

kb_result_t kb_operator_submission_new(kb_operator_api_t *api,
				       struct evhttp_request *http,
				       const kb_operator_request_t *request,
				       const kb_resource_t *resource)
{
	const kb_operator_api_settings_t *settings = &api->settings;
	kb_operator_submission_t *submission;
	kb_change_request_t change;
	kb_result_t result;

	if (api->submission_count >= SUBMISSIONS_MAX)
		return KB_ERR_OVERLOADED;
	submission = calloc(1, sizeof(*submission));
	if (!submission)
		return KB_ERR_NO_MEMORY;
	submission->api = api;
	submission->http = http;
	submission->resource = *resource;
	submission->is_conditional = request->condition != KB_STORE_ANY;
	submission->remove = request->verb == KB_OPERATOR_DELETE;
	change = (kb_change_request_t){
		.resource = &submission->resource,
		.remove = submission->remove,
		.condition = request->condition,
		.deadline = kb_clock_monotonic(settings->clock) +
			    SUBMISSION_TIMEOUT,
	};
	randombytes_buf(&change.seed, sizeof(change.seed));
	result = kb_change_runner_init(&submission->runner, settings->base,
				       settings->store, settings->clock,
				       &change, on_done, submission);
	if (result != KB_OK) {
		free(submission);
		return result;
	}
	submission->next = api->submissions;
	api->submissions = submission;
	api->submission_count++;
	kb_change_runner_start(&submission->runner);
	return KB_OK;
}

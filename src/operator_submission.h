#ifndef KB_OPERATOR_SUBMISSION_H
#define KB_OPERATOR_SUBMISSION_H

#include "change_runner.h"
#include "operator_api.h"
#include "operator_request.h"

KB_BEGIN_DECLS

/* An operator's change that awaits the store's answer, and its request. */
struct kb_operator_submission {
	kb_operator_api_t *api;
	kb_operator_submission_t *next;
	struct evhttp_request *http;
	kb_change_runner_t runner;
	kb_resource_t resource;
	/* The request has a condition. */
	int is_conditional;
	int remove;
};

/*
 * Starts the change of `resource` and answers `http` when it has ended. On
 * KB_ERR_OVERLOADED, KB_ERR_TOO_LARGE and KB_ERR_NO_MEMORY nothing was
 * started or answered.
 */
kb_result_t kb_operator_submission_new(kb_operator_api_t *api,
				       struct evhttp_request *http,
				       const kb_operator_request_t *request,
				       const kb_resource_t *resource);

/* Cancels and frees `submission` without an answer. */
void kb_operator_submission_free(kb_operator_submission_t *submission);

/* Answers that the request conflicts with `current`, which is NULL if the
 * resource does not exist. */
void kb_operator_submission_conflict(kb_operator_api_t *api,
				     struct evhttp_request *http,
				     int is_conditional,
				     const kb_resource_t *current);

KB_END_DECLS

#endif

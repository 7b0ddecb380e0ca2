#ifndef KB_OPERATOR_SUBMISSION_H
#define KB_OPERATOR_SUBMISSION_H

#include "change_runner.h"
#include "operator_api.h"
#include "operator_request.h"

KB_BEGIN_DECLS

/* An operator's change that waits for the store, and its HTTP request. */
struct kb_operator_submission {
	kb_operator_api_t *api;
	kb_operator_submission_t *next;
	struct evhttp_request *http;
	kb_change_runner_t runner;
	kb_resource_t resource;
	/* The caller set a condition. */
	int is_conditional;
	int remove;
};

/*
 * Starts the change of `resource` and answers `http` at its end. Returns
 * KB_ERR_OVERLOADED, KB_ERR_TOO_LARGE or KB_ERR_NO_MEMORY without an answer.
 */
kb_result_t kb_operator_submission_new(kb_operator_api_t *api,
				       struct evhttp_request *http,
				       const kb_operator_request_t *request,
				       const kb_resource_t *resource);

/* Ends `submission` without an answer. */
void kb_operator_submission_free(kb_operator_submission_t *submission);

/* Answers that `request` conflicts with `current`, NULL if there is none. */
void kb_operator_submission_conflict(kb_operator_api_t *api,
				     struct evhttp_request *http,
				     int is_conditional,
				     const kb_resource_t *current);

KB_END_DECLS

#endif

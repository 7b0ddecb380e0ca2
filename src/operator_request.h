#ifndef KB_OPERATOR_REQUEST_H
#define KB_OPERATOR_REQUEST_H

#include "resource.h"

#include <event2/event.h>
#include <event2/http.h>

KB_BEGIN_DECLS

/* Operation that a request asks for. */
typedef enum kb_operator_verb {
	KB_OPERATOR_LIST,
	KB_OPERATOR_GET,
	KB_OPERATOR_PUT,
	KB_OPERATOR_DELETE,
	KB_OPERATOR_WATCH,
	KB_OPERATOR_STATUS,
} kb_operator_verb_t;

/* The parts of an HTTP request; missing strings are NULL. */
typedef struct kb_operator_input {
	enum evhttp_cmd_type method;
	const char *path;
	const char *query;
	const char *if_match;
	const char *if_none_match;
	const char *idempotency_key;
} kb_operator_input_t;

/* A request to the operator interface. */
typedef struct kb_operator_request {
	kb_operator_verb_t verb;
	/* Methods that the path supports, set for status 405, else NULL. */
	const char *allow;
	kb_kind_t kind;
	kb_name_t name;
	/* Revision required, KB_STORE_ABSENT or KB_STORE_ANY. */
	int64_t condition;
	int dry_run;
	/* Revision after which a watch begins. */
	int64_t after;
	/* Id of the change if the client gave one, else empty. */
	kb_name_t change_id;
} kb_operator_request_t;

/*
 * Parses a request. Returns KB_ERR_NOT_FOUND for an unknown path or kind, and
 * KB_ERR_INVALID for a method that the path does not support, with `allow`
 * set, or for a malformed part, which `fault` describes.
 */
kb_result_t kb_operator_request_parse(kb_operator_request_t *request,
				      const kb_operator_input_t *input,
				      kb_fault_t *fault);

/* Returns non-zero if the request needs the "write" role. */
int kb_operator_request_writes(const kb_operator_request_t *request);

/* Receives a path, such as "/v1/resources/{kind}", and a method. */
typedef void kb_operator_path_fn_t(void *ctx, const char *path,
				   const char *method);

/* Calls `fn` for each path of the operator interface and each method. */
void kb_operator_request_each(kb_operator_path_fn_t *fn, void *ctx);

KB_END_DECLS

#endif

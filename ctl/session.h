#ifndef CTL_SESSION_H
#define CTL_SESSION_H

#include "http_client.h"
#include "options.h"

#include <jansson.h>

enum { CTL_PATH_BYTES = 192 };

/* A client of the operator interface, with one call at a time. */
typedef struct ctl_session {
	const ctl_options_t *options;
	struct event_base *base;
	kb_http_client_t client;
	char authorization[CTL_TOKEN_BYTES + 8];
} ctl_session_t;

/* A request; unused members are NULL. */
typedef struct ctl_request {
	enum evhttp_cmd_type method;
	const char *path;
	/* Borrowed. */
	const json_t *body;
	const char *if_match;
	const char *if_none_match;
	const char *idempotency_key;
} ctl_request_t;

/* A response. */
typedef struct ctl_answer {
	/* As in kb_http_answer_t. */
	kb_result_t result;
	int status;
	/* Owned; NULL if there is none or it is not JSON. */
	json_t *body;
} ctl_answer_t;

/* Returns CTL_OK, or reports the error and returns the exit status. */
ctl_exit_t ctl_session_init(ctl_session_t *session,
			    const ctl_options_t *options);
void ctl_session_finish(ctl_session_t *session);

/* Makes a call and waits until it ends. */
void ctl_session_call(ctl_session_t *session, const ctl_request_t *request,
		      ctl_answer_t *answer);
void ctl_session_answer_finish(ctl_answer_t *answer);

/* Reads a stream until it ends; calls `part` with each part of the body. */
void ctl_session_stream(ctl_session_t *session, const char *path,
			void (*part)(void *ctx, int status, kb_str_t data),
			void *ctx, kb_http_answer_t *answer);

/* Runs the event loop for `time`. */
void ctl_session_sleep(ctl_session_t *session, kb_time_t time);

/*
 * Prints a failed response to standard error, with the current value after a
 * conflict, and returns the exit status.
 */
ctl_exit_t ctl_session_report(const ctl_session_t *session,
			      const ctl_answer_t *answer);

#endif

#ifndef KB_HTTP_CLIENT_H
#define KB_HTTP_CLIENT_H

#include "str.h"

#include <event2/event.h>
#include <event2/http.h>

KB_BEGIN_DECLS

/* How a call ended. */
typedef struct kb_http_answer {
	/*
	 * KB_OK: a complete answer of any status. KB_ERR_UNREACHABLE: no byte
	 * of the request was sent. KB_ERR_TIMEOUT, KB_ERR_CLOSED: the server
	 * may have acted on it.
	 */
	kb_result_t result;
	int status;
	/* Empty if the request has `part`. Lives until the return. */
	kb_str_t body;
} kb_http_answer_t;

typedef struct kb_http_header {
	const char *name;
	const char *value;
} kb_http_header_t;

/* A request; its data are copied. */
typedef struct kb_http_request {
	enum evhttp_cmd_type method;
	const char *path;
	kb_str_t body;
	const kb_http_header_t *headers;
	size_t header_count;
	/* Time until the whole answer, or until its first part. */
	kb_time_t timeout;
	/* Longest silence between parts; 0 for no limit. */
	kb_time_t idle_timeout;
	/* If set, receives the body in parts as it arrives. */
	void (*part)(void *ctx, int status, kb_str_t data);
	void (*done)(void *ctx, const kb_http_answer_t *answer);
	void *ctx;
} kb_http_request_t;

typedef struct kb_http_call kb_http_call_t;

/* Calls one HTTP server; keeps connections for later calls. */
typedef struct kb_http_client {
	struct event_base *base;
	kb_name_t address;
	uint16_t port;
	/* Frees what ended, outside of the callbacks of its connection. */
	struct event *cleanup;
	kb_http_call_t *calls;
	kb_http_call_t *ended;
	struct evhttp_connection *idle;
} kb_http_client_t;

/*
 * Prepares calls to `address`, an IP number. Returns KB_ERR_INVALID if it is
 * none, or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_http_client_init(kb_http_client_t *client,
				struct event_base *base, kb_str_t address,
				uint16_t port);

/* Cancels all calls and frees the client's resources. */
void kb_http_client_finish(kb_http_client_t *client);

/*
 * Starts a call, which ends by `done` after the return, or by
 * kb_http_client_cancel(). Returns NULL if memory is short.
 */
kb_http_call_t *kb_http_client_call(kb_http_client_t *client,
				    const kb_http_request_t *request);

/* Ends `call` without an answer. It may be called from `part`. */
void kb_http_client_cancel(kb_http_call_t *call);

KB_END_DECLS

#endif

#ifndef KB_HTTP_CLIENT_H
#define KB_HTTP_CLIENT_H

#include "str.h"

#include <event2/event.h>
#include <event2/http.h>

KB_BEGIN_DECLS

/* Result of a call. */
typedef struct kb_http_answer {
	/*
	 * KB_OK: a complete response of any status. KB_ERR_UNREACHABLE: no
	 * byte of the request was sent. KB_ERR_TIMEOUT, KB_ERR_CLOSED: the
	 * server may have processed the request.
	 */
	kb_result_t result;
	int status;
	/* Empty if the request has `part`. Valid until `done` returns. */
	kb_str_t body;
	/* Headers of the response, or NULL. Valid until `done` returns. */
	const struct evkeyvalq *headers;
} kb_http_answer_t;

typedef struct kb_http_header {
	const char *name;
	const char *value;
} kb_http_header_t;

/* A request; its data is copied. */
typedef struct kb_http_request {
	enum evhttp_cmd_type method;
	const char *path;
	kb_str_t body;
	const kb_http_header_t *headers;
	size_t header_count;
	/* Limit for the whole response, or for its first part. */
	kb_time_t timeout;
	/* Limit for the time between two parts; 0 for none. */
	kb_time_t idle_timeout;
	/* If set, receives the body in parts as it arrives. */
	void (*part)(void *ctx, int status, kb_str_t data);
	void (*done)(void *ctx, const kb_http_answer_t *answer);
	void *ctx;
	/*
	 * The connection is reset, too, if the process ends, so that a request
	 * which is held up on its way does not take effect later.
	 */
	int reset_at_exit;
} kb_http_request_t;

typedef struct kb_http_call kb_http_call_t;

/* Client of one HTTP server; keeps one idle connection for later calls. */
typedef struct kb_http_client {
	struct event_base *base;
	kb_name_t address;
	uint16_t port;
	/* Frees ended calls outside the callbacks of their connections. */
	struct event *cleanup;
	kb_http_call_t *calls;
	kb_http_call_t *ended;
	struct evhttp_connection *idle;
} kb_http_client_t;

/*
 * Initializes a client of the server at `address`, a numeric IP address.
 * Returns KB_ERR_INVALID if it is not one, or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_http_client_init(kb_http_client_t *client,
				struct event_base *base, kb_str_t address,
				uint16_t port);

/* Cancels all calls and frees the client's resources. */
void kb_http_client_finish(kb_http_client_t *client);

/*
 * Starts a call. It ends with `done`, which is not called before the return,
 * or with kb_http_client_cancel(). The connection of a call that has timed out
 * or was cancelled is reset. Returns NULL if out of memory.
 */
kb_http_call_t *kb_http_client_call(kb_http_client_t *client,
				    const kb_http_request_t *request);

/* Cancels `call`; `done` is not called. May be called from `part`. */
void kb_http_client_cancel(kb_http_call_t *call);

KB_END_DECLS

#endif

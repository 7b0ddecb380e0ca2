#ifndef KB_STORE_CALL_H
#define KB_STORE_CALL_H

#include "backoff.h"
#include "http_client.h"
#include "store.h"

KB_BEGIN_DECLS

/* Kind of a call; it determines the retries and the callback. */
typedef enum kb_store_call_kind {
	/* Retried until the deadline. */
	KB_STORE_CALL_GET,
	/* Retried only as long as no byte of it has been sent. */
	KB_STORE_CALL_WRITE,
	/* Retried until the deadline. */
	KB_STORE_CALL_LEASE,
} kb_store_call_kind_t;

typedef struct kb_store_call kb_store_call_t;

/* The calls of one store client. */
typedef struct kb_store_calls {
	kb_http_client_t *client;
	kb_backoff_t *backoff;
	kb_clock_t *clock;
	/* Timeout of a call with all its retries. */
	kb_time_t call_timeout;
	/* Timeout of one attempt of a read or lease call. */
	kb_time_t attempt_timeout;
	kb_store_call_t *first;
	/* Number of requests sent, for the metrics. */
	uint64_t requests;
} kb_store_calls_t;

/* Arguments of a call. */
typedef struct kb_store_call_request {
	kb_store_call_kind_t kind;
	/* Static text. */
	const char *path;
	/* Ownership passes to the call, also if that fails. NULL means that
	 * the caller ran out of memory. */
	char *body;
	union {
		kb_store_range_fn_t *get;
		kb_store_write_fn_t *write;
		kb_store_lease_fn_t *lease;
	} done;
	void *ctx;
} kb_store_call_request_t;

/* Starts a call. Returns KB_OK, or KB_ERR_NO_MEMORY, also if `body` is NULL. */
kb_result_t kb_store_call_new(kb_store_calls_t *calls,
			      const kb_store_call_request_t *request);

/* Cancels the calls made with `ctx`, without an answer. */
void kb_store_call_cancel(kb_store_calls_t *calls, const void *ctx);

/* Cancels all calls, without an answer. */
void kb_store_call_cancel_all(kb_store_calls_t *calls);

KB_END_DECLS

#endif

#ifndef KB_STORE_CALL_H
#define KB_STORE_CALL_H

#include "backoff.h"
#include "http_client.h"
#include "store.h"

KB_BEGIN_DECLS

/* What a call does; it decides on its retries and its answer. */
typedef enum kb_store_call_kind {
	/* Repeated until the deadline. */
	KB_STORE_CALL_GET,
	/* Repeated only while no byte of it has been sent. */
	KB_STORE_CALL_WRITE,
	/* Repeated until the deadline. */
	KB_STORE_CALL_LEASE,
} kb_store_call_kind_t;

typedef struct kb_store_call kb_store_call_t;

/* The calls of one store client. */
typedef struct kb_store_calls {
	kb_http_client_t *client;
	kb_backoff_t *backoff;
	kb_clock_t *clock;
	/* Time in which a call is answered, retries included. */
	kb_time_t call_timeout;
	/* Time after which a read or lease call is tried once more. */
	kb_time_t attempt_timeout;
	kb_store_call_t *first;
	/* Requests sent, for the counters. */
	uint64_t requests;
} kb_store_calls_t;

/* A call to be made. */
typedef struct kb_store_call_request {
	kb_store_call_kind_t kind;
	/* Static text. */
	const char *path;
	/* Taken over and freed, also if the call fails; may be NULL. */
	char *body;
	union {
		kb_store_range_fn_t *get;
		kb_store_write_fn_t *write;
		kb_store_lease_fn_t *lease;
	} done;
	void *ctx;
} kb_store_call_request_t;

/* Starts a call. Returns KB_ERR_NO_MEMORY also if `body` is NULL. */
kb_result_t kb_store_call_new(kb_store_calls_t *calls,
			      const kb_store_call_request_t *request);

/* Ends the calls made with `ctx` without an answer. */
void kb_store_call_cancel(kb_store_calls_t *calls, const void *ctx);

/* Ends all calls without an answer. */
void kb_store_call_cancel_all(kb_store_calls_t *calls);

KB_END_DECLS

#endif

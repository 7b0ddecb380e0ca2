#ifndef CLOSED_LOOP_H
#define CLOSED_LOOP_H

#include "str.h"

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A closed-loop load generator: each connection sends its next request when the
 * previous one has been answered, until `total` requests have been sent.
 */
typedef struct closed_loop {
	struct event_base *base;
	size_t total;
	size_t sent;
	size_t answered;
	size_t failed;
	/* Response times; the first `answered` entries are set. */
	kb_time_t *latencies;
} closed_loop_t;

/* The request that the connections send, and its destination. */
typedef struct closed_loop_request {
	const char *address;
	unsigned port;
	/* Statement with one parameter. */
	const char *sql;
	/* Read kind, or NULL for a write with an idempotency key. */
	const char *read_kind;
	const char *group;
	const char *token;
	/* Makes the idempotency keys unique among runs. */
	uint64_t run;
} closed_loop_request_t;

/* Results of a run. */
typedef struct closed_loop_result {
	double per_s;
	double median_us;
	double p99_us;
	size_t failed;
} closed_loop_result_t;

/*
 * Runs the loop with HTTP connections to a host. Returns KB_OK, or
 * KB_ERR_NO_MEMORY.
 */
kb_result_t closed_loop_run_http(const closed_loop_request_t *request,
				 size_t connections, size_t total,
				 closed_loop_result_t *result);

/*
 * Runs the loop with libpq connections to a target. Returns KB_OK,
 * KB_ERR_NO_MEMORY or KB_ERR_UNREACHABLE.
 */
kb_result_t closed_loop_run_pq(const closed_loop_request_t *request,
			       size_t connections, size_t total,
			       closed_loop_result_t *result);

/*
 * For the functions above: initializes a loop, which must be finished even if
 * this fails.
 */
kb_result_t closed_loop_init(closed_loop_t *loop, size_t total);
void closed_loop_finish(closed_loop_t *loop);

/* Claims one request to send; returns 0 if all have been sent. */
int closed_loop_claim_request(closed_loop_t *loop);

/*
 * Records the response to a request that was sent at `sent`; the last one ends
 * the loop.
 */
void closed_loop_on_reply(closed_loop_t *loop, kb_time_t sent, int failed);

/* Runs until all requests are answered and computes the results. */
void closed_loop_run(closed_loop_t *loop, closed_loop_result_t *result);

kb_time_t closed_loop_now(void);

#endif

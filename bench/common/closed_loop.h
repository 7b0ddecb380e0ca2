#ifndef CLOSED_LOOP_H
#define CLOSED_LOOP_H

#include "str.h"

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A closed loop: each of a number of connections sends its next request once
 * the last one was answered, until `total` were sent.
 */
typedef struct closed_loop {
	struct event_base *base;
	size_t total;
	size_t sent;
	size_t answered;
	size_t failed;
	/* Time from sending to the answer, of the first `answered`. */
	kb_time_t *latencies;
} closed_loop_t;

/* What the connections ask, and of whom. */
typedef struct closed_loop_request {
	const char *address;
	unsigned port;
	/* Statement with one parameter. */
	const char *sql;
	/* Name of the read kind, or NULL for a write with a key. */
	const char *read_kind;
	const char *group;
	const char *token;
	/* Makes the keys of this run differ from those of others. */
	uint64_t run;
} closed_loop_request_t;

/* Figures of a run. */
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

/* Prepares a loop; finish it whatever the result. For the runs above. */
kb_result_t closed_loop_init(closed_loop_t *loop, size_t total);
void closed_loop_finish(closed_loop_t *loop);

/* Takes the right to send; returns 0 if all were sent. */
int closed_loop_take(closed_loop_t *loop);

/* Counts an answer to what was sent at `sent`; ends the loop at the last. */
void closed_loop_answer(closed_loop_t *loop, kb_time_t sent, int failed);

/* Runs until all are answered, and works out the figures. */
void closed_loop_run(closed_loop_t *loop, closed_loop_result_t *result);

kb_time_t closed_loop_now(void);

#endif

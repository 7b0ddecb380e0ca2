#ifndef KB_BENCH_EVENT_QUEUE_H
#define KB_BENCH_EVENT_QUEUE_H

#include "kumquatbridge.h"

/* An event queue for a simulation: events run in the order of their time. */

typedef void kb_event_fn_t(void *ctx, void *arg, kb_time_t now);

typedef struct kb_event_item {
	kb_time_t at;
	/* Keeps the order of insertion among events of the same time. */
	uint64_t sequence;
	kb_event_fn_t *run;
	void *ctx;
	void *arg;
} kb_event_item_t;

typedef struct kb_event_queue {
	kb_event_item_t *heap;
	size_t count;
	size_t capacity;
	uint64_t next_sequence;
} kb_event_queue_t;

void kb_event_queue_init(kb_event_queue_t *queue);
void kb_event_queue_finish(kb_event_queue_t *queue);

/* Schedules a call of `run` at `at`; exits if memory runs out. */
void kb_event_queue_add(kb_event_queue_t *queue, kb_time_t at,
			kb_event_fn_t *run, void *ctx, void *arg);

/* Runs events up to and including `end`; later ones stay queued. */
void kb_event_queue_run(kb_event_queue_t *queue, kb_time_t end);

/* Allocates zeroed memory; exits if memory runs out. */
void *kb_bench_alloc(size_t count, size_t size);

#endif

#ifndef KL_RUNNER_H
#define KL_RUNNER_H

#include "arrivals.h"
#include "client.h"
#include "history.h"
#include "stats.h"

#define KL_TABLES_MAX 4
#define KL_RECENT_MAX 256

/* A caller that keeps its session token from request to request. */
typedef struct kl_session {
	char *token;
	size_t host;
	struct kl_session *next_idle;
} kl_session_t;

/* A request that has arrived and waits for a session. */
typedef struct kl_queued_request {
	const kl_op_spec_t *spec;
	kb_time_t arrived;
	/* The part that a rival tries to take. */
	size_t part;
} kl_queued_request_t;

/* Inserts of one table that were acknowledged lately. */
typedef struct kl_recent {
	size_t count;
	size_t writes[KL_RECENT_MAX];
} kl_recent_t;

/* The load phase of a run. */
typedef struct kl_runner {
	struct event_base *base;
	const kl_options_t *options;
	kb_clock_t *clock;
	kl_client_t *client;
	kl_history_t *history;
	kl_stats_t *stats;
	kl_arrivals_t arrivals;
	kb_time_t started;
	struct event *arrival_timer;
	struct event *progress_timer;
	kl_session_t *sessions;
	/* Sessions without a request, the longest idle first. */
	kl_session_t *idle;
	kl_session_t **last_idle;
	/* Ring of waiting requests. */
	kl_queued_request_t *waiting;
	size_t waiting_first;
	size_t waiting_count;
	kl_recent_t recent[KL_TABLES_MAX];
	size_t in_flight;
	uint64_t arrived;
	int ended;
	kb_time_t ended_at;
	/* The load has ended and every request has its answer. */
	void (*done)(void *ctx);
	void *ctx;
	/* A resource ran out. */
	int failed;
} kl_runner_t;

/* Returns KB_OK or KB_ERR_NO_MEMORY. The members up to stats are borrowed. */
kb_result_t kl_runner_init(kl_runner_t *runner, struct event_base *base,
			   const kl_options_t *options, kb_clock_t *clock,
			   kl_client_t *client, kl_history_t *history,
			   kl_stats_t *stats);
void kl_runner_finish(kl_runner_t *runner);

/* Starts the load; `done` is called when it has ended. */
void kl_runner_start(kl_runner_t *runner, void (*done)(void *ctx), void *ctx);

/* Ends arrivals before their time. */
void kl_runner_end(kl_runner_t *runner);

/* For operations: lets a rival for `part` arrive. */
void kl_runner_enqueue_take(kl_runner_t *runner, size_t part);

/* For operations: remembers an acknowledged insert. */
void kl_runner_add_recent(kl_runner_t *runner, unsigned table, size_t write);

/* For operations: `session` is free again. */
void kl_runner_release(kl_runner_t *runner, kl_session_t *session);

#endif

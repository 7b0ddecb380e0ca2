#ifndef KL_RUNNER_H
#define KL_RUNNER_H

#include "arrivals.h"
#include "client.h"
#include "history.h"
#include "stats.h"

#define KL_TABLES_MAX 4
#define KL_RECENT_MAX 256

/* A session: a caller that sends its session token with each request. */
typedef struct kl_session {
	char *token;
	size_t host;
	struct kl_session *next_idle;
} kl_session_t;

/* A request that has arrived and is queued for a session. */
typedef struct kl_queued_request {
	const kl_op_spec_t *spec;
	kb_time_t arrived;
	/* The part of a take. */
	size_t part;
} kl_queued_request_t;

/* The most recently acknowledged inserts of a table. */
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
	/* Idle sessions, the longest idle first. */
	kl_session_t *idle;
	kl_session_t **last_idle;
	/* Ring buffer of queued requests. */
	kl_queued_request_t *waiting;
	size_t waiting_first;
	size_t waiting_count;
	kl_recent_t recent[KL_TABLES_MAX];
	size_t in_flight;
	uint64_t arrived;
	int ended;
	kb_time_t ended_at;
	/* Called when the load has ended and all requests are complete. */
	void (*done)(void *ctx);
	void *ctx;
	/* The run failed, for example for lack of memory. */
	int failed;
} kl_runner_t;

/* Returns KB_OK or KB_ERR_NO_MEMORY. All arguments are borrowed. */
kb_result_t kl_runner_init(kl_runner_t *runner, struct event_base *base,
			   const kl_options_t *options, kb_clock_t *clock,
			   kl_client_t *client, kl_history_t *history,
			   kl_stats_t *stats);
void kl_runner_finish(kl_runner_t *runner);

/* Starts the load; `done` is called when it has ended. */
void kl_runner_start(kl_runner_t *runner, void (*done)(void *ctx), void *ctx);

/* Stops the arrivals. */
void kl_runner_end(kl_runner_t *runner);

/* Queues a request to take `part`; called by operations. */
void kl_runner_enqueue_take(kl_runner_t *runner, size_t part);

/* Records an acknowledged insert for later lookups; called by operations. */
void kl_runner_add_recent(kl_runner_t *runner, unsigned table, size_t write);

/* Returns `session` to the idle list; called by operations. */
void kl_runner_release(kl_runner_t *runner, kl_session_t *session);

#endif

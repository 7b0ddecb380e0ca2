#ifndef KB_CHANGE_RUNNER_H
#define KB_CHANGE_RUNNER_H

#include "change.h"

#include <event2/event.h>

KB_BEGIN_DECLS

/*
 * Called with the outcome of a change, whose data are valid until it returns.
 * It may call kb_change_runner_finish().
 */
typedef void kb_change_runner_done_fn_t(void *ctx,
					const kb_change_outcome_t *outcome);

/* Runs one change on a store client and an event loop. */
typedef struct kb_change_runner {
	kb_change_t change;
	kb_store_t *store;
	kb_clock_t *clock;
	struct event *timer;
	kb_change_runner_done_fn_t *done;
	void *ctx;
	/* Why the last store call could not be started, or KB_OK. */
	kb_result_t start_error;
	int is_done;
} kb_change_runner_t;

/*
 * Initializes `runner` for the change of `request`. Returns KB_ERR_NO_MEMORY or
 * KB_ERR_TOO_LARGE.
 */
kb_result_t kb_change_runner_init(kb_change_runner_t *runner,
				  struct event_base *base, kb_store_t *store,
				  kb_clock_t *clock,
				  const kb_change_request_t *request,
				  kb_change_runner_done_fn_t *done, void *ctx);

/*
 * Releases `runner`. A change that still runs is cancelled without a call of
 * `done`.
 */
void kb_change_runner_finish(kb_change_runner_t *runner);

/* Starts the change; `done` is called after this function has returned. */
void kb_change_runner_start(kb_change_runner_t *runner);

KB_END_DECLS

#endif

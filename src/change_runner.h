#ifndef KB_CHANGE_RUNNER_H
#define KB_CHANGE_RUNNER_H

#include "change.h"

#include <event2/event.h>

KB_BEGIN_DECLS

/*
 * Receives the end of a change, whose data live until the return. The runner
 * may be finished from within.
 */
typedef void kb_change_runner_done_fn_t(void *ctx,
					const kb_change_outcome_t *outcome);

/* Carries out one change with a store client and a loop. */
typedef struct kb_change_runner {
	kb_change_t change;
	kb_store_t *store;
	kb_clock_t *clock;
	struct event *timer;
	kb_change_runner_done_fn_t *done;
	void *ctx;
	/* The last order could not be given. */
	kb_result_t failed;
	int ended;
} kb_change_runner_t;

/*
 * Prepares the change of `request`. Returns KB_ERR_NO_MEMORY or
 * KB_ERR_TOO_LARGE.
 */
kb_result_t kb_change_runner_init(kb_change_runner_t *runner,
				  struct event_base *base, kb_store_t *store,
				  kb_clock_t *clock,
				  const kb_change_request_t *request,
				  kb_change_runner_done_fn_t *done, void *ctx);

/* Ends the change without an answer if it still runs. */
void kb_change_runner_finish(kb_change_runner_t *runner);

/* Starts; `done` follows after the return. */
void kb_change_runner_start(kb_change_runner_t *runner);

KB_END_DECLS

#endif

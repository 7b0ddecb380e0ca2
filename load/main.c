#include "report.h"
#include "runner.h"
#include "verify.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* A run: the load, then the verification of what was written. */
typedef struct kl_run {
	struct event_base *base;
	kb_clock_t clock;
	kl_options_t options;
	kl_client_t client;
	kl_history_t history;
	kl_stats_t stats;
	kl_runner_t runner;
	kl_verify_t verify;
	struct event *interrupt;
} kl_run_t;

static void on_verified(void *ctx)
{
	kl_run_t *run = ctx;

	event_base_loopbreak(run->base);
}

static void on_loaded(void *ctx)
{
	kl_run_t *run = ctx;

	kl_verify_start(&run->verify, on_verified, run);
}

static void on_interrupt(evutil_socket_t fd, short what, void *ctx)
{
	kl_run_t *run = ctx;

	(void)fd;
	(void)what;
	if (!run->runner.ended) {
		kl_runner_end(&run->runner);
		return;
	}
	run->runner.failed = 1;
	event_base_loopbreak(run->base);
}

static kb_result_t run_init(kl_run_t *run)
{
	kb_clock_init_system(&run->clock);
	kl_history_init(&run->history, (uint64_t)kb_clock_wall(&run->clock) ^
					       run->options.seed);
	kl_stats_init(&run->stats, kb_clock_monotonic(&run->clock));
	run->base = event_base_new();
	if (!run->base)
		return KB_ERR_NO_MEMORY;
	run->interrupt = evsignal_new(run->base, SIGINT, on_interrupt, run);
	if (!run->interrupt || evsignal_add(run->interrupt, NULL))
		return KB_ERR_NO_MEMORY;
	if (kl_client_init(&run->client, run->base, &run->options))
		return KB_ERR_INVALID;
	run->verify = (kl_verify_t){ .base = run->base,
				     .options = &run->options,
				     .clock = &run->clock,
				     .client = &run->client,
				     .history = &run->history };
	return kl_runner_init(&run->runner, run->base, &run->options,
			      &run->clock, &run->client, &run->history,
			      &run->stats);
}

static void run_finish(kl_run_t *run)
{
	kl_runner_finish(&run->runner);
	kl_client_finish(&run->client);
	if (run->interrupt)
		event_free(run->interrupt);
	if (run->base)
		event_base_free(run->base);
	kl_stats_finish(&run->stats);
	kl_history_finish(&run->history);
}

static int report(const kl_run_t *run)
{
	kl_report_t found = {
		.options = &run->options,
		.stats = &run->stats,
		.history = &run->history,
		.checked = run->verify.checked,
		.unchecked = run->verify.unchecked + run->verify.in_flight,
		.failed = run->runner.failed,
	};

	kl_report_print(&found);
	if (run->options.json_path &&
	    kl_report_write(&found, run->options.json_path)) {
		fprintf(stderr, "cannot write %s\n", run->options.json_path);
		return KL_EXIT_INCOMPLETE;
	}
	return kl_report_status(&found);
}

int main(int argc, char **argv)
{
	static kl_run_t run;
	int status = KL_EXIT_INCOMPLETE;
	kb_result_t result;

	kl_options_parse(&run.options, argc, argv);
	signal(SIGPIPE, SIG_IGN);
	result = run_init(&run);
	if (result) {
		fprintf(stderr, "cannot start: %s\n", kb_strerror(result));
	} else {
		kl_runner_start(&run.runner, on_loaded, &run);
		event_base_dispatch(run.base);
		status = report(&run);
	}
	run_finish(&run);
	return status;
}

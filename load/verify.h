#ifndef KL_VERIFY_H
#define KL_VERIFY_H

#include "client.h"
#include "history.h"

/* Verifies every write of a history with current reads. */
typedef struct kl_verify {
	struct event_base *base;
	const kl_options_t *options;
	kb_clock_t *clock;
	kl_client_t *client;
	kl_history_t *history;
	size_t next_write;
	size_t next_part;
	size_t in_flight;
	size_t next_host;
	kb_time_t deadline;
	/* Number of inserts and parts that were verified, and that were not. */
	uint64_t checked;
	uint64_t unchecked;
	void (*done)(void *ctx);
	void *ctx;
} kl_verify_t;

/*
 * Starts the verification; `done` is called when all checks have ended. Checks
 * without a result within the time limit count as unchecked.
 */
void kl_verify_start(kl_verify_t *verify, void (*done)(void *ctx), void *ctx);

#endif

#ifndef KB_TARGET_PROBE_H
#define KB_TARGET_PROBE_H

#include "link.h"

KB_BEGIN_DECLS

enum {
	/* Timeout of a command, including the opening of the connection. */
	KB_TARGET_PROBE_TIMEOUT_MS = 350,
	/* An idle connection is closed after this time. */
	KB_TARGET_PROBE_IDLE_TIMEOUT_MS = 3000,
};

/* Sends commands to a target, one at a time, on its own connection. */
typedef struct kb_target_probe {
	kb_link_connector_t *connector;
	kb_clock_t *clock;
	kb_link_place_t place;
	kb_link_t *link;
	int opened;
	/* A command is waiting for the connection or for its answer. */
	int in_progress;
	kb_link_command_t command;
	kb_time_t started_at;
	/*
	 * Called when the command has ended. KB_ERR_UNREACHABLE: the connection
	 * was refused; KB_ERR_TIMEOUT: no answer was received;
	 * KB_ERR_OVERLOADED: the target is too busy to report its state.
	 * `report` is NULL unless `result` is KB_OK.
	 */
	void (*done)(void *ctx, struct kb_target_probe *probe,
		     kb_link_command_kind_t kind, kb_result_t result,
		     const kb_target_report_t *report);
	void *ctx;
} kb_target_probe_t;

void kb_target_probe_init(kb_target_probe_t *probe,
			  kb_link_connector_t *connector, kb_clock_t *clock,
			  const kb_link_place_t *place);
void kb_target_probe_finish(kb_target_probe_t *probe);

/* Sends a command unless one is in progress. */
void kb_target_probe_send(kb_target_probe_t *probe, kb_link_command_kind_t kind,
			  uint64_t term);

/* Sets the target's address; a change ends the connection. */
void kb_target_probe_set_place(kb_target_probe_t *probe,
			       const kb_link_place_t *place);

/* Ends a command that has timed out; closes an idle connection. */
void kb_target_probe_tick(kb_target_probe_t *probe);

KB_END_DECLS

#endif

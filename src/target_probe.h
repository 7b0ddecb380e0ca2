#ifndef KB_TARGET_PROBE_H
#define KB_TARGET_PROBE_H

#include "link.h"

KB_BEGIN_DECLS

enum {
	/* A target that has not answered by then is held silent. */
	KB_TARGET_PROBE_TIMEOUT_MS = 350,
	/* The connection is kept this long for the next order. */
	KB_TARGET_PROBE_IDLE_TIMEOUT_MS = 3000,
};

/* Sends single orders to a target on a connection of its own. */
typedef struct kb_target_probe {
	kb_link_connector_t *linker;
	kb_clock_t *clock;
	kb_link_place_t place;
	kb_link_t *link;
	int opened;
	/* An order waits for the connection or for its answer. */
	int waiting;
	kb_link_command_t order;
	kb_time_t asked_at;
	/*
	 * Ends the order. KB_ERR_UNREACHABLE: the connection was refused;
	 * KB_ERR_TIMEOUT: no answer came; KB_ERR_OVERLOADED: the target is too
	 * busy to say. `report` is NULL unless KB_OK.
	 */
	void (*done)(void *ctx, struct kb_target_probe *probe,
		     kb_link_command_kind_t kind, kb_result_t result,
		     const kb_target_report_t *report);
	void *ctx;
} kb_target_probe_t;

void kb_target_probe_init(kb_target_probe_t *probe, kb_link_connector_t *linker,
			  kb_clock_t *clock, const kb_link_place_t *place);
void kb_target_probe_finish(kb_target_probe_t *probe);

/* Sends an order unless one waits already. */
void kb_target_probe_send(kb_target_probe_t *probe, kb_link_command_kind_t kind,
			  uint64_t term);

/* Follows a change of the target's address. */
void kb_target_probe_set_place(kb_target_probe_t *probe,
			       const kb_link_place_t *place);

/* Ends what takes too long and closes what nobody uses. */
void kb_target_probe_tick(kb_target_probe_t *probe);

KB_END_DECLS

#endif

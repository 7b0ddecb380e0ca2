#ifndef KB_GATE_WAIT_H
#define KB_GATE_WAIT_H

#include "gate_request.h"

KB_BEGIN_DECLS

/*
 * Reads at a replica that wait, for a short while, for a probe to show that
 * the data is fresh enough. They hold neither slot nor connection.
 */

/*
 * Submits a request to admission, at once or, for a read that a probe may
 * help, later; refuses it if neither will do.
 */
void kb_gate_wait_submit(kb_gate_request_t *request);

/* Looks at the waiting reads again; returns when to call at the latest. */
kb_time_t kb_gate_wait_recheck(kb_target_gate_t *gate);

/* Refuses every waiting read. */
void kb_gate_wait_flush(kb_target_gate_t *gate, kb_result_t result);

KB_END_DECLS

#endif

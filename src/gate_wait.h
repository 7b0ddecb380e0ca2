#ifndef KB_GATE_WAIT_H
#define KB_GATE_WAIT_H

#include "gate_request.h"

KB_BEGIN_DECLS

/*
 * Reads at a replica that wait briefly for a probe to show that the data is
 * fresh enough. They hold neither a slot nor a connection.
 */

/*
 * Submits a request to admission. A read whose data is not known to be fresh
 * enough is submitted after a probe has shown that it is, and refused if no
 * probe can show it in time.
 */
void kb_gate_wait_submit(kb_gate_request_t *request);

/* Checks the waiting reads again; returns when to call next at the latest. */
kb_time_t kb_gate_wait_recheck(kb_target_gate_t *gate);

/* Refuses every waiting read. */
void kb_gate_wait_flush(kb_target_gate_t *gate, kb_result_t result);

KB_END_DECLS

#endif

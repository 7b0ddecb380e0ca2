#ifndef KB_GATE_CONFIRM_H
#define KB_GATE_CONFIRM_H

#include "gate_request.h"

KB_BEGIN_DECLS

/* Starts to wait for confirmation of `position` in `term`. */
void kb_gate_confirm_start(kb_gate_request_t *request, uint64_t term,
			   uint64_t position);

/* Stops waiting, if the request waits. */
void kb_gate_confirm_stop(kb_gate_request_t *request);

/* Ends every wait of a gate as not confirmed. */
void kb_gate_confirm_end_all(kb_target_gate_t *gate);

KB_END_DECLS

#endif

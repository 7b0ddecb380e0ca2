#ifndef KB_GATE_CONFIRM_H
#define KB_GATE_CONFIRM_H

#include "gate_request.h"

KB_BEGIN_DECLS

/*
 * Starts to wait until a majority of the group shows that the primary was not
 * replaced in `term` and, unless `position` is 0, holds `position`.
 */
void kb_gate_confirm_start(kb_gate_request_t *request, uint64_t term,
			   uint64_t position);

/* Cancels the wait, if there is one. */
void kb_gate_confirm_stop(kb_gate_request_t *request);

/* Ends every wait of a gate with KB_ERR_UNKNOWN. */
void kb_gate_confirm_end_all(kb_target_gate_t *gate);

KB_END_DECLS

#endif

#ifndef KB_GATE_READ_H
#define KB_GATE_READ_H

#include "gate_request.h"

KB_BEGIN_DECLS

/*
 * Checks whether the target may serve a read that has a slot. If this depends
 * on the primary's term, starts a wait for its confirmation. Returns
 * KB_ERR_NOT_FRESH if the target may not serve the read.
 */
kb_result_t kb_gate_read_prepare(kb_gate_request_t *request);

/* Records the time and the group's term before the statement is sent. */
void kb_gate_read_sent(kb_gate_request_t *request);

/*
 * Checks a read that has run and waits for no confirmation. Returns
 * KB_ERR_NOT_FRESH if its data is not known to be fresh enough now.
 */
kb_result_t kb_gate_read_check(kb_gate_request_t *request);

/* Returns an upper bound of the age of the data now, or KB_TIME_NEVER. */
kb_time_t kb_gate_read_age(const kb_gate_request_t *request);

KB_END_DECLS

#endif

#ifndef KB_GATE_READ_H
#define KB_GATE_READ_H

#include "gate_request.h"

KB_BEGIN_DECLS

/*
 * Decides whether the target may serve a read that has a slot, and asks for
 * confirmation if it depends on that. Returns KB_ERR_NOT_FRESH if it may not.
 */
kb_result_t kb_gate_read_prepare(kb_gate_request_t *request);

/* The statement is about to be sent. */
void kb_gate_read_sent(kb_gate_request_t *request);

/*
 * The read has run and waits for nothing. Returns KB_ERR_NOT_FRESH if its
 * data is not known to be young enough by now.
 */
kb_result_t kb_gate_read_check(kb_gate_request_t *request);

/* Returns an upper bound of the age of the data now, or KB_TIME_NEVER. */
kb_time_t kb_gate_read_age(const kb_gate_request_t *request);

KB_END_DECLS

#endif

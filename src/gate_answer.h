#ifndef KB_GATE_ANSWER_H
#define KB_GATE_ANSWER_H

#include "gate_request.h"

KB_BEGIN_DECLS

/*
 * Answers a request, which must hold neither a slot nor a connection, and
 * frees it.
 */
void kb_gate_answer_send(kb_gate_request_t *request, kb_result_t result,
			 const char *detail);

KB_END_DECLS

#endif

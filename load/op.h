#ifndef KL_OP_H
#define KL_OP_H

#include "runner.h"

/*
 * Performs one request on `session`, with retries and what follows it, and
 * releases the session in the end.
 */
void kl_op_start(kl_runner_t *runner, kl_session_t *session,
		 const kl_queued_request_t *waiting);

#endif

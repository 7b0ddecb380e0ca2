#ifndef KL_OP_H
#define KL_OP_H

#include "runner.h"

/*
 * Runs one request on `session`, with its retries and its follow-up read, and
 * then releases the session.
 */
void kl_op_start(kl_runner_t *runner, kl_session_t *session,
		 const kl_queued_request_t *waiting);

#endif

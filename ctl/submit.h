#ifndef CTL_SUBMIT_H
#define CTL_SUBMIT_H

#include "session.h"

/*
 * Submits a change with a new idempotency key and retries it with the same key
 * until there is a response, within the timeout. Returns CTL_OK, or reports
 * the error and returns the exit status. The caller always finishes `answer`.
 */
ctl_exit_t ctl_submit(ctl_session_t *session, const ctl_request_t *request,
		      ctl_answer_t *answer);

/* As ctl_submit(), but does not report a conflict. */
ctl_exit_t ctl_submit_quiet(ctl_session_t *session,
			    const ctl_request_t *request, ctl_answer_t *answer);

/*
 * Waits until `resource`, as returned by ctl_submit(), is in force on all
 * hosts, and prints the progress.
 */
ctl_exit_t ctl_submit_wait(ctl_session_t *session, const json_t *resource);

#endif

#ifndef CTL_SUBMIT_H
#define CTL_SUBMIT_H

#include "session.h"

/*
 * Submits a change under an id of its own and repeats it under the same id
 * while its answer is lost, within the timeout. Returns CTL_OK with the
 * answer, or reports the fault; the caller finishes `answer` in any case.
 */
ctl_exit_t ctl_submit(ctl_session_t *session, const ctl_request_t *request,
		      ctl_answer_t *answer);

/* As ctl_submit(), but does not report a conflict. */
ctl_exit_t ctl_submit_quiet(ctl_session_t *session,
			    const ctl_request_t *request, ctl_answer_t *answer);

/*
 * Waits until `resource`, as answered to its submission, is in force
 * everywhere, and tells the progress.
 */
ctl_exit_t ctl_submit_wait(ctl_session_t *session, const json_t *resource);

#endif

#ifndef ST_SESSION_RUN_H
#define ST_SESSION_RUN_H

#include "session.h"

extern const st_error_t st_error_syntax;

/* Runs the session's statement, or queues it for a slot. */
void st_session_run(st_session_t *session);

/* The session's statement had its slot; `ctx` is the session. */
void st_session_on_slot(void *ctx);

/* Reports `error` and fails the transaction. */
void st_session_fail(st_session_t *session, const st_error_t *error);

/* Continues after a statement that had to wait. */
void st_session_proceed(st_session_t *session);

#endif

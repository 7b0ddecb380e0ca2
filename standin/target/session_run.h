#ifndef ST_SESSION_RUN_H
#define ST_SESSION_RUN_H

#include "session.h"

extern const st_error_t st_error_syntax;

/* Runs the session's statement, or queues it for a slot. */
void st_session_run(st_session_t *session);

/* Called when the service time has passed; `ctx` is the session. */
void st_session_on_slot(void *ctx);

/* Sends `error` and rolls back the transaction. */
void st_session_fail(st_session_t *session, const st_error_t *error);

/* Continues after a statement that was pending. */
void st_session_proceed(st_session_t *session);

#endif

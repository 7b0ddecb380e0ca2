#ifndef CTL_COMMANDS_H
#define CTL_COMMANDS_H

#include "session.h"

/* Each function runs one command and returns the exit status. */
ctl_exit_t ctl_commands_get(ctl_session_t *session);
ctl_exit_t ctl_commands_status(ctl_session_t *session);
ctl_exit_t ctl_commands_delete(ctl_session_t *session);

/* In apply.c, drain.c and watch.c. */
ctl_exit_t ctl_apply(ctl_session_t *session);
ctl_exit_t ctl_drain(ctl_session_t *session);
ctl_exit_t ctl_watch(ctl_session_t *session);

/* Prints `usage` after a usage error; returns the exit status. */
ctl_exit_t ctl_commands_usage_error(const char *usage);

/*
 * Formats "/v1/resources/KIND/NAME" followed by `query`; without "/NAME" if
 * `name` is NULL.
 */
void ctl_commands_path(char path[CTL_PATH_BYTES], const char *kind,
		       const char *name, const char *query);

#endif

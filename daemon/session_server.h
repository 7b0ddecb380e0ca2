#ifndef KB_SESSION_SERVER_H
#define KB_SESSION_SERVER_H

#include "settings.h"

KB_BEGIN_DECLS

/*
 * Serves callers' sessions in the platform's line protocol until a planned
 * stop is complete. Reloads the settings from `path` on SIGHUP and when the
 * file changes. Returns KB_OK, KB_ERR_IO, KB_ERR_NO_MEMORY, or KB_ERR_TIMEOUT
 * if work was left when the grace period ended.
 */
kb_result_t kb_session_server_run(const kb_settings_t *settings,
				  const char *path, kb_clock_t *clock);

KB_END_DECLS

#endif

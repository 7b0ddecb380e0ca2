#ifndef KB_SESSION_SERVER_H
#define KB_SESSION_SERVER_H

#include "settings.h"

KB_BEGIN_DECLS

/*
 * Serves sessions of the platform's callers until a planned stop has ended.
 * `path` is read again on SIGHUP and when it changes. Returns KB_OK,
 * KB_ERR_IO, KB_ERR_NO_MEMORY, or KB_ERR_TIMEOUT if the grace period ended
 * before the work did.
 */
kb_result_t kb_session_server_run(const kb_settings_t *settings,
				  const char *path, kb_clock_t *clock);

KB_END_DECLS

#endif

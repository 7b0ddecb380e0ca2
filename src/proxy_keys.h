#ifndef KB_PROXY_KEYS_H
#define KB_PROXY_KEYS_H

#include "proxy.h"

KB_BEGIN_DECLS

/* Sets the session's team as kb_teams_authenticate() does; logs a refusal. */
kb_result_t kb_proxy_keys_authenticate(kb_proxy_t *proxy,
				       kb_caller_session_t *caller,
				       kb_str_t id);
/* Logs how many teams and keys of the configuration cannot be used. */
void kb_proxy_keys_log_ignored(const kb_proxy_t *proxy);

KB_END_DECLS

#endif

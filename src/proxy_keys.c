#include "proxy_internal.h"

#include "log.h"

#include <inttypes.h>
#include <sodium.h>

enum {
	/* Part of a key's digest that is logged. */
	DIGEST_LOG_BYTES = 4,
};

void kb_proxy_keys_log_ignored(const kb_proxy_t *proxy)
{
	const kb_teams_t *teams = &proxy->databases.teams;

	if (teams->malformed || teams->ambiguous)
		kb_log(KB_EVENT_CONFIG_TEAMS_IGNORED,
		       "version=%" PRIu64 " teams=%zu keys=%zu",
		       proxy->databases.version, teams->malformed,
		       teams->ambiguous);
}

static void log_refused(const kb_proxy_t *proxy,
			const kb_caller_session_t *caller, kb_str_t id)
{
	char digest[2 * DIGEST_LOG_BYTES + 1];

	sodium_bin2hex(digest, sizeof(digest), caller->key.bytes,
		       DIGEST_LOG_BYTES);
	kb_log(KB_EVENT_KEY_REFUSED,
	       "id=%.*s key=%s database=%s version=%" PRIu64,
	       KB_STR_ARG(id.len ? id : KB_STR("-")), digest, caller->name.data,
	       proxy->databases.version);
}

kb_result_t kb_proxy_keys_authenticate(kb_proxy_t *proxy,
				       kb_caller_session_t *caller, kb_str_t id)
{
	kb_result_t result = kb_teams_authenticate(&proxy->databases.teams,
						   &caller->key, &caller->team);

	if (result) {
		proxy->stats.keys_refused++;
		log_refused(proxy, caller, id);
	}
	return result;
}

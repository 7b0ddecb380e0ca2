#ifndef KB_REGISTRATION_H
#define KB_REGISTRATION_H

#include "hosts.h"
#include "store.h"

KB_BEGIN_DECLS

enum {
	/* TTL of the store's lease: a failed host is unlisted after this. */
	KB_REGISTRATION_TTL_MS = 12000,
	/* Two keep-alives are sent within the TTL, and retries of the last. */
	KB_REGISTRATION_KEEPALIVE_INTERVAL_MS = 5000,
	KB_REGISTRATION_RETRY_INTERVAL_MS = 500,
};

/* Prefix of the keys that register hosts; DATA_CENTRE/HOST follows. */
#define KB_REGISTRATION_KEY_PREFIX "kumquatbridge/host/"

/* Registers this host in the store by a key bound to a lease of the store. */
typedef struct kb_registration {
	kb_store_t *store;
	kb_clock_t *clock;
	kb_host_info_t info;
	kb_name_t key;
	int64_t lease;
	/* The key was written under the lease. */
	int written;
	int call_pending;
	/* Another call follows the pending one at once. */
	int call_due;
	/* Time of the store's last successful answer. */
	kb_time_t reached_at;
	int leaving;
	/* Value of `leaving` in the last write. */
	int written_leaving;
	kb_time_t next_call_at;
} kb_registration_t;

/* Returns KB_ERR_TOO_LARGE if the host's name is too long for a key. */
kb_result_t kb_registration_init(kb_registration_t *registration,
				 kb_store_t *store, kb_clock_t *clock,
				 const kb_host_info_t *info);
void kb_registration_finish(kb_registration_t *registration);

/*
 * Sends the call to the store that is due. `listed`: the key is known to
 * exist; it is written again if not.
 */
void kb_registration_tick(kb_registration_t *registration, int listed);

/*
 * Registers anew at once: the store has lost the key. The lease may be lost,
 * too, or its number be given out again to another host.
 */
void kb_registration_refresh(kb_registration_t *registration);

/* Announces that this host is leaving and takes no new work. */
void kb_registration_set_leaving(kb_registration_t *registration);

/* Parses the value of a host's key. Returns KB_ERR_PROTOCOL if malformed. */
kb_result_t kb_registration_parse(kb_str_t value, kb_host_info_t *info,
				  int *leaving);

KB_END_DECLS

#endif

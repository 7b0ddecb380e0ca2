#ifndef KB_REGISTRATION_H
#define KB_REGISTRATION_H

#include "hosts.h"
#include "store.h"

KB_BEGIN_DECLS

enum {
	/* A host that is gone disappears from the list after this time. */
	KB_REGISTRATION_TTL_MS = 6000,
	/* Three renewals fit into it. */
	KB_REGISTRATION_KEEPALIVE_INTERVAL_MS = 1900,
	KB_REGISTRATION_RETRY_INTERVAL_MS = 500,
};

/* Prefix of the keys of hosts. */
#define KB_REGISTRATION_KEY_PREFIX "kumquatbridge/host/"

/* Keeps a leased key in the store that names this host. */
typedef struct kb_registration {
	kb_store_t *store;
	kb_clock_t *clock;
	kb_host_info_t place;
	kb_name_t key;
	int64_t lease;
	/* The key was written under the lease. */
	int written;
	int calling;
	/* Last answer of the store. */
	kb_time_t reached_at;
	int leaving;
	/* What the last write told of that. */
	int wrote_leaving;
	kb_time_t next_at;
} kb_registration_t;

kb_result_t kb_registration_init(kb_registration_t *presence, kb_store_t *store,
				 kb_clock_t *clock,
				 const kb_host_info_t *place);
void kb_registration_finish(kb_registration_t *presence);

/* Makes the call that is due. `listed`: the key is known to exist. */
void kb_registration_tick(kb_registration_t *presence, int listed);

/* Tells others that this host takes no new duty. */
void kb_registration_set_leaving(kb_registration_t *presence);

/* Reads the value of a host's key. Returns KB_ERR_PROTOCOL. */
kb_result_t kb_registration_parse(kb_str_t value, kb_host_info_t *place,
				  int *leaving);

KB_END_DECLS

#endif

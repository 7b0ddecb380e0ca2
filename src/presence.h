#ifndef KB_PRESENCE_H
#define KB_PRESENCE_H

#include "hosts.h"
#include "store.h"

KB_BEGIN_DECLS

enum {
	/* A host that is gone disappears from the list after this time. */
	KB_PRESENCE_TTL_MS = 6000,
	/* Three renewals fit into it. */
	KB_PRESENCE_KEEP_MS = 1900,
	KB_PRESENCE_RETRY_MS = 500,
};

/* Prefix of the keys of hosts. */
#define KB_PRESENCE_PREFIX "kumquatbridge/host/"

/* Keeps a leased key in the store that names this host. */
typedef struct kb_presence {
	kb_store_t *store;
	kb_clock_t *clock;
	kb_host_place_t place;
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
} kb_presence_t;

kb_result_t kb_presence_init(kb_presence_t *presence, kb_store_t *store,
			     kb_clock_t *clock, const kb_host_place_t *place);
void kb_presence_finish(kb_presence_t *presence);

/* Makes the call that is due. `listed`: the key is known to exist. */
void kb_presence_tick(kb_presence_t *presence, int listed);

/* Tells others that this host takes no new duty. */
void kb_presence_leave(kb_presence_t *presence);

/* Reads the value of a host's key. Returns KB_ERR_PROTOCOL. */
kb_result_t kb_presence_parse(kb_str_t value, kb_host_place_t *place,
			      int *leaving);

KB_END_DECLS

#endif

#ifndef KB_HOSTS_H
#define KB_HOSTS_H

#include "group.h"
#include "rpc_peer.h"
#include "settings.h"

KB_BEGIN_DECLS

/* Where a host is. */
typedef struct kb_host_info {
	kb_name_t name;
	kb_endpoint_t endpoint;
	kb_name_t data_centre;
	kb_name_t region;
} kb_host_info_t;

/* Another host or this one, as far as requests are concerned. */
typedef struct kb_host {
	kb_name_t name;
	kb_endpoint_t endpoint;
	kb_name_t data_centre;
	kb_name_t region;
	int self;
	int live;
	int leaving;
	/* The store does not name it any more since then; 0 if it does. */
	kb_time_t unlisted_at;
	/* Calls to it failed: it gets no duty before this time. */
	kb_time_t suspect_until;
	/* Replies at the last look, and since when there was no other. */
	uint64_t replies_seen;
	kb_time_t replied_at;
	kb_time_t quiet_since;
	int pinging;
	/* Connection to it; unused for this host. */
	kb_rpc_peer_t peer;
} kb_host_t;

/* The hosts that this host may call. Pointers to entries stay valid. */
typedef struct kb_hosts {
	struct event_base *loop;
	kb_host_t **hosts;
	size_t count;
	size_t capacity;
	kb_host_t *self;
} kb_hosts_t;

/* Initializes the table with this host alone. */
kb_result_t kb_hosts_init(kb_hosts_t *hosts, struct event_base *loop,
			  const kb_settings_t *settings);
kb_result_t kb_hosts_init_at(kb_hosts_t *hosts, struct event_base *loop,
			     const kb_host_info_t *self);
void kb_hosts_finish(kb_hosts_t *hosts);

/* Adds a host or changes its place. Returns it, or NULL without memory. */
kb_host_t *kb_hosts_put(kb_hosts_t *hosts, const kb_host_info_t *place);

/* Returns a host, or NULL. */
kb_host_t *kb_hosts_find(const kb_hosts_t *hosts, kb_str_t name);

KB_END_DECLS

#endif

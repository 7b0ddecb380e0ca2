#ifndef KB_HOSTS_H
#define KB_HOSTS_H

#include "group.h"
#include "rpc_peer.h"
#include "settings.h"

KB_BEGIN_DECLS

/* Name and location of a host. */
typedef struct kb_host_info {
	kb_name_t name;
	kb_endpoint_t endpoint;
	kb_name_t data_centre;
	kb_name_t region;
} kb_host_info_t;

/* A host to which requests may be sent; this host has an entry, too. */
typedef struct kb_host {
	kb_name_t name;
	kb_endpoint_t endpoint;
	kb_name_t data_centre;
	kb_name_t region;
	int self;
	int live;
	int leaving;
	/* Time at which its key was deleted from the store; 0 if listed. */
	kb_time_t unlisted_at;
	/* Calls to it failed: it is not used before this time. */
	kb_time_t suspect_until;
	/* Number of replies at the last check, and time of the last one. */
	uint64_t replies_seen;
	kb_time_t replied_at;
	/* Start of the time in which calls have had no reply. */
	kb_time_t no_reply_since;
	int pinging;
	/* RPC connection; not used in the entry of this host. */
	kb_rpc_peer_t peer;
} kb_host_t;

/* Table of the known hosts. Pointers to entries stay valid. */
typedef struct kb_hosts {
	struct event_base *loop;
	kb_host_t **hosts;
	size_t count;
	size_t capacity;
	kb_host_t *self;
} kb_hosts_t;

/* Initializes the table with an entry for this host. */
kb_result_t kb_hosts_init(kb_hosts_t *hosts, struct event_base *loop,
			  const kb_settings_t *settings);
kb_result_t kb_hosts_init_at(kb_hosts_t *hosts, struct event_base *loop,
			     const kb_host_info_t *self);
void kb_hosts_finish(kb_hosts_t *hosts);

/*
 * Adds a host or updates its endpoint and location. Returns the entry, or NULL
 * without memory.
 */
kb_host_t *kb_hosts_put(kb_hosts_t *hosts, const kb_host_info_t *info);

/* Returns the entry of a host, or NULL. */
kb_host_t *kb_hosts_find(const kb_hosts_t *hosts, kb_str_t name);

KB_END_DECLS

#endif

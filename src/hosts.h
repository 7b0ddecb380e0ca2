#ifndef KB_HOSTS_H
#define KB_HOSTS_H

#include "group.h"
#include "rpc_peer.h"
#include "settings.h"

#include <sys/queue.h>
#include <uthash.h>

KB_BEGIN_DECLS

/* Name, location and capacity of a host. */
typedef struct kb_host_info {
	kb_name_t name;
	kb_endpoint_t endpoint;
	kb_name_t data_centre;
	kb_name_t region;
	/* Processor cores that it may use; 0 if unknown. */
	double processor_share;
	/* Bandwidth of its link in Mbit/s; 0 if unknown. */
	double link_mbps;
} kb_host_info_t;

/* A host to which requests may be sent; this host has an entry, too. */
typedef struct kb_host {
	kb_name_t name;
	kb_endpoint_t endpoint;
	kb_name_t data_centre;
	kb_name_t region;
	double processor_share;
	double link_mbps;
	int self;
	int live;
	int leaving;
	/* Time at which its key was deleted from the store; 0 if listed. */
	kb_time_t unlisted_at;
	/*
	 * Calls to it failed: it gets no work until it answers a ping, which is
	 * not sent before `ping_at`. `failures` counts the failures since its
	 * last answer.
	 */
	int failed;
	unsigned failures;
	/* The failure was a silence, not a connection refused or lost. */
	int silent;
	/* Last time at which it was verified by a ping that it answers. */
	kb_time_t verified_at;
	kb_time_t ping_at;
	/* Bytes received from it and connections lost at the last check. */
	uint64_t received_seen;
	uint64_t lost_seen;
	/* Start of the time in which nothing was received despite calls. */
	kb_time_t silent_since;
	/* A call that it may answer late, at this time, or 0. */
	kb_time_t held_until;
	int pinging;
	/* RPC connection; not used in the entry of this host. */
	kb_rpc_peer_t peer;
	struct kb_hosts *hosts;
	/* In the list of active hosts. */
	int active;
	LIST_ENTRY(kb_host) active_entry;
	UT_hash_handle by_name;
} kb_host_t;

/* Table of the known hosts. Pointers to entries stay valid. */
typedef struct kb_hosts {
	struct event_base *loop;
	kb_host_t **hosts;
	size_t count;
	size_t capacity;
	kb_host_t *self;
	/* Index of the hosts by name. */
	kb_host_t *by_name;
	/* Hosts with calls in flight or a state that may change with time. */
	LIST_HEAD(kb_active_hosts, kb_host) active;
	/*
	 * Incremented when a host was added or its location, capacity or state
	 * changed. Rankings of an older generation are out of date.
	 */
	uint64_t generation;
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

/* Records that the state of a host has changed. */
void kb_hosts_changed(kb_hosts_t *hosts);

/*
 * Adds a host to the active ones, or removes it. A host is added by itself when
 * a call to it is started or its connection is lost.
 */
void kb_hosts_set_active(kb_host_t *host, int active);

KB_END_DECLS

#endif

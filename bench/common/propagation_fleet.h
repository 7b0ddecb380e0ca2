#ifndef PROPAGATION_FLEET_H
#define PROPAGATION_FLEET_H

#include "event_queue.h"
#include "rng.h"
#include "config_gossip.h"

enum {
	PROPAGATION_CHANGES_MAX = 64,
	/* IP and UDP headers of a membership message. */
	PROPAGATION_DATAGRAM_BYTES = 28,
	/* TCP/IP headers, the acknowledgement and the header of an ONC RPC
	 * call around a configuration message. */
	PROPAGATION_CALL_BYTES = 124,
};

/* Kinds of events at a host. */
typedef enum propagation_event_kind {
	PROPAGATION_MEMBER_TIMER,
	PROPAGATION_GOSSIP_TIMER,
	PROPAGATION_MEMBER_MESSAGE,
	PROPAGATION_GOSSIP_MESSAGE,
	/* The store's watch delivers a change. */
	PROPAGATION_WATCH,
} propagation_event_kind_t;

typedef struct propagation_event {
	propagation_event_kind_t kind;
	/* Start of the host's process that the event is for. */
	uint32_t generation;
	size_t len;
	char bytes[];
} propagation_event_t;

/* Size of the fleet, and properties of its network. */
typedef struct propagation_params {
	uint32_t hosts;
	uint32_t data_centres;
	uint32_t regions;
	double loss;
	size_t value_bytes;
	uint64_t seed;
} propagation_params_t;

/* Traffic of a host since the counters were cleared. */
typedef struct propagation_traffic {
	uint64_t member_bytes;
	uint64_t gossip_bytes;
	uint64_t messages;
	uint64_t received_bytes;
	/* Bytes sent to other regions. */
	uint64_t region_bytes;
} propagation_traffic_t;

typedef struct propagation_fleet propagation_fleet_t;

/* The membership of a host; its callbacks cast back to this. */
typedef struct propagation_peers {
	kb_members_t members;
	struct propagation_host *host;
} propagation_peers_t;

typedef struct propagation_host {
	kb_config_gossip_t gossip;
	propagation_peers_t peers;
	propagation_fleet_t *fleet;
	uint32_t index;
	uint32_t generation;
	int running;
	int watching;
	uint64_t watch_after;
	uint64_t revision_seen;
	/* Expiry of the current timers; other timer events are stale. */
	kb_time_t member_timer;
	kb_time_t gossip_timer;
	propagation_traffic_t traffic;
} propagation_host_t;

/* A change that was committed in the store. */
typedef struct propagation_change {
	kb_time_t accepted_at;
	kb_time_t in_force_at;
	uint32_t in_force;
} propagation_change_t;

/* Hosts with the real state machines, and a simulated network and store. */
struct propagation_fleet {
	propagation_params_t params;
	kb_event_queue_t queue;
	propagation_host_t *hosts;
	kb_time_t now;
	kb_rng_t rng;
	/* The change with revision N is at index N - 1. */
	propagation_change_t changes[PROPAGATION_CHANGES_MAX];
	uint64_t change_count;
	char *value;
	uint64_t store_calls;
	/* Set while region 1 is partitioned from the other regions. */
	int cut_region;
};

/* Starts all hosts, with full member tables and revision 1. */
void propagation_fleet_init(propagation_fleet_t *fleet,
			    const propagation_params_t *params);

void propagation_fleet_finish(propagation_fleet_t *fleet);

/* Advances the simulation by `ms` milliseconds. */
void propagation_fleet_run(propagation_fleet_t *fleet, int64_t ms);

/* Commits a change of the resource in the store. */
void propagation_fleet_commit_change(propagation_fleet_t *fleet);

/*
 * A host leaves; restart ends it and starts it again with only the platform's
 * host list.
 */
void propagation_fleet_leave(propagation_fleet_t *fleet, uint32_t host);
void propagation_fleet_restart(propagation_fleet_t *fleet, uint32_t host);

/* Stops a host without an exit message. */
void propagation_fleet_kill(propagation_fleet_t *fleet, uint32_t host);

void propagation_fleet_clear_traffic(propagation_fleet_t *fleet);

/* Returns the number of open watches at the store. */
uint32_t propagation_fleet_watch_count(const propagation_fleet_t *fleet);

/* Returns the change of the resource with revision `revision`. */
kb_config_change_t propagation_fleet_change_of(const propagation_fleet_t *fleet,
					       uint64_t revision);

extern const kb_members_ops_t propagation_member_ops;
extern const kb_config_gossip_ops_t propagation_gossip_ops;

/* Sets both timers of a starting host to expire at `at`. */
void propagation_host_set_timers(propagation_host_t *host, kb_time_t at);

/*
 * Schedules the watch's next delivery to `host`. The store is in the data
 * centre of host 0.
 */
void propagation_host_schedule_watch(propagation_host_t *host);

/* Returns the random extra delay of a message. */
kb_time_t propagation_fleet_jitter(propagation_fleet_t *fleet);

/* Returns a random number from 0 to below 1. */
double propagation_fleet_random(propagation_fleet_t *fleet);

/* Returns non-zero if two hosts are in different regions. */
int propagation_fleet_crosses_regions(const propagation_fleet_t *fleet,
				      uint32_t a, uint32_t b);

/* Returns non-zero if two hosts are not partitioned from each other. */
int propagation_fleet_can_reach(const propagation_fleet_t *fleet, uint32_t a,
				uint32_t b);

/* Returns the one-way latency between two hosts. */
kb_time_t propagation_fleet_latency(const propagation_fleet_t *fleet,
				    uint32_t a, uint32_t b);

#endif

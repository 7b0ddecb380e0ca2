#ifndef KB_CONFIG_GOSSIP_H
#define KB_CONFIG_GOSSIP_H

#include "member.h"
#include "config_gossip_wire.h"

KB_BEGIN_DECLS

enum {
	KB_CONFIG_GOSSIP_RELAYS = 2,
	/* Hosts to which a host forwards a change as soon as it has it. */
	KB_CONFIG_GOSSIP_PUSH_FANOUT = 4,
	/* Limit of the changes in a push or a page; the changes of a single
	 * revision may exceed it. */
	KB_CONFIG_GOSSIP_PAGE_BYTES = 16 << 10,
	KB_CONFIG_GOSSIP_DIGEST_PERIOD_MS = 1000,
	/* Digest period while this host has no configuration. */
	KB_CONFIG_GOSSIP_START_PERIOD_MS = 250,
	/* Every n-th digest goes to a host of any data centre, the others to
	 * one of the same data centre. */
	KB_CONFIG_GOSSIP_FAR_DIGEST_INTERVAL = 4,
	/* Delay of a report after a change, to report several at once. */
	KB_CONFIG_GOSSIP_REPORT_DELAY_MS = 50,
	KB_CONFIG_GOSSIP_REPORT_PERIOD_MS = 10000,
	KB_CONFIG_GOSSIP_PULL_TIMEOUT_MS = 1000,
	KB_CONFIG_GOSSIP_PULL_MAX_RETRIES = 3,
	/* Time for which a relay without configuration waits for its peers
	 * before it loads everything from the store. */
	KB_CONFIG_GOSSIP_START_GRACE_MS = 1000,
	/* Minimum time between two repairs after a digest mismatch. */
	KB_CONFIG_GOSSIP_REPAIR_PERIOD_MS = 30000,
	KB_CONFIG_GOSSIP_STATUS_PERIOD_MS = 1000,
	/* Age at which the status of a data centre becomes unknown. */
	KB_CONFIG_GOSSIP_STATUS_MAX_AGE_MS = 5000,
	KB_CONFIG_GOSSIP_DATA_CENTRES_MAX = 64,
	KB_CONFIG_GOSSIP_MISSING_MAX = 16,
};

typedef struct kb_config_gossip kb_config_gossip_t;

/* Callbacks. None may call back into the object. */
typedef struct kb_config_gossip_ops {
	/* Sends `message` to host `to`. Messages to one host arrive in order,
	 * but may be lost. */
	void (*send)(kb_config_gossip_t *gossip, const kb_member_t *to,
		     const kb_config_gossip_message_t *message);
	/*
	 * Watches the store for changes after revision `after`. If it is 0, or
	 * the store has compacted changes after it, loads all resources first.
	 * Replaces an earlier watch.
	 */
	void (*watch)(kb_config_gossip_t *gossip, uint64_t after);
	void (*unwatch)(kb_config_gossip_t *gossip);
	/* `entry` was changed or deleted and has to be applied. */
	void (*in_force)(kb_config_gossip_t *gossip,
			 const kb_config_entry_t *entry);
} kb_config_gossip_ops_t;

/* A transfer of the changes from another host, in pages. */
typedef struct kb_config_gossip_pull {
	bool active;
	/* The pages contain all resources, not only changes. */
	bool full;
	uint32_t peer;
	/* Revision after which the transfer began. */
	uint64_t base;
	/* Revision of the last change received. */
	uint64_t cursor;
	/* Highest complete revision that the peer has given in a page. */
	uint64_t revision;
	int retries;
	kb_time_t deadline;
} kb_config_gossip_pull_t;

/* The revision last reported by the host with the same index. */
typedef struct kb_config_gossip_report {
	uint64_t instance;
	uint64_t revision;
} kb_config_gossip_report_t;

/* The status of a data centre, as received from one of its relays. */
typedef struct kb_config_gossip_data_centre {
	kb_name_t data_centre;
	/* Time of the last status; 0 if there was none. */
	kb_time_t status_at;
	/* Hosts of the data centre that are live. */
	uint32_t live;
	uint32_t hosts;
	uint32_t in_force;
	uint64_t revision;
	size_t lagging_count;
	kb_config_gossip_lag_t lagging[KB_CONFIG_GOSSIP_LAGGING_MAX];
	uint32_t relays[KB_CONFIG_GOSSIP_RELAYS];
} kb_config_gossip_data_centre_t;

/* The number of hosts on which a revision is in force. */
typedef struct kb_config_gossip_status {
	uint32_t hosts;
	uint32_t in_force;
	/* Hosts in data centres without a recent status; they are counted in
	 * `hosts`, but not in `in_force` or `missing`. */
	uint32_t unknown;
	size_t missing_count;
	/* Some of the hosts on which it is not in force. */
	kb_name_t missing[KB_CONFIG_GOSSIP_MISSING_MAX];
} kb_config_gossip_status_t;

/* Counters since the start. */
typedef struct kb_config_gossip_counters {
	uint64_t pushes_sent;
	uint64_t pages_sent;
	uint64_t stale_ignored;
	uint64_t gaps;
	uint64_t repairs;
	uint64_t transfers;
} kb_config_gossip_counters_t;

/*
 * Replicates the configuration to all hosts by gossip. The relays of each data
 * centre watch the store. A host forwards new changes to some others (push),
 * and periodically sends the digest of its configuration to another host; if
 * the two differ, the one that is behind receives what it lacks (pull).
 */
struct kb_config_gossip {
	const kb_config_gossip_ops_t *ops;
	kb_config_set_t set;
	const kb_members_t *members;
	kb_rng_t rng;
	uint32_t relays[KB_CONFIG_GOSSIP_RELAYS];
	bool is_relay;
	bool watching;
	/* A load from the store is in progress. */
	bool loading;
	bool status_watched;
	kb_time_t started_at;
	kb_time_t next_digest;
	uint64_t digest_count;
	kb_time_t next_report;
	kb_time_t next_repair;
	kb_time_t next_status;
	uint64_t status_count;
	kb_config_gossip_pull_t pull;
	/* By index of the host; only used on a relay. */
	kb_config_gossip_report_t *reports;
	uint32_t report_capacity;
	/* Allocated only while the status is collected. */
	kb_config_gossip_data_centre_t *data_centres;
	size_t data_centre_count;
	kb_config_gossip_counters_t counters;
};

/* Initializes `gossip`; `members` must outlive it. */
void kb_config_gossip_init(kb_config_gossip_t *gossip,
			   const kb_config_gossip_ops_t *ops,
			   const kb_members_t *members, uint64_t seed,
			   kb_time_t now);

void kb_config_gossip_finish(kb_config_gossip_t *gossip);

/* Performs all actions that are due. Returns the time of the next call. */
kb_time_t kb_config_gossip_on_timer(kb_config_gossip_t *gossip, kb_time_t now);

/* Returns when kb_config_gossip_on_timer() has to be called next. Any other
 * event may have made it earlier. */
kb_time_t kb_config_gossip_next_wake(const kb_config_gossip_t *gossip);

/* Handles a change in the membership record of `member`. */
void kb_config_gossip_on_member(kb_config_gossip_t *gossip,
				const kb_member_t *member, kb_time_t now);

/* Handles a message from another host. */
void kb_config_gossip_on_message(kb_config_gossip_t *gossip,
				 const kb_config_gossip_message_t *message,
				 kb_time_t now);

/*
 * Handles one answer of the watch: all changes since the previous answer, up
 * to store revision `revision`. If `count` is 0, it only gives the progress of
 * the watch. Applies all valid changes and returns the error of the first
 * invalid one. After KB_ERR_NO_MEMORY the watch has to be restarted after
 * kb_config_gossip_revision().
 */
kb_result_t kb_config_gossip_on_store_changes(kb_config_gossip_t *gossip,
					      const kb_config_change_t *changes,
					      size_t count, uint64_t revision,
					      kb_time_t now);

/*
 * Begins to load all resources as of store revision `revision`. Returns false
 * if this host has a newer configuration: the load has to be abandoned and the
 * watch started after kb_config_gossip_revision().
 */
bool kb_config_gossip_on_load_begin(kb_config_gossip_t *gossip,
				    uint64_t revision);

/* Applies a part of the load. */
kb_result_t kb_config_gossip_on_load(kb_config_gossip_t *gossip,
				     const kb_config_change_t *changes,
				     size_t count);

/* Ends the load of `revision`; the watch continues after that revision. */
kb_result_t kb_config_gossip_on_load_end(kb_config_gossip_t *gossip,
					 uint64_t revision, kb_time_t now);

/* Starts or stops collecting the status of all data centres. */
kb_result_t kb_config_gossip_watch_status(kb_config_gossip_t *gossip,
					  bool watched, kb_time_t now);

/* Sets `status` to where `revision` is in force, as far as is known. */
void kb_config_gossip_get_status(const kb_config_gossip_t *gossip,
				 uint64_t revision, kb_time_t now,
				 kb_config_gossip_status_t *status);

/* Returns the revision up to which this host has applied all changes. */
static inline uint64_t
kb_config_gossip_revision(const kb_config_gossip_t *gossip)
{
	return gossip->set.complete;
}

KB_END_DECLS

#endif

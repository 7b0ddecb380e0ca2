#ifndef KB_SPREAD_H
#define KB_SPREAD_H

#include "member.h"
#include "spread_wire.h"

KB_BEGIN_DECLS

enum {
	KB_SPREAD_RELAYS = 2,
	/* Hosts to which a change is passed on at once. */
	KB_SPREAD_PUSH_FANOUT = 4,
	/* Bytes of the changes in a push or a page, unless a single one is
	 * larger. */
	KB_SPREAD_PAGE_BYTES = 16 << 10,
	KB_SPREAD_DIGEST_PERIOD_MS = 1000,
	/* The same while this host has no configuration. */
	KB_SPREAD_START_PERIOD_MS = 250,
	/* Every such digest goes to any host instead of one nearby. */
	KB_SPREAD_FAR_DIGEST_INTERVAL = 4,
	/* Time from the last change to the report of it. */
	KB_SPREAD_REPORT_DELAY_MS = 50,
	KB_SPREAD_REPORT_PERIOD_MS = 10000,
	KB_SPREAD_PULL_TIMEOUT_MS = 1000,
	KB_SPREAD_PULL_TRIES = 3,
	/* Time that a relay without configuration gives its peers before it
	 * reads all of it from the store. */
	KB_SPREAD_START_GRACE_MS = 1000,
	/* Shortest time between two repairs of a digest that differs. */
	KB_SPREAD_REPAIR_PERIOD_MS = 30000,
	KB_SPREAD_STATUS_PERIOD_MS = 1000,
	/* Age at which the status of a data centre no longer counts. */
	KB_SPREAD_STATUS_MAX_AGE_MS = 5000,
	KB_SPREAD_PLACES_MAX = 64,
	KB_SPREAD_MISSING_MAX = 16,
};

typedef struct kb_spread kb_spread_t;

/* Orders of the spreading. None may call back into it. */
typedef struct kb_spread_ops {
	/* Sends `message` to host `to`, in order; it may be lost. */
	void (*send)(kb_spread_t *spread, const kb_member_t *to,
		     const kb_spread_message_t *message);
	/*
	 * Watch the store for changes after revision `after`. If it is 0, or
	 * the store has dropped that part of its history, load all resources
	 * first. Replaces an earlier watch.
	 */
	void (*watch)(kb_spread_t *spread, uint64_t after);
	void (*unwatch)(kb_spread_t *spread);
	/* `entry` was changed or deleted: apply it. */
	void (*in_force)(kb_spread_t *spread, const kb_config_entry_t *entry);
} kb_spread_ops_t;

/* A transfer of several pages from another host. */
typedef struct kb_spread_pull {
	bool active;
	bool whole;
	uint32_t peer;
	/* Revision after which the transfer began. */
	uint64_t base;
	/* Revision up to which pages have come. */
	uint64_t cursor;
	/* Highest revision up to which the peer said to be complete. */
	uint64_t revision;
	int tries;
	kb_time_t deadline;
} kb_spread_pull_t;

/* A revision reported by the host with the same index. */
typedef struct kb_spread_report {
	uint64_t instance;
	uint64_t revision;
} kb_spread_report_t;

/* Where a data centre stands, as one of its relays told. */
typedef struct kb_spread_place {
	kb_name_t data_centre;
	/* Time of the last status; 0 if there was none. */
	kb_time_t at;
	/* Hosts of it that are thought to run. */
	uint32_t live;
	uint32_t hosts;
	uint32_t in_force;
	uint64_t revision;
	size_t lagging_count;
	kb_spread_lag_t lagging[KB_SPREAD_LAGGING_MAX];
	uint32_t relays[KB_SPREAD_RELAYS];
} kb_spread_place_t;

/* Where a revision is in force. */
typedef struct kb_spread_status {
	uint32_t hosts;
	uint32_t in_force;
	/* Hosts in data centres that have not answered; they count as not in
	 * force and are not named. */
	uint32_t unknown;
	size_t missing_count;
	/* The first hosts that lack it. */
	kb_name_t missing[KB_SPREAD_MISSING_MAX];
} kb_spread_status_t;

/* Counters since the start. */
typedef struct kb_spread_counters {
	uint64_t pushes_sent;
	uint64_t pages_sent;
	uint64_t stale_ignored;
	uint64_t gaps;
	uint64_t repairs;
	uint64_t transfers;
} kb_spread_counters_t;

/*
 * Spreads the configuration over the hosts. The relays of a data centre watch
 * the store; the others learn by pushes and by exchanging digests.
 */
struct kb_spread {
	const kb_spread_ops_t *ops;
	kb_config_set_t set;
	const kb_members_t *members;
	kb_rng_t rng;
	uint32_t relays[KB_SPREAD_RELAYS];
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
	kb_spread_pull_t pull;
	/* By index of the host; only kept on a relay. */
	kb_spread_report_t *reports;
	uint32_t report_capacity;
	/* KB_SPREAD_PLACES_MAX places while the status is watched. */
	kb_spread_place_t *places;
	size_t place_count;
	kb_spread_counters_t counters;
};

/* Initializes `spread` among `members`, which must outlive it. */
void kb_spread_init(kb_spread_t *spread, const kb_spread_ops_t *ops,
		    const kb_members_t *members, uint64_t seed, kb_time_t now);

void kb_spread_finish(kb_spread_t *spread);

/* Sends what is due. Returns the time of the next call. */
kb_time_t kb_spread_on_timer(kb_spread_t *spread, kb_time_t now);

/* Returns the time of the next call of the timer, which another event may
 * have brought forward. */
kb_time_t kb_spread_next_wake(const kb_spread_t *spread);

/* What is known of `member` has changed. */
void kb_spread_on_member(kb_spread_t *spread, const kb_member_t *member,
			 kb_time_t now);

/* Takes a message of another host. */
void kb_spread_on_message(kb_spread_t *spread,
			  const kb_spread_message_t *message, kb_time_t now);

/*
 * Takes one answer of the watch: all changes up to store revision `revision`
 * since the answer before. Without changes it only tells how far the watch
 * is. Returns the first fault of a change; the others are taken. After
 * KB_ERR_NO_MEMORY the watch has to begin again after kb_spread_revision().
 */
kb_result_t kb_spread_on_store_changes(kb_spread_t *spread,
				       const kb_config_change_t *changes,
				       size_t count, uint64_t revision,
				       kb_time_t now);

/*
 * Begins to load all resources as of store revision `revision`. Returns false
 * if that is older than what this host has: the load is to be abandoned, and
 * the watch begins after kb_spread_revision().
 */
bool kb_spread_on_load_begin(kb_spread_t *spread, uint64_t revision);

/* Takes a part of the load. */
kb_result_t kb_spread_on_load(kb_spread_t *spread,
			      const kb_config_change_t *changes, size_t count);

/* Ends the load begun for `revision`; the watch goes on after it. */
kb_result_t kb_spread_on_load_end(kb_spread_t *spread, uint64_t revision,
				  kb_time_t now);

/* Begins or ends to collect the status of all data centres. */
kb_result_t kb_spread_watch_status(kb_spread_t *spread, bool watched,
				   kb_time_t now);

/* Fills `status` with where `revision` is in force, as far as is known. */
void kb_spread_get_status(const kb_spread_t *spread, uint64_t revision,
			  kb_time_t now, kb_spread_status_t *status);

/* Returns the revision up to which this host has all changes in force. */
static inline uint64_t kb_spread_revision(const kb_spread_t *spread)
{
	return spread->set.complete;
}

KB_END_DECLS

#endif

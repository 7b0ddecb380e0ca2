#ifndef KB_MEMBER_H
#define KB_MEMBER_H

#include "rng.h"
#include "gossip_queue.h"

KB_BEGIN_DECLS

enum {
	KB_MEMBER_PROBE_PERIOD_MS = 500,
	/* Time to wait for an ACK before other hosts are asked to probe. */
	KB_MEMBER_ACK_TIMEOUT_MS = 200,
	KB_MEMBER_INDIRECT_PROBES = 3,
	KB_MEMBER_GOSSIP_PERIOD_MS = 250,
	KB_MEMBER_GOSSIP_FANOUT = 3,
	/* Bytes of records in a probe, ACK or gossip message. */
	KB_MEMBER_GOSSIP_MAX_BYTES = 512,
	/* Rate at which rumours and digests stop being sent; probes and ACKs
	 * always are. It bounds what an outage or a restart costs. */
	KB_MEMBER_BUDGET_BYTES_PER_S = 8000,
	KB_MEMBER_SYNC_PERIOD_MS = 5000,
	/* Time to the next exchange if the last one brought news, and if it
	 * was incomplete. */
	KB_MEMBER_SYNC_CHANGED_PERIOD_MS = 1000,
	KB_MEMBER_SYNC_PARTIAL_PERIOD_MS = 250,
	KB_MEMBER_SYNC_REPLY_MESSAGES_MAX = 2,
	/* A suspect has this time, times the binary logarithm of the number
	 * of hosts, to refute the claim. */
	KB_MEMBER_SUSPICION_STEP_MS = 500,
	/* At most one in so many probes goes to a host that is held dead. */
	KB_MEMBER_DEAD_PROBE_SHARE = 4,
	KB_MEMBER_DEAD_RETENTION_S = 6 * 60 * 60,
	/* A timer that is this late means that this process was paused. */
	KB_MEMBER_PAUSE_LIMIT_MS = 300,
	KB_MEMBER_URGENT_MAX = 8,
	/* Urgent probes that hints may ask for. */
	KB_MEMBER_URGENT_HINTS_MAX = 2,
	KB_MEMBER_RELAYED_PROBES_MAX = 16,
};

typedef struct kb_members kb_members_t;

/* Orders of the membership protocol. None may call back into it. */
typedef struct kb_members_ops {
	/* Sends `message` to host `to`; it may be lost. */
	void (*send)(kb_members_t *members, const kb_member_t *to,
		     const kb_member_message_t *message);
	/* What is known of `member` has changed, or it is new. */
	void (*changed)(kb_members_t *members, const kb_member_t *member);
	/* A later run elsewhere bears this host's name; this one has to stop
	 * serving. */
	void (*superseded)(kb_members_t *members);
} kb_members_ops_t;

/* A probe in progress for another host. */
typedef struct kb_member_relayed_probe {
	uint64_t sequence;
	uint64_t requester_sequence;
	uint32_t requester;
} kb_member_relayed_probe_t;

/* The probe in progress. */
typedef struct kb_member_probe {
	/* Host probed, or KB_MEMBER_NONE. */
	uint32_t index;
	uint64_t sequence;
	bool indirect;
	kb_time_t started_at;
} kb_member_probe_t;

/*
 * Knows which hosts run, by the SWIM protocol: random and indirect probes,
 * suspicion, incarnations and rumours of bounded size. Embed it as the first
 * member where `ops` needs context.
 */
struct kb_members {
	const kb_members_ops_t *ops;
	kb_member_table_t table;
	kb_gossip_queue_t rumours;
	/* Index of this host in `table`. */
	uint32_t self;
	kb_rng_t rng;
	uint64_t sequence;
	kb_member_probe_t probe;
	uint32_t urgent[KB_MEMBER_URGENT_MAX];
	size_t urgent_count;
	kb_member_relayed_probe_t relayed[KB_MEMBER_RELAYED_PROBES_MAX];
	size_t relayed_next;
	/* Bytes that may be sent now, and the time of the last refill. */
	int64_t budget_bytes;
	kb_time_t budget_at;
	kb_time_t next_probe;
	kb_time_t next_gossip;
	kb_time_t next_sync;
	/* Host to exchange digests with next, or KB_MEMBER_NONE. */
	uint32_t sync_with;
	bool synced;
	/* Set while this host takes what all others know already. */
	bool learning;
	bool superseded;
	/* Earliest deadline of a suspect or dead host. */
	kb_time_t next_deadline;
	/* Time that the last call of the timer asked for. */
	kb_time_t expected_wake;
	/* Holds the message being built. */
	kb_member_message_t message;
};

/*
 * Initializes `members` with this host as `self`, whose instance is to be the
 * wall-clock time of the process's start. `seed` starts the random choices.
 * Returns KB_ERR_INVALID if `self` lacks a name, address or instance, or
 * KB_ERR_NO_MEMORY, leaving nothing to finish.
 */
kb_result_t kb_members_init(kb_members_t *members, const kb_members_ops_t *ops,
			    const kb_member_record_t *self, uint64_t seed,
			    kb_time_t now);

void kb_members_finish(kb_members_t *members);

/*
 * Takes a host from the platform's list or the settings. It is a candidate
 * that counts as live until probes say otherwise; a host that is known already
 * stays as it is, but is probed soon if it is held dead.
 */
kb_result_t kb_members_on_hint(kb_members_t *members,
			       const kb_member_record_t *host, kb_time_t now);

/* Takes a message of another host. One not meant for this host is ignored. */
void kb_members_on_message(kb_members_t *members,
			   const kb_member_message_t *message, kb_time_t now);

/* A call to host `name` failed: it is probed at once. */
void kb_members_on_call_failed(kb_members_t *members, kb_str_t name,
			       kb_time_t now);

/* Sends what is due. Returns the time of the next call. */
kb_time_t kb_members_on_timer(kb_members_t *members, kb_time_t now);

/* Returns the time of the next call of the timer, which another event may
 * have brought forward. */
kb_time_t kb_members_next_wake(const kb_members_t *members);

/* Tells all hosts that this host is leaving, or that it stays after all. */
void kb_members_set_leaving(kb_members_t *members, bool leaving, kb_time_t now);

/* Tells other hosts that this process is about to exit. */
void kb_members_announce_exit(kb_members_t *members);

/* Returns host `name`, or NULL. It is valid until the next call. */
const kb_member_t *kb_members_find(const kb_members_t *members, kb_str_t name);

/* Returns this host. */
static inline const kb_member_t *kb_members_self(const kb_members_t *members)
{
	return &members->table.members[members->self];
}

/* Returns the hosts that are thought to run, this one included. */
static inline uint32_t kb_members_live_count(const kb_members_t *members)
{
	return members->table.count -
	       members->table.state_count[KB_MEMBER_DEAD];
}

/*
 * Whether this host has had all claims of another host since it started.
 * Without one that answers it stays false.
 */
static inline bool kb_members_is_synced(const kb_members_t *members)
{
	return members->synced;
}

KB_END_DECLS

#endif

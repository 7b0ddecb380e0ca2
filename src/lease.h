#ifndef KB_LEASE_H
#define KB_LEASE_H

#include "lease_ranking.h"
#include "order_knowledge.h"

KB_BEGIN_DECLS

enum {
	/* Validity of a renewal, counted from when it was sent. */
	KB_LEASE_DURATION_MS = 900,
	/* Interval of renewals; four are sent within the validity of one. */
	KB_LEASE_RENEW_INTERVAL_MS = 200,
	/* Interval of renewals while too few voters grant them. */
	KB_LEASE_RENEW_RETRY_INTERVAL_MS = 80,
	/* Three missed renewals: the holder is assumed to have failed. */
	KB_LEASE_HOLDER_TIMEOUT_MS = 600,
	/* The holder stops if the store has not confirmed the key for this. */
	KB_LEASE_MAX_UNCONFIRMED_S = 20,
	/*
	 * While it waits or serves, the holder reads the key again this long
	 * after it sent the read that last confirmed the key. It reads at once
	 * if the key is unconfirmed, and repeats a read that failed.
	 */
	KB_LEASE_STORE_CHECK_INTERVAL_S = 7,
	/*
	 * Delay per rank before a host takes over, so that hosts do not write
	 * the key at the same time.
	 */
	KB_LEASE_RANK_DELAY_MS = 400,
	/* Before the first takeover of a group: lets hosts discover peers. */
	KB_LEASE_INITIAL_DELAY_MS = 600,
	/*
	 * After a restore of the store: lets the holder write its record and
	 * hosts register again.
	 */
	KB_LEASE_RESTORED_DELAY_MS = 2000,
	/* Interval of renewals to all hosts while the former one is unknown. */
	KB_LEASE_FENCE_INTERVAL_MS = 500,
	/* Additional delay before a host that is not a voter takes over. */
	KB_LEASE_NON_VOTER_DELAY_S = 5,
	/*
	 * A voter that has not reached the store for this is replaced; longer
	 * than the interval of its keep-alives.
	 */
	KB_LEASE_VOTER_STORE_TIMEOUT_MS = 7500,
	/* Such hosts that are remembered, and for how long. */
	KB_LEASE_AVOIDED_MAX = 16,
	KB_LEASE_AVOIDED_S = 8,
	/* A voter that has granted no renewal for this is replaced. */
	KB_LEASE_VOTER_TIMEOUT_MS = 700,
	/*
	 * An order that the store has not confirmed for this is only told to
	 * the voters.
	 */
	KB_LEASE_ORDER_STORE_TIMEOUT_MS = 300,
	/* The holder stops serving this long before the lease expires. */
	KB_LEASE_SAFETY_MARGIN_MS = 50,
};

/* Hosts whose last grant has expired; they may be former voters, too. */
typedef struct kb_lease_denials {
	size_t count;
	kb_name_t hosts[KB_LEASE_VOTERS_MAX * 2];
} kb_lease_denials_t;

typedef enum kb_lease_role {
	/* Another host holds the lease, or no host does. */
	KB_LEASE_NONE,
	/* The write that takes over the lease has not been answered yet. */
	KB_LEASE_ACQUIRING,
	/* The key names this host; the former holder may still serve. */
	KB_LEASE_WAITING,
	/* This host serves while its renewals are valid. */
	KB_LEASE_SERVING,
	/* It has stopped serving; a write names the successor. */
	KB_LEASE_RELEASING,
} kb_lease_role_t;

typedef struct kb_lease kb_lease_t;

/* An operation that is not answered is retried. */
typedef struct kb_lease_ops {
	/* Reads the key; kb_lease_on_read() follows with `sent_at`. */
	void (*read)(void *ctx, kb_lease_t *lease, kb_time_t sent_at);
	/*
	 * Writes the key if its revision is `expected` (0: the key does not
	 * exist); kb_lease_on_written() follows with `number`.
	 */
	void (*write)(void *ctx, kb_lease_t *lease,
		      const kb_lease_record_t *record, int64_t expected,
		      uint64_t number);
	/* Requests a renewal from a voter; kb_lease_on_grant() follows. */
	void (*request_renewal)(void *ctx, kb_lease_t *lease,
				const kb_name_t *voter, kb_time_t sent_at);
	/*
	 * Asks the voters when they last saw the holder serving;
	 * kb_lease_on_holder_seen() follows for each answer.
	 */
	void (*query_holder)(void *ctx, kb_lease_t *lease);
	/*
	 * Requests a renewal from every known host but this one;
	 * kb_lease_on_fenced() follows if all of them grant it.
	 */
	void (*fence_hosts)(void *ctx, kb_lease_t *lease, kb_time_t sent_at);
	/* Notifies a host that the key names it now, so that it reads it. */
	void (*notify_holder)(void *ctx, kb_lease_t *lease,
			      const kb_name_t *host);
	/* Called when the role or the record has changed. */
	void (*changed)(void *ctx, kb_lease_t *lease);
	/* Fills in the ranking; called only when a decision needs it. */
	void (*rank)(void *ctx, kb_lease_t *lease, kb_lease_ranking_t *ranking);
} kb_lease_ops_t;

/* State of the renewals that one voter grants. */
typedef struct kb_lease_grant {
	kb_name_t voter;
	/* Send time of the newest renewal that it granted. */
	kb_time_t sent_at;
	int granted;
	/* Latest time at which it may have granted another host's renewal. */
	kb_time_t other_granted_at;
	/* Time of the first request to it. */
	kb_time_t first_sent_at;
	/* It has not reached the store lately; other voters are preferred. */
	int store_unreachable;
} kb_lease_grant_t;

/* A host that is not chosen as a voter for some time. */
typedef struct kb_lease_avoided {
	kb_name_t host;
	kb_time_t until;
} kb_lease_avoided_t;

/*
 * Lease on a group. Its holder is the only host that sends statements to the
 * group's primary and that may replace the primary. A key in the store names
 * the holder and a small set of voters.
 *
 * Renewal: the holder may serve for KB_LEASE_DURATION_MS after it sent a
 * renewal that a majority of the voters granted, and for at most
 * KB_LEASE_MAX_UNCONFIRMED_S after it sent the last read that found the key
 * unchanged. A voter never grants a renewal of an earlier revision than one
 * that it granted before.
 *
 * Takeover: a host names itself by a write conditioned on the key's revision.
 * It then waits until a majority of the former voters grants its renewals and
 * has granted none to other hosts for KB_LEASE_DURATION_MS, or until
 * KB_LEASE_MAX_UNCONFIRMED_S after the write. No former holder can serve from
 * then on. The host writes this to the key (`settled`) and serves once the
 * write is confirmed.
 *
 * Restore: when the store comes back from an older copy, the key may name a
 * former holder or be missing. The holder serves on by the grants of its voters
 * and writes its record again, in the new era, while its lease is valid. All
 * others take the record of an earlier era for void: who takes over waits
 * until all known hosts have granted its renewals and none has granted another
 * host's for KB_LEASE_DURATION_MS, or for KB_LEASE_MAX_UNCONFIRMED_S. A voter
 * that knows of the new era grants renewals of an earlier one only to the
 * holder that has its last grant.
 *
 * Orders: a holder that is about to request a promotion first announces it, in
 * the record or, while the store does not confirm that, with its renewals to
 * the voters. So each later holder knows of it: it has read the record, or one
 * of the voters that grant its renewals tells it.
 *
 * All times come from a clock that also runs while the machine is suspended.
 */
struct kb_lease {
	const kb_lease_ops_t *ops;
	void *ctx;
	kb_name_t group;
	kb_name_t self;
	/*
	 * First start of the whole deployment: there is no former holder while
	 * the key does not exist. Cleared when the store is restored.
	 */
	int first_start;
	kb_time_t started_at;
	kb_lease_role_t role;
	/*
	 * Last known state of the key. If `revision` is 0 the key does not
	 * exist and `record` is its last known value.
	 */
	int known;
	int64_t revision;
	/* Store revision at which the key had this state. */
	int64_t as_of;
	kb_lease_record_t record;
	/*
	 * The key's record is void, as it names an earlier era than its own,
	 * or it is missing since a restore of the store; `record` and
	 * `revision` are from before.
	 */
	int restored;
	/* Time at which this host learned of the store's present era. */
	kb_time_t era_known_at;
	/* Revision of the key at `as_of`, or 0; writes are conditioned on it.
	 */
	int64_t key_revision;
	/* The last order to promote a target that this host knows of. */
	kb_promotion_order_t order;
	/* Those that the record names or, of the holder, is to name. */
	kb_target_names_t copies;
	kb_departures_t departures;
	/* Targets that the record names as standbys or is to name. */
	kb_target_names_t standbys;
	/* Whether this host knows of each order that may take effect. */
	kb_order_knowledge_t knowledge;
	/* Time at which this host, the holder, began to announce the order. */
	kb_time_t ordered_at;
	/* Revision of the key at the takeover; used as fencing token. */
	int64_t token;
	/* In role KB_LEASE_WAITING: time from which it may settle the lease. */
	kb_time_t wait_until;
	/* Last time at which all known hosts were sent a renewal. */
	kb_time_t fence_sent_at;
	/* The former holder is known to have stopped, or there is none. */
	int former_stopped;
	/* Send time of the last read that found the key unchanged. */
	kb_time_t confirmed_at;
	int confirmed;
	kb_time_t read_sent_at;
	int reading;
	kb_time_t write_sent_at;
	uint64_t write_number;
	/*
	 * Hosts that had lost the store as voters, a ring. They are remembered
	 * after they were replaced, so that they are not chosen again at once.
	 */
	kb_lease_avoided_t avoided[KB_LEASE_AVOIDED_MAX];
	size_t avoided_count;
	/* Last time at which the voters were compared with the ranking. */
	kb_time_t compared_at;
	/* New voters are sent renewals before a write names them. */
	int preparing;
	/* The write that changes the voters has not been answered yet. */
	int rewriting;
	/* The record that is being written or prepared. */
	kb_lease_record_t pending;
	/* Last time at which renewals were sent. */
	kb_time_t renewals_sent_at;
	size_t grant_count;
	kb_lease_grant_t grants[KB_LEASE_VOTERS_MAX * 3];
	/* This process has read the key from the store itself. */
	int verified;
	/* As a voter: revision and time of the last grant. */
	int64_t granted_revision;
	kb_time_t granted_at;
	/* Host of the last grant, and time of the last grant to another. */
	kb_name_t granted_to;
	kb_time_t other_granted_at;
	/* Last sign that the holder serves; start of the takeover delay. */
	kb_time_t holder_seen_at;
	kb_time_t query_sent_at;
	int querying_holder;
	/* The voters were contacted since the last sign of the holder. */
	int voters_checked;
	/* A host that is no voter determines its rank again at this time. */
	kb_time_t rank_at;
};

/* `first_start`: as the field; `now` is the start of this process. */
void kb_lease_init(kb_lease_t *lease, const kb_lease_ops_t *ops, void *ctx,
		   const kb_name_t *group, const kb_name_t *self,
		   int first_start, kb_time_t now);

/*
 * Whether this host may send statements to the primary at `now` and confirm
 * their success to callers.
 */
int kb_lease_may_serve(const kb_lease_t *lease, kb_time_t now);

/*
 * Whether other hosts should not take over the lease: this one serves, or will
 * serve once the former holder has stopped.
 */
int kb_lease_is_live(const kb_lease_t *lease, kb_time_t now);

/* Time at which the lease expires without a further renewal, or 0. */
kb_time_t kb_lease_valid_until(const kb_lease_t *lease);

/*
 * Takes over no earlier than if the holder had been seen at `now`: the hosts
 * that may take over are not all known yet.
 */
void kb_lease_defer_takeover(kb_lease_t *lease, kb_time_t now);

/* Runs the actions that are due at `now`. */
void kb_lease_tick(kb_lease_t *lease, kb_time_t now);

/*
 * Takes the state of the key from a read or from a peer. `revision` is that of
 * the key, or of the store if the key does not exist; then `record` is NULL.
 * A state older than the known one is ignored.
 */
void kb_lease_on_key(kb_lease_t *lease, const kb_lease_record_t *record,
		     int64_t revision, kb_time_t now);

/* Takes the answer to the read that was sent at `sent_at`. */
void kb_lease_on_read(kb_lease_t *lease, kb_time_t sent_at, kb_result_t result,
		      const kb_lease_record_t *record, int64_t revision,
		      kb_time_t now);

/*
 * Takes the answer to write `number`. After a `result` other than KB_OK and
 * KB_ERR_CONFLICT the write may still take effect.
 */
void kb_lease_on_written(kb_lease_t *lease, uint64_t number, kb_result_t result,
			 int64_t revision, kb_time_t now);

/*
 * Takes a voter's answer to the renewal that was sent at `sent_at`.
 * `exclusive_time` is the time since it last granted a renewal of another host.
 */
void kb_lease_on_grant(kb_lease_t *lease, const kb_name_t *voter,
		       kb_time_t sent_at, int granted, kb_time_t exclusive_time,
		       kb_time_t now);

/* Takes notice that the store was restored, whatever the key shows. */
void kb_lease_on_restore(kb_lease_t *lease);

/*
 * All known hosts have granted a renewal of `revision`. `other_granted_at` is
 * the latest time at which one of them may have granted another host's.
 */
void kb_lease_on_fenced(kb_lease_t *lease, int64_t revision,
			kb_time_t other_granted_at, kb_time_t now);

/* Takes the time since a voter last reached the store. */
void kb_lease_on_voter_store_age(kb_lease_t *lease, const kb_name_t *voter,
				 kb_time_t age, kb_time_t now);

/* Reads the key, which names this host according to another one. */
void kb_lease_refresh(kb_lease_t *lease, kb_time_t now);

/*
 * Whether a read that was sent at `since` or later has found the key naming
 * this host; begins one if not.
 */
int kb_lease_confirm(kb_lease_t *lease, kb_time_t since, kb_time_t now);

/*
 * Takes another host's answer about the holder: it last saw the holder serving
 * at `seen_at`, or never if `seen` is 0.
 */
void kb_lease_on_holder_seen(kb_lease_t *lease, int seen, kb_time_t seen_at);

/*
 * Votes on a renewal that `holder` requests for its lease of `revision`;
 * `serving` is set if the holder serves or is about to. Returns whether it is
 * granted.
 */
int kb_lease_grant(kb_lease_t *lease, const kb_name_t *holder, int64_t revision,
		   int serving, kb_time_t now);

/*
 * Time since this voter last granted a renewal of any host but the one that
 * holds its last grant. Counted from the start of this process at the
 * earliest, since an earlier process may have granted until then.
 */
kb_time_t kb_lease_exclusive_time(const kb_lease_t *lease, kb_time_t now);

/*
 * Sets `*since` to the time of the last grant of this host, a voter of
 * `revision`, as evidence that no holder serves. Returns 0 if it has taken
 * over the lease itself, has granted a later revision, or cannot tell.
 */
int kb_lease_last_grant(const kb_lease_t *lease, int64_t revision,
			kb_time_t *since);

/*
 * Fills in the hosts whose denials can show that no holder serves: the voters
 * and, while the record is not settled, the former voters, with whose grants
 * the former holder may still serve.
 */
void kb_lease_possible_denials(const kb_lease_t *lease,
			       kb_lease_denials_t *denials);

/* Whether the denials of these hosts show that no holder serves. */
int kb_lease_is_denied(const kb_lease_t *lease,
		       const kb_lease_denials_t *denials);

/*
 * Stops serving and hands the lease to `successor`, or if that is NULL to the
 * first other host of the ranking.
 */
void kb_lease_release(kb_lease_t *lease, const kb_name_t *successor,
		      kb_time_t now);

KB_END_DECLS

#endif

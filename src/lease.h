#ifndef KB_LEASE_H
#define KB_LEASE_H

#include "str.h"

KB_BEGIN_DECLS

enum {
	/* Hosts that grant renewals; a majority of them must. */
	KB_LEASE_VOTERS_MAX = 5,
	KB_LEASE_HOSTS_MAX = 128,
	/* A renewal lets the holder serve for this time from its sending. */
	KB_LEASE_DURATION_MS = 900,
	/* Renewals are sent this often; four fit into their validity. */
	KB_LEASE_RENEW_INTERVAL_MS = 200,
	/* They are sent this often while too few are granted. */
	KB_LEASE_RENEW_RETRY_INTERVAL_MS = 80,
	/* Silence after which a holder is held lost: three renewals. */
	KB_LEASE_HOLDER_TIMEOUT_MS = 600,
	/* Longest time of serving without a word from the store. */
	KB_LEASE_MAX_UNCONFIRMED_S = 20,
	/* The store is asked this often while the candidates answer. */
	KB_LEASE_STORE_CHECK_INTERVAL_S = 5,
	/* Candidates of lower rank wait longer before they take over. */
	KB_LEASE_RANK_DELAY_MS = 400,
	/* Time for hosts to find each other before one takes a group first. */
	KB_LEASE_INITIAL_DELAY_MS = 600,
	/* Further patience of a host that is no candidate. */
	KB_LEASE_NON_VOTER_DELAY_S = 5,
	/* A candidate without the store for this time is replaced. */
	KB_LEASE_VOTER_STORE_TIMEOUT_MS = 3500,
	/* A candidate that has granted nothing for this time is replaced. */
	KB_LEASE_VOTER_TIMEOUT_MS = 700,
	/* Before the end of its validity nothing is begun any more. */
	KB_LEASE_SAFETY_MARGIN_MS = 50,
};

/* Hosts of which a majority decides whether a holder may serve. */
typedef struct kb_voter_set {
	size_t count;
	kb_name_t hosts[KB_LEASE_VOTERS_MAX];
} kb_voter_set_t;

/* What the store's key of a group says. */
typedef struct kb_lease_record {
	kb_name_t holder;
	/* The former holder stopped before it wrote this. */
	int released;
	/* No former holder may serve any more; this one may. */
	int settled;
	/* Hosts that grant the holder's renewals. */
	kb_voter_set_t candidates;
	/*
	 * Until it is settled: the holder that served last and its candidates,
	 * in this order. They are not known if `former_lost` is set.
	 */
	kb_voter_set_t former;
	int former_lost;
} kb_lease_record_t;

typedef enum kb_lease_role {
	/* Another host holds the group, or none. */
	KB_LEASE_NONE,
	/* A write that takes the group over has no answer yet. */
	KB_LEASE_ACQUIRING,
	/* The group is taken; the former holder may still serve. */
	KB_LEASE_WAITING,
	/* This host serves while its renewals are valid. */
	KB_LEASE_SERVING,
	/* It serves no more and hands the group over. */
	KB_LEASE_RELEASING,
} kb_lease_role_t;

typedef struct kb_lease kb_lease_t;

/* Live hosts in the order in which they should hold the group. */
typedef struct kb_lease_ranking {
	size_t count;
	kb_name_t hosts[KB_LEASE_HOSTS_MAX];
} kb_lease_ranking_t;

/* Each op may fail by not answering; it is tried again. */
typedef struct kb_lease_ops {
	/* Reads the key; kb_lease_on_read() follows with `sent_at`. */
	void (*read)(void *ctx, kb_lease_t *hold, kb_time_t sent_at);
	/*
	 * Writes the key if its revision is `expected` (0: it does not
	 * exist); kb_lease_on_written() follows with `number`.
	 */
	void (*write)(void *ctx, kb_lease_t *hold,
		      const kb_lease_record_t *record, int64_t expected,
		      uint64_t number);
	/* Asks a candidate for a grant; kb_lease_on_grant() follows. */
	void (*ask)(void *ctx, kb_lease_t *hold, const kb_name_t *candidate,
		    kb_time_t asked_at);
	/* Asks the candidates when they heard the holder serve. */
	void (*inquire)(void *ctx, kb_lease_t *hold);
	/* Asks a host to read the key, which names it now. */
	void (*tell)(void *ctx, kb_lease_t *hold, const kb_name_t *host);
	/* The role or the holder changed. */
	void (*changed)(void *ctx, kb_lease_t *hold);
	/* Fills in the order of hosts; asked for when a decision needs it. */
	void (*rank)(void *ctx, kb_lease_t *hold, kb_lease_ranking_t *ranking);
} kb_lease_ops_t;

/* Time of the last renewal that a candidate granted. */
typedef struct kb_lease_grant {
	kb_name_t candidate;
	/* Sending of the last renewal that it granted. */
	kb_time_t asked_at;
	int granted;
	/* It had granted nothing to another host since then, at the latest. */
	kb_time_t others_until;
	/* Since when it is asked. */
	kb_time_t since;
	/* It has not reached the store for some time: others go before it. */
	int storeless;
} kb_lease_grant_t;

/*
 * Decides which host sends to a group's primary and replaces it: the one that
 * the group's key in the store names. It serves only while its renewals are
 * valid: for KB_LEASE_DURATION_MS from the sending of one that a majority of
 * the candidates in the key granted, and for KB_LEASE_MAX_UNCONFIRMED_S at most
 * since the store last showed the key unchanged. A candidate grants nothing to
 * a holder of an earlier revision than it granted before. A host that takes the
 * group over by a write on the revision that it knows waits until a majority of
 * the former candidates grants its own renewals and had granted none to others
 * for KB_LEASE_DURATION_MS, or KB_LEASE_MAX_UNCONFIRMED_S after the write. Then
 * it writes that no former holder may serve (`settled`), and serves once that
 * is confirmed. All times are of one clock that counts suspension.
 */
struct kb_lease {
	const kb_lease_ops_t *ops;
	void *ctx;
	kb_name_t group;
	kb_name_t self;
	/* The first start of the whole fleet: no former holder exists. */
	int first_start;
	/* Start of this process. */
	kb_time_t began_at;
	kb_lease_role_t role;
	/*
	 * The key as last known. Revision 0: it does not exist, and `record`
	 * is what it said before.
	 */
	int known;
	int64_t revision;
	/* Revision of the store for which that is known. */
	int64_t as_of;
	kb_lease_record_t record;
	/* Revision at which this host took the group; its fencing token. */
	int64_t token;
	/* Earliest time of serving while waiting. */
	kb_time_t serve_at;
	/* A majority of the former candidates grants nothing else. */
	int former_stopped;
	/* Sending of the last store answer that showed the key unchanged. */
	kb_time_t confirmed_at;
	int confirmed;
	kb_time_t read_sent_at;
	int reading;
	kb_time_t wrote_at;
	uint64_t write_number;
	/* Last time at which the candidates were compared with the ranking. */
	kb_time_t compared_at;
	/* New candidates are asked before a write names them. */
	int preparing;
	/* That write waits for its answer. */
	int rewriting;
	kb_lease_record_t wanted;
	kb_time_t asked_at;
	size_t grant_count;
	kb_lease_grant_t grants[KB_LEASE_VOTERS_MAX * 3];
	/* This process has read the key from the store itself. */
	int verified;
	/* Highest revision of a holder to whom a grant was given, and when. */
	int64_t granted_revision;
	kb_time_t granted_at;
	/* The host that it was given to, and the last grant to another one. */
	kb_name_t granted_to;
	kb_time_t granted_others_at;
	/* Last time at which the holder was heard serving. */
	kb_time_t heard_at;
	kb_time_t inquired_at;
	int inquiring;
};

void kb_lease_init(kb_lease_t *hold, const kb_lease_ops_t *ops, void *ctx,
		   const kb_name_t *group, const kb_name_t *self,
		   int first_start, kb_time_t now);

/* Whether this host may send to the primary and tell successes at `now`. */
int kb_lease_may_serve(const kb_lease_t *hold, kb_time_t now);

/*
 * Whether other hosts should leave the group to this one: it serves, or will
 * once the former holder has stopped.
 */
int kb_lease_is_live(const kb_lease_t *hold, kb_time_t now);

/* Until when that holds without a further renewal. */
kb_time_t kb_lease_valid_until(const kb_lease_t *hold);

/* Carries out what is due at `now`. */
void kb_lease_tick(kb_lease_t *hold, kb_time_t now);

/*
 * The key as a read or a peer shows it. `revision` is that of the key, or of
 * the store if the key does not exist and `record` is NULL. States older than
 * the one known are ignored.
 */
void kb_lease_on_key(kb_lease_t *hold, const kb_lease_record_t *record,
		     int64_t revision, kb_time_t now);

/* Answer to the read that was sent at `sent_at`. */
void kb_lease_on_read(kb_lease_t *hold, kb_time_t sent_at, kb_result_t result,
		      const kb_lease_record_t *record, int64_t revision,
		      kb_time_t now);

/* Answer to a write: KB_OK, KB_ERR_CONFLICT, or it may take effect. */
void kb_lease_on_written(kb_lease_t *hold, uint64_t number, kb_result_t result,
			 int64_t revision, kb_time_t now);

/*
 * A candidate's answer to the renewal that was sent at `asked_at`. When it
 * granted it, it had granted nothing to any other host for `quiet`.
 */
void kb_lease_on_grant(kb_lease_t *hold, const kb_name_t *candidate,
		       kb_time_t asked_at, int granted, kb_time_t quiet,
		       kb_time_t now);

/* A candidate last reached the store `age` ago. */
void kb_lease_on_voter_store_age(kb_lease_t *hold, const kb_name_t *candidate,
				 kb_time_t age);

/* The key names this host, as another one says: reads it. */
void kb_lease_refresh(kb_lease_t *hold, kb_time_t now);

/* Another host last heard the holder at `heard_at`; or it never did. */
void kb_lease_on_holder_seen(kb_lease_t *hold, int heard, kb_time_t heard_at);

/* Decides on a grant that `holder` asks for. */
int kb_lease_grant(kb_lease_t *hold, const kb_name_t *holder, int64_t revision,
		   int serving, kb_time_t now);

/*
 * Time for which this host has granted nothing to any host but the one that it
 * granted a renewal last. An earlier process may have granted until this one
 * began.
 */
kb_time_t kb_lease_exclusive_time(const kb_lease_t *hold, kb_time_t now);

/*
 * What this host, a candidate of `revision`, can say against a holder: sets
 * `*since` to the time of its last grant to any. Returns 0 if it has taken the
 * group over itself, has granted a later revision, or cannot know.
 */
int kb_lease_last_grant(const kb_lease_t *hold, int64_t revision,
			kb_time_t *since);

/*
 * Stops serving and hands the group to `successor`, or if that is NULL to the
 * first host of the ranking but this one.
 */
void kb_lease_release(kb_lease_t *hold, const kb_name_t *successor,
		      kb_time_t now);

KB_END_DECLS

#endif

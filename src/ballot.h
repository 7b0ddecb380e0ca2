#ifndef KB_BALLOT_H
#define KB_BALLOT_H

#include "detector.h"

KB_BEGIN_DECLS

#define KB_BALLOT_MAX_WATCHERS 3

enum {
	KB_BALLOT_INTERVAL_MS = 50,
	KB_BALLOT_VIEW_AGE_MS = 300,
	KB_BALLOT_LONE_WAIT_MS = 2500,
};

/* What a watching host tells the others of a group's primary. */
typedef struct kb_view {
	kb_health_t health;
	/* Newest term in which it has seen a primary. */
	uint64_t term;
} kb_view_t;

/* Times of a ballot. */
typedef struct kb_ballot_params {
	/* Interval at which views are asked for, and how long one counts. */
	kb_time_t interval;
	kb_time_t view_age;
	/* Time after which a host to which no other watcher answers acts. */
	kb_time_t lone_wait;
} kb_ballot_params_t;

/* The last view of another watcher. */
typedef struct kb_ballot_peer {
	kb_view_t view;
	/* When it came, or never. */
	kb_time_t at;
} kb_ballot_peer_t;

/*
 * The agreement of a group's watchers that no primary serves. It only keeps
 * one host with a bad link from promoting in vain: safety rests on fences.
 */
typedef struct kb_ballot {
	kb_ballot_params_t params;
	/* Watchers in order of rank; this host is `rank`. */
	size_t watcher_count;
	size_t rank;
	kb_ballot_peer_t peers[KB_BALLOT_MAX_WATCHERS];
	/* When views were last asked for, or never. */
	kb_time_t asked_at;
	/* Newest term in which this host has seen a primary. */
	uint64_t term;
	/* Since when this host finds that no primary serves, or never. */
	kb_time_t dead_since;
} kb_ballot_t;

/* Sets the defaults. */
void kb_ballot_params_init(kb_ballot_params_t *params);

/* Initializes `ballot` without watchers. */
void kb_ballot_init(kb_ballot_t *ballot, const kb_ballot_params_t *params);

/* Ends `ballot`. */
void kb_ballot_finish(kb_ballot_t *ballot);

/* Takes the number of live watchers and this host's rank among them. */
void kb_ballot_set_watchers(kb_ballot_t *ballot, size_t watcher_count,
			    size_t rank);

/* Takes the view of the watcher at rank `watcher`. */
void kb_ballot_on_view(kb_ballot_t *ballot, kb_time_t now, size_t watcher,
		       const kb_view_t *view);

/*
 * Notes this host's own health and the newest term in which it has seen a
 * primary. Returns non-zero if views are to be asked for.
 */
int kb_ballot_update(kb_ballot_t *ballot, kb_time_t now, kb_health_t health,
		     uint64_t term);

/*
 * Returns non-zero if a promotion is agreed: a majority of the watchers finds
 * that no primary serves, or this host has found so for `lone_wait` and no
 * other watcher that sees the group answers. A view of a newer primary that
 * lives prevents it. Only views count that came after this host had lost its
 * primary: an older one may concern the primary before.
 */
int kb_ballot_is_agreed(const kb_ballot_t *ballot, kb_time_t now);

/* Returns when kb_ballot_update() is due again, or KB_TIME_NEVER. */
kb_time_t kb_ballot_next(const kb_ballot_t *ballot, kb_health_t health);

KB_END_DECLS

#endif

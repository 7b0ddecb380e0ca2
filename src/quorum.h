#ifndef KB_QUORUM_H
#define KB_QUORUM_H

#include "detector.h"

KB_BEGIN_DECLS

#define KB_QUORUM_MAX_WATCHERS 3

enum {
	KB_QUORUM_QUERY_INTERVAL_MS = 50,
	KB_QUORUM_VIEW_MAX_AGE_MS = 300,
	KB_QUORUM_SOLE_WATCHER_WAIT_MS = 2500,
};

/* What a watching host tells the others of a group's primary. */
typedef struct kb_view {
	kb_health_t health;
	/* Newest term in which it has seen a primary. */
	uint64_t term;
} kb_primary_view_t;

/* Times of a ballot. */
typedef struct kb_quorum_params {
	/* Interval at which views are asked for, and how long one counts. */
	kb_time_t interval;
	kb_time_t view_age;
	/* Time after which a host to which no other watcher answers acts. */
	kb_time_t lone_wait;
} kb_quorum_params_t;

/* The last view of another watcher. */
typedef struct kb_quorum_peer {
	kb_primary_view_t view;
	/* When it came, or never. */
	kb_time_t at;
} kb_quorum_peer_t;

/*
 * The agreement of a group's watchers that no primary serves. It only keeps
 * one host with a bad link from promoting in vain: safety rests on fences.
 */
typedef struct kb_quorum {
	kb_quorum_params_t params;
	/* Watchers in order of rank; this host is `rank`. */
	size_t watcher_count;
	size_t rank;
	kb_quorum_peer_t peers[KB_QUORUM_MAX_WATCHERS];
	/* When views were last asked for, or never. */
	kb_time_t asked_at;
	/* Newest term in which this host has seen a primary. */
	uint64_t term;
	/* Since when this host finds that no primary serves, or never. */
	kb_time_t dead_since;
} kb_quorum_t;

/* Sets the defaults. */
void kb_quorum_params_init(kb_quorum_params_t *params);

/* Initializes `ballot` without watchers. */
void kb_quorum_init(kb_quorum_t *ballot, const kb_quorum_params_t *params);

/* Ends `ballot`. */
void kb_quorum_finish(kb_quorum_t *ballot);

/* Takes the number of live watchers and this host's rank among them. */
void kb_quorum_set_watchers(kb_quorum_t *ballot, size_t watcher_count,
			    size_t rank);

/* Takes the view of the watcher at rank `watcher`. */
void kb_quorum_on_view(kb_quorum_t *ballot, kb_time_t now, size_t watcher,
		       const kb_primary_view_t *view);

/*
 * Notes this host's own health and the newest term in which it has seen a
 * primary. Returns non-zero if views are to be asked for.
 */
int kb_quorum_update(kb_quorum_t *ballot, kb_time_t now, kb_health_t health,
		     uint64_t term);

/*
 * Returns non-zero if a promotion is agreed: a majority of the watchers finds
 * that no primary serves, or this host has found so for `lone_wait` and no
 * other watcher that sees the group answers. A view of a newer primary that
 * lives prevents it. Only views count that came after this host had lost its
 * primary: an older one may concern the primary before.
 */
int kb_quorum_is_agreed(const kb_quorum_t *ballot, kb_time_t now);

/* Returns when kb_quorum_update() is due again, or KB_TIME_NEVER. */
kb_time_t kb_quorum_next(const kb_quorum_t *ballot, kb_health_t health);

KB_END_DECLS

#endif

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

/* A watcher's view of a group's primary, as sent to the other watchers. */
typedef struct kb_view {
	kb_health_t health;
	/* Newest term in which it has seen a primary. */
	uint64_t term;
} kb_view_t;

/* Timing of the agreement between watchers. */
typedef struct kb_ballot_params {
	/*
	 * Interval between requests for views, and the age at which one
	 * expires.
	 */
	kb_time_t interval;
	kb_time_t view_age;
	/* Time after which a host acts alone if no other watcher answers it. */
	kb_time_t lone_wait;
} kb_ballot_params_t;

/* The last view received from another watcher. */
typedef struct kb_ballot_peer {
	kb_view_t view;
	/* When it was received, or KB_TIME_NEVER. */
	kb_time_t at;
} kb_ballot_peer_t;

/*
 * Decides whether a quorum of a group's watchers agrees that no primary serves.
 * The quorum only prevents useless promotions by a host with a bad link; safety
 * depends on the fences of a promotion.
 */
typedef struct kb_ballot {
	kb_ballot_params_t params;
	/* Watchers in order of rank; this host is `rank`. */
	size_t watcher_count;
	size_t rank;
	kb_ballot_peer_t peers[KB_BALLOT_MAX_WATCHERS];
	/* When views were last requested, or KB_TIME_NEVER. */
	kb_time_t asked_at;
	/* Newest term in which this host has seen a primary. */
	uint64_t term;
	/*
	 * Since when this host has found that no primary serves, or
	 * KB_TIME_NEVER.
	 */
	kb_time_t dead_since;
} kb_ballot_t;

/* Sets the defaults. */
void kb_ballot_params_init(kb_ballot_params_t *params);

/* Initializes `ballot` without watchers. */
void kb_ballot_init(kb_ballot_t *ballot, const kb_ballot_params_t *params);

/* Ends `ballot`. */
void kb_ballot_finish(kb_ballot_t *ballot);

/* Sets the number of live watchers and this host's rank among them. */
void kb_ballot_set_watchers(kb_ballot_t *ballot, size_t watcher_count,
			    size_t rank);

/* Records the view received from the watcher of rank `watcher`. */
void kb_ballot_on_view(kb_ballot_t *ballot, kb_time_t now, size_t watcher,
		       const kb_view_t *view);

/*
 * Records this host's own view: the health of the primary and the newest term
 * in which it has seen one. Returns non-zero if the views of the other watchers
 * are to be requested.
 */
int kb_ballot_update(kb_ballot_t *ballot, kb_time_t now, kb_health_t health,
		     uint64_t term);

/*
 * Returns non-zero if a promotion is agreed: a majority of the watchers finds
 * that no primary serves, or this host has found so for `lone_wait` and no
 * other watcher that reaches the group answers. A view of a live primary in a
 * newer term vetoes it. Views received before this host lost its primary are
 * ignored, because they may concern an earlier primary.
 */
int kb_ballot_is_agreed(const kb_ballot_t *ballot, kb_time_t now);

/* Returns when kb_ballot_update() is due again, or KB_TIME_NEVER. */
kb_time_t kb_ballot_next(const kb_ballot_t *ballot, kb_health_t health);

KB_END_DECLS

#endif

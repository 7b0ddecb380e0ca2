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

/* A watcher's view of a group's primary, as sent to the other watchers. */
typedef struct kb_primary_view {
	kb_health_t health;
	/* Newest term in which it has seen a primary. */
	uint64_t term;
} kb_primary_view_t;

/* Timing of the agreement between watchers. */
typedef struct kb_quorum_params {
	/*
	 * Interval between requests for views, and the age at which one
	 * expires.
	 */
	kb_time_t interval;
	kb_time_t view_max_age;
	/*
	 * Time after which a host promotes without agreement if no other
	 * watcher answers it.
	 */
	kb_time_t sole_watcher_wait;
} kb_quorum_params_t;

/* The last view received from another watcher. */
typedef struct kb_quorum_peer {
	kb_primary_view_t view;
	/* When it was received, or KB_TIME_NEVER. */
	kb_time_t at;
} kb_quorum_peer_t;

/*
 * Decides whether a quorum of a group's watchers agrees that no primary serves.
 * The quorum only prevents useless promotions by a host with a bad link; safety
 * depends on the fences of a promotion.
 */
typedef struct kb_quorum {
	kb_quorum_params_t params;
	/* Number of watchers, and the rank of this host among them. */
	size_t watcher_count;
	size_t rank;
	kb_quorum_peer_t peers[KB_QUORUM_MAX_WATCHERS];
	/* When views were last requested, or KB_TIME_NEVER. */
	kb_time_t requested_at;
	/* Newest term in which this host has seen a primary. */
	uint64_t term;
	/*
	 * Since when this host has found that no primary serves, or
	 * KB_TIME_NEVER.
	 */
	kb_time_t dead_since;
} kb_quorum_t;

/* Sets the defaults. */
void kb_quorum_params_init(kb_quorum_params_t *params);

/* Initializes `quorum` without watchers. */
void kb_quorum_init(kb_quorum_t *quorum, const kb_quorum_params_t *params);

/* Ends `quorum`. */
void kb_quorum_finish(kb_quorum_t *quorum);

/* Sets the number of live watchers and this host's rank among them. */
void kb_quorum_set_watchers(kb_quorum_t *quorum, size_t watcher_count,
			    size_t rank);

/* Records the view received from the watcher of rank `watcher`. */
void kb_quorum_on_view(kb_quorum_t *quorum, kb_time_t now, size_t watcher,
		       const kb_primary_view_t *view);

/*
 * Records this host's own view: the health of the primary and the newest term
 * in which it has seen one. Returns non-zero if the views of the other watchers
 * are to be requested.
 */
int kb_quorum_update(kb_quorum_t *quorum, kb_time_t now, kb_health_t health,
		     uint64_t term);

/*
 * Returns non-zero if a promotion is agreed: a majority of the watchers finds
 * that no primary serves, or this host has found so for `sole_watcher_wait` and
 * no other watcher that reaches the group answers. A view of a live primary in
 * a newer term vetoes it. Views received before this host lost its primary are
 * ignored, because they may concern an earlier primary.
 */
int kb_quorum_is_agreed(const kb_quorum_t *quorum, kb_time_t now);

/* Returns when kb_quorum_update() is due again, or KB_TIME_NEVER. */
kb_time_t kb_quorum_next(const kb_quorum_t *quorum, kb_health_t health);

KB_END_DECLS

#endif

#ifndef KB_FAILOVER_H
#define KB_FAILOVER_H

#include "conflict_backoff.h"
#include "quorum.h"
#include "detector.h"
#include "promotion.h"
#include "repoint.h"
#include "watch.h"

KB_BEGIN_DECLS

enum {
	KB_FAILOVER_RANK_DELAY_MS = 250,
	KB_FAILOVER_TAKEOVER_DELAY_MS = 600,
	KB_FAILOVER_SWITCHOVER_INTERVAL_MS = 5000,
	KB_FAILOVER_SWITCHOVER_LAG_ENTRIES = 64,
};

typedef struct kb_failover kb_failover_t;

/* Operations that a failover requests. They must not call back into it. */
typedef struct kb_failover_ops {
	/* Sends a probe; its result goes to kb_failover_on_report(). */
	void (*probe)(kb_failover_t *failover, size_t target,
		      uint64_t probe_id);
	/*
	 * Send a command that names this host as the promoter by an id that no
	 * other process uses; the result goes to
	 * kb_failover_on_command_result().
	 */
	void (*fence)(kb_failover_t *failover, size_t target, uint64_t term);
	void (*promote)(kb_failover_t *failover, size_t target, uint64_t term);
	void (*follow)(kb_failover_t *failover, size_t target, uint64_t term,
		       size_t primary);
	/*
	 * Requests the views of the other watchers; each answer goes to
	 * kb_failover_on_view().
	 */
	void (*request_views)(kb_failover_t *failover);
	/*
	 * Reports that `primary` serves in `term`, so that it is published.
	 * `promoted` is non-zero if this host promoted it.
	 */
	void (*primary_changed)(kb_failover_t *failover, uint64_t term,
				size_t primary, int promoted);
} kb_failover_ops_t;

/* Parameters of a failover. */
typedef struct kb_failover_params {
	kb_watch_params_t watch;
	kb_detector_params_t detector;
	kb_promotion_params_t promotion;
	kb_quorum_params_t quorum;
	/* Delay before a promotion, multiplied by this host's rank. */
	kb_time_t rank_delay;
	/* Time to wait for another host's attempt before starting a new one. */
	kb_time_t takeover_delay;
	/* Minimum time between two switchovers (planned changes of primary). */
	kb_time_t switchover_interval;
	/* Log entries that the new primary may be behind in a switchover. */
	uint64_t switchover_max_lag;
	/* Seed of the random delays; has to differ between hosts. */
	uint64_t seed;
} kb_failover_params_t;

/*
 * Monitors a database group on one host: detects that no primary serves, agrees
 * on this with the other watchers, promotes a target, and makes the other
 * targets follow it. Its safety depends neither on the store nor on any other
 * host.
 */
struct kb_failover {
	const kb_failover_ops_t *ops;
	kb_failover_params_t params;
	/* May be shared with a kb_confirm_t of this host. */
	kb_watch_t watch;
	kb_detector_t detector;
	kb_promotion_t promotion;
	kb_repoint_t repoint;
	kb_quorum_t quorum;
	/* Since when a promotion has been agreed, or KB_TIME_NEVER. */
	kb_time_t agreed_since;
	/* Terms of this host's newest attempt and newest promotion. */
	uint64_t own_term;
	uint64_t promoted_term;
	/*
	 * Highest term seen or used, and when a target last reported a higher
	 * one.
	 */
	uint64_t highest_term;
	kb_time_t term_grew_at;
	/*
	 * Delays the next attempt after one that another host has superseded.
	 */
	kb_conflict_backoff_t backoff;
	/* When the last switchover began, or KB_TIME_NEVER. */
	kb_time_t switchover_at;
	/* Attempts that this host started. */
	uint64_t attempts;
	/* Last values passed to `primary_changed`. */
	uint64_t published_term;
	size_t published_primary;
};

/* Sets the defaults. */
void kb_failover_params_init(kb_failover_params_t *params);

/*
 * Initializes `failover`, which copies `params` and `group`. It promotes
 * nothing before kb_failover_set_watchers().
 */
void kb_failover_init(kb_failover_t *failover, const kb_failover_ops_t *ops,
		      const kb_failover_params_t *params,
		      const kb_group_spec_t *group);

/* Ends `failover`; results that come later must not be passed to it. */
void kb_failover_finish(kb_failover_t *failover);

/*
 * Performs due work and returns when to call it next. Every event function
 * below does the same; the time returned last replaces the earlier ones. It is
 * also to be called after kb_confirm_add() on the watch.
 */
kb_time_t kb_failover_on_timer(kb_failover_t *failover, kb_time_t now);

/* Handles the result of a probe; see kb_watch_on_report(). */
kb_time_t kb_failover_on_report(kb_failover_t *failover, kb_time_t now,
				size_t target, uint64_t probe_id,
				kb_result_t result, const kb_report_t *report);

/*
 * Handles the result of a command, which may be late or repeated. If `result`
 * is KB_OK, `granted` is non-zero if the target has carried out the command,
 * and `report` is the target's state.
 */
kb_time_t kb_failover_on_command_result(kb_failover_t *failover, kb_time_t now,
					const kb_command_t *command,
					kb_result_t result, int granted,
					const kb_report_t *report);

/* Handles the view of the watcher of rank `watcher`. */
kb_time_t kb_failover_on_view(kb_failover_t *failover, kb_time_t now,
			      size_t watcher, const kb_primary_view_t *view);

/*
 * Handles a hint, from the store or another host, that a primary of `term`
 * serves. It has no effect on the known primary until a target has reported it.
 */
kb_time_t kb_failover_on_hint(kb_failover_t *failover, kb_time_t now,
			      uint64_t term);

/* Replaces the specification of the group. */
kb_time_t kb_failover_set_group(kb_failover_t *failover, kb_time_t now,
				const kb_group_spec_t *group);

/*
 * Sets the number of live watchers by membership, at most
 * KB_QUORUM_MAX_WATCHERS, and this host's rank among them. With 0 watchers the
 * host observes the group and sends no commands.
 */
kb_time_t kb_failover_set_watchers(kb_failover_t *failover, kb_time_t now,
				   size_t watcher_count, size_t rank);

/*
 * Returns this host's view, in answer to another watcher's request. The targets
 * are also probed soon, because that watcher suspects the primary; call
 * kb_failover_on_timer() next.
 */
kb_primary_view_t kb_failover_view(kb_failover_t *failover, kb_time_t now);

/* Returns the index of the primary or KB_NO_TARGET. */
size_t kb_failover_primary(const kb_failover_t *failover);

/* Returns the newest term in which a primary was seen. */
uint64_t kb_failover_term(const kb_failover_t *failover);

KB_END_DECLS

#endif

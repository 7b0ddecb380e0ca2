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

/* Orders of a watching host. They must not call back. */
typedef struct kb_failover_ops {
	/* Sends a probe; ends with kb_failover_on_report(). */
	void (*probe)(kb_failover_t *failover, size_t target,
		      uint64_t probe_id);
	/*
	 * Send an order, naming this host as the promoter by an id that no
	 * other process uses; end with kb_failover_on_command_result().
	 */
	void (*fence)(kb_failover_t *failover, size_t target, uint64_t term);
	void (*promote)(kb_failover_t *failover, size_t target, uint64_t term);
	void (*follow)(kb_failover_t *failover, size_t target, uint64_t term,
		       size_t primary);
	/* Asks the other watchers; ends with kb_failover_on_view() each. */
	void (*ask_views)(kb_failover_t *failover);
	/*
	 * Tells that `primary` serves in `term`, to be published. `promoted`
	 * is non-zero if this host promoted it.
	 */
	void (*primary_changed)(kb_failover_t *failover, uint64_t term,
				size_t primary, int promoted);
} kb_failover_ops_t;

/* Parameters of a watching host. */
typedef struct kb_failover_params {
	kb_watch_params_t watch;
	kb_detector_params_t detector;
	kb_promotion_params_t promotion;
	kb_quorum_params_t ballot;
	/* Delay per rank before a promotion. */
	kb_time_t rank_delay;
	/* Time for which another host's attempt is left alone. */
	kb_time_t takeover;
	/* Least time between two planned changes of primary. */
	kb_time_t switch_interval;
	/* Entries that a successor may be behind in a planned change. */
	uint64_t switch_lag;
	/* Seed of the waits; differs between hosts. */
	uint64_t seed;
} kb_failover_params_t;

/*
 * The part of one host that watches a database group: detects that no primary
 * serves, agrees with the other watchers, promotes a target, and keeps the
 * other targets following it. It needs neither the store nor any other host
 * to be safe.
 */
struct kb_failover {
	const kb_failover_ops_t *ops;
	kb_failover_params_t params;
	/* A kb_confirm_t of this host may share the watch. */
	kb_watch_t watch;
	kb_detector_t detector;
	kb_promotion_t promotion;
	kb_repoint_t repoint;
	kb_quorum_t ballot;
	/* Since when a promotion has been agreed, or never. */
	kb_time_t agreed_since;
	/* Terms of this host's newest attempt and newest promotion. */
	uint64_t own_term;
	uint64_t promoted_term;
	/* Highest term seen or used, and when a target showed it. */
	uint64_t highest_term;
	kb_time_t term_grew_at;
	/* Leaves the next attempt to a host that thwarted the last one. */
	kb_conflict_backoff_t backoff;
	/* When the last planned change began, or never. */
	kb_time_t switched_at;
	/* Attempts that this host started. */
	uint64_t attempts;
	/* Last values given to `primary_changed`. */
	uint64_t told_term;
	size_t told_primary;
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
 * Does what is due and returns when to call it next. Every event below does
 * so too; the time that the newest call returned replaces the earlier ones.
 * After kb_confirm_add() on the watch call it as well.
 */
kb_time_t kb_failover_on_timer(kb_failover_t *failover, kb_time_t now);

/* Takes the end of a probe; see kb_watch_on_report(). */
kb_time_t kb_failover_on_report(kb_failover_t *failover, kb_time_t now,
				size_t target, uint64_t probe_id,
				kb_result_t result, const kb_report_t *report);

/*
 * Takes the end of `order`, whenever it comes and however often. If `result`
 * is KB_OK, `granted` tells whether the target obeyed and `report` its state.
 */
kb_time_t kb_failover_on_command_result(kb_failover_t *failover, kb_time_t now,
					const kb_command_t *order,
					kb_result_t result, int granted,
					const kb_report_t *report);

/* Takes the view of the watcher at rank `watcher`. */
kb_time_t kb_failover_on_view(kb_failover_t *failover, kb_time_t now,
			      size_t watcher, const kb_primary_view_t *view);

/*
 * Takes the news, from the store or another host, that a primary of `term`
 * serves; it is believed once a target has reported it.
 */
kb_time_t kb_failover_on_hint(kb_failover_t *failover, kb_time_t now,
			      uint64_t term);

/* Takes a changed group. */
kb_time_t kb_failover_set_group(kb_failover_t *failover, kb_time_t now,
				const kb_group_spec_t *group);

/*
 * Takes the live watchers by membership: their number, at most
 * KB_QUORUM_MAX_WATCHERS, and this host's place among them. With 0
 * watchers the host observes the group and orders nothing.
 */
kb_time_t kb_failover_set_watchers(kb_failover_t *failover, kb_time_t now,
				   size_t watcher_count, size_t rank);

/*
 * Returns this host's view, the answer to another watcher's question. It also
 * has the targets probed soon, as the other host suspects the primary; call
 * kb_failover_on_timer() next.
 */
kb_primary_view_t kb_failover_view(kb_failover_t *failover, kb_time_t now);

/* Returns the index of the primary or KB_NO_TARGET. */
size_t kb_failover_primary(const kb_failover_t *failover);

/* Returns the newest term in which a primary was seen. */
uint64_t kb_failover_term(const kb_failover_t *failover);

KB_END_DECLS

#endif

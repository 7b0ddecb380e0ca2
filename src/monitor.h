#ifndef KB_MONITOR_H
#define KB_MONITOR_H

#include "copies.h"
#include "open_orders.h"
#include "target_list.h"

KB_BEGIN_DECLS

enum {
	KB_MONITOR_TARGETS_MAX = KB_TARGET_NAMES_MAX,
	KB_MONITOR_PROBE_TIMEOUT_MS = 350,
	/* Time for all targets to answer while the primary is looked up. */
	KB_MONITOR_FIND_TIMEOUT_MS = 450,
	/* A replica is promoted if no primary is found for this time. */
	KB_MONITOR_NO_PRIMARY_TIMEOUT_MS = 900,
	/* A primary that refuses connections for this time has failed. */
	KB_MONITOR_REFUSED_TIMEOUT_MS = 350,
	/* Above 1 s, as a healthy primary may stall for up to a second. */
	KB_MONITOR_SILENT_TIMEOUT_MS = 1150,
	/* Time for replicas to report their positions before a promotion. */
	KB_MONITOR_POLL_TIMEOUT_MS = 300,
	/* Time in which an accepted promotion takes effect. */
	KB_MONITOR_PROMOTION_TIMEOUT_MS = 2000,
	/* Remaining lease required, longer than a promotion takes. */
	KB_MONITOR_MIN_LEASE_LEFT_MS = 800,
	/* Least interval between two probes of a target. */
	KB_MONITOR_PROBE_INTERVAL_MS = 40,
	/* Switchover: time for open transactions to end. */
	KB_MONITOR_DRAIN_TIMEOUT_MS = 500,
	/* Switchover: greatest lag of the replica at which it begins. */
	KB_MONITOR_SWITCHOVER_MAX_LAG_MS = 150,
	/*
	 * Switchover: after this time it begins whatever the lag is, and does
	 * not require that the replica has caught up unless the group is
	 * durable.
	 */
	KB_MONITOR_SWITCHOVER_TIMEOUT_MS = 3500,
	/*
	 * After this time without a log of the term that was served, one of an
	 * earlier term is promoted.
	 */
	KB_MONITOR_TERM_MISSING_MAX_S = KB_COPIES_MISSING_MAX_S,
	/*
	 * A target without an entry for this time, while the store is reached,
	 * is gone. Targets that are alive register within two seconds of the
	 * store's return.
	 */
	KB_MONITOR_ENTRY_MISSING_MAX_MS = 5000,
	/* Older entries are out of date. */
	KB_MONITOR_ENTRIES_MAX_AGE_MS = 3000,
	/* A replaced primary is sent step-down commands for this time. */
	KB_MONITOR_STEP_DOWN_S = 20,
};

typedef enum kb_monitor_state {
	/* This host does not hold the lease on the group. */
	KB_MONITOR_IDLE,
	/* Probes the targets to find the primary. */
	KB_MONITOR_FINDING,
	KB_MONITOR_SERVING,
	/* A connection to the primary failed; the primary is probed. */
	KB_MONITOR_SUSPECTING,
	/* The primary is leaving; waits for a replica with all its commits. */
	KB_MONITOR_SWITCHOVER,
	/* Polls the replicas, then waits until the promotion takes effect. */
	KB_MONITOR_PROMOTING,
} kb_monitor_state_t;

/* State of the probes of one target, and its last answer. */
typedef struct kb_monitor_probe {
	kb_name_t target;
	kb_time_t sent_at;
	int waiting;
	/* Time of the last answer and of the last failure; 0 for none. */
	kb_time_t answered_at;
	kb_time_t failed_at;
	int refused;
	kb_target_report_t report;
	/* Time at which the question for the last answer or refusal was sent.
	 */
	kb_time_t asked_at;
	/* The platform has refused to promote it. */
	int rejected;
} kb_monitor_probe_t;

/* What this holder knows about the last order. */
typedef enum kb_order_state {
	/* It may take effect: accepted, not answered or of another holder. */
	KB_ORDER_OPEN,
	/* It is over, or its only request was refused. */
	KB_ORDER_NONE,
	/* Its first request is not answered yet. */
	KB_ORDER_SENT,
	/*
	 * The platform has refused to repeat an open order, and no earlier one
	 * is open.
	 */
	KB_ORDER_REPEAT_REFUSED,
} kb_order_state_t;

typedef struct kb_monitor kb_monitor_t;

typedef struct kb_monitor_ops {
	/* Requests a target's status; kb_monitor_on_probe() follows. */
	void (*probe)(void *ctx, const kb_target_entry_t *target);
	void (*step_down)(void *ctx, const kb_target_entry_t *target,
			  uint64_t term);
	/*
	 * Announces what `next` says: an order to promote its target or, if
	 * that is empty, that the last one is withdrawn. Its term is the
	 * highest one known, or that before the term which the target leads
	 * already. Returns whether each later holder of the lease will know of
	 * it; else it is called again.
	 */
	int (*announce)(void *ctx, const kb_promotion_order_t *next);
	/* Requests a promotion; kb_monitor_on_promoted() follows. */
	void (*promote)(void *ctx, const kb_target_entry_t *target);
	/*
	 * Asks other hosts whether they reach the target;
	 * kb_monitor_on_reachable() follows for each that does.
	 */
	void (*query_reachability)(void *ctx, const kb_target_entry_t *target);
	/* Hands the lease over to a host that reaches the primary. */
	void (*hand_over)(void *ctx, const kb_name_t *host);
	/* Directs statements to `primary`, or to no target if it is NULL. */
	void (*bind)(void *ctx, const kb_target_entry_t *primary);
	/* Queues new statements if `paused` is set, else lets them run. */
	void (*pause)(void *ctx, int paused);
	/* Rolls back open transactions. */
	void (*abort)(void *ctx);
	/* Number of running statements and open transactions. */
	unsigned (*active_count)(void *ctx);
	/* Time until the lease expires without a further renewal. */
	kb_time_t (*lease_left)(void *ctx);
} kb_monitor_ops_t;

/*
 * Finds and monitors a group's primary and replaces it when it fails or is
 * leaving. Active on the host that holds the lease on the group.
 */
struct kb_monitor {
	const kb_monitor_ops_t *ops;
	void *ctx;
	kb_name_t group;
	/* The promoted target must have all acknowledged commits. */
	int durable;
	/* Targets that may have them, also those without an entry. */
	kb_copies_t copies;
	/*
	 * No target that answers may be promoted: none is known to have all
	 * acknowledged commits of a durable group, or the term that was served.
	 * Time of the last log line about the former.
	 */
	int blocked;
	kb_time_t blocked_logged_at;
	kb_monitor_state_t state;
	kb_time_t state_since;
	/* Fencing token of the lease; 0 in KB_MONITOR_IDLE. */
	int64_t token;
	kb_target_entry_t primary;
	int has_primary;
	uint64_t term;
	/* Highest term whose primary any holder may have served. */
	uint64_t served_term;
	/*
	 * Since then only targets without that term have answered, so that none
	 * is promoted; 0 if not. Time of the last log line about it.
	 */
	kb_time_t term_missing_since;
	kb_time_t term_missing_logged_at;
	/* Newest known end of the primary's log. */
	kb_point_t newest;
	size_t probe_count;
	kb_monitor_probe_t probes[KB_MONITOR_TARGETS_MAX];
	/*
	 * Target that is or will be promoted or, during a switchover, the
	 * replica that is waited for; empty while there is none.
	 */
	kb_name_t promotee;
	kb_time_t promotee_since;
	/* Term in which it reported to be the primary before; 0 if it did not.
	 */
	uint64_t promotee_term;
	int promotion_sent;
	/* The platform has accepted it. */
	int promotion_accepted;
	/*
	 * The last order of any holder. Until a primary of a later term is
	 * found, no earlier one is used.
	 */
	kb_promotion_order_t order;
	kb_order_state_t order_state;
	/*
	 * Target of an order that the last one has replaced, and that may still
	 * take effect; empty if there is none.
	 */
	kb_name_t earlier_order;
	/* Requests that may still take effect. They outlive the lease. */
	kb_open_orders_t open_orders;
	/*
	 * Targets that former holders may have ordered, unknown to this one,
	 * and the time until which such an order may take effect; 0 if this
	 * holder knows of each order.
	 */
	kb_target_names_t possible;
	kb_time_t possible_until;
	/*
	 * Last time at which each of them had an entry, or at which the entries
	 * were out of date.
	 */
	kb_time_t possible_seen_at[KB_TARGET_NAMES_MAX];
	/* Time at which the store had the entries that this host knows. */
	kb_time_t entries_as_of;
	/* The last order was given by another host, which may have sent it. */
	int inherited;
	/* Last logged state of the watch over open orders. */
	int watch_logged;
	/* Not each later holder knows the last order yet. */
	int announcing;
	/* Time of the last log line about a primary that is not used. */
	kb_time_t unused_logged_at;
	/*
	 * Until then a promotion that was requested may take effect; 0 if none
	 * may. Outlives the lease, as the request does.
	 */
	kb_time_t promotion_open_until;
	/* The lease is about to be released: no promotion is requested. */
	int releasing;
	int planned;
	int paused;
	int reachability_queried;
	/* Former primary that is sent step-down commands. */
	kb_name_t former_primary;
	kb_time_t former_primary_since;
	kb_time_t step_down_sent_at;
	/*
	 * Start of the current gap without a primary; 0 if there is none. Its
	 * length is logged when a primary serves again.
	 */
	kb_time_t gap_start;
	uint64_t promotions;
};

void kb_monitor_init(kb_monitor_t *monitor, const kb_monitor_ops_t *ops,
		     void *ctx, const kb_name_t *group);

/*
 * Activates the monitor if this host holds the lease, whose fencing token is
 * `token`, and stops it if that is 0. A lease with another token was lost
 * meanwhile: the monitor begins anew. Returns whether it begins.
 */
int kb_monitor_set_active(kb_monitor_t *monitor, int64_t token, kb_time_t now);

/*
 * Tells a monitor that looks for the primary that a later term than those of
 * the targets that answer is known: an earlier primary is not used.
 */
void kb_monitor_require_term(kb_monitor_t *monitor, uint64_t term);

/*
 * Takes the last order that is known, also from former holders. A primary that
 * it may replace is no longer used.
 */
void kb_monitor_set_order(kb_monitor_t *monitor,
			  const kb_promotion_order_t *order, kb_time_t now);

/*
 * Takes the targets that a former holder knew to hold commits, and those of
 * them that were leaving, after kb_monitor_set_active().
 */
void kb_monitor_add_copies(kb_monitor_t *monitor,
			   const kb_target_names_t *names,
			   const kb_departures_t *departures, kb_time_t now);

/*
 * This holder may not know of each order that can still take effect: watches
 * the `standbys` and all targets that have an entry and are not leaving, after
 * kb_monitor_set_active().
 */
void kb_monitor_expect_orders(kb_monitor_t *monitor,
			      const kb_target_names_t *standbys, kb_time_t now);

/* This holder knows of each order now. */
void kb_monitor_end_expectation(kb_monitor_t *monitor);

/*
 * Takes the time at which the store had the entries that are passed to
 * kb_monitor_tick().
 */
void kb_monitor_set_entries_time(kb_monitor_t *monitor, kb_time_t as_of);

/*
 * Fills in the targets that this holder, or a former one as far as it does not
 * know, may order: those that have an entry and are not leaving, and while
 * orders are expected, those that are watched.
 */
void kb_monitor_standbys(const kb_monitor_t *monitor,
			 const kb_target_list_t *targets,
			 kb_target_names_t *standbys);

/* Whether an order that this holder does not know may take effect. */
int kb_monitor_expects_orders(const kb_monitor_t *monitor);

/* Runs the actions that are due; `targets` are those of all groups. */
void kb_monitor_tick(kb_monitor_t *monitor, const kb_target_list_t *targets,
		     kb_time_t now);

/*
 * Takes the result of a probe that was sent at `asked_at`. KB_ERR_OVERLOADED:
 * the target is alive but did not report its status. KB_ERR_UNREACHABLE: it
 * refused the connection.
 */
void kb_monitor_on_probe(kb_monitor_t *monitor, kb_str_t target,
			 kb_result_t result, const kb_target_report_t *report,
			 kb_time_t asked_at, kb_time_t now);

/*
 * Takes the answer to a promotion. KB_ERR_CONFLICT: refused for good.
 * KB_ERR_OVERLOADED, KB_ERR_UNREACHABLE: not done. Other errors leave it open.
 */
void kb_monitor_on_promoted(kb_monitor_t *monitor, kb_str_t target,
			    kb_result_t result, kb_time_t now);

/* Another host reports that it reaches the target, primary in `term`. */
void kb_monitor_on_reachable(kb_monitor_t *monitor, kb_str_t target,
			     const kb_name_t *host, uint64_t term);

/* The primary has answered with `point` as the end of its log. */
void kb_monitor_on_answer(kb_monitor_t *monitor, kb_point_t point);
/*
 * A connection to the primary failed or, if `read_only` is set, it refused a
 * write because it is not the primary any more.
 */
void kb_monitor_on_connection_error(kb_monitor_t *monitor, int read_only,
				    kb_time_t now);

/*
 * Requests no further promotion, and returns whether the lease may be released.
 * It may not while a promotion that was requested may take effect: the next
 * holder would find the old primary still leading, and serve it. That ends
 * KB_MONITOR_PROMOTION_TIMEOUT_MS after the request at the latest.
 */
int kb_monitor_prepare_release(kb_monitor_t *monitor, kb_time_t now);

/*
 * Whether a request to promote another target than the primary may still take
 * effect, one of this holder or of former ones. A commit may be acknowledged
 * only once kb_monitor_confirms() it.
 */
int kb_monitor_is_watching(const kb_monitor_t *monitor);

/*
 * Whether all those targets have answered a question that was sent after
 * `since`, at which the primary had committed `point`, and none leads a later
 * term. If one does later, the commit was made before; in a durable group its
 * log has the commit. One that refuses connections does not lead, but in a
 * durable group it shows nothing about its log.
 */
int kb_monitor_confirms(kb_monitor_t *monitor, kb_time_t since,
			kb_point_t point);

/* Whether one of those targets is silent, so that nothing is confirmed. */
int kb_monitor_is_unconfirmed(kb_monitor_t *monitor, kb_time_t now);

/* Whether the primary is known and statements are directed to it. */
int kb_monitor_is_serving(const kb_monitor_t *monitor);

KB_END_DECLS

#endif

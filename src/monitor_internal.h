#ifndef KB_MONITOR_INTERNAL_H
#define KB_MONITOR_INTERNAL_H

#include "monitor.h"

KB_BEGIN_DECLS

/* Functions and constants shared by the source files of the monitor. */

enum {
	/* Interval of the log lines about a state that lasts. */
	KB_MONITOR_LOG_INTERVAL_S = 2,
};

void kb_monitor_set_paused(kb_monitor_t *monitor, int paused);
void kb_monitor_set_state(kb_monitor_t *monitor, kb_monitor_state_t state,
			  kb_time_t now);
/* Keeps one probe state for each target of the group. */
void kb_monitor_sync_probes(kb_monitor_t *monitor,
			    const kb_target_list_t *targets);
kb_monitor_probe_t *kb_monitor_find_probe(kb_monitor_t *monitor,
					  kb_str_t target);
void kb_monitor_send_probe(kb_monitor_t *monitor, kb_monitor_probe_t *probe,
			   const kb_target_entry_t *entry, kb_time_t now);
/*
 * Probes the targets that have not answered since `after`, and returns their
 * number; `*answered` is the number of the others.
 */
size_t kb_monitor_probe_all(kb_monitor_t *monitor,
			    const kb_target_list_t *targets, kb_time_t after,
			    kb_time_t now, size_t *answered);
/* Directs statements to `primary` and enters KB_MONITOR_SERVING. */
void kb_monitor_begin_serving(kb_monitor_t *monitor,
			      const kb_target_entry_t *primary,
			      const kb_target_report_t *report, kb_time_t now);

/* Highest term that this holder knows of. */
uint64_t kb_monitor_highest_term(const kb_monitor_t *monitor);

/* Stops serving the primary, and looks for one of a later term. */
void kb_monitor_give_up_primary(kb_monitor_t *monitor, kb_time_t now);
/* Gives up the primary if a target has reported a later term. */
void kb_monitor_check_term(kb_monitor_t *monitor,
			   const kb_monitor_probe_t *probe, kb_time_t now);
/* While serving: asks the targets whose orders may still take effect. */
void kb_monitor_tick_watch(kb_monitor_t *monitor,
			   const kb_target_list_t *targets, kb_time_t now);
/*
 * While orders are expected: adds the targets that have an entry, removes those
 * that are gone, and ends it when no order can take effect any more.
 */
void kb_monitor_tick_expectation(kb_monitor_t *monitor,
				 const kb_target_list_t *targets,
				 kb_time_t now);
/*
 * Whether the targets may tell which primary was served last: while orders are
 * expected, one of the other targets that may have been ordered has to answer.
 */
int kb_monitor_has_witness(kb_monitor_t *monitor, const kb_name_t *primary);
/* Lets later holders know once no request is open any more. */
void kb_monitor_settle_orders(kb_monitor_t *monitor);

/* Whether the last order has taken effect, as a later term is known. */
int kb_monitor_is_order_over(kb_monitor_t *monitor);
/* What is to be done about the target of the last order. */
typedef enum kb_order_step {
	/* The order is not open, or its target can't be promoted: choose. */
	KB_ORDER_STEP_CHOOSE,
	/* It has not answered yet, but may do so. */
	KB_ORDER_STEP_WAIT,
	/* It has answered: to repeat the order changes nothing if it leads. */
	KB_ORDER_STEP_REPEAT,
} kb_order_step_t;
/*
 * While the last order is open its target stays the choice as long as it
 * answers; it may be silent for KB_MONITOR_SILENT_TIMEOUT_MS. `after` is the
 * time since which the targets are probed.
 */
kb_order_step_t kb_monitor_order_step(kb_monitor_t *monitor,
				      const kb_target_list_t *targets,
				      kb_time_t after, kb_time_t now);
/*
 * Whether the primary of `term` may be served: neither the last order nor a
 * target that has answered nor this host's watermarks show a later term.
 */
int kb_monitor_may_serve(kb_monitor_t *monitor, const kb_name_t *primary,
			 uint64_t term);
/* Highest term whose primary may have been served, as an order tells. */
uint64_t kb_monitor_order_served_term(const kb_promotion_order_t *order);
/*
 * Whether the last report of a target shows that it may be promoted: its log
 * has the term that was served. Without it, all that was acknowledged in that
 * term would be lost, and commits that it had rolled back would be restored.
 */
int kb_monitor_may_promote(const kb_monitor_t *monitor,
			   const kb_monitor_probe_t *probe);
/*
 * Takes the replica that may be promoted, or NULL, and the number of targets
 * that have not answered. While the logs of all others lack the term that was
 * served, statements are refused. The term is given up once no target that may
 * have it is missing, or after KB_MONITOR_TERM_MISSING_MAX_S.
 */
void kb_monitor_check_logs(kb_monitor_t *monitor,
			   const kb_monitor_probe_t *best, size_t missing,
			   kb_time_t now);

/*
 * Lets each later holder know that no primary of an earlier term than `term`
 * may be served. Returns whether it does; if not, it is to be called again
 * before `primary` is served.
 */
int kb_monitor_record_term(kb_monitor_t *monitor, const kb_name_t *primary,
			   uint64_t term);
/*
 * Once the platform has accepted the order, lets later holders know that its
 * target may be served, so that kb_monitor_record_term() need not wait.
 */
void kb_monitor_record_acceptance(kb_monitor_t *monitor);
/*
 * While the last order may replace the primary that was found: waits for it,
 * repeats it, or withdraws it if it was refused. Called once all targets have
 * had time to answer.
 */
void kb_monitor_resolve_order(kb_monitor_t *monitor,
			      const kb_target_list_t *targets, kb_time_t now);
/* Announces the order to promote `promotee`, then requests the promotion. */
void kb_monitor_send_order(kb_monitor_t *monitor,
			   const kb_target_list_t *targets, kb_time_t now);

void kb_monitor_begin_promotion(kb_monitor_t *monitor, kb_time_t now);
/*
 * Whether a log has all acknowledged commits of a durable group, where each is
 * in two logs at least: it is as new as the newest of all logs but one, or as
 * the newest position that this holder knows. `unanswered` is the number of
 * the targets that have not reported their position. Logs if it is not known.
 */
int kb_monitor_is_complete(kb_monitor_t *monitor,
			   const kb_monitor_probe_t *best, size_t unanswered,
			   kb_time_t now);
/* Begins to promote `target`, without a poll of the replicas. */
void kb_monitor_promote_target(kb_monitor_t *monitor, const kb_name_t *target,
			       kb_time_t now);
void kb_monitor_tick_promoting(kb_monitor_t *monitor,
			       const kb_target_list_t *targets, kb_time_t now);
void kb_monitor_tick_switchover(kb_monitor_t *monitor,
				const kb_target_list_t *targets, kb_time_t now);
/* Repeats the step-down command to the replaced primary. */
void kb_monitor_tick_step_down(kb_monitor_t *monitor,
			       const kb_target_list_t *targets, kb_time_t now);

KB_END_DECLS

#endif

#include "failover.h"

#include "log.h"

#include <inttypes.h>

void kb_failover_params_init(kb_failover_params_t *params)
{
	kb_watch_params_init(&params->watch);
	kb_detector_params_init(&params->detector);
	kb_promotion_params_init(&params->promotion);
	kb_quorum_params_init(&params->ballot);
	params->rank_delay = KB_FAILOVER_RANK_DELAY_MS * KB_NS_PER_MS;
	params->takeover = KB_FAILOVER_TAKEOVER_DELAY_MS * KB_NS_PER_MS;
	params->switch_interval =
		KB_FAILOVER_SWITCHOVER_INTERVAL_MS * KB_NS_PER_MS;
	params->seed = 0;
	params->switch_lag = KB_FAILOVER_SWITCHOVER_LAG_ENTRIES;
}

static kb_failover_t *failover_of_watch(kb_watch_t *watch)
{
	return (kb_failover_t *)((char *)watch -
				 offsetof(kb_failover_t, watch));
}

static void send_probe(kb_watch_t *watch, size_t target, uint64_t probe_id)
{
	kb_failover_t *failover = failover_of_watch(watch);

	failover->ops->probe(failover, target, probe_id);
}

static void send_order(kb_promotion_t *promotion, const kb_command_t *order)
{
	kb_failover_t *failover =
		(kb_failover_t *)((char *)promotion -
				  offsetof(kb_failover_t, promotion));

	if (order->kind == KB_COMMAND_FENCE)
		failover->ops->fence(failover, order->target, order->term);
	else
		failover->ops->promote(failover, order->target, order->term);
}

static const kb_watch_ops_t watch_ops = { send_probe };
static const kb_promotion_ops_t promotion_ops = { send_order };

void kb_failover_init(kb_failover_t *failover, const kb_failover_ops_t *ops,
		      const kb_failover_params_t *params,
		      const kb_group_spec_t *group)
{
	memset(failover, 0, sizeof(*failover));
	failover->ops = ops;
	failover->params = *params;
	kb_watch_init(&failover->watch, &watch_ops, &params->watch, group);
	kb_detector_init(&failover->detector, &params->detector);
	kb_promotion_init(&failover->promotion, &promotion_ops,
			  &params->promotion);
	kb_repoint_init(&failover->repoint);
	kb_quorum_init(&failover->ballot, &params->ballot);
	kb_conflict_backoff_init(&failover->backoff, params->takeover,
				 params->seed);
	failover->agreed_since = KB_TIME_NEVER;
	failover->term_grew_at = KB_TIME_NEVER;
	failover->switched_at = KB_TIME_NEVER;
	failover->told_primary = KB_NO_TARGET;
}

void kb_failover_finish(kb_failover_t *failover)
{
	kb_quorum_finish(&failover->ballot);
	kb_repoint_finish(&failover->repoint);
	kb_promotion_finish(&failover->promotion);
	kb_detector_finish(&failover->detector);
	kb_watch_finish(&failover->watch);
}

static const char *group_name(const kb_failover_t *failover)
{
	return failover->watch.group.name.data;
}

static kb_time_t rank_delay(const kb_failover_t *failover)
{
	return (kb_time_t)failover->ballot.rank * failover->params.rank_delay;
}

static void tell_primary(kb_failover_t *failover)
{
	size_t primary = kb_watch_primary(&failover->watch);
	uint64_t term = failover->watch.term;

	if (primary == KB_NO_TARGET ||
	    (primary == failover->told_primary && term == failover->told_term))
		return;
	failover->told_primary = primary;
	failover->told_term = term;
	kb_log(KB_EVENT_PRIMARY_CHANGED, "group=%s term=%" PRIu64 " target=%s",
	       group_name(failover), term,
	       failover->watch.group.targets[primary].name.data);
	failover->ops->primary_changed(failover, term, primary,
				       term == failover->promoted_term);
}

static void note_highest_term(kb_failover_t *failover, kb_time_t now)
{
	uint64_t term = kb_watch_highest_term(&failover->watch);

	if (term <= failover->highest_term)
		return;
	failover->highest_term = term;
	failover->term_grew_at = now;
}

/* Returns non-zero if a planned change of primary may begin. */
static int is_switch_due(const kb_failover_t *failover, kb_time_t now)
{
	if (!failover->ballot.watcher_count ||
	    failover->detector.health != KB_HEALTH_OK)
		return 0;
	if (failover->switched_at != KB_TIME_NEVER &&
	    now - failover->switched_at < failover->params.switch_interval)
		return 0;
	return kb_promotion_plan_can_switch_over(now, &failover->watch,
						 &failover->detector,
						 failover->params.switch_lag);
}

static void start_promotion(kb_failover_t *failover, kb_time_t now,
			    kb_cause_t cause)
{
	kb_promotion_plan_t plan;

	kb_promotion_plan_init(&plan, now, &failover->watch,
			       &failover->detector, cause,
			       failover->highest_term + 1);
	failover->highest_term = plan.term;
	failover->own_term = plan.term;
	failover->attempts++;
	if (cause == KB_CAUSE_LEAVING)
		failover->switched_at = now;
	kb_log(KB_EVENT_PROMOTION_STARTED, "group=%s term=%" PRIu64 " cause=%s",
	       group_name(failover), plan.term, kb_cause_name(cause));
	kb_promotion_start(&failover->promotion, now, &plan);
}

/* Returns when this host may start a promotion that was agreed. */
static kb_time_t start_time(const kb_failover_t *failover)
{
	kb_time_t start = failover->agreed_since;

	if (failover->backoff.until > start)
		start = failover->backoff.until;
	if (failover->highest_term > failover->watch.term &&
	    failover->highest_term > failover->own_term &&
	    failover->term_grew_at + failover->params.takeover > start)
		start = failover->term_grew_at + failover->params.takeover;
	return start + rank_delay(failover);
}

/* Starts a promotion if one is due; returns when one may be. */
static kb_time_t consider_promotion(kb_failover_t *failover, kb_time_t now)
{
	kb_cause_t cause = failover->detector.cause;
	int agreed = kb_quorum_is_agreed(&failover->ballot, now);

	if (!agreed && is_switch_due(failover, now)) {
		cause = KB_CAUSE_LEAVING;
		agreed = 1;
	}
	if (!agreed) {
		failover->agreed_since = KB_TIME_NEVER;
		return KB_TIME_NEVER;
	}
	if (failover->agreed_since == KB_TIME_NEVER ||
	    (cause != KB_CAUSE_LEAVING &&
	     failover->agreed_since < failover->ballot.dead_since))
		failover->agreed_since = now;
	if (now < start_time(failover))
		return start_time(failover);
	start_promotion(failover, now, cause);
	return KB_TIME_NEVER;
}

/* Follows up the end of an attempt, if it has ended. */
static void end_promotion(kb_failover_t *failover, kb_time_t now)
{
	kb_promotion_t *promotion = &failover->promotion;

	if (promotion->state != KB_PROMOTION_DONE &&
	    promotion->state != KB_PROMOTION_FAILED)
		return;
	failover->agreed_since = KB_TIME_NEVER;
	if (promotion->state == KB_PROMOTION_DONE) {
		failover->promoted_term = promotion->plan.term;
		kb_log(KB_EVENT_PRIMARY_PROMOTED,
		       "group=%s term=%" PRIu64 " target=%s",
		       group_name(failover), promotion->plan.term,
		       failover->watch.group.targets[promotion->chosen]
			       .name.data);
	} else {
		kb_log(KB_EVENT_PROMOTION_FAILED,
		       "group=%s term=%" PRIu64 " fenced=%zu",
		       group_name(failover), promotion->plan.term,
		       kb_promotion_fenced(promotion));
		if (promotion->is_superseded)
			kb_conflict_backoff_fail(&failover->backoff, now);
	}
	kb_promotion_cancel(promotion);
}

/* Drives the attempt; returns when to call again. */
static kb_time_t drive_promotion(kb_failover_t *failover, kb_time_t now)
{
	kb_promotion_t *promotion = &failover->promotion;
	kb_time_t wake;

	if (promotion->state == KB_PROMOTION_FENCING &&
	    failover->detector.health == KB_HEALTH_OK &&
	    promotion->plan.cause != KB_CAUSE_LEAVING &&
	    !kb_promotion_fenced(promotion))
		kb_promotion_cancel(promotion);
	wake = kb_promotion_on_timer(promotion, now);
	end_promotion(failover, now);
	return wake;
}

static void repoint_targets(kb_failover_t *failover, kb_time_t now)
{
	kb_time_t patience = rank_delay(failover);
	size_t primary = kb_watch_primary(&failover->watch);
	size_t target;

	if (!failover->ballot.watcher_count || primary == KB_NO_TARGET)
		return;
	/* The promoter of the term re-points first. */
	if (failover->promoted_term != failover->watch.term)
		patience += failover->params.rank_delay;
	else
		patience = 0;
	while ((target = kb_repoint_next(&failover->repoint, now,
					 &failover->watch, patience)) !=
	       KB_NO_TARGET) {
		kb_log(KB_EVENT_TARGET_REPOINTED,
		       "group=%s term=%" PRIu64 " target=%s",
		       group_name(failover), failover->watch.term,
		       failover->watch.group.targets[target].name.data);
		failover->ops->follow(failover, target, failover->watch.term,
				      primary);
	}
}

static void earliest(kb_time_t *wake, kb_time_t time)
{
	if (time < *wake)
		*wake = time;
}

kb_time_t kb_failover_on_timer(kb_failover_t *failover, kb_time_t now)
{
	kb_time_t wake;

	note_highest_term(failover, now);
	end_promotion(failover, now);
	wake = kb_detector_update(&failover->detector, now, &failover->watch);
	if (kb_quorum_update(&failover->ballot, now, failover->detector.health,
			     failover->watch.term))
		failover->ops->ask_views(failover);
	earliest(&wake,
		 kb_quorum_next(&failover->ballot, failover->detector.health));
	if (failover->detector.health == KB_HEALTH_OK)
		kb_conflict_backoff_reset(&failover->backoff);
	if (!kb_promotion_is_active(&failover->promotion))
		earliest(&wake, consider_promotion(failover, now));
	earliest(&wake, drive_promotion(failover, now));
	tell_primary(failover);
	repoint_targets(failover, now);
	failover->watch.urgent =
		failover->ballot.watcher_count &&
		(failover->detector.health == KB_HEALTH_SUSPECT ||
		 failover->detector.health == KB_HEALTH_DEAD ||
		 kb_promotion_is_active(&failover->promotion));
	earliest(&wake, kb_watch_on_timer(&failover->watch, now));
	return wake;
}

kb_time_t kb_failover_on_report(kb_failover_t *failover, kb_time_t now,
				size_t target, uint64_t probe_id,
				kb_result_t result, const kb_report_t *report)
{
	kb_watch_on_report(&failover->watch, now, target, probe_id, result,
			   report);
	if (result == KB_OK && target < failover->watch.group.target_count)
		kb_promotion_on_report(&failover->promotion, now, target,
				       report);
	return kb_failover_on_timer(failover, now);
}

/*
 * Returns non-zero if the answer to `order` is newer than what probes have
 * shown. In one term only a promotion changes the role of a target.
 */
static int is_news(const kb_failover_t *failover, const kb_command_t *order,
		   int granted, const kb_report_t *report)
{
	const kb_watch_target_t *target =
		&failover->watch.targets[order->target];

	if (!target->has_report || report->term > target->report.term)
		return 1;
	return granted && order->kind == KB_COMMAND_PROMOTE &&
	       report->term == target->report.term &&
	       report->role == KB_ROLE_PRIMARY;
}

kb_time_t kb_failover_on_command_result(kb_failover_t *failover, kb_time_t now,
					const kb_command_t *order,
					kb_result_t result, int granted,
					const kb_report_t *report)
{
	if (order->target >= failover->watch.group.target_count)
		return kb_failover_on_timer(failover, now);
	if (result == KB_OK && report) {
		if (is_news(failover, order, granted, report))
			kb_watch_on_command_report(&failover->watch, now,
						   order->target, report);
		kb_promotion_on_answer(&failover->promotion, now, order,
				       granted, report);
	}
	return kb_failover_on_timer(failover, now);
}

kb_time_t kb_failover_on_view(kb_failover_t *failover, kb_time_t now,
			      size_t watcher, const kb_primary_view_t *view)
{
	kb_quorum_on_view(&failover->ballot, now, watcher, view);
	if (view->term > failover->watch.term)
		kb_watch_refresh(&failover->watch, now);
	return kb_failover_on_timer(failover, now);
}

kb_time_t kb_failover_on_hint(kb_failover_t *failover, kb_time_t now,
			      uint64_t term)
{
	if (term > failover->watch.term)
		kb_watch_refresh(&failover->watch, now);
	return kb_failover_on_timer(failover, now);
}

kb_time_t kb_failover_set_group(kb_failover_t *failover, kb_time_t now,
				const kb_group_spec_t *group)
{
	kb_promotion_cancel(&failover->promotion);
	kb_repoint_finish(&failover->repoint);
	kb_watch_set_group(&failover->watch, group);
	failover->told_primary = KB_NO_TARGET;
	return kb_failover_on_timer(failover, now);
}

kb_time_t kb_failover_set_watchers(kb_failover_t *failover, kb_time_t now,
				   size_t watcher_count, size_t rank)
{
	kb_quorum_set_watchers(&failover->ballot, watcher_count, rank);
	if (!failover->ballot.watcher_count)
		kb_promotion_cancel(&failover->promotion);
	return kb_failover_on_timer(failover, now);
}

kb_primary_view_t kb_failover_view(kb_failover_t *failover, kb_time_t now)
{
	kb_watch_refresh(&failover->watch, now);
	kb_detector_update(&failover->detector, now, &failover->watch);
	return (kb_primary_view_t){ failover->detector.health,
				    failover->watch.term };
}

size_t kb_failover_primary(const kb_failover_t *failover)
{
	return kb_watch_primary(&failover->watch);
}

uint64_t kb_failover_term(const kb_failover_t *failover)
{
	return failover->watch.term;
}

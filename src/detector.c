#include "detector.h"

#include "log.h"

#include <inttypes.h>

enum { RTT_DEVIATIONS = 4 };

const char *kb_cause_name(kb_cause_t cause)
{
	switch (cause) {
	case KB_CAUSE_NONE:
		return "none";
	case KB_CAUSE_SILENT:
		return "silent";
	case KB_CAUSE_REFUSED:
		return "refused";
	case KB_CAUSE_NO_PRIMARY:
		return "no_primary";
	case KB_CAUSE_REPLICATION:
		return "replication";
	case KB_CAUSE_TERM_AHEAD:
		return "term_ahead";
	case KB_CAUSE_LEAVING:
		return "leaving";
	}
	return "unknown";
}

void kb_detector_params_init(kb_detector_params_t *params)
{
	params->stall = KB_DETECTOR_STALL_MS * KB_NS_PER_MS;
	params->margin = KB_DETECTOR_MARGIN_MS * KB_NS_PER_MS;
	params->max_silence = KB_DETECTOR_MAX_TIMEOUT_MS * KB_NS_PER_MS;
	params->suspect = KB_DETECTOR_SUSPECT_MS * KB_NS_PER_MS;
	params->refused_count = KB_DETECTOR_REFUSED_COUNT;
	params->refused = KB_DETECTOR_REFUSED_MS * KB_NS_PER_MS;
	params->progress = KB_DETECTOR_PROGRESS_MS * KB_NS_PER_MS;
	params->replication = KB_DETECTOR_REPLICATION_MS * KB_NS_PER_MS;
	params->term_ahead = KB_DETECTOR_TERM_AHEAD_MS * KB_NS_PER_MS;
}

void kb_detector_init(kb_detector_t *detector,
		      const kb_detector_params_t *params)
{
	memset(detector, 0, sizeof(*detector));
	detector->params = *params;
	detector->health = KB_HEALTH_UNKNOWN;
	detector->cause = KB_CAUSE_NONE;
	detector->ahead_since = KB_TIME_NEVER;
	detector->short_since = KB_TIME_NEVER;
}

void kb_detector_finish(kb_detector_t *detector)
{
	detector->health = KB_HEALTH_UNKNOWN;
}

static kb_time_t usual_round_trip(const kb_watch_target_t *target)
{
	return target->rtt + RTT_DEVIATIONS * target->rtt_deviation;
}

kb_time_t kb_detector_timeout(const kb_detector_t *detector,
			      const kb_watch_target_t *target)
{
	const kb_detector_params_t *params = &detector->params;
	kb_time_t limit =
		params->stall + params->margin + usual_round_trip(target);

	return limit < params->max_silence ? limit : params->max_silence;
}

/* Returns non-zero if `since` is set and `span` has passed. */
static int has_passed(kb_time_t now, kb_time_t since, kb_time_t span)
{
	return since != KB_TIME_NEVER && now - since >= span;
}

static int is_silent(const kb_detector_t *detector, kb_time_t now,
		     const kb_watch_target_t *target)
{
	return has_passed(now, target->unanswered_since,
			  kb_detector_timeout(detector, target));
}

static int is_refused(const kb_detector_t *detector, kb_time_t now,
		      const kb_watch_target_t *target)
{
	return target->refused >= detector->params.refused_count &&
	       has_passed(now, target->refused_since, detector->params.refused);
}

int kb_detector_is_reachable(const kb_detector_t *detector, kb_time_t now,
			     const kb_watch_target_t *target)
{
	return target->has_report && !is_silent(detector, now, target) &&
	       !is_refused(detector, now, target);
}

/* How the targets of a group stand towards this host. */
typedef struct census {
	size_t reachable;
	/* Never answered, and not yet silent. */
	size_t pending;
	/* Reachable ones in a newer term than the primary. */
	size_t ahead;
	/* Reachable replicas that receive the primary's log. */
	size_t following;
	/* When a replica's log moved last while the primary is silent. */
	kb_time_t progress_at;
} census_t;

static void count_replica(const kb_detector_t *detector, kb_time_t now,
			  const kb_watch_t *watch,
			  const kb_watch_target_t *target, census_t *census)
{
	if (target->report.term == watch->term &&
	    !has_passed(now, target->behind_since, detector->params.progress))
		census->following++;
	if (target->progress_at != KB_TIME_NEVER &&
	    target->progress_at > census->progress_at)
		census->progress_at = target->progress_at;
}

static void take_census(const kb_detector_t *detector, kb_time_t now,
			const kb_watch_t *watch, census_t *census)
{
	memset(census, 0, sizeof(*census));
	for (size_t i = 0; i < watch->group.target_count; i++) {
		const kb_watch_target_t *target = &watch->targets[i];

		if (!kb_detector_is_reachable(detector, now, target)) {
			census->pending += !target->has_report &&
					   !is_silent(detector, now, target) &&
					   !is_refused(detector, now, target);
			continue;
		}
		census->reachable++;
		census->ahead += target->report.term > watch->term;
		if (i != watch->primary)
			count_replica(detector, now, watch, target, census);
	}
}

/* Notes when a condition began; returns how long it has held. */
static kb_time_t held_for(kb_time_t *since, kb_time_t now, int holds)
{
	if (!holds)
		*since = KB_TIME_NEVER;
	else if (*since == KB_TIME_NEVER)
		*since = now;
	return holds ? now - *since : 0;
}

static void judge(kb_detector_t *detector, kb_health_t health, kb_cause_t cause)
{
	detector->health = health;
	detector->cause = cause;
}

static void judge_primary(kb_detector_t *detector, kb_time_t now,
			  const kb_watch_t *watch, const census_t *census)
{
	const kb_detector_params_t *params = &detector->params;
	const kb_watch_target_t *primary = &watch->targets[watch->primary];
	size_t majority = kb_group_majority(&watch->group);
	int silent = is_silent(detector, now, primary);
	int lost = silent || is_refused(detector, now, primary);
	int late = lost || primary->refused ||
		   has_passed(now, primary->unanswered_since,
			      params->suspect + usual_round_trip(primary));
	/* While the primary is late, replicas have nothing to receive. */
	kb_time_t short_for =
		held_for(&detector->short_since, now,
			 !late && census->following + 1 < majority &&
				 census->reachable > majority);
	kb_time_t ahead_for = held_for(&detector->ahead_since, now,
				       !late && census->ahead > 0);

	if (lost && census->progress_at > primary->unanswered_since &&
	    now - census->progress_at < params->progress)
		judge(detector, KB_HEALTH_SUSPECT, KB_CAUSE_NONE);
	else if (lost)
		judge(detector, KB_HEALTH_DEAD,
		      silent ? KB_CAUSE_SILENT : KB_CAUSE_REFUSED);
	else if (late)
		judge(detector, KB_HEALTH_SUSPECT, KB_CAUSE_NONE);
	else if (short_for >= params->replication)
		judge(detector, KB_HEALTH_DEAD, KB_CAUSE_REPLICATION);
	else if (ahead_for >= params->term_ahead)
		judge(detector, KB_HEALTH_DEAD, KB_CAUSE_TERM_AHEAD);
	else
		judge(detector, KB_HEALTH_OK, KB_CAUSE_NONE);
}

/* Lowers `*wake` to `since + span` if that lies ahead. */
static void wake_at(kb_time_t *wake, kb_time_t now, kb_time_t since,
		    kb_time_t span)
{
	if (since != KB_TIME_NEVER && since + span > now &&
	    since + span < *wake)
		*wake = since + span;
}

static kb_time_t next_change(const kb_detector_t *detector, kb_time_t now,
			     const kb_watch_t *watch, const census_t *census)
{
	const kb_detector_params_t *params = &detector->params;
	kb_time_t wake = KB_TIME_NEVER;

	for (size_t i = 0; i < watch->group.target_count; i++) {
		const kb_watch_target_t *target = &watch->targets[i];

		wake_at(&wake, now, target->unanswered_since,
			kb_detector_timeout(detector, target));
		if (target->refused)
			wake_at(&wake, now, target->refused_since,
				params->refused);
		if (i == watch->primary)
			wake_at(&wake, now, target->unanswered_since,
				params->suspect + usual_round_trip(target));
	}
	if (detector->health == KB_HEALTH_SUSPECT)
		wake_at(&wake, now, census->progress_at, params->progress);
	return wake;
}

static void log_health(const kb_detector_t *detector, const kb_watch_t *watch)
{
	kb_event_t event = KB_EVENT_PRIMARY_SERVES;

	switch (detector->health) {
	case KB_HEALTH_UNKNOWN:
		return;
	case KB_HEALTH_OK:
		break;
	case KB_HEALTH_SUSPECT:
		event = KB_EVENT_PRIMARY_SUSPECTED;
		break;
	case KB_HEALTH_DEAD:
		event = KB_EVENT_PRIMARY_LOST;
		break;
	case KB_HEALTH_CUT_OFF:
		event = KB_EVENT_GROUP_CUT_OFF;
		break;
	}
	kb_log(event, "group=%s term=%" PRIu64 " cause=%s",
	       watch->group.name.data, watch->term,
	       kb_cause_name(detector->cause));
}

kb_time_t kb_detector_update(kb_detector_t *detector, kb_time_t now,
			     const kb_watch_t *watch)
{
	kb_health_t before = detector->health;
	census_t census;

	if (detector->term != watch->term ||
	    kb_watch_primary(watch) == KB_NO_TARGET) {
		detector->term = watch->term;
		detector->ahead_since = KB_TIME_NEVER;
		detector->short_since = KB_TIME_NEVER;
	}
	take_census(detector, now, watch, &census);
	if (census.reachable < kb_group_majority(&watch->group))
		judge(detector,
		      census.pending ? KB_HEALTH_UNKNOWN : KB_HEALTH_CUT_OFF,
		      KB_CAUSE_NONE);
	else if (kb_watch_primary(watch) != KB_NO_TARGET)
		judge_primary(detector, now, watch, &census);
	else if (census.pending)
		judge(detector, KB_HEALTH_UNKNOWN, KB_CAUSE_NONE);
	else
		judge(detector, KB_HEALTH_DEAD, KB_CAUSE_NO_PRIMARY);
	if (detector->health != before)
		log_health(detector, watch);
	return next_change(detector, now, watch, &census);
}

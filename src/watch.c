#include "watch.h"

#include "local_quorum.h"

enum {
	/* Weights of RFC 6298. */
	RTT_SHIFT = 3,
	RTT_DEVIATION_SHIFT = 2,
	RTT_DEVIATIONS = 4,
};

void kb_watch_params_init(kb_watch_params_t *params)
{
	params->heartbeat = KB_WATCH_HEARTBEAT_MS * KB_NS_PER_MS;
	params->replica_heartbeat = params->heartbeat;
	params->min_interval = KB_WATCH_MIN_INTERVAL_MS * KB_NS_PER_MS;
	params->poll_interval = KB_WATCH_POLL_INTERVAL_MS * KB_NS_PER_MS;
	params->distant_interval = KB_WATCH_DISTANT_INTERVAL_MS * KB_NS_PER_MS;
	params->urgent_interval = KB_WATCH_URGENT_INTERVAL_MS * KB_NS_PER_MS;
	params->timeout = KB_WATCH_TIMEOUT_MS * KB_NS_PER_MS;
}

static void init_target(kb_watch_target_t *target)
{
	memset(target, 0, sizeof(*target));
	target->unanswered_since = KB_TIME_NEVER;
	target->refused_since = KB_TIME_NEVER;
	target->progress_at = KB_TIME_NEVER;
	target->behind_since = KB_TIME_NEVER;
}

void kb_watch_init(kb_watch_t *watch, const kb_watch_ops_t *ops,
		   const kb_watch_params_t *params,
		   const kb_group_spec_t *group)
{
	memset(watch, 0, sizeof(*watch));
	watch->ops = ops;
	watch->params = *params;
	watch->group = *group;
	watch->primary = KB_NO_TARGET;
	for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++)
		init_target(&watch->targets[i]);
}

void kb_watch_finish(kb_watch_t *watch)
{
	watch->ops = NULL;
}

static int is_same_target(const kb_target_spec_t *a, const kb_target_spec_t *b)
{
	return kb_name_is(&a->name, kb_name_str(&b->name)) &&
	       kb_name_is(&a->address, kb_name_str(&b->address)) &&
	       a->port == b->port;
}

void kb_watch_set_group(kb_watch_t *watch, const kb_group_spec_t *group)
{
	kb_watch_target_t kept[KB_GROUP_MAX_TARGETS];
	size_t primary = KB_NO_TARGET;

	for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++)
		init_target(&kept[i]);
	for (size_t i = 0; i < group->target_count; i++) {
		for (size_t j = 0; j < watch->group.target_count; j++) {
			if (!is_same_target(&group->targets[i],
					    &watch->group.targets[j]))
				continue;
			kept[i] = watch->targets[j];
			if (watch->primary == j)
				primary = i;
		}
	}
	memcpy(watch->targets, kept, sizeof(kept));
	watch->group = *group;
	watch->primary = primary;
}

static kb_time_t probe_timeout(const kb_watch_t *watch,
			       const kb_watch_target_t *target)
{
	return watch->params.timeout + target->rtt +
	       RTT_DEVIATIONS * target->rtt_deviation;
}

static kb_time_t shorter(kb_time_t a, kb_time_t b)
{
	return a && a < b ? a : b;
}

/* Returns the interval of probes that waiting requests ask for. */
static kb_time_t waiting_interval(const kb_watch_t *watch, kb_time_t now,
				  const kb_watch_target_t *target)
{
	if (kb_local_quorum_excludes(watch, now, target))
		return watch->params.distant_interval;
	if (target->probes[0].id <= watch->wanted)
		return watch->params.min_interval;
	return watch->params.poll_interval;
}

/* Returns when the next probe of `target` is due. */
static kb_time_t next_probe(const kb_watch_t *watch, kb_time_t now,
			    const kb_watch_target_t *target)
{
	const kb_watch_params_t *params = &watch->params;
	const kb_watch_probe_t *newest = &target->probes[0];
	int is_replica = params->heartbeat && watch->primary != KB_NO_TARGET &&
			 target != &watch->targets[watch->primary];
	kb_time_t interval =
		is_replica ? params->replica_heartbeat : params->heartbeat;
	int refreshes = newest->id < watch->refresh;

	if (!interval && !watch->waiting && !watch->urgent && !refreshes)
		return KB_TIME_NEVER;
	if (!target->probe_count)
		return 0;
	if (target->in_flight)
		return newest->sent + probe_timeout(watch, target);
	if (!interval)
		interval = KB_TIME_NEVER;
	if (refreshes)
		interval = shorter(params->min_interval, interval);
	if (watch->urgent || target->refused)
		interval = shorter(params->urgent_interval, interval);
	if (watch->waiting && !target->refused)
		interval =
			shorter(waiting_interval(watch, now, target), interval);
	return interval == KB_TIME_NEVER ? interval : newest->sent + interval;
}

static void send_probe(kb_watch_t *watch, kb_time_t now, size_t index)
{
	kb_watch_target_t *target = &watch->targets[index];
	kb_watch_probe_t *probes = target->probes;

	memmove(&probes[1], &probes[0],
		sizeof(probes[0]) * (KB_WATCH_PROBE_HISTORY - 1));
	if (target->probe_count < KB_WATCH_PROBE_HISTORY)
		target->probe_count++;
	probes[0].id = ++watch->last_probe_id;
	probes[0].sent = now;
	target->in_flight = 1;
	if (target->unanswered_since == KB_TIME_NEVER)
		target->unanswered_since = now;
	watch->ops->probe(watch, index, probes[0].id);
}

kb_time_t kb_watch_on_timer(kb_watch_t *watch, kb_time_t now)
{
	kb_time_t wake = KB_TIME_NEVER;

	for (size_t i = 0; i < watch->group.target_count; i++) {
		kb_time_t due = next_probe(watch, now, &watch->targets[i]);

		if (due <= now) {
			send_probe(watch, now, i);
			due = next_probe(watch, now, &watch->targets[i]);
		}
		if (due < wake)
			wake = due;
	}
	return wake;
}

static void sample_rtt(kb_watch_target_t *target, kb_time_t sample)
{
	kb_time_t error;

	if (!target->rtt) {
		target->rtt = sample;
		target->rtt_deviation = sample / 2;
		return;
	}
	error = sample - target->rtt;
	target->rtt += error / (1 << RTT_SHIFT);
	if (error < 0)
		error = -error;
	target->rtt_deviation +=
		(error - target->rtt_deviation) / (1 << RTT_DEVIATION_SHIFT);
}

/* Returns the place of probe `id` in `target->probes`, or `probe_count`. */
static size_t find_probe(const kb_watch_target_t *target, uint64_t id)
{
	size_t i = 0;

	while (i < target->probe_count && target->probes[i].id != id)
		i++;
	return i;
}

static void note_primary(kb_watch_t *watch, size_t index)
{
	const kb_report_t *report = &watch->targets[index].report;

	if (report->role != KB_ROLE_PRIMARY || report->term < watch->term)
		return;
	if (report->term == watch->term && watch->primary != KB_NO_TARGET)
		return;
	watch->term = report->term;
	watch->primary = index;
}

/* Returns non-zero if the log of `a` ends before that of `b`. */
static int is_behind(const kb_watch_target_t *a, const kb_watch_target_t *b)
{
	return kb_point_compare(kb_report_last(&a->report),
				kb_report_last(&b->report)) < 0;
}

/* Updates `behind_since` of each target after a report of `reporter`. */
static void note_lag(kb_watch_t *watch, kb_time_t now, size_t reporter)
{
	const kb_watch_target_t *primary;

	if (watch->primary == KB_NO_TARGET)
		return;
	primary = &watch->targets[watch->primary];
	for (size_t i = 0; i < watch->group.target_count; i++) {
		kb_watch_target_t *target = &watch->targets[i];
		int progressed = i == reporter && target->progress_at == now;

		if (i == watch->primary || !target->has_report)
			continue;
		if (!is_behind(target, primary))
			target->behind_since = KB_TIME_NEVER;
		else if (progressed || target->behind_since == KB_TIME_NEVER)
			target->behind_since = now;
	}
}

static void take_report(kb_watch_t *watch, kb_time_t now, size_t index,
			const kb_report_t *report)
{
	kb_watch_target_t *target = &watch->targets[index];

	if (!target->has_report ||
	    kb_point_compare(kb_report_last(report),
			     kb_report_last(&target->report)))
		target->progress_at = now;
	target->report = *report;
	target->has_report = 1;
	note_primary(watch, index);
	note_lag(watch, now, index);
}

static void take_answer(kb_watch_t *watch, kb_time_t now, size_t index,
			size_t place, const kb_report_t *report)
{
	kb_watch_target_t *target = &watch->targets[index];
	kb_watch_probe_t probe = target->probes[place];

	sample_rtt(target, now - probe.sent);
	target->answered_at = now;
	target->refused = 0;
	target->refused_since = KB_TIME_NEVER;
	if (!place)
		target->unanswered_since = KB_TIME_NEVER;
	else if (target->unanswered_since <= probe.sent)
		target->unanswered_since = target->probes[place - 1].sent;
	if (probe.id <= target->report_probe.id ||
	    probe.id <= target->outdated_probe)
		return;
	target->report_probe = probe;
	take_report(watch, now, index, report);
}

kb_time_t kb_watch_on_report(kb_watch_t *watch, kb_time_t now, size_t index,
			     uint64_t probe_id, kb_result_t result,
			     const kb_report_t *report)
{
	kb_watch_target_t *target;
	size_t place;

	if (index >= watch->group.target_count)
		return kb_watch_on_timer(watch, now);
	target = &watch->targets[index];
	place = find_probe(target, probe_id);
	if (place == target->probe_count)
		return kb_watch_on_timer(watch, now);
	if (!place)
		target->in_flight = 0;
	if (result == KB_OK) {
		take_answer(watch, now, index, place, report);
	} else if (result == KB_ERR_UNREACHABLE && !place) {
		target->refused++;
		if (target->refused_since == KB_TIME_NEVER)
			target->refused_since = now;
	}
	return kb_watch_on_timer(watch, now);
}

void kb_watch_on_command_report(kb_watch_t *watch, kb_time_t now, size_t index,
				const kb_report_t *report)
{
	kb_watch_target_t *target;

	if (index >= watch->group.target_count)
		return;
	target = &watch->targets[index];
	if (target->has_report && report->term < target->report.term)
		return;
	/* Its order among probes is unknown, so it must confirm nothing. */
	target->report_probe = (kb_watch_probe_t){ 0, 0 };
	target->outdated_probe = watch->last_probe_id;
	take_report(watch, now, index, report);
}

kb_time_t kb_watch_request_probes(kb_watch_t *watch, kb_time_t now)
{
	watch->waiting = 1;
	watch->wanted = watch->last_probe_id;
	return kb_watch_on_timer(watch, now);
}

kb_time_t kb_watch_refresh(kb_watch_t *watch, kb_time_t now)
{
	watch->refresh = watch->last_probe_id + 1;
	return kb_watch_on_timer(watch, now);
}

void kb_watch_clear_requests(kb_watch_t *watch)
{
	watch->waiting = 0;
}

size_t kb_watch_primary(const kb_watch_t *watch)
{
	const kb_report_t *report;
	size_t newer = 0;

	if (watch->primary == KB_NO_TARGET)
		return KB_NO_TARGET;
	report = &watch->targets[watch->primary].report;
	if (report->role != KB_ROLE_PRIMARY || report->term != watch->term)
		return KB_NO_TARGET;
	for (size_t i = 0; i < watch->group.target_count; i++)
		newer += watch->targets[i].report.term > watch->term;
	return newer < kb_group_majority(&watch->group) ? watch->primary
							: KB_NO_TARGET;
}

uint64_t kb_watch_highest_term(const kb_watch_t *watch)
{
	uint64_t highest = 0;

	for (size_t i = 0; i < watch->group.target_count; i++)
		if (watch->targets[i].report.term > highest)
			highest = watch->targets[i].report.term;
	return highest;
}

kb_time_t kb_watch_confirmed_at(const kb_watch_t *watch)
{
	kb_time_t sent[KB_GROUP_MAX_TARGETS] = { 0 };
	size_t primary = kb_watch_primary(watch);
	size_t count = 0, needed = kb_group_majority(&watch->group) - 1;
	kb_time_t own;

	if (primary == KB_NO_TARGET || !watch->targets[primary].report_probe.id)
		return KB_TIME_NEVER;
	own = watch->targets[primary].report_probe.sent;
	for (size_t i = 0; i < watch->group.target_count; i++) {
		const kb_watch_target_t *target = &watch->targets[i];
		size_t place = count;

		if (i == primary || !target->report_probe.id ||
		    target->report.term != watch->term)
			continue;
		for (; place && sent[place - 1] < target->report_probe.sent;
		     place--)
			sent[place] = sent[place - 1];
		sent[place] = target->report_probe.sent;
		count++;
	}
	if (count < needed)
		return KB_TIME_NEVER;
	return needed && sent[needed - 1] < own ? sent[needed - 1] : own;
}

#include "agent.h"

#include "log.h"
#include "rendezvous.h"

#include <inttypes.h>

enum {
	/* A report that is older no longer gives the age of a replica. */
	REPORT_MAX_AGE_MS = 2000,
};

static kb_time_t agent_now(const kb_agent_t *agent)
{
	return kb_clock_monotonic(agent->clock);
}

static void schedule(kb_agent_t *agent, kb_time_t at)
{
	kb_wakeup_schedule(&agent->wakeup, at);
}

static void on_wakeup(void *ctx, kb_time_t now)
{
	kb_agent_t *agent = ctx;

	schedule(agent, kb_failover_on_timer(&agent->failover, now));
	schedule(agent, kb_confirm_on_timer(&agent->confirm, now));
}

static void send_command(kb_agent_t *agent, size_t target,
			 const kb_control_command_t *command)
{
	kb_result_t result;

	if (target >= agent->control_count)
		return;
	/* The state machines repeat a command that is not answered. */
	result = kb_control_send(&agent->controls[target], command);
	if (result)
		kb_log(KB_EVENT_TARGET_COMMAND_DROPPED,
		       "group=%s target=%s kind=%d term=%" PRIu64 " result=%s",
		       agent->spec.name.data,
		       agent->spec.targets[target].name.data, command->kind,
		       command->term, kb_result_name(result));
}

static void send_probe(kb_failover_t *failover, size_t target,
		       uint64_t probe_id)
{
	kb_agent_t *agent = (kb_agent_t *)failover;
	kb_control_command_t probe = {
		.kind = KB_CONTROL_PROBE,
		.id = probe_id,
	};

	agent->probes++;
	send_command(agent, target, &probe);
}

static void send_as_promoter(kb_agent_t *agent, size_t target,
			     kb_control_kind_t kind, uint64_t term,
			     kb_event_t event)
{
	kb_control_command_t sent = {
		.kind = kind,
		.term = term,
		.promoter = agent->promoter,
	};

	kb_log(event, "group=%s target=%s term=%" PRIu64, agent->spec.name.data,
	       agent->spec.targets[target].name.data, term);
	send_command(agent, target, &sent);
}

static void send_fence(kb_failover_t *failover, size_t target, uint64_t term)
{
	send_as_promoter((kb_agent_t *)failover, target, KB_CONTROL_FENCE, term,
			 KB_EVENT_FENCE_SENT);
}

static void send_promote(kb_failover_t *failover, size_t target, uint64_t term)
{
	send_as_promoter((kb_agent_t *)failover, target, KB_CONTROL_PROMOTE,
			 term, KB_EVENT_PROMOTE_SENT);
}

static void send_follow(kb_failover_t *failover, size_t target, uint64_t term,
			size_t primary)
{
	kb_agent_t *agent = (kb_agent_t *)failover;
	const kb_target_spec_t *spec = &agent->spec.targets[primary];
	kb_control_command_t follow = {
		.kind = KB_CONTROL_FOLLOW,
		.term = term,
		.address = spec->address,
		.port = spec->port,
	};

	send_command(agent, target, &follow);
}

static void request_views(kb_failover_t *failover)
{
	kb_agent_t *agent = (kb_agent_t *)failover;

	agent->ops->request_views(agent);
}

static void primary_changed(kb_failover_t *failover, uint64_t term,
			    size_t primary, int promoted)
{
	kb_agent_t *agent = (kb_agent_t *)failover;

	agent->ops->primary_changed(agent, term, primary, promoted);
}

static const kb_failover_ops_t failover_ops = {
	.probe = send_probe,
	.fence = send_fence,
	.promote = send_promote,
	.follow = send_follow,
	.request_views = request_views,
	.primary_changed = primary_changed,
};

static kb_command_kind_t command_kind(kb_control_kind_t kind)
{
	switch (kind) {
	case KB_CONTROL_FENCE:
		return KB_COMMAND_FENCE;
	case KB_CONTROL_PROMOTE:
		return KB_COMMAND_PROMOTE;
	default:
		return KB_COMMAND_FOLLOW;
	}
}

static void handle_report(kb_agent_t *agent, size_t target)
{
	kb_time_t sent;
	const kb_report_t *report = kb_agent_report(agent, target, &sent);

	if (!report)
		return;
	kb_freshness_sampler_on_reply(&agent->sampler, target, sent, report);
	agent->ops->reported(agent, target);
}

static void on_ended(kb_control_t *control, const kb_control_command_t *sent,
		     kb_result_t result, const kb_report_t *report)
{
	kb_agent_t *agent = control->owner;
	size_t target = (size_t)(control - agent->controls);
	kb_time_t now = agent_now(agent);
	int granted = result == KB_OK;
	kb_command_t ended;

	if (sent->kind == KB_CONTROL_PROBE) {
		schedule(agent,
			 kb_failover_on_report(&agent->failover, now, target,
					       sent->id, result, report));
		if (!result)
			handle_report(agent, target);
	} else {
		ended.kind = command_kind(sent->kind);
		ended.target = target;
		ended.term = sent->term;
		if (result == KB_ERR_CONFLICT)
			result = KB_OK;
		schedule(agent, kb_failover_on_command_result(
					&agent->failover, now, &ended, result,
					granted, report));
	}
	schedule(agent, kb_confirm_on_timer(&agent->confirm, now));
}

static const kb_control_events_t control_events = {
	.ended = on_ended,
};

static kb_result_t open_controls(kb_agent_t *agent)
{
	while (agent->control_count < agent->spec.target_count) {
		const kb_target_spec_t *target =
			&agent->spec.targets[agent->control_count];
		kb_conn_address_t address = {
			.address = target->address,
			.port = target->port,
			.database = agent->spec.database,
			.answer_limit_bytes = KB_CONTROL_ANSWER_BYTES,
		};
		kb_control_t *control = &agent->controls[agent->control_count];
		kb_result_t result = kb_control_init(control, &control_events,
						     agent, agent->connector,
						     agent->loop, &address);

		if (result)
			return result;
		agent->control_count++;
	}
	return KB_OK;
}

static void close_controls(kb_agent_t *agent)
{
	while (agent->control_count)
		kb_control_finish(&agent->controls[--agent->control_count]);
}

kb_result_t kb_agent_init(kb_agent_t *agent, const kb_agent_setup_t *setup)
{
	kb_failover_params_t params;
	kb_confirm_params_t confirm_params;
	kb_result_t result;

	memset(agent, 0, sizeof(*agent));
	agent->ops = setup->ops;
	agent->owner = setup->owner;
	agent->clock = setup->clock;
	agent->loop = setup->loop;
	agent->connector = setup->connector;
	agent->spec = *setup->group;
	agent->promoter = setup->promoter;
	result = kb_wakeup_init(&agent->wakeup, agent->loop, agent->clock,
				on_wakeup, agent);
	if (result)
		return result;
	kb_failover_params_init(&params);
	params.seed = kb_rendezvous_score(kb_name_str(&setup->promoter),
					  kb_name_str(&setup->group->name));
	kb_confirm_params_init(&confirm_params);
	kb_failover_init(&agent->failover, &failover_ops, &params,
			 &agent->spec);
	kb_freshness_sampler_init(&agent->sampler, agent->spec.target_count);
	kb_confirm_init(&agent->confirm, &agent->failover.watch,
			&confirm_params);
	result = open_controls(agent);
	if (result) {
		kb_agent_finish(agent);
		return result;
	}
	schedule(agent, agent_now(agent));
	return KB_OK;
}

void kb_agent_finish(kb_agent_t *agent)
{
	close_controls(agent);
	kb_confirm_finish(&agent->confirm);
	kb_failover_finish(&agent->failover);
	kb_wakeup_finish(&agent->wakeup);
}

kb_result_t kb_agent_set_group(kb_agent_t *agent, const kb_group_spec_t *group)
{
	close_controls(agent);
	agent->spec = *group;
	kb_freshness_sampler_init(&agent->sampler, group->target_count);
	schedule(agent, kb_failover_set_group(&agent->failover,
					      agent_now(agent), group));
	return open_controls(agent);
}

void kb_agent_set_watchers(kb_agent_t *agent, size_t count, size_t rank)
{
	schedule(agent,
		 kb_failover_set_watchers(&agent->failover, agent_now(agent),
					  count, rank));
}

void kb_agent_on_view(kb_agent_t *agent, size_t watcher,
		      const kb_primary_view_t *view)
{
	schedule(agent, kb_failover_on_view(&agent->failover, agent_now(agent),
					    watcher, view));
}

void kb_agent_confirm(kb_agent_t *agent, kb_confirm_entry_t *entry)
{
	schedule(agent,
		 kb_confirm_add(&agent->confirm, agent_now(agent), entry));
}

void kb_agent_cancel_confirm(kb_agent_t *agent, kb_confirm_entry_t *entry)
{
	kb_confirm_remove(&agent->confirm, entry);
}

size_t kb_agent_primary(const kb_agent_t *agent)
{
	return kb_failover_primary(&agent->failover);
}

int kb_agent_is_silent(const kb_agent_t *agent, size_t target)
{
	kb_time_t since =
		agent->failover.watch.targets[target].unanswered_since;

	return since != KB_TIME_NEVER &&
	       agent_now(agent) - since >
		       KB_AGENT_SILENT_TIMEOUT_MS * KB_NS_PER_MS;
}

void kb_agent_request_probes(kb_agent_t *agent)
{
	schedule(agent, kb_watch_request_probes(&agent->failover.watch,
						agent_now(agent)));
}

const kb_report_t *kb_agent_report(const kb_agent_t *agent, size_t target,
				   kb_time_t *reported_at)
{
	const kb_watch_target_t *known = &agent->failover.watch.targets[target];

	if (!known->has_report)
		return NULL;
	*reported_at = known->report_probe.sent;
	return &known->report;
}

kb_time_t kb_agent_data_as_of(const kb_agent_t *agent, size_t target)
{
	const kb_watch_target_t *known = &agent->failover.watch.targets[target];

	if (target == kb_agent_primary(agent))
		return kb_watch_confirmed_at(&agent->failover.watch);
	if (!known->has_report)
		return KB_TIME_NEVER;
	return kb_freshness_as_of(&agent->sampler.freshness, &known->report);
}

int kb_agent_includes(const kb_agent_t *agent, size_t target, kb_point_t point)
{
	const kb_watch_target_t *known = &agent->failover.watch.targets[target];

	if (!point.position)
		return 1;
	/* A primary has every write confirmed in its term or earlier ones. */
	if (target == kb_agent_primary(agent))
		return point.term <= kb_failover_term(&agent->failover);
	return known->has_report &&
	       kb_freshness_includes(&known->report, point);
}

/* Returns the data age of a replica at its last report, of a primary now. */
static kb_time_t view_age(const kb_agent_t *agent, size_t target, kb_time_t now)
{
	kb_time_t reached = kb_agent_data_as_of(agent, target);
	kb_time_t at = now;

	if (reached == KB_TIME_NEVER)
		return KB_TIME_NEVER;
	if (target != kb_agent_primary(agent))
		kb_agent_report(agent, target, &at);
	/* The data of a target that no longer reports keeps ageing. */
	if (now - at > REPORT_MAX_AGE_MS * KB_NS_PER_MS)
		at = now;
	return at > reached ? at - reached : 0;
}

void kb_agent_fill_view(kb_agent_t *agent, kbx_group_view *view,
			kbx_target_view items[KB_GROUP_MAX_TARGETS])
{
	kb_time_t now = agent_now(agent);
	size_t primary = kb_agent_primary(agent);

	view->term = kb_failover_term(&agent->failover);
	view->targets.targets_val = items;
	view->targets.targets_len = (u_int)agent->spec.target_count;
	for (size_t i = 0; i < agent->spec.target_count; i++) {
		kb_time_t age = view_age(agent, i, now);

		memset(&items[i], 0, sizeof(items[i]));
		items[i].target = agent->spec.targets[i].name.data;
		items[i].primary = i == primary;
		items[i].age_us =
			age == KB_TIME_NEVER ? -1 : age / KB_NS_PER_US;
		items[i].applied =
			agent->failover.watch.targets[i].report.applied;
	}
}

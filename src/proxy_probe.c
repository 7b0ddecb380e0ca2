#include "proxy_internal.h"

#include <stdlib.h>

/* A call of another host that waits for a target's report. */
typedef struct kb_proxy_reach {
	struct kb_proxy_reach *next;
	kb_rpc_request_t *request;
} kb_proxy_reach_t;

static void answer_reach_calls(kb_proxy_probe_t *probe,
			       const kb_target_report_t *report)
{
	kb_proxy_reach_t *reach;

	while ((reach = probe->reach_calls)) {
		kbs_reach_res res = { 0 };

		probe->reach_calls = reach->next;
		if (report) {
			res.reached = TRUE;
			res.primary = report->is_primary ? TRUE : FALSE;
			res.term = report->term;
		}
		kb_rpc_server_reply(reach->request, &res);
		free(reach);
	}
}

static void on_done(void *ctx, kb_target_probe_t *target,
		    kb_link_command_kind_t kind, kb_result_t result,
		    const kb_target_report_t *report)
{
	kb_proxy_probe_t *probe = ctx;
	kb_time_t now = kb_clock_monotonic(probe->group->proxy->clock);

	/* A step-down command is answered with a report, too. */
	if (kind != KB_LINK_COMMAND_STATUS && !report)
		return;
	answer_reach_calls(probe, report);
	if (report) {
		probe->report = *report;
		probe->report_requested_at = target->started_at;
		kb_proxy_vacancy_on_report(probe->group, report);
	}
	if (probe->for_monitor) {
		probe->for_monitor = 0;
		kb_monitor_on_probe(&probe->group->monitor,
				    kb_name_str(&target->place.target), result,
				    report, target->started_at, now);
		kb_proxy_wake(probe->group->proxy);
	}
}

kb_proxy_probe_t *kb_proxy_probe_find(const kb_proxy_group_t *group,
				      const kb_target_entry_t *target)
{
	for (size_t i = 0; i < group->probe_count; i++)
		if (kb_name_is(&group->probes[i]->probe.place.target,
			       kb_name_str(&target->place.target)))
			return group->probes[i];
	return NULL;
}

kb_proxy_probe_t *kb_proxy_probe_get(kb_proxy_group_t *group,
				     const kb_target_entry_t *target)
{
	kb_proxy_probe_t *probe = kb_proxy_probe_find(group, target);

	if (probe) {
		kb_target_probe_set_place(&probe->probe, &target->place);
		return probe;
	}
	if (group->probe_count == KB_MONITOR_TARGETS_MAX)
		return NULL;
	probe = calloc(1, sizeof(*probe));
	if (!probe)
		return NULL;
	kb_target_probe_init(&probe->probe, group->proxy->setup.connector,
			     group->proxy->clock, &target->place);
	probe->probe.done = on_done;
	probe->probe.ctx = probe;
	probe->group = group;
	group->probes[group->probe_count++] = probe;
	return probe;
}

static void free_probe(kb_proxy_probe_t *probe)
{
	answer_reach_calls(probe, NULL);
	kb_target_probe_finish(&probe->probe);
	free(probe);
}

void kb_proxy_probes_tick(kb_proxy_group_t *group)
{
	size_t i = 0;

	while (i < group->probe_count) {
		kb_proxy_probe_t *probe = group->probes[i];

		if (kb_target_list_find(
			    &group->proxy->targets,
			    kb_name_str(&probe->probe.place.target))) {
			kb_target_probe_tick(&probe->probe);
			i++;
			continue;
		}
		group->probes[i] = group->probes[--group->probe_count];
		free_probe(probe);
	}
}

void kb_proxy_probes_finish(kb_proxy_group_t *group)
{
	while (group->probe_count)
		free_probe(group->probes[--group->probe_count]);
}

void kb_proxy_probe_reach(kb_proxy_group_t *group, kb_rpc_request_t *request,
			  const kbs_reach_args *args)
{
	const kb_target_entry_t *target =
		group ? kb_target_list_find(&group->proxy->targets,
					    kb_text_str(args->target))
		      : NULL;
	kb_proxy_probe_t *probe =
		target ? kb_proxy_probe_get(group, target) : NULL;
	kb_proxy_reach_t *reach = probe ? calloc(1, sizeof(*reach)) : NULL;
	kbs_reach_res none = { 0 };

	if (!reach) {
		kb_rpc_server_reply(request, &none);
		return;
	}
	reach->request = request;
	reach->next = probe->reach_calls;
	probe->reach_calls = reach;
	kb_target_probe_send(&probe->probe, KB_LINK_COMMAND_STATUS, 0);
}

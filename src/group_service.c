#include "group_service.h"

#include "group_assignment.h"
#include "group_view.h"
#include "log.h"
#include "rendezvous.h"

#include <stdlib.h>

enum {
	/* Time for work in flight at a gate that moves to another host. */
	GATE_DRAIN_MS = 2000,
};

static void request_views(kb_agent_t *agent)
{
	kb_group_service_t *service = (kb_group_service_t *)agent;

	for (size_t i = 0; i < service->watcher_count; i++)
		if (!service->watchers[i]->self)
			kb_group_view_request(service, service->watchers[i]);
}

static void primary_changed(kb_agent_t *agent, uint64_t term, size_t primary,
			    int promoted)
{
	(void)agent;
	(void)term;
	(void)primary;
	(void)promoted;
}

static void reported(kb_agent_t *agent, size_t target)
{
	kb_group_service_t *service = (kb_group_service_t *)agent;

	(void)target;
	for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++)
		if (service->gates[i])
			kb_target_gate_on_report(service->gates[i]);
}

static const kb_agent_ops_t agent_ops = {
	.request_views = request_views,
	.primary_changed = primary_changed,
	.reported = reported,
};

kb_group_service_t *kb_group_services_find(const kb_group_services_t *services,
					   kb_str_t group)
{
	kb_group_service_t *service = services->first;

	while (service && !kb_name_is(&service->spec.name, group))
		service = service->next;
	return service;
}

kb_primary_view_t kb_group_services_view(kb_group_services_t *services,
					 kb_str_t group)
{
	kb_group_service_t *service = kb_group_services_find(services, group);
	kb_primary_view_t unknown = { KB_HEALTH_UNKNOWN, 0 };

	if (!service)
		return unknown;
	return kb_failover_view(&service->agent.failover,
				kb_clock_monotonic(services->clock));
}

static void add_classes(kb_group_services_t *services, kb_target_gate_t *gate)
{
	const kb_catalog_t *catalog = services->catalog;

	for (size_t i = 0; i < catalog->count; i++)
		if (catalog->resources[i]->kind == KB_KIND_TRAFFIC_CLASS)
			kb_target_gate_set_class(
				gate,
				&catalog->resources[i]->spec.u.traffic_class);
}

static void open_gate(kb_group_services_t *services,
		      kb_group_service_t *service, size_t index)
{
	kb_target_gate_t *gate = service->gates[index];
	const kb_target_spec_t *target = &service->spec.targets[index];

	if (gate) {
		kb_target_gate_resume(gate);
		return;
	}
	gate = malloc(sizeof(*gate));
	if (!gate)
		return;
	if (kb_target_gate_init(
		    gate, &service->agent, index, services->connector,
		    services->loop, services->clock,
		    services->answer_limit_bytes,
		    kb_rendezvous_score(kb_name_str(&services->promoter),
					kb_name_str(&target->name)))) {
		free(gate);
		return;
	}
	gate->trace = services->trace;
	add_classes(services, gate);
	service->gates[index] = gate;
	kb_log(KB_EVENT_GATE_OPENED, "group=%s target=%s",
	       service->spec.name.data, target->name.data);
}

static void close_gate(kb_group_service_t *service, size_t index)
{
	kb_target_gate_t *gate = service->gates[index];

	if (!gate)
		return;
	service->gates[index] = NULL;
	kb_log(KB_EVENT_GATE_CLOSED, "group=%s target=%s",
	       service->spec.name.data, gate->spec.name.data);
	kb_target_gate_finish(gate);
	free(gate);
}

/* Drains a gate that moved to another host; closes it once it is idle. */
static void drain_gate(kb_group_services_t *services,
		       kb_group_service_t *service, size_t index)
{
	kb_target_gate_t *gate = service->gates[index];

	if (!gate)
		return;
	if (kb_target_gate_is_idle(gate)) {
		close_gate(service, index);
		return;
	}
	kb_target_gate_drain(gate, kb_clock_monotonic(services->clock) +
					   GATE_DRAIN_MS * KB_NS_PER_MS);
}

static int same_endpoint(const kb_target_spec_t *a, const kb_target_spec_t *b)
{
	return kb_name_is(&a->name, kb_name_str(&b->name)) &&
	       kb_name_is(&a->address, kb_name_str(&b->address)) &&
	       a->port == b->port;
}

/*
 * Applies a changed declaration. Closes the gates of targets that are gone or
 * have another address; update_gates() opens new ones.
 */
static void change_group(kb_group_service_t *service,
			 const kb_group_spec_t *group)
{
	for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++) {
		if (!service->gates[i])
			continue;
		if (i < group->target_count &&
		    same_endpoint(&service->spec.targets[i],
				  &group->targets[i]))
			kb_target_gate_set_spec(service->gates[i],
						&group->targets[i]);
		else
			close_gate(service, i);
	}
	service->spec = *group;
	kb_agent_set_group(&service->agent, group);
}

static kb_group_service_t *add_service(kb_group_services_t *services,
				       const kb_group_spec_t *group)
{
	kb_agent_setup_t setup = {
		.loop = services->loop,
		.clock = services->clock,
		.connector = services->connector,
		.group = group,
		.promoter = services->promoter,
		.ops = &agent_ops,
		.owner = services,
	};
	kb_group_service_t *service = calloc(1, sizeof(*service));

	if (!service)
		return NULL;
	service->spec = *group;
	if (kb_agent_init(&service->agent, &setup)) {
		free(service);
		return NULL;
	}
	service->next = services->first;
	services->first = service;
	return service;
}

static void remove_service(kb_group_services_t *services,
			   kb_group_service_t *service)
{
	kb_group_service_t **link = &services->first;

	while (*link != service)
		link = &(*link)->next;
	*link = service->next;
	for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++)
		close_gate(service, i);
	kb_agent_finish(&service->agent);
	free(service);
}

static int has_gates(const kb_group_service_t *service)
{
	for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++)
		if (service->gates[i])
			return 1;
	return 0;
}

static void set_watchers(kb_group_service_t *service,
			 const kb_group_assignment_t *assignment)
{
	size_t count = assignment->watcher_count;
	int watches = assignment->rank < count;

	if (service->watcher_count == count &&
	    !memcmp(service->watchers, assignment->watchers,
		    count * sizeof(assignment->watchers[0])))
		return;
	memcpy(service->watchers, assignment->watchers,
	       sizeof(service->watchers));
	service->watcher_count = count;
	kb_agent_set_watchers(&service->agent, watches ? count : 0,
			      watches ? assignment->rank : 0);
}

static void update_gates(kb_group_services_t *services,
			 kb_group_service_t *service,
			 const kb_group_assignment_t *assignment)
{
	for (size_t i = 0; i < service->spec.target_count; i++) {
		if (assignment->is_gate[i])
			open_gate(services, service, i);
		else
			drain_gate(services, service, i);
	}
}

/* Returns non-zero if a gate that moved away still has work. */
static int update_group(kb_group_services_t *services,
			const kb_group_placement_t *group)
{
	kb_group_service_t *service = kb_group_services_find(
		services, kb_name_str(&group->spec.name));
	kb_group_assignment_t assignment;

	kb_group_assignment_find(services->placements, services->hosts, group,
				 &assignment);
	if (!service && assignment.needed)
		service = add_service(services, &group->spec);
	if (!service)
		return 0;
	if (!kb_group_spec_equal(&service->spec, &group->spec))
		change_group(service, &group->spec);
	set_watchers(service, &assignment);
	update_gates(services, service, &assignment);
	if (!assignment.needed && !has_gates(service)) {
		remove_service(services, service);
		return 0;
	}
	for (size_t i = 0; i < group->spec.target_count; i++)
		if (service->gates[i] && !assignment.is_gate[i])
			return 1;
	return 0;
}

int kb_group_services_update(kb_group_services_t *services)
{
	const kb_placements_t *placements = services->placements;
	kb_group_service_t *service = services->first;
	int unfinished = 0;

	while (service) {
		kb_group_service_t *next = service->next;

		if (!kb_placements_find(placements,
					kb_name_str(&service->spec.name)))
			remove_service(services, service);
		service = next;
	}
	for (size_t i = 0; i < placements->count; i++) {
		kb_group_placement_t *group = placements->groups[i];

		if (!group->changed)
			continue;
		group->changed = update_group(services, group);
		unfinished |= group->changed;
	}
	return unfinished;
}

void kb_group_services_finish(kb_group_services_t *services)
{
	while (services->first)
		remove_service(services, services->first);
}

/*
 * Returns the result of a request to a gate that is not here. A COMMIT may
 * have run here before the gate moved, and its answer been lost.
 */
static kb_result_t not_gate_result(const kbx_execute_args *args)
{
	return args->action == KBX_ACTION_COMMIT ? KB_ERR_UNKNOWN
						 : KB_ERR_NOT_GATE;
}

static void refuse(kb_gate_done_fn_t *done, void *ctx, kb_result_t result)
{
	kbx_execute_res res;

	memset(&res, 0, sizeof(res));
	res.result = result;
	res.message = (char *)kb_strerror(result);
	res.transaction = "";
	done(ctx, &res);
}

void kb_group_services_execute(kb_group_services_t *services,
			       const kbx_execute_args *args,
			       kb_gate_done_fn_t *done, void *ctx)
{
	kb_group_service_t *service =
		kb_group_services_find(services, kb_str_from(args->group));
	size_t index;

	if (!service) {
		refuse(done, ctx, not_gate_result(args));
		return;
	}
	index = kb_group_find_target(&service->spec, kb_str_from(args->target));
	if (index == service->spec.target_count || !service->gates[index]) {
		refuse(done, ctx, not_gate_result(args));
		return;
	}
	kb_target_gate_execute(service->gates[index], args, done, ctx);
}

void kb_group_services_set_class(kb_group_services_t *services,
				 const kb_traffic_class_t *spec)
{
	for (kb_group_service_t *service = services->first; service;
	     service = service->next)
		for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++)
			if (service->gates[i])
				kb_target_gate_set_class(service->gates[i],
							 spec);
}

void kb_group_services_drain(kb_group_services_t *services, kb_time_t until)
{
	for (kb_group_service_t *service = services->first; service;
	     service = service->next)
		for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++)
			if (service->gates[i])
				kb_target_gate_drain(service->gates[i], until);
}

int kb_group_services_are_idle(const kb_group_services_t *services)
{
	for (const kb_group_service_t *service = services->first; service;
	     service = service->next)
		for (size_t i = 0; i < KB_GROUP_MAX_TARGETS; i++)
			if (service->gates[i] &&
			    !kb_target_gate_is_idle(service->gates[i]))
				return 0;
	return 1;
}

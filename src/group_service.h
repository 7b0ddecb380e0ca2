#ifndef KB_GROUP_SERVICE_H
#define KB_GROUP_SERVICE_H

#include "agent.h"
#include "hosts.h"
#include "placements.h"
#include "target_gate.h"

KB_BEGIN_DECLS

/* What this host does for one group: watching it, and its targets' gates. */
typedef struct kb_group_service {
	kb_agent_t agent;
	kb_group_spec_t spec;
	/* Gates on this host by index of the target, or NULL. */
	kb_target_gate_t *gates[KB_GROUP_MAX_TARGETS];
	kb_host_t *watchers[KB_WATCHERS_MAX];
	size_t watcher_count;
	struct kb_group_service *next;
} kb_group_service_t;

/* What the services of a host have in common. */
typedef struct kb_group_services {
	struct event_base *loop;
	kb_clock_t *clock;
	kb_connector_t *connector;
	kb_hosts_t *hosts;
	const kb_placements_t *placements;
	const kb_catalog_t *catalog;
	size_t answer_limit_bytes;
	/* May be NULL. */
	kb_trace_t *trace;
	kb_name_t promoter;
	kb_group_service_t *first;
} kb_group_services_t;

/*
 * Brings the services in line with the placements: begins and ends watching,
 * opens and closes gates. Returns non-zero if a gate that moved away still
 * has work, so that another call is needed later.
 */
int kb_group_services_update(kb_group_services_t *services);

/* Ends all services. */
void kb_group_services_finish(kb_group_services_t *services);

/* Returns the service of a group, or NULL. */
kb_group_service_t *kb_group_services_find(const kb_group_services_t *services,
					   kb_str_t group);

/* Executes a request at a gate of this host. */
void kb_group_services_execute(kb_group_services_t *services,
			       const kbx_execute_args *args,
			       kb_gate_done_fn_t *done, void *ctx);

/* Returns the view of a group's primary for another watcher. */
kb_primary_view_t kb_group_services_view(kb_group_services_t *services,
					 kb_str_t group);

/* Adds or changes a traffic class at all gates. */
void kb_group_services_set_class(kb_group_services_t *services,
				 const kb_traffic_class_t *spec);

/* Gives up all gates; work in flight goes on until `until`. */
void kb_group_services_drain(kb_group_services_t *services, kb_time_t until);

/* Returns non-zero if no gate has work left. */
int kb_group_services_are_idle(const kb_group_services_t *services);

KB_END_DECLS

#endif

#ifndef KB_DAEMON_H
#define KB_DAEMON_H

#include "caller_api.h"
#include "configuration.h"
#include "daemon_view.h"
#include "fleet.h"
#include "group_service.h"
#include "operator_api.h"
#include "pq.h"
#include "rpc_server.h"
#include "trace_file.h"

KB_BEGIN_DECLS

struct kb_daemon {
	const kb_settings_t *settings;
	kb_clock_t *clock;
	struct event_base *loop;
	struct event *signals[2];
	struct event *drain_timer;
	kb_pq_connector_t connector;
	kb_trace_t trace;
	kb_trace_file_t trace_file;
	kb_fleet_t fleet;
	kb_hosts_t hosts;
	kb_placements_t placements;
	struct event *update_timer;
	kb_catalog_t catalog;
	kb_group_services_t services;
	kb_rpc_server_t server;
	kb_router_t router;
	kb_caller_api_t callers;
	kb_configuration_t configuration;
	kb_daemon_view_t view;
	kb_accounts_t operators;
	kb_operator_api_t operator_api;
	/* Wall-clock time of the process's start. */
	kb_time_t started_at;
	/* Set for each of the parts above that is initialized. */
	int has_hosts, has_fleet, has_server, has_router, has_callers;
	int has_configuration, has_operators;
	int stopping;
	/* Earliest and latest end of a planned stop. */
	kb_time_t linger_until;
	kb_time_t drain_until;
	/* Callers' requests counted at the last check of the drain. */
	uint64_t drain_requests;
	kb_result_t result;
};

KB_END_DECLS

#endif

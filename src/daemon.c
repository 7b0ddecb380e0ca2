#include "daemon_internal.h"

#include "daemon_metrics.h"
#include "log.h"
#include "loop.h"

#include <event2/event.h>
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

enum {
	MESSAGE_BYTES = 512,
};

static kb_daemon_t *from_router(kb_router_t *router)
{
	return (kb_daemon_t *)((char *)router - offsetof(kb_daemon_t, router));
}

static kb_host_t *gate_host(kb_router_t *router, const kb_group_spec_t *group,
			    size_t index)
{
	kb_daemon_t *daemon = from_router(router);
	const kb_group_placement_t *placement = kb_placements_find(
		&daemon->placements, kb_name_str(&group->name));
	const kb_member_t *gate;

	if (!placement || index >= placement->spec.target_count)
		return NULL;
	gate = kb_placements_gate(&daemon->placements, placement, index);
	return gate ? kb_hosts_find(&daemon->hosts, kb_member_name(gate))
		    : NULL;
}

static void execute(kb_router_t *router, const kbx_execute_args *args,
		    kb_gate_done_fn_t *done, void *ctx)
{
	kb_group_services_execute(&from_router(router)->services, args, done,
				  ctx);
}

static void call_failed(kb_router_t *router, kb_host_t *host)
{
	kb_fleet_call_failed(&from_router(router)->fleet,
			     kb_name_str(&host->name));
}

static const kb_router_ops_t router_ops = {
	.gate_host = gate_host,
	.execute = execute,
	.call_failed = call_failed,
};

static kb_result_t add_events(kb_daemon_t *daemon)
{
	daemon->signals[0] = evsignal_new(daemon->loop, SIGTERM,
					  kb_daemon_on_signal, daemon);
	daemon->signals[1] =
		evsignal_new(daemon->loop, SIGINT, kb_daemon_on_signal, daemon);
	daemon->drain_timer =
		evtimer_new(daemon->loop, kb_daemon_on_drain_timer, daemon);
	daemon->update_timer =
		evtimer_new(daemon->loop, kb_daemon_on_update, daemon);
	if (!daemon->update_timer || !daemon->signals[0] ||
	    !daemon->signals[1] || !daemon->drain_timer ||
	    event_add(daemon->signals[0], NULL) ||
	    event_add(daemon->signals[1], NULL))
		return KB_ERR_NO_MEMORY;
	return KB_OK;
}

static kb_result_t join_fleet(kb_daemon_t *daemon)
{
	kb_result_t result =
		kb_hosts_init(&daemon->hosts, daemon->loop, daemon->settings);

	daemon->has_hosts = 1;
	if (result)
		return result;
	result = kb_fleet_init(&daemon->fleet, &kb_daemon_fleet_ops,
			       daemon->loop, daemon->clock, daemon->settings,
			       &daemon->hosts);
	if (result) {
		kb_log(KB_EVENT_LISTEN_FAILED, "key=listen.hosts");
		return result;
	}
	daemon->has_fleet = 1;
	return KB_OK;
}

static kb_result_t load_seed(kb_daemon_t *daemon)
{
	char message[MESSAGE_BYTES];
	kb_result_t result;

	if (!daemon->settings->seed_path[0])
		return KB_OK;
	result = kb_catalog_load(&daemon->catalog, daemon->settings->seed_path,
				 message, sizeof(message));
	if (result)
		fprintf(stderr, "%s: %s\n", daemon->settings->seed_path,
			message);
	return result;
}

/* Makes an id that no other process uses as a promoter. */
static void make_promoter(kb_daemon_t *daemon)
{
	char text[KB_NAME_MAX_BYTES + 1];

	snprintf(text, sizeof(text), "%.40s.%08" PRIx32,
		 daemon->settings->host.data, randombytes_random());
	kb_name_set(&daemon->services.promoter, kb_str_from(text));
}

static kb_result_t add_operators(kb_daemon_t *daemon)
{
	const kb_settings_t *settings = daemon->settings;
	kb_result_t result = KB_OK;

	kb_accounts_init(&daemon->operators);
	for (size_t i = 0; !result && i < settings->operator_count; i++) {
		const kb_settings_account_t *account = &settings->operators[i];

		result = kb_accounts_add(
			&daemon->operators, kb_name_str(&account->name),
			account->may_write ? KB_ACCOUNT_WRITE : KB_ACCOUNT_READ,
			(kb_str_t){ account->secret, account->secret_len });
	}
	return result;
}

static kb_result_t start_operator_api(kb_daemon_t *daemon)
{
	const kb_endpoint_t *listen = &daemon->settings->listen_operators;
	kb_operator_api_settings_t setup = {
		.base = daemon->loop,
		.clock = daemon->clock,
		.store = &daemon->configuration.etcd.store,
		.view = &daemon->view.view,
		.accounts = &daemon->operators,
		.address = kb_name_str(&listen->address),
		.port = listen->port,
	};
	kb_result_t result;

	if (!listen->port)
		return KB_OK;
	result = kb_daemon_view_init(&daemon->view, daemon->loop,
				     &daemon->configuration, &daemon->services,
				     &daemon->hosts);
	if (!result)
		result = add_operators(daemon);
	if (!result)
		result = kb_operator_api_init(&daemon->operator_api, &setup);
	daemon->has_operators = !result;
	return result;
}

static kb_result_t start_configuration(kb_daemon_t *daemon)
{
	kb_configuration_setup_t setup = {
		.loop = daemon->loop,
		.clock = daemon->clock,
		.catalog = &daemon->catalog,
		.fleet = &daemon->fleet,
		.hosts = &daemon->hosts,
		.store = daemon->settings->store,
		.store_deadline = daemon->settings->store_deadline,
	};
	kb_result_t result;

	randombytes_buf(&setup.seed, sizeof(setup.seed));
	result = kb_configuration_init(&daemon->configuration, &setup);
	daemon->has_configuration = !result;
	return result;
}

/* Traces, if the settings name a file; a faulty file ends only the traces. */
static void open_trace(kb_daemon_t *daemon)
{
	const kb_settings_t *settings = daemon->settings;

	daemon->trace.clock = daemon->clock;
	daemon->trace.sampling = settings->trace_sampling;
	if (!settings->trace_path[0])
		return;
	if (kb_trace_file_init(&daemon->trace_file, daemon->loop,
			       settings->trace_path, &settings->host))
		kb_log(KB_EVENT_TRACE_FAILED, "path=%s", settings->trace_path);
	else
		daemon->trace.exporter = &daemon->trace_file.base;
}

static void set_up_services(kb_daemon_t *daemon)
{
	kb_pq_connector_init(&daemon->connector, daemon->loop);
	daemon->services.loop = daemon->loop;
	daemon->services.trace = &daemon->trace;
	daemon->services.clock = daemon->clock;
	daemon->services.connector = &daemon->connector.base;
	daemon->services.hosts = &daemon->hosts;
	daemon->services.placements = &daemon->placements;
	daemon->services.catalog = &daemon->catalog;
	daemon->services.answer_limit_bytes =
		(size_t)daemon->settings->answer_bytes;
	make_promoter(daemon);
}

static kb_result_t set_up(kb_daemon_t *daemon)
{
	kb_result_t result;

	daemon->loop = event_base_new();
	if (!daemon->loop)
		return KB_ERR_NO_MEMORY;
	if (sodium_init() < 0)
		return KB_ERR_IO;
	kb_catalog_init(&daemon->catalog);
	kb_placements_init(&daemon->placements, &daemon->fleet.members);
	open_trace(daemon);
	set_up_services(daemon);
	result = add_events(daemon);
	if (!result)
		result = join_fleet(daemon);
	if (result)
		return result;
	daemon->catalog.changed = kb_daemon_on_resource;
	daemon->catalog.ctx = daemon;
	result = load_seed(daemon);
	if (result)
		return result;
	kb_router_init(&daemon->router, &router_ops, daemon->loop,
		       daemon->clock, &daemon->hosts, &daemon->catalog,
		       daemon->settings->link_bytes);
	daemon->has_router = 1;
	daemon->router.trace = &daemon->trace;
	result = kb_daemon_start_rpc_server(daemon);
	if (result) {
		kb_log(KB_EVENT_LISTEN_FAILED, "key=listen.hosts");
		return result;
	}
	result = kb_caller_api_init(&daemon->callers, daemon->loop,
				    daemon->settings, daemon->clock,
				    &daemon->router, &daemon->catalog);
	if (result) {
		kb_log(KB_EVENT_LISTEN_FAILED, "key=listen.callers");
		return result;
	}
	daemon->has_callers = 1;
	result = start_configuration(daemon);
	if (result)
		return result;
	result = start_operator_api(daemon);
	if (result) {
		kb_log(KB_EVENT_LISTEN_FAILED, "key=listen.operators");
		return result;
	}
	daemon->callers.trace = &daemon->trace;
	daemon->callers.metrics = kb_daemon_metrics_write;
	daemon->callers.metrics_ctx = daemon;
	kb_daemon_schedule_update(daemon);
	return KB_OK;
}

kb_result_t kb_daemon_create(kb_daemon_t **out, const kb_settings_t *settings,
			     kb_clock_t *clock)
{
	kb_daemon_t *daemon = calloc(1, sizeof(*daemon));
	kb_result_t result;

	if (!daemon)
		return KB_ERR_NO_MEMORY;
	daemon->settings = settings;
	daemon->clock = clock;
	daemon->started_at = kb_clock_wall(clock);
	result = set_up(daemon);
	if (result) {
		kb_daemon_free(daemon);
		return result;
	}
	*out = daemon;
	return KB_OK;
}

/* Each caller, host and target connection takes a descriptor. */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

kb_result_t kb_daemon_run(kb_daemon_t *daemon)
{
	raise_descriptor_limit();
	signal(SIGPIPE, SIG_IGN);
	kb_log(KB_EVENT_DAEMON_STARTED, "version=%s", kb_version_string());
	if (event_base_dispatch(daemon->loop) < 0)
		daemon->result = KB_ERR_IO;
	kb_log(KB_EVENT_DAEMON_STOPPED, "result=%s",
	       kb_result_name(daemon->result));
	return daemon->result;
}

static void free_event(struct event *event)
{
	if (event)
		event_free(event);
}

void kb_daemon_free(kb_daemon_t *daemon)
{
	if (!daemon)
		return;
	if (daemon->has_operators)
		kb_operator_api_finish(&daemon->operator_api);
	kb_accounts_finish(&daemon->operators);
	kb_daemon_view_finish(&daemon->view);
	if (daemon->has_configuration)
		kb_configuration_finish(&daemon->configuration);
	kb_group_services_finish(&daemon->services);
	kb_placements_finish(&daemon->placements);
	if (daemon->has_fleet)
		kb_fleet_finish(&daemon->fleet);
	if (daemon->has_hosts)
		kb_hosts_finish(&daemon->hosts);
	if (daemon->has_callers)
		kb_caller_api_finish(&daemon->callers);
	if (daemon->has_router)
		kb_router_finish(&daemon->router);
	kb_trace_file_finish(&daemon->trace_file);
	if (daemon->has_server)
		kb_rpc_server_finish(&daemon->server);
	kb_catalog_finish(&daemon->catalog);
	free_event(daemon->signals[0]);
	free_event(daemon->signals[1]);
	free_event(daemon->drain_timer);
	free_event(daemon->update_timer);
	kb_loop_free(daemon->loop);
	free(daemon);
}

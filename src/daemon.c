#include "daemon.h"

#include "daemon_metrics.h"
#include "log.h"

#include <event2/event.h>
#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	DRAIN_POLL_MS = 20,
	/* Pause before gates that moved away are looked at again. */
	UPDATE_POLL_MS = 50,
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

static void update_soon(kb_daemon_t *daemon)
{
	struct timeval now = { 0, 0 };

	event_add(daemon->update_timer, &now);
}

static void on_update(evutil_socket_t fd, short what, void *arg)
{
	struct timeval later = { 0, UPDATE_POLL_MS * 1000 };
	kb_daemon_t *daemon = arg;

	(void)fd;
	(void)what;
	if (kb_group_services_update(&daemon->services))
		event_add(daemon->update_timer, &later);
}

static void on_fleet_changed(kb_fleet_t *fleet, const kb_member_t *member)
{
	kb_daemon_t *daemon =
		(kb_daemon_t *)((char *)fleet - offsetof(kb_daemon_t, fleet));

	kb_placements_on_member(&daemon->placements, member);
	update_soon(daemon);
}

static void on_superseded(kb_fleet_t *fleet)
{
	kb_daemon_t *daemon =
		(kb_daemon_t *)((char *)fleet - offsetof(kb_daemon_t, fleet));

	daemon->result = KB_ERR_CONFLICT;
	event_base_loopbreak(daemon->loop);
}

static const kb_fleet_ops_t fleet_ops = {
	.changed = on_fleet_changed,
	.superseded = on_superseded,
};

static void on_resource(void *ctx, kb_kind_t kind, kb_str_t name,
			const kb_resource_t *resource)
{
	kb_daemon_t *daemon = ctx;

	if (kind == KB_KIND_GROUP && resource)
		kb_placements_put(&daemon->placements, &resource->spec.u.group);
	else if (kind == KB_KIND_GROUP)
		kb_placements_remove(&daemon->placements, name);
	else if (kind == KB_KIND_TRAFFIC_CLASS && resource)
		kb_group_services_set_class(&daemon->services,
					    &resource->spec.u.traffic_class);
	update_soon(daemon);
}

static void reply_execute(void *ctx, const kbx_execute_res *res)
{
	kb_rpc_server_reply(ctx, res);
}

static void serve_execute(void *ctx, kb_rpc_request_t *request, void *args)
{
	kb_daemon_t *daemon = ctx;

	kb_group_services_execute(&daemon->services, args, reply_execute,
				  request);
}

static void serve_view(void *ctx, kb_rpc_request_t *request, void *args)
{
	kb_daemon_t *daemon = ctx;
	const kbx_view_args *question = args;
	kb_view_t view = kb_group_services_view(&daemon->services,
						kb_str_from(question->group));
	kbx_view_res res = { (int)view.health, view.term };

	kb_rpc_server_reply(request, &res);
}

static kb_result_t start_server(kb_daemon_t *daemon)
{
	const kb_rpc_procedure_t procedures[] = {
		{ KUMQUAT_EXECUTE, (xdrproc_t)xdr_kbx_execute_args,
		  sizeof(kbx_execute_args), (xdrproc_t)xdr_kbx_execute_res,
		  serve_execute, daemon },
		{ KUMQUAT_VIEW, (xdrproc_t)xdr_kbx_view_args,
		  sizeof(kbx_view_args), (xdrproc_t)xdr_kbx_view_res,
		  serve_view, daemon },
	};
	struct sockaddr_storage address;
	kb_result_t result;
	socklen_t len;

	result = kb_endpoint_resolve(&daemon->settings->listen_hosts, &address,
				     &len);
	if (!result)
		result = kb_rpc_server_init(&daemon->server, daemon->loop,
					    (struct sockaddr *)&address, len);
	if (result)
		return result;
	daemon->has_server = 1;
	for (size_t i = 0; i < sizeof(procedures) / sizeof(procedures[0]); i++)
		kb_rpc_server_add(&daemon->server, &procedures[i]);
	return KB_OK;
}

static int is_drained(const kb_daemon_t *daemon)
{
	return !daemon->callers.active &&
	       kb_group_services_are_idle(&daemon->services);
}

static void on_drain_timer(evutil_socket_t fd, short what, void *arg)
{
	kb_daemon_t *daemon = arg;
	struct timeval poll = { 0, DRAIN_POLL_MS * 1000 };
	int expired = kb_clock_monotonic(daemon->clock) >= daemon->drain_until;

	(void)fd;
	(void)what;
	if (!is_drained(daemon) && !expired) {
		event_add(daemon->drain_timer, &poll);
		return;
	}
	daemon->result = is_drained(daemon) ? KB_OK : KB_ERR_TIMEOUT;
	kb_fleet_announce_exit(&daemon->fleet);
	event_base_loopbreak(daemon->loop);
}

static void begin_stop(kb_daemon_t *daemon)
{
	struct timeval poll = { 0, DRAIN_POLL_MS * 1000 };

	daemon->stopping = 1;
	daemon->drain_until = kb_clock_monotonic(daemon->clock) +
			      daemon->settings->drain_grace;
	kb_log(KB_EVENT_STOP_REQUESTED, "host=%s", daemon->settings->host.data);
	daemon->hosts.self->leaving = 1;
	kb_fleet_set_leaving(&daemon->fleet, 1);
	kb_caller_api_drain(&daemon->callers);
	kb_group_services_drain(&daemon->services, daemon->drain_until);
	event_add(daemon->drain_timer, &poll);
}

static void on_signal(evutil_socket_t signal_number, short what, void *arg)
{
	kb_daemon_t *daemon = arg;

	(void)signal_number;
	(void)what;
	if (!daemon->stopping) {
		begin_stop(daemon);
		return;
	}
	kb_log(KB_EVENT_STOP_FORCED, "host=%s", daemon->settings->host.data);
	daemon->result = KB_ERR_TIMEOUT;
	event_base_loopbreak(daemon->loop);
}

static kb_result_t add_events(kb_daemon_t *daemon)
{
	daemon->signals[0] =
		evsignal_new(daemon->loop, SIGTERM, on_signal, daemon);
	daemon->signals[1] =
		evsignal_new(daemon->loop, SIGINT, on_signal, daemon);
	daemon->drain_timer = evtimer_new(daemon->loop, on_drain_timer, daemon);
	daemon->update_timer = evtimer_new(daemon->loop, on_update, daemon);
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
	result = kb_fleet_init(&daemon->fleet, &fleet_ops, daemon->loop,
			       daemon->clock, daemon->settings, &daemon->hosts);
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

static void set_up_services(kb_daemon_t *daemon)
{
	kb_pq_connector_init(&daemon->connector, daemon->loop);
	daemon->services.loop = daemon->loop;
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
	set_up_services(daemon);
	result = add_events(daemon);
	if (!result)
		result = join_fleet(daemon);
	if (result)
		return result;
	daemon->catalog.changed = on_resource;
	daemon->catalog.ctx = daemon;
	result = load_seed(daemon);
	if (result)
		return result;
	kb_router_init(&daemon->router, &router_ops, daemon->loop,
		       daemon->clock, &daemon->hosts, &daemon->catalog,
		       daemon->settings->link_bytes);
	daemon->has_router = 1;
	result = start_server(daemon);
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
	daemon->callers.metrics = kb_daemon_metrics_write;
	daemon->callers.metrics_ctx = daemon;
	update_soon(daemon);
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
	result = set_up(daemon);
	if (result) {
		kb_daemon_free(daemon);
		return result;
	}
	*out = daemon;
	return KB_OK;
}

kb_result_t kb_daemon_run(kb_daemon_t *daemon)
{
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
	if (daemon->has_server)
		kb_rpc_server_finish(&daemon->server);
	kb_catalog_finish(&daemon->catalog);
	free_event(daemon->signals[0]);
	free_event(daemon->signals[1]);
	free_event(daemon->drain_timer);
	free_event(daemon->update_timer);
	if (daemon->loop)
		event_base_free(daemon->loop);
	free(daemon);
}

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
	MESSAGE_BYTES = 512,
};

static kb_daemon_t *from_router(kb_router_t *router)
{
	return (kb_daemon_t *)((char *)router - offsetof(kb_daemon_t, router));
}

static kb_host_t *gate_host(kb_router_t *router, const kb_target_spec_t *target)
{
	return kb_hosts_gate(&from_router(router)->hosts, target);
}

static void execute(kb_router_t *router, const kbx_execute_args *args,
		    kb_gate_done_fn_t *done, void *ctx)
{
	kb_group_services_execute(&from_router(router)->services, args, done,
				  ctx);
}

static void call_failed(kb_router_t *router, kb_host_t *host)
{
	(void)router;
	(void)host;
}

static const kb_router_ops_t router_ops = {
	.gate_host = gate_host,
	.execute = execute,
	.call_failed = call_failed,
};

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
	if (!daemon->signals[0] || !daemon->signals[1] ||
	    !daemon->drain_timer || event_add(daemon->signals[0], NULL) ||
	    event_add(daemon->signals[1], NULL))
		return KB_ERR_NO_MEMORY;
	return KB_OK;
}

static kb_result_t add_peers(kb_daemon_t *daemon)
{
	const kb_settings_t *settings = daemon->settings;
	kb_result_t result;

	result = kb_hosts_init(&daemon->hosts, daemon->loop, settings);
	daemon->has_hosts = 1;
	for (size_t i = 0; !result && i < settings->peer_count; i++) {
		const kb_settings_peer_t *peer = &settings->peers[i];
		kb_host_place_t place = { peer->name, peer->endpoint,
					  peer->data_centre, peer->region };

		if (kb_name_is(&peer->name, kb_name_str(&settings->host)))
			continue;
		if (!kb_hosts_put(&daemon->hosts, &place))
			result = KB_ERR_NO_MEMORY;
	}
	return result;
}

static kb_result_t load_seed(kb_daemon_t *daemon)
{
	char message[MESSAGE_BYTES];
	kb_result_t result;

	kb_catalog_init(&daemon->catalog);
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
	result = load_seed(daemon);
	if (!result)
		result = add_events(daemon);
	if (!result)
		result = add_peers(daemon);
	if (result)
		return result;
	set_up_services(daemon);
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
	kb_group_services_update(&daemon->services);
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
	if (daemon->loop)
		event_base_free(daemon->loop);
	free(daemon);
}

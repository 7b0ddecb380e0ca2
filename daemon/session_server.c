#include "session_server.h"

#include "caller_listener.h"
#include "http_server.h"
#include "log.h"
#include "loop.h"
#include "platform_catalog.h"
#include "platform_store.h"
#include "proxy.h"
#include "target_link.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>

enum {
	HOUSEKEEPING_MS = 50,
	/* The same while callers wait for the first configuration. */
	HOUSEKEEPING_START_MS = 10,
	/*
	 * The load balancer polls readiness once a second and removes a host
	 * after two failed polls.
	 */
	BALANCER_REMOVAL_MS = 2300,
	/* Share of the grace period for open transactions to end. */
	STOP_TXN_PERCENT = 50,
	/* Share of the grace period after which the process ends anyway. */
	STOP_PERCENT = 85,
	/* Interval at which the settings file is checked for changes. */
	SETTINGS_CHECK_MS = 2000,
	/* Interval at which an isolated host disconnects callers. */
	DISCONNECT_INTERVAL_MS = 2000,
	/* Time without sessions and work before a stop is complete. */
	STOP_LINGER_MS = 300,
	STATUS_READY = 200,
	STATUS_NOT_READY = 503,
};

typedef struct session_server {
	const kb_settings_t *settings;
	const char *path;
	kb_clock_t *clock;
	struct event_base *loop;
	kb_platform_store_t store;
	kb_platform_catalog_t catalog;
	kb_target_connector_t connector;
	kb_proxy_t *proxy;
	kb_caller_listener_t listener;
	struct evhttp *readiness;
	struct evhttp *metrics;
	struct event *signals[3];
	struct event *timer;
	kb_time_t stop_started_at;
	kb_time_t idle_since;
	kb_time_t settings_checked_at;
	/* When callers were last disconnected because of isolation. */
	kb_time_t disconnected_at;
	/* Modification time of the settings file at the last check. */
	struct timespec settings_mtime;
	int was_ready;
	/* Callers are accepted; before, they wait in the listen queue. */
	int is_accepting;
	kb_result_t result;
} session_server_t;

static kb_time_t server_now(const session_server_t *server)
{
	return kb_clock_monotonic(server->clock);
}

static void on_readiness(struct evhttp_request *request, void *arg)
{
	session_server_t *server = arg;
	int ready = kb_proxy_is_ready(server->proxy);

	if (ready != server->was_ready)
		kb_log(KB_EVENT_READINESS, "ready=%d", ready);
	server->was_ready = ready;
	evhttp_send_reply(request, ready ? STATUS_READY : STATUS_NOT_READY,
			  ready ? "OK" : "Service Unavailable", NULL);
}

static void on_metrics(struct evhttp_request *request, void *arg)
{
	session_server_t *server = arg;
	struct evbuffer *body = evbuffer_new();

	if (body)
		kb_proxy_write_metrics(server->proxy, body);
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "text/plain; version=0.0.4");
	evhttp_send_reply(request, STATUS_READY, "OK", body);
	if (body)
		evbuffer_free(body);
}

static void begin_stop(session_server_t *server)
{
	kb_time_t now = server_now(server);
	kb_time_t grace = server->settings->drain_grace;

	if (server->stop_started_at)
		return;
	server->stop_started_at = now;
	kb_log(KB_EVENT_STOP_REQUESTED, "grace_ms=%lld",
	       (long long)(grace / KB_NS_PER_MS));
	kb_proxy_stop(server->proxy);
}

static void reload(session_server_t *server)
{
	kb_settings_t *settings = NULL;
	kb_result_t result =
		kb_settings_load(&settings, server->path, NULL, NULL);

	kb_log(KB_EVENT_SETTINGS_RELOADED, "result=%s", kb_result_name(result));
	if (result)
		return;
	kb_proxy_reload(server->proxy, settings);
	kb_settings_free(settings);
}

static void on_signal(evutil_socket_t number, short what, void *arg)
{
	session_server_t *server = arg;

	(void)what;
	if (number == SIGHUP)
		reload(server);
	else
		begin_stop(server);
}

/* Reloads the settings if the file has changed, even without a SIGHUP. */
static void check_settings(session_server_t *server, kb_time_t now)
{
	struct stat status;

	if (now - server->settings_checked_at <
	    SETTINGS_CHECK_MS * KB_NS_PER_MS)
		return;
	server->settings_checked_at = now;
	if (stat(server->path, &status))
		return;
	if (server->settings_mtime.tv_sec &&
	    (status.st_mtim.tv_sec != server->settings_mtime.tv_sec ||
	     status.st_mtim.tv_nsec != server->settings_mtime.tv_nsec))
		reload(server);
	server->settings_mtime = status.st_mtim;
}

/*
 * Advances a planned stop: closes ever more connections, and ends the event
 * loop when the host is idle or its share of the grace period is used up.
 */
static void continue_stop(session_server_t *server, kb_time_t now)
{
	kb_time_t spent = now - server->stop_started_at;
	kb_time_t grace = server->settings->drain_grace;
	int is_idle;

	if (spent >= grace * STOP_TXN_PERCENT / 100) {
		kb_caller_listener_close(&server->listener);
		kb_caller_listener_set_drain_mode(&server->listener,
						  KB_DRAIN_KEEP_QUERIES);
	} else if (spent >= BALANCER_REMOVAL_MS * KB_NS_PER_MS) {
		kb_caller_listener_set_drain_mode(&server->listener,
						  KB_DRAIN_KEEP_TRANSACTIONS);
	}
	is_idle = !server->listener.count && kb_proxy_is_idle(server->proxy);
	if (!is_idle)
		server->idle_since = now;
	if (spent < grace * STOP_PERCENT / 100 &&
	    (spent < BALANCER_REMOVAL_MS * KB_NS_PER_MS ||
	     now - server->idle_since < STOP_LINGER_MS * KB_NS_PER_MS))
		return;
	server->result = is_idle ? KB_OK : KB_ERR_TIMEOUT;
	event_base_loopbreak(server->loop);
}

/*
 * Disconnects callers that are outside a transaction, so that they reconnect
 * through other hosts.
 */
static void disconnect_idle_callers(session_server_t *server, kb_time_t now)
{
	if (now - server->disconnected_at <
	    DISCONNECT_INTERVAL_MS * KB_NS_PER_MS)
		return;
	server->disconnected_at = now;
	if (server->was_ready)
		kb_log(KB_EVENT_READINESS, "ready=0 sessions=%zu",
		       server->listener.count);
	server->was_ready = 0;
	kb_caller_listener_set_drain_mode(&server->listener,
					  KB_DRAIN_KEEP_TRANSACTIONS);
	kb_caller_listener_set_drain_mode(&server->listener, KB_DRAIN_OFF);
}

static void begin_accepting(session_server_t *server)
{
	if (server->is_accepting || !server->listener.evlistener ||
	    !kb_proxy_takes_sessions(server->proxy))
		return;
	server->is_accepting = 1;
	evconnlistener_enable(server->listener.evlistener);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct timeval pause = { 0, HOUSEKEEPING_MS * 1000 };
	session_server_t *server = arg;
	kb_time_t now = server_now(server);

	(void)fd;
	(void)what;
	begin_accepting(server);
	if (!server->is_accepting)
		pause.tv_usec = HOUSEKEEPING_START_MS * 1000;
	event_add(server->timer, &pause);
	check_settings(server, now);
	if (server->stop_started_at)
		continue_stop(server, now);
	else if (kb_proxy_is_isolated(server->proxy))
		disconnect_idle_callers(server, now);
}

static struct evhttp *serve_http(session_server_t *server,
				 const kb_endpoint_t *endpoint,
				 void (*serve)(struct evhttp_request *, void *))
{
	struct evhttp *http = kb_http_server_new(server->loop);
	uint16_t port = endpoint->port;

	if (!http)
		return NULL;
	if (kb_http_server_listen(http, endpoint->address.data, &port, NULL)) {
		kb_log(KB_EVENT_LISTEN_FAILED, "address=%s:%u",
		       endpoint->address.data, endpoint->port);
		evhttp_free(http);
		return NULL;
	}
	evhttp_set_gencb(http, serve, server);
	return http;
}

static kb_result_t add_events(session_server_t *server)
{
	static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

	for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		server->signals[i] = evsignal_new(server->loop, numbers[i],
						  on_signal, server);
		if (!server->signals[i] || event_add(server->signals[i], NULL))
			return KB_ERR_NO_MEMORY;
	}
	server->timer = evtimer_new(server->loop, on_timer, server);
	if (!server->timer)
		return KB_ERR_NO_MEMORY;
	event_active(server->timer, 0, 0);
	return KB_OK;
}

static kb_result_t set_up(session_server_t *server)
{
	const kb_settings_t *settings = server->settings;
	kb_proxy_setup_t setup = {
		.settings = settings,
		.clock = server->clock,
		.loop = server->loop,
		.store = &server->store.base,
		.connector = &server->connector.base,
		.platform = &server->catalog.base,
	};
	kb_result_t result;

	result = kb_platform_store_init(&server->store, server->loop,
					&settings->store,
					settings->store_deadline);
	if (!result)
		result = kb_platform_catalog_init(
			&server->catalog, server->loop, &settings->orders);
	if (result)
		return result;
	kb_target_connector_init(&server->connector, server->loop,
				 &settings->host);
	result = kb_proxy_create(&server->proxy, &setup);
	if (!result)
		result = kb_caller_listener_init(&server->listener,
						 server->loop, server->proxy,
						 &settings->listen_sessions);
	if (result)
		return result;
	evconnlistener_disable(server->listener.evlistener);
	server->readiness =
		serve_http(server, &settings->listen_readiness, on_readiness);
	if (settings->listen_metrics.port)
		server->metrics = serve_http(server, &settings->listen_metrics,
					     on_metrics);
	if (!server->readiness)
		return KB_ERR_IO;
	return add_events(server);
}

static void tear_down(session_server_t *server)
{
	for (size_t i = 0; i < 3; i++)
		if (server->signals[i])
			event_free(server->signals[i]);
	if (server->timer)
		event_free(server->timer);
	if (server->readiness)
		evhttp_free(server->readiness);
	if (server->metrics)
		evhttp_free(server->metrics);
	if (server->listener.loop)
		kb_caller_listener_finish(&server->listener);
	kb_proxy_free(server->proxy);
	if (server->catalog.base.ops)
		kb_platform_catalog_finish(&server->catalog);
	if (server->store.base.ops)
		kb_platform_store_finish(&server->store);
	kb_loop_free(server->loop);
}

kb_result_t kb_session_server_run(const kb_settings_t *settings,
				  const char *path, kb_clock_t *clock)
{
	session_server_t server = {
		.settings = settings,
		.path = path,
		.clock = clock,
		.loop = event_base_new(),
	};
	kb_result_t result;

	if (!server.loop)
		return KB_ERR_NO_MEMORY;
	signal(SIGPIPE, SIG_IGN);
	result = sodium_init() < 0 ? KB_ERR_IO : set_up(&server);
	if (!result) {
		kb_log(KB_EVENT_DAEMON_STARTED, "version=%s sessions=%s:%u",
		       kb_version_string(),
		       settings->listen_sessions.address.data,
		       settings->listen_sessions.port);
		if (event_base_dispatch(server.loop) < 0)
			server.result = KB_ERR_IO;
		result = server.result;
		kb_log(KB_EVENT_DAEMON_STOPPED, "result=%s",
		       kb_result_name(result));
	}
	tear_down(&server);
	return result;
}

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
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>

enum {
	HOUSEKEEPING_MS = 50,
	/* The balancer asks once a second and takes two misses. */
	STOP_NOTICE_MS = 2300,
	/* Part of the grace period in which transactions may end. */
	STOP_TXN_PERCENT = 50,
	/* Part of it after which nothing is waited for. */
	STOP_PERCENT = 85,
	/* Changes of the settings file are looked for this often. */
	SETTINGS_CHECK_MS = 2000,
	/* A host that is cut off closes its callers' connections this often. */
	LEAVE_CALLERS_MS = 2000,
	/* Time from the last session's end until the listener closes. */
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
	kb_target_connector_t linker;
	kb_proxy_t *proxy;
	kb_caller_listener_t door;
	struct evhttp *readiness;
	struct evhttp *metrics;
	struct event *signals[3];
	struct event *timer;
	kb_time_t stop_begun_at;
	kb_time_t idle_since;
	kb_time_t checked_at;
	/* When callers were last left to other hosts. */
	kb_time_t left_at;
	struct timespec changed;
	int was_ready;
	kb_result_t result;
} session_server_t;

static kb_time_t now_of(const session_server_t *host)
{
	return kb_clock_monotonic(host->clock);
}

static void on_readiness(struct evhttp_request *request, void *arg)
{
	session_server_t *host = arg;
	int ready = kb_proxy_is_ready(host->proxy);

	if (ready != host->was_ready)
		kb_log(KB_EVENT_READINESS, "ready=%d", ready);
	host->was_ready = ready;
	evhttp_send_reply(request, ready ? STATUS_READY : STATUS_NOT_READY,
			  ready ? "OK" : "Service Unavailable", NULL);
}

static void on_metrics(struct evhttp_request *request, void *arg)
{
	session_server_t *host = arg;
	struct evbuffer *body = evbuffer_new();

	if (body)
		kb_proxy_write_metrics(host->proxy, body);
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "text/plain; version=0.0.4");
	evhttp_send_reply(request, STATUS_READY, "OK", body);
	if (body)
		evbuffer_free(body);
}

static void begin_stop(session_server_t *host)
{
	kb_time_t now = now_of(host);
	kb_time_t grace = host->settings->drain_grace;

	if (host->stop_begun_at)
		return;
	host->stop_begun_at = now;
	kb_log(KB_EVENT_STOP_REQUESTED, "grace_ms=%lld",
	       (long long)(grace / KB_NS_PER_MS));
	kb_proxy_stop(host->proxy);
}

static void reload(session_server_t *host)
{
	kb_settings_t *settings = NULL;
	kb_result_t result =
		kb_settings_load(&settings, host->path, NULL, NULL);

	kb_log(KB_EVENT_SETTINGS_RELOADED, "result=%s", kb_result_name(result));
	if (result)
		return;
	kb_proxy_reload(host->proxy, settings);
	kb_settings_free(settings);
}

static void on_signal(evutil_socket_t number, short what, void *arg)
{
	session_server_t *host = arg;

	(void)what;
	if (number == SIGHUP)
		reload(host);
	else
		begin_stop(host);
}

/* The settings may change without a signal. */
static void check_settings(session_server_t *host, kb_time_t now)
{
	struct stat status;

	if (now - host->checked_at < SETTINGS_CHECK_MS * KB_NS_PER_MS)
		return;
	host->checked_at = now;
	if (stat(host->path, &status))
		return;
	if (host->changed.tv_sec &&
	    (status.st_mtim.tv_sec != host->changed.tv_sec ||
	     status.st_mtim.tv_nsec != host->changed.tv_nsec))
		reload(host);
	host->changed = status.st_mtim;
}

/* Ends the process once its work has ended, or when time is up. */
static void go_on_stopping(session_server_t *host, kb_time_t now)
{
	kb_time_t spent = now - host->stop_begun_at;
	kb_time_t grace = host->settings->drain_grace;
	int is_idle;

	if (spent >= grace * STOP_TXN_PERCENT / 100) {
		kb_caller_listener_close(&host->door);
		kb_caller_listener_set_drain_mode(&host->door,
						  KB_DRAIN_KEEP_QUERIES);
	} else if (spent >= STOP_NOTICE_MS * KB_NS_PER_MS) {
		kb_caller_listener_set_drain_mode(&host->door,
						  KB_DRAIN_KEEP_TRANSACTIONS);
	}
	is_idle = !host->door.count && kb_proxy_is_idle(host->proxy);
	if (!is_idle)
		host->idle_since = now;
	if (spent < grace * STOP_PERCENT / 100 &&
	    (spent < STOP_NOTICE_MS * KB_NS_PER_MS ||
	     now - host->idle_since < STOP_LINGER_MS * KB_NS_PER_MS))
		return;
	host->result = is_idle ? KB_OK : KB_ERR_TIMEOUT;
	event_base_loopbreak(host->loop);
}

/* Callers whose connection ends outside a transaction reach other hosts. */
static void leave_callers_to_others(session_server_t *host, kb_time_t now)
{
	if (now - host->left_at < LEAVE_CALLERS_MS * KB_NS_PER_MS)
		return;
	host->left_at = now;
	if (host->was_ready)
		kb_log(KB_EVENT_READINESS, "ready=0 sessions=%zu",
		       host->door.count);
	host->was_ready = 0;
	kb_caller_listener_set_drain_mode(&host->door,
					  KB_DRAIN_KEEP_TRANSACTIONS);
	kb_caller_listener_set_drain_mode(&host->door, KB_DRAIN_OFF);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct timeval pause = { 0, HOUSEKEEPING_MS * 1000 };
	session_server_t *host = arg;
	kb_time_t now = now_of(host);

	(void)fd;
	(void)what;
	event_add(host->timer, &pause);
	check_settings(host, now);
	if (host->stop_begun_at)
		go_on_stopping(host, now);
	else if (kb_proxy_is_isolated(host->proxy))
		leave_callers_to_others(host, now);
}

static struct evhttp *serve_http(session_server_t *host,
				 const kb_endpoint_t *endpoint,
				 void (*serve)(struct evhttp_request *, void *))
{
	struct evhttp *http = kb_http_server_new(host->loop);
	uint16_t port = endpoint->port;

	if (!http)
		return NULL;
	if (kb_http_server_listen(http, endpoint->address.data, &port, NULL)) {
		kb_log(KB_EVENT_LISTEN_FAILED, "address=%s:%u",
		       endpoint->address.data, endpoint->port);
		evhttp_free(http);
		return NULL;
	}
	evhttp_set_gencb(http, serve, host);
	return http;
}

static kb_result_t add_events(session_server_t *host)
{
	static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

	for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		host->signals[i] =
			evsignal_new(host->loop, numbers[i], on_signal, host);
		if (!host->signals[i] || event_add(host->signals[i], NULL))
			return KB_ERR_NO_MEMORY;
	}
	host->timer = evtimer_new(host->loop, on_timer, host);
	if (!host->timer)
		return KB_ERR_NO_MEMORY;
	event_active(host->timer, 0, 0);
	return KB_OK;
}

static kb_result_t set_up(session_server_t *host)
{
	const kb_settings_t *settings = host->settings;
	kb_proxy_setup_t setup = {
		.settings = settings,
		.clock = host->clock,
		.loop = host->loop,
		.store = &host->store.base,
		.linker = &host->linker.base,
		.view = &host->catalog.base,
	};
	kb_result_t result;

	result = kb_platform_store_init(&host->store, host->loop,
					&settings->store,
					settings->store_deadline);
	if (!result)
		result = kb_platform_catalog_init(&host->catalog, host->loop,
						  &settings->orders);
	if (result)
		return result;
	kb_target_connector_init(&host->linker, host->loop, &settings->host);
	result = kb_proxy_create(&host->proxy, &setup);
	if (!result)
		result = kb_caller_listener_init(&host->door, host->loop,
						 host->proxy,
						 &settings->listen_sessions);
	if (result)
		return result;
	host->readiness =
		serve_http(host, &settings->listen_readiness, on_readiness);
	if (settings->listen_metrics.port)
		host->metrics =
			serve_http(host, &settings->listen_metrics, on_metrics);
	if (!host->readiness)
		return KB_ERR_IO;
	return add_events(host);
}

static void tear_down(session_server_t *host)
{
	for (size_t i = 0; i < 3; i++)
		if (host->signals[i])
			event_free(host->signals[i]);
	if (host->timer)
		event_free(host->timer);
	if (host->readiness)
		evhttp_free(host->readiness);
	if (host->metrics)
		evhttp_free(host->metrics);
	if (host->door.loop)
		kb_caller_listener_finish(&host->door);
	kb_proxy_free(host->proxy);
	if (host->catalog.base.ops)
		kb_platform_catalog_finish(&host->catalog);
	if (host->store.base.ops)
		kb_platform_store_finish(&host->store);
	kb_loop_free(host->loop);
}

kb_result_t kb_session_server_run(const kb_settings_t *settings,
				  const char *path, kb_clock_t *clock)
{
	session_server_t host = {
		.settings = settings,
		.path = path,
		.clock = clock,
		.loop = event_base_new(),
	};
	kb_result_t result;

	if (!host.loop)
		return KB_ERR_NO_MEMORY;
	signal(SIGPIPE, SIG_IGN);
	result = sodium_init() < 0 ? KB_ERR_IO : set_up(&host);
	if (!result) {
		kb_log(KB_EVENT_DAEMON_STARTED, "version=%s sessions=%s:%u",
		       kb_version_string(),
		       settings->listen_sessions.address.data,
		       settings->listen_sessions.port);
		if (event_base_dispatch(host.loop) < 0)
			host.result = KB_ERR_IO;
		result = host.result;
		kb_log(KB_EVENT_DAEMON_STOPPED, "result=%s",
		       kb_result_name(result));
	}
	tear_down(&host);
	return result;
}

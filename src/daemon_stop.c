#include "daemon_internal.h"

#include "log.h"

#include <event2/event.h>

enum {
	DRAIN_POLL_MS = 20,
	/* Time in which connections of callers close with their answers. */
	LINGER_MS = 2000,
	/* Time for requests on connections that were accepted last. */
	LAST_REQUESTS_MS = 300,
};

static int is_drained(const kb_daemon_t *daemon)
{
	return kb_clock_monotonic(daemon->clock) >= daemon->linger_until &&
	       !daemon->callers.active &&
	       kb_group_services_are_idle(&daemon->services);
}

/* Whether callers may not yet know, or have just sent something. */
static int is_calling(kb_daemon_t *daemon, kb_time_t now)
{
	uint64_t requests = daemon->callers.counters.requests;
	int is_quiet = requests == daemon->drain_requests;

	daemon->drain_requests = requests;
	return now < daemon->linger_until || !is_quiet;
}

void kb_daemon_on_drain_timer(evutil_socket_t fd, short what, void *arg)
{
	kb_daemon_t *daemon = arg;
	struct timeval poll = { 0, DRAIN_POLL_MS * 1000 };
	kb_time_t now = kb_clock_monotonic(daemon->clock);
	int expired = now >= daemon->drain_until;

	(void)fd;
	(void)what;
	if (!expired && (is_calling(daemon, now) || !is_drained(daemon))) {
		event_add(daemon->drain_timer, &poll);
		return;
	}
	if (daemon->callers.listener && !expired) {
		kb_caller_api_close_listener(&daemon->callers);
		daemon->linger_until = kb_clock_monotonic(daemon->clock) +
				       LAST_REQUESTS_MS * KB_NS_PER_MS;
		event_add(daemon->drain_timer, &poll);
		return;
	}
	daemon->result = is_drained(daemon) ? KB_OK : KB_ERR_TIMEOUT;
	kb_fleet_announce_exit(&daemon->fleet);
	event_base_loopbreak(daemon->loop);
}

void kb_daemon_begin_stop(kb_daemon_t *daemon, kb_time_t grace)
{
	struct timeval poll = { 0, DRAIN_POLL_MS * 1000 };
	kb_time_t now = kb_clock_monotonic(daemon->clock);

	if (daemon->stopping)
		return;
	daemon->stopping = 1;
	daemon->drain_until = now + grace;
	daemon->linger_until = now + LINGER_MS * KB_NS_PER_MS;
	if (daemon->linger_until > daemon->drain_until)
		daemon->linger_until = daemon->drain_until;
	kb_log(KB_EVENT_STOP_REQUESTED, "host=%s", daemon->settings->host.data);
	daemon->hosts.self->leaving = 1;
	kb_fleet_set_leaving(&daemon->fleet, 1);
	kb_caller_api_set_draining(&daemon->callers, 1);
	kb_group_services_drain(&daemon->services, daemon->drain_until);
	event_add(daemon->drain_timer, &poll);
}

void kb_daemon_on_signal(evutil_socket_t signal_number, short what, void *arg)
{
	kb_daemon_t *daemon = arg;

	(void)signal_number;
	(void)what;
	if (!daemon->stopping) {
		kb_daemon_begin_stop(daemon, daemon->settings->drain_grace);
		return;
	}
	kb_log(KB_EVENT_STOP_FORCED, "host=%s", daemon->settings->host.data);
	daemon->result = KB_ERR_TIMEOUT;
	event_base_loopbreak(daemon->loop);
}

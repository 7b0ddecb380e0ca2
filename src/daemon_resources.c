#include "daemon_internal.h"

#include <event2/event.h>

enum {
	/* Pause before gates that moved away are looked at again. */
	UPDATE_POLL_MS = 50,
};

void kb_daemon_schedule_update(kb_daemon_t *daemon)
{
	struct timeval now = { 0, 0 };

	event_add(daemon->update_timer, &now);
}

void kb_daemon_on_update(evutil_socket_t fd, short what, void *arg)
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
	if (daemon->has_configuration)
		kb_configuration_on_member(&daemon->configuration, member);
	kb_daemon_schedule_update(daemon);
}

static void on_superseded(kb_fleet_t *fleet)
{
	kb_daemon_t *daemon =
		(kb_daemon_t *)((char *)fleet - offsetof(kb_daemon_t, fleet));

	daemon->result = KB_ERR_CONFLICT;
	event_base_loopbreak(daemon->loop);
}

const kb_fleet_ops_t kb_daemon_fleet_ops = {
	.changed = on_fleet_changed,
	.superseded = on_superseded,
};

/* Takes whether the operators declare this host to be leaving. */
static void take_host_state(kb_daemon_t *daemon)
{
	int leaving = kb_catalog_host_leaving(
		&daemon->catalog, kb_name_str(&daemon->settings->host));

	if (daemon->stopping || leaving == daemon->hosts.self->leaving)
		return;
	daemon->hosts.self->leaving = leaving;
	kb_caller_api_set_draining(&daemon->callers, leaving);
	kb_fleet_set_leaving(&daemon->fleet, leaving);
}

/* A stop that was declared before this process started is over. */
static void take_planned_stop(kb_daemon_t *daemon,
			      const kb_resource_t *resource)
{
	const kb_planned_stop_t *stop = &resource->spec.u.planned_stop;

	if (!kb_name_is(&stop->host, kb_name_str(&daemon->settings->host)) ||
	    resource->change.at < daemon->started_at)
		return;
	kb_daemon_begin_stop(daemon, stop->grace);
}

void kb_daemon_on_resource(void *ctx, kb_kind_t kind, kb_str_t name,
			   const kb_resource_t *resource)
{
	kb_daemon_t *daemon = ctx;

	switch (kind) {
	case KB_KIND_GROUP:
		if (resource)
			kb_placements_put(&daemon->placements,
					  &resource->spec.u.group);
		else
			kb_placements_remove(&daemon->placements, name);
		break;
	case KB_KIND_TRAFFIC_CLASS:
		if (resource)
			kb_group_services_set_class(
				&daemon->services,
				&resource->spec.u.traffic_class);
		break;
	case KB_KIND_HOST:
		take_host_state(daemon);
		break;
	case KB_KIND_PLANNED_STOP:
		if (resource)
			take_planned_stop(daemon, resource);
		break;
	case KB_KIND_READ_KIND:
		break;
	}
	kb_daemon_schedule_update(daemon);
}

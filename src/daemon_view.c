#include "daemon_view.h"

#include <event2/event.h>

enum {
	STATUS_POLL_MS = 250,
};

static kb_daemon_view_t *from_view(kb_config_view_t *view)
{
	return (kb_daemon_view_t *)view;
}

static const kb_resource_t *view_find(kb_config_view_t *view, kb_kind_t kind,
				      kb_str_t name)
{
	return kb_catalog_find(from_view(view)->configuration->catalog, kind,
			       name);
}

static void view_each(kb_config_view_t *view, kb_kind_t kind,
		      void (*fn)(void *ctx, const kb_resource_t *resource),
		      void *ctx)
{
	const kb_catalog_t *catalog = from_view(view)->configuration->catalog;

	for (size_t i = 0; i < catalog->count; i++)
		if (catalog->resources[i]->kind == kind)
			fn(ctx, catalog->resources[i]);
}

static int64_t view_revision(kb_config_view_t *view)
{
	return (int64_t)kb_config_gossip_revision(
		&from_view(view)->configuration->gossip);
}

static void view_status(kb_config_view_t *view, kb_kind_t kind, kb_str_t name,
			int64_t revision, kb_config_status_t *status)
{
	kb_configuration_t *configuration = from_view(view)->configuration;
	kb_config_gossip_status_t found;

	(void)kind;
	(void)name;
	memset(status, 0, sizeof(*status));
	kb_config_gossip_get_status(&configuration->gossip, (uint64_t)revision,
				    kb_clock_monotonic(configuration->clock),
				    &found);
	status->in_force = found.in_force;
	status->hosts = found.hosts;
	while (status->missing_count < found.missing_count &&
	       status->missing_count < KB_CONFIG_MAX_MISSING) {
		status->missing[status->missing_count] =
			found.missing[status->missing_count];
		status->missing_count++;
	}
}

static kb_result_t
view_since(kb_config_view_t *view, int64_t after,
	   void (*fn)(void *ctx, const kb_config_event_t *event), void *ctx)
{
	const kb_config_set_t *set =
		&from_view(view)->configuration->gossip.set;
	const kb_config_entry_t *entry;

	if (!kb_config_set_has_since(set, (uint64_t)after))
		return KB_ERR_NOT_FOUND;
	for (entry = kb_config_set_since(set, (uint64_t)after); entry;
	     entry = entry->next) {
		kb_config_event_t event = {
			.name = kb_config_entry_name(entry),
			.revision = (int64_t)entry->revision,
		};

		if (kb_spec_kind_parse(kb_config_entry_kind(entry),
				       &event.kind))
			continue;
		if (!entry->deleted)
			event.resource =
				view_find(view, event.kind, event.name);
		fn(ctx, &event);
	}
	return KB_OK;
}

static void view_listen(kb_config_view_t *view, kb_config_listener_t *listener)
{
	kb_config_listeners_add(&from_view(view)->configuration->listeners,
				listener);
}

static void view_unlisten(kb_config_view_t *view,
			  kb_config_listener_t *listener)
{
	kb_config_listeners_remove(&from_view(view)->configuration->listeners,
				   listener);
}

static json_t *report_host(const kb_host_t *host)
{
	const char *state = !host->live	    ? "dead"
			    : host->leaving ? "leaving"
					    : "live";

	return json_pack("{s:s,s:s,s:s,s:s}", "name", host->name.data,
			 "dataCentre", host->data_centre.data, "region",
			 host->region.data, "state", state);
}

static json_t *report_group(kb_group_service_t *service)
{
	size_t primary = kb_agent_primary(&service->agent);
	uint64_t term = kb_failover_term(&service->agent.failover);
	kbx_target_view items[KB_GROUP_MAX_TARGETS];
	json_t *targets = json_array();
	kbx_group_view known;

	kb_agent_fill_view(&service->agent, &known, items);
	for (size_t i = 0; i < known.targets.targets_len; i++)
		json_array_append_new(
			targets,
			json_pack(
				"{s:s,s:I,s:I}", "name", items[i].target,
				"applied", (json_int_t)items[i].applied,
				"ageMs",
				(json_int_t)(items[i].age_us < 0
						     ? -1
						     : items[i].age_us /
							       KB_NS_PER_US)));
	return json_pack("{s:s,s:I,s:s?,s:o}", "name", service->spec.name.data,
			 "term", (json_int_t)term, "primary",
			 primary < service->spec.target_count
				 ? service->spec.targets[primary].name.data
				 : NULL,
			 "targets", targets);
}

static json_t *view_report(kb_config_view_t *view)
{
	kb_daemon_view_t *daemon_view = from_view(view);
	json_t *hosts = json_array(), *groups = json_array();

	for (size_t i = 0; i < daemon_view->hosts->count; i++)
		json_array_append_new(
			hosts, report_host(daemon_view->hosts->hosts[i]));
	for (kb_group_service_t *service = daemon_view->services->first;
	     service; service = service->next)
		json_array_append_new(groups, report_group(service));
	return json_pack("{s:s,s:I,s:o,s:o}", "host",
			 daemon_view->hosts->self->name.data, "revision",
			 (json_int_t)view_revision(view), "hosts", hosts,
			 "groups", groups);
}

static const kb_config_view_ops_t view_ops = {
	.find = view_find,
	.each = view_each,
	.revision = view_revision,
	.status = view_status,
	.since = view_since,
	.listen = view_listen,
	.unlisten = view_unlisten,
	.report = view_report,
};

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	kb_daemon_view_t *view = arg;

	(void)fd;
	(void)what;
	kb_config_listeners_poll(&view->configuration->listeners, &view->view);
}

kb_result_t kb_daemon_view_init(kb_daemon_view_t *view, struct event_base *loop,
				kb_configuration_t *configuration,
				kb_group_services_t *services,
				kb_hosts_t *hosts)
{
	struct timeval interval = { 0, STATUS_POLL_MS * 1000 };

	view->view.ops = &view_ops;
	view->configuration = configuration;
	view->services = services;
	view->hosts = hosts;
	view->timer = event_new(loop, -1, EV_PERSIST, on_timer, view);
	if (!view->timer)
		return KB_ERR_NO_MEMORY;
	event_add(view->timer, &interval);
	return kb_configuration_watch_status(configuration);
}

void kb_daemon_view_finish(kb_daemon_view_t *view)
{
	if (view->timer)
		event_free(view->timer);
	view->timer = NULL;
}

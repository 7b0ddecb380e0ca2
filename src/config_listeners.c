#include "config_listeners.h"

void kb_config_listeners_init(kb_config_listeners_t *listeners)
{
	memset(listeners, 0, sizeof(*listeners));
}

void kb_config_listeners_add(kb_config_listeners_t *listeners,
			     kb_config_listener_t *listener)
{
	listener->next = listeners->first;
	listeners->first = listener;
}

void kb_config_listeners_remove(kb_config_listeners_t *listeners,
				kb_config_listener_t *listener)
{
	kb_config_listener_t **link = &listeners->first;

	while (*link && *link != listener)
		link = &(*link)->next;
	if (*link)
		*link = listener->next;
}

static size_t find_pending(const kb_config_listeners_t *listeners,
			   kb_kind_t kind, kb_str_t name)
{
	size_t i;

	for (i = 0; i < listeners->pending_count; i++)
		if (listeners->pending[i].kind == kind &&
		    kb_name_is(&listeners->pending[i].name, name))
			break;
	return i;
}

static void untrack(kb_config_listeners_t *listeners, size_t index)
{
	listeners->pending[index] =
		listeners->pending[--listeners->pending_count];
}

static void track_status(kb_config_listeners_t *listeners,
			 const kb_config_event_t *event)
{
	size_t index = find_pending(listeners, event->kind, event->name);
	kb_config_pending_t *item = &listeners->pending[index];

	if (!event->resource) {
		if (index < listeners->pending_count)
			untrack(listeners, index);
		return;
	}
	if (index == KB_CONFIG_LISTENERS_PENDING_MAX)
		return;
	if (index == listeners->pending_count)
		listeners->pending_count++;
	memset(item, 0, sizeof(*item));
	item->kind = event->kind;
	kb_name_set(&item->name, event->name);
}

void kb_config_listeners_changed(kb_config_listeners_t *listeners,
				 const kb_config_event_t *event)
{
	track_status(listeners, event);
	for (kb_config_listener_t *listener = listeners->first; listener;
	     listener = listener->next)
		listener->ops->changed(listener, event);
}

static void notify_status(kb_config_listeners_t *listeners,
			  const kb_resource_t *resource)
{
	for (kb_config_listener_t *listener = listeners->first; listener;
	     listener = listener->next)
		listener->ops->status(listener, resource);
}

void kb_config_listeners_poll(kb_config_listeners_t *listeners,
			      kb_config_view_t *view)
{
	size_t i = 0;

	while (i < listeners->pending_count) {
		kb_config_pending_t *item = &listeners->pending[i];
		kb_str_t name = kb_name_str(&item->name);
		const kb_resource_t *resource =
			view->ops->find(view, item->kind, name);
		kb_config_status_t status;

		if (!resource) {
			untrack(listeners, i);
			continue;
		}
		view->ops->status(view, item->kind, name, resource->revision,
				  &status);
		if (status.in_force != item->in_force ||
		    status.hosts != item->hosts) {
			item->in_force = status.in_force;
			item->hosts = status.hosts;
			notify_status(listeners, resource);
		}
		if (status.hosts && status.in_force == status.hosts)
			untrack(listeners, i);
		else
			i++;
	}
}

#ifndef KB_CONFIG_LISTENERS_H
#define KB_CONFIG_LISTENERS_H

#include "config_view.h"

KB_BEGIN_DECLS

#define KB_CONFIG_LISTENERS_PENDING_MAX 256

/* A resource that is not yet in force on all hosts, as last reported. */
typedef struct kb_config_pending {
	kb_kind_t kind;
	kb_name_t name;
	size_t in_force;
	size_t hosts;
} kb_config_pending_t;

/* The listeners of a host, and the resources not yet in force everywhere. */
typedef struct kb_config_listeners {
	kb_config_listener_t *first;
	size_t pending_count;
	kb_config_pending_t pending[KB_CONFIG_LISTENERS_PENDING_MAX];
} kb_config_listeners_t;

void kb_config_listeners_init(kb_config_listeners_t *listeners);

void kb_config_listeners_add(kb_config_listeners_t *listeners,
			     kb_config_listener_t *listener);
void kb_config_listeners_remove(kb_config_listeners_t *listeners,
				kb_config_listener_t *listener);

/* Notifies all listeners of a change and starts to track its status. */
void kb_config_listeners_changed(kb_config_listeners_t *listeners,
				 const kb_config_event_t *event);

/* Notifies all listeners of each tracked status in `view` that changed. */
void kb_config_listeners_poll(kb_config_listeners_t *listeners,
			      kb_config_view_t *view);

KB_END_DECLS

#endif

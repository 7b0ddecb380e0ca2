#ifndef KB_CONFIG_LISTENERS_H
#define KB_CONFIG_LISTENERS_H

#include "config_view.h"

KB_BEGIN_DECLS

#define KB_CONFIG_LISTENERS_UNSETTLED_MAX 256

/* A resource that is not in force everywhere yet, as last reported. */
typedef struct kb_config_unsettled {
	kb_kind_t kind;
	kb_name_t name;
	size_t in_force;
	size_t hosts;
} kb_config_unsettled_t;

/* The listeners of a host, and the resources whose status still changes. */
typedef struct kb_config_listeners {
	kb_config_listener_t *first;
	size_t unsettled_count;
	kb_config_unsettled_t unsettled[KB_CONFIG_LISTENERS_UNSETTLED_MAX];
} kb_config_listeners_t;

void kb_config_listeners_init(kb_config_listeners_t *listeners);

void kb_config_listeners_add(kb_config_listeners_t *listeners,
			     kb_config_listener_t *listener);
void kb_config_listeners_remove(kb_config_listeners_t *listeners,
				kb_config_listener_t *listener);

/* Tells all listeners of a change and follows its status from now on. */
void kb_config_listeners_changed(kb_config_listeners_t *listeners,
				 const kb_config_event_t *event);

/* Tells all listeners of each status in `view` that has changed. */
void kb_config_listeners_poll(kb_config_listeners_t *listeners,
			      kb_config_view_t *view);

KB_END_DECLS

#endif

#ifndef KB_DAEMON_VIEW_H
#define KB_DAEMON_VIEW_H

#include "configuration.h"
#include "group_service.h"

KB_BEGIN_DECLS

/* The configuration and state of this host, for the operator API. */
typedef struct kb_daemon_view {
	/* First member: callbacks cast it to the containing object. */
	kb_config_view_t view;
	kb_configuration_t *configuration;
	kb_group_services_t *services;
	kb_hosts_t *hosts;
	struct event *timer;
} kb_daemon_view_t;

kb_result_t kb_daemon_view_init(kb_daemon_view_t *view, struct event_base *loop,
				kb_configuration_t *configuration,
				kb_group_services_t *services,
				kb_hosts_t *hosts);
void kb_daemon_view_finish(kb_daemon_view_t *view);

KB_END_DECLS

#endif

#ifndef KB_GROUP_VIEW_H
#define KB_GROUP_VIEW_H

#include "group_service.h"

KB_BEGIN_DECLS

/* Asks another watcher for its view of the group's primary. */
void kb_group_view_request(kb_group_service_t *service, kb_host_t *host);

KB_END_DECLS

#endif

#ifndef KB_GROUP_VIEW_H
#define KB_GROUP_VIEW_H

#include "group_service.h"

KB_BEGIN_DECLS

/*
 * Asks the other watchers of the group for their views; each answer goes to
 * kb_agent_on_view(). `agent` is that of a kb_group_service_t.
 */
void kb_group_view_ask(kb_agent_t *agent);

KB_END_DECLS

#endif

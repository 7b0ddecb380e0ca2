#ifndef KB_OPERATOR_JSON_H
#define KB_OPERATOR_JSON_H

#include "config_view.h"

KB_BEGIN_DECLS

/* Each function returns a new JSON value, or NULL if out of memory. */

/* Returns the status of a resource: where `revision` is in force. */
json_t *kb_operator_json_status(kb_config_view_t *view, kb_kind_t kind,
				kb_str_t name, int64_t revision);

/* Returns a resource with its status. */
json_t *kb_operator_json_resource(kb_config_view_t *view,
				  const kb_resource_t *resource);

/* Returns the resources of a kind. */
json_t *kb_operator_json_list(kb_config_view_t *view, kb_kind_t kind);

/* Return a line of a watch, without its line end. */
json_t *kb_operator_json_change(kb_config_view_t *view,
				const kb_config_event_t *change);
json_t *kb_operator_json_status_change(kb_config_view_t *view,
				       const kb_resource_t *resource);
/* `type` is "reset" or "bookmark". */
json_t *kb_operator_json_mark(const char *type, int64_t revision);

KB_END_DECLS

#endif

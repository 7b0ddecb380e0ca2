#include "operator_json.h"

json_t *kb_operator_json_status(kb_config_view_t *view, kb_kind_t kind,
				kb_str_t name, int64_t revision)
{
	kb_config_status_t status = { 0 };
	json_t *missing = json_array();

	view->ops->status(view, kind, name, revision, &status);
	for (size_t i = 0; i < status.missing_count; i++)
		if (json_array_append_new(missing,
					  json_string(status.missing[i].data)))
			goto fail;
	return json_pack("{s:I,s:I,s:o}", "inForce",
			 (json_int_t)status.in_force, "hosts",
			 (json_int_t)status.hosts, "missing", missing);
fail:
	json_decref(missing);
	return NULL;
}

json_t *kb_operator_json_resource(kb_config_view_t *view,
				  const kb_resource_t *resource)
{
	json_t *json = kb_resource_to_json(resource);
	json_t *status = kb_operator_json_status(view, resource->kind,
						 kb_name_str(&resource->name),
						 resource->revision);

	if (json && status && !json_object_set(json, "status", status)) {
		json_decref(status);
		return json;
	}
	json_decref(status);
	json_decref(json);
	return NULL;
}

typedef struct kb_operator_list {
	kb_config_view_t *view;
	json_t *items;
	int failed;
} kb_operator_list_t;

static void add_item(void *ctx, const kb_resource_t *resource)
{
	kb_operator_list_t *list = ctx;

	if (json_array_append_new(list->items, kb_operator_json_resource(
						       list->view, resource)))
		list->failed = 1;
}

json_t *kb_operator_json_list(kb_config_view_t *view, kb_kind_t kind)
{
	kb_operator_list_t list = { view, json_array(), 0 };

	view->ops->each(view, kind, add_item, &list);
	if (list.failed) {
		json_decref(list.items);
		return NULL;
	}
	return json_pack("{s:s,s:I,s:o}", "kind", kb_spec_kind_name(kind),
			 "revision", (json_int_t)view->ops->revision(view),
			 "items", list.items);
}

json_t *kb_operator_json_change(kb_config_view_t *view,
				const kb_config_event_t *change)
{
	if (change->resource)
		return json_pack(
			"{s:s,s:I,s:o}", "type", "change", "revision",
			(json_int_t)change->revision, "resource",
			kb_operator_json_resource(view, change->resource));
	return json_pack("{s:s,s:I,s:s,s:s%}", "type", "delete", "revision",
			 (json_int_t)change->revision, "kind",
			 kb_spec_kind_name(change->kind), "name",
			 change->name.data, change->name.len);
}

json_t *kb_operator_json_status_change(kb_config_view_t *view,
				       const kb_resource_t *resource)
{
	return json_pack("{s:s,s:I,s:s,s:s,s:o}", "type", "status", "revision",
			 (json_int_t)resource->revision, "kind",
			 kb_spec_kind_name(resource->kind), "name",
			 resource->name.data, "status",
			 kb_operator_json_status(view, resource->kind,
						 kb_name_str(&resource->name),
						 resource->revision));
}

json_t *kb_operator_json_mark(const char *type, int64_t revision)
{
	return json_pack("{s:s,s:I}", "type", type, "revision",
			 (json_int_t)revision);
}

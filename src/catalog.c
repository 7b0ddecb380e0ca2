#include "catalog.h"

#include <stdio.h>
#include <stdlib.h>

#define INITIAL_CAPACITY 16

void kb_catalog_init(kb_catalog_t *catalog)
{
	memset(catalog, 0, sizeof(*catalog));
}

void kb_catalog_finish(kb_catalog_t *catalog)
{
	for (size_t i = 0; i < catalog->count; i++)
		free(catalog->resources[i]);
	free(catalog->resources);
	memset(catalog, 0, sizeof(*catalog));
}

static int compare(const kb_resource_t *resource, kb_kind_t kind, kb_str_t name)
{
	if (resource->kind != kind)
		return resource->kind < kind ? -1 : 1;
	return kb_str_compare(kb_name_str(&resource->name), name);
}

/* Returns the index of the resource, or where it would stand. */
static size_t lower_bound(const kb_catalog_t *catalog, kb_kind_t kind,
			  kb_str_t name)
{
	size_t low = 0, high = catalog->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (compare(catalog->resources[middle], kind, name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static int is_at(const kb_catalog_t *catalog, size_t index, kb_kind_t kind,
		 kb_str_t name)
{
	return index < catalog->count &&
	       !compare(catalog->resources[index], kind, name);
}

static kb_result_t make_room(kb_catalog_t *catalog)
{
	size_t capacity =
		catalog->capacity ? catalog->capacity * 2 : INITIAL_CAPACITY;
	kb_resource_t **resources;

	if (catalog->count < catalog->capacity)
		return KB_OK;
	resources =
		reallocarray(catalog->resources, capacity, sizeof(*resources));
	if (!resources)
		return KB_ERR_NO_MEMORY;
	catalog->resources = resources;
	catalog->capacity = capacity;
	return KB_OK;
}

kb_result_t kb_catalog_put(kb_catalog_t *catalog, const kb_resource_t *resource)
{
	kb_str_t name = kb_name_str(&resource->name);
	size_t index = lower_bound(catalog, resource->kind, name);
	kb_resource_t *copy = malloc(sizeof(*copy));

	if (!copy || make_room(catalog)) {
		free(copy);
		return KB_ERR_NO_MEMORY;
	}
	*copy = *resource;
	if (is_at(catalog, index, resource->kind, name)) {
		free(catalog->resources[index]);
	} else {
		memmove(&catalog->resources[index + 1],
			&catalog->resources[index],
			sizeof(copy) * (catalog->count - index));
		catalog->count++;
	}
	catalog->resources[index] = copy;
	if (catalog->changed)
		catalog->changed(catalog->ctx, copy->kind,
				 kb_name_str(&copy->name), copy);
	return KB_OK;
}

void kb_catalog_remove(kb_catalog_t *catalog, kb_kind_t kind, kb_str_t name)
{
	size_t index = lower_bound(catalog, kind, name);
	kb_resource_t *resource;

	if (!is_at(catalog, index, kind, name))
		return;
	resource = catalog->resources[index];
	catalog->count--;
	memmove(&catalog->resources[index], &catalog->resources[index + 1],
		sizeof(resource) * (catalog->count - index));
	if (catalog->changed)
		catalog->changed(catalog->ctx, kind,
				 kb_name_str(&resource->name), NULL);
	free(resource);
}

const kb_resource_t *kb_catalog_find(const kb_catalog_t *catalog,
				     kb_kind_t kind, kb_str_t name)
{
	size_t index = lower_bound(catalog, kind, name);

	return is_at(catalog, index, kind, name) ? catalog->resources[index]
						 : NULL;
}

const kb_group_spec_t *kb_catalog_group(const kb_catalog_t *catalog,
					kb_str_t name)
{
	const kb_resource_t *found =
		kb_catalog_find(catalog, KB_KIND_GROUP, name);

	return found ? &found->spec.u.group : NULL;
}

const kb_read_kind_t *kb_catalog_read_kind(const kb_catalog_t *catalog,
					   kb_str_t name)
{
	const kb_resource_t *found =
		kb_catalog_find(catalog, KB_KIND_READ_KIND, name);

	return found ? &found->spec.u.read_kind : NULL;
}

const kb_traffic_class_t *kb_catalog_traffic_class(const kb_catalog_t *catalog,
						   kb_str_t name)
{
	const kb_resource_t *found =
		kb_catalog_find(catalog, KB_KIND_TRAFFIC_CLASS, name);

	return found ? &found->spec.u.traffic_class : NULL;
}

size_t kb_catalog_class_index(const kb_catalog_t *catalog, kb_str_t name)
{
	return lower_bound(catalog, KB_KIND_TRAFFIC_CLASS, name) -
	       lower_bound(catalog, KB_KIND_TRAFFIC_CLASS, KB_STR(""));
}

int kb_catalog_host_leaving(const kb_catalog_t *catalog, kb_str_t host)
{
	const kb_resource_t *found =
		kb_catalog_find(catalog, KB_KIND_HOST, host);

	return found && found->spec.u.host.state == KB_ADMIN_STATE_LEAVING;
}

static kb_result_t load_item(kb_catalog_t *catalog, json_t *item, size_t index,
			     char *message, size_t size)
{
	kb_str_t name =
		kb_str_from(json_string_value(json_object_get(item, "name")));
	const char *kind_name =
		json_string_value(json_object_get(item, "kind"));
	kb_resource_t resource;
	kb_result_t result;
	kb_fault_t fault;
	kb_kind_t kind;
	char *body;

	if (!kind_name || kb_spec_kind_parse(kb_str_from(kind_name), &kind)) {
		snprintf(message, size, "[%zu].kind: is not known", index);
		return KB_ERR_SETTINGS;
	}
	body = json_dumps(item, 0);
	if (!body)
		return KB_ERR_NO_MEMORY;
	result = kb_resource_parse_body(&resource, kind, name,
					kb_str_from(body), &fault);
	free(body);
	if (result) {
		snprintf(message, size, "[%zu].%s: %s", index, fault.path,
			 fault.message);
		return KB_ERR_SETTINGS;
	}
	return kb_catalog_put(catalog, &resource);
}

kb_result_t kb_catalog_load(kb_catalog_t *catalog, const char *path,
			    char *message, size_t size)
{
	json_error_t error;
	json_t *items = json_load_file(path, 0, &error);
	kb_result_t result = KB_OK;
	json_t *item;
	size_t i;

	if (!items) {
		snprintf(message, size, "line %d: %s", error.line, error.text);
		return KB_ERR_SETTINGS;
	}
	if (!json_is_array(items)) {
		snprintf(message, size, "must be an array of resources");
		result = KB_ERR_SETTINGS;
	}
	json_array_foreach(items, i, item)
	{
		result = load_item(catalog, item, i, message, size);
		if (result)
			break;
	}
	json_decref(items);
	return result;
}

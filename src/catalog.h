#ifndef KB_CATALOG_H
#define KB_CATALOG_H

#include "resource.h"

KB_BEGIN_DECLS

/*
 * The resources in force on this host, by kind and name. A change replaces a
 * resource as a whole; pointers to a resource are valid until it changes.
 */
typedef struct kb_catalog {
	/* Sorted by kind and name. */
	kb_resource_t **resources;
	size_t count;
	size_t capacity;
	/* Called after each change; `resource` is NULL after a removal. */
	void (*changed)(void *ctx, kb_kind_t kind, kb_str_t name,
			const kb_resource_t *resource);
	void *ctx;
} kb_catalog_t;

/* Initializes an empty catalogue; set `changed` afterwards if wanted. */
void kb_catalog_init(kb_catalog_t *catalog);

/* Frees all resources without a call of `changed`. */
void kb_catalog_finish(kb_catalog_t *catalog);

/*
 * Adds a copy of `resource` or replaces the one of the same kind and name.
 * Nothing is changed on KB_ERR_NO_MEMORY.
 */
kb_result_t kb_catalog_put(kb_catalog_t *catalog,
			   const kb_resource_t *resource);

/* Removes a resource, if present. */
void kb_catalog_remove(kb_catalog_t *catalog, kb_kind_t kind, kb_str_t name);

/* Returns a resource, or NULL. */
const kb_resource_t *kb_catalog_find(const kb_catalog_t *catalog,
				     kb_kind_t kind, kb_str_t name);

/* Return the spec of a resource, or NULL. */
const kb_group_spec_t *kb_catalog_group(const kb_catalog_t *catalog,
					kb_str_t name);
const kb_read_kind_t *kb_catalog_read_kind(const kb_catalog_t *catalog,
					   kb_str_t name);
const kb_traffic_class_t *kb_catalog_traffic_class(const kb_catalog_t *catalog,
						   kb_str_t name);

/* Returns the index of a traffic class among all classes sorted by name. */
size_t kb_catalog_class_index(const kb_catalog_t *catalog, kb_str_t name);

/* Returns whether the operators have declared the host to be leaving. */
int kb_catalog_host_leaving(const kb_catalog_t *catalog, kb_str_t host);

/*
 * Adds the resources of a JSON file, which holds an array of them in the format
 * of the operator interface. Returns KB_ERR_SETTINGS and describes the fault
 * and its place in `message` if the file is invalid, or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_catalog_load(kb_catalog_t *catalog, const char *path,
			    char *message, size_t size);

KB_END_DECLS

#endif

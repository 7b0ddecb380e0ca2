#ifndef KB_SPEC_H
#define KB_SPEC_H

#include "fields.h"
#include "group.h"

KB_BEGIN_DECLS

/* Kinds of resources that operators can declare. */
typedef enum kb_kind {
	KB_KIND_GROUP,
	KB_KIND_READ_KIND,
	KB_KIND_TRAFFIC_CLASS,
	KB_KIND_HOST,
	KB_KIND_PLANNED_STOP,
} kb_kind_t;

#define KB_KIND_COUNT (KB_KIND_PLANNED_STOP + 1)

/* A host as declared by the operators. */
typedef struct kb_host_spec {
	kb_name_t name;
	kb_admin_state_t state;
} kb_host_spec_t;

/* A planned stop of a host. */
typedef struct kb_planned_stop {
	kb_name_t name;
	kb_name_t host;
	/* Time in which requests in flight may complete. */
	kb_time_t grace;
} kb_planned_stop_t;

/* The spec of a resource; the member named by `kind` is valid. */
typedef struct kb_spec {
	kb_kind_t kind;
	union {
		kb_group_spec_t group;
		kb_read_kind_t read_kind;
		kb_traffic_class_t traffic_class;
		kb_host_spec_t host;
		kb_planned_stop_t planned_stop;
	} u;
} kb_spec_t;

/* Returns the name of `kind` in paths, such as "read-kind". */
const char *kb_spec_kind_name(kb_kind_t kind);

/* Parses the name of a kind. Returns KB_ERR_NOT_FOUND if it is unknown. */
kb_result_t kb_spec_kind_parse(kb_str_t text, kb_kind_t *kind);

/*
 * Parses `json`, the "spec" object of resource `name`. On KB_ERR_INVALID
 * `fault` describes the first error.
 */
kb_result_t kb_spec_parse(kb_spec_t *spec, kb_kind_t kind, kb_str_t name,
			  const json_t *json, kb_fault_t *fault);

/*
 * Checks that a group may be changed from `before` to `after` in one step. At
 * most one target may be added or removed, so that any majority of the old
 * targets and any majority of the new ones share a target. On KB_ERR_INVALID
 * `fault` describes the error.
 */
kb_result_t kb_spec_check_change(const kb_spec_t *before,
				 const kb_spec_t *after, kb_fault_t *fault);

/*
 * Returns the spec as a new JSON object that kb_spec_parse() accepts, or NULL
 * if out of memory.
 */
json_t *kb_spec_to_json(const kb_spec_t *spec);

/* Returns "active" or "leaving". */
const char *kb_spec_state_name(kb_admin_state_t state);

KB_END_DECLS

#endif

#ifndef KB_RESOURCE_H
#define KB_RESOURCE_H

#include "spec.h"

KB_BEGIN_DECLS

/* Prefix of the keys of resources in the store. */
#define KB_RESOURCE_PREFIX "/kumquat/resources/"

/* Prefix of the keys that record who deleted a resource. */
#define KB_RESOURCE_DELETED_PREFIX "/kumquat/deleted/"

enum {
	KB_RESOURCE_KEY_BYTES = 128,
	/* Largest value of a resource in the store. */
	KB_RESOURCE_VALUE_MAX_BYTES = 64 * 1024,
	/* Size of an RFC 3339 time, with its final NUL. */
	KB_RESOURCE_TIME_BYTES = 32,
};

/* The operator, time and submission of a change to a resource. */
typedef struct kb_change_record {
	/* Unique to each submission of a change. */
	kb_name_t id;
	/* Name of the operator. */
	kb_name_t by;
	/* Wall-clock time, in whole seconds. */
	kb_time_t at;
} kb_change_record_t;

/* A resource as stored. */
typedef struct kb_resource {
	kb_kind_t kind;
	kb_name_t name;
	/* Store revision of its last change; 0 if it is not stored. */
	int64_t revision;
	kb_spec_t spec;
	kb_change_record_t change;
} kb_resource_t;

/* Writes the key of a resource in the store, with a final NUL. */
void kb_resource_key(kb_kind_t kind, kb_str_t name,
		     char key[KB_RESOURCE_KEY_BYTES]);

/* Writes the key of its deletion record, with a final NUL. */
void kb_resource_deleted_key(kb_kind_t kind, kb_str_t name,
			     char key[KB_RESOURCE_KEY_BYTES]);

/* Parses the key of a resource. Returns KB_ERR_INVALID for any other key. */
kb_result_t kb_resource_parse_key(kb_str_t key, kb_kind_t *kind,
				  kb_name_t *name);

/*
 * Parses a key and value read from the store. On KB_ERR_INVALID `fault`
 * describes the first error.
 */
kb_result_t kb_resource_parse(kb_resource_t *resource, kb_str_t key,
			      kb_str_t value, int64_t revision,
			      kb_fault_t *fault);

/*
 * Parses the body of an operator's request. It contains the spec and may
 * contain kind, name, revision, status and change. Status and change are
 * ignored; kind and name must equal the arguments; the revision is stored in
 * `resource`. On KB_ERR_INVALID `fault` describes the first error.
 */
kb_result_t kb_resource_parse_body(kb_resource_t *resource, kb_kind_t kind,
				   kb_str_t name, kb_str_t body,
				   kb_fault_t *fault);

/*
 * Returns the value to store, to be freed with free(), or NULL if out of
 * memory.
 */
char *kb_resource_format(const kb_resource_t *resource);

/*
 * Returns the value of a deletion record, to be freed with free(), or NULL if
 * out of memory.
 */
char *kb_resource_format_deleted(const kb_change_record_t *change);

/*
 * Returns the resource, without its status, as JSON of the operator
 * interface, or NULL if out of memory.
 */
json_t *kb_resource_to_json(const kb_resource_t *resource);

/* Writes a wall-clock time as RFC 3339 text, in UTC and whole seconds. */
void kb_resource_format_time(kb_time_t at, char text[KB_RESOURCE_TIME_BYTES]);

KB_END_DECLS

#endif

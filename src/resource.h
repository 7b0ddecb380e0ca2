#ifndef KB_RESOURCE_H
#define KB_RESOURCE_H

#include "spec.h"

KB_BEGIN_DECLS

/* Keys of resources in the store begin with this. */
#define KB_RESOURCE_PREFIX "/kumquat/resources/"

/* Keys that record who deleted a resource begin with this. */
#define KB_RESOURCE_DELETED_PREFIX "/kumquat/deleted/"

enum {
	KB_RESOURCE_KEY_BYTES = 128,
	/* Longest value of a resource in the store. */
	KB_RESOURCE_VALUE_MAX_BYTES = 64 * 1024,
	/* An RFC 3339 time with its final NUL. */
	KB_RESOURCE_TIME_BYTES = 32,
};

/* Who changed a resource, when and by which submission. */
typedef struct kb_change_record {
	/* Differs for each submission of a change. */
	kb_name_t id;
	/* Name of the operator. */
	kb_name_t by;
	/* Wall-clock time, in whole seconds. */
	kb_time_t at;
} kb_change_record_t;

/* A resource as the store holds it. */
typedef struct kb_resource {
	kb_kind_t kind;
	kb_name_t name;
	/* Revision of the store at its last change; 0 if it is not stored. */
	int64_t revision;
	kb_spec_t spec;
	kb_change_record_t change;
} kb_resource_t;

/* Writes the key of a resource in the store, ending in NUL. */
void kb_resource_key(kb_kind_t kind, kb_str_t name,
		     char key[KB_RESOURCE_KEY_BYTES]);

/* Writes the key of the record of its deletion, ending in NUL. */
void kb_resource_deleted_key(kb_kind_t kind, kb_str_t name,
			     char key[KB_RESOURCE_KEY_BYTES]);

/* Parses the key of a resource; returns KB_ERR_INVALID if it is none. */
kb_result_t kb_resource_parse_key(kb_str_t key, kb_kind_t *kind,
				  kb_name_t *name);

/*
 * Parses key and value as read from the store. Returns KB_ERR_INVALID and
 * describes the first fault.
 */
kb_result_t kb_resource_parse(kb_resource_t *resource, kb_str_t key,
			      kb_str_t value, int64_t revision,
			      kb_fault_t *fault);

/*
 * Parses the body of an operator's request, which gives the spec and may
 * repeat kind, name, revision, status and change. Status and change are not
 * taken over; a kind or name that differs is a fault. A revision is taken
 * over. Returns KB_ERR_INVALID and describes the first fault.
 */
kb_result_t kb_resource_parse_body(kb_resource_t *resource, kb_kind_t kind,
				   kb_str_t name, kb_str_t body,
				   kb_fault_t *fault);

/*
 * Returns the value for the store as text that the caller frees, or NULL if
 * memory is short.
 */
char *kb_resource_format(const kb_resource_t *resource);

/*
 * Returns the record of its deletion by `change` as text that the caller
 * frees, or NULL if memory is short.
 */
char *kb_resource_format_deleted(const kb_change_record_t *change);

/*
 * Returns the resource without status in the form of the operator interface,
 * or NULL if memory is short.
 */
json_t *kb_resource_to_json(const kb_resource_t *resource);

/* Writes a wall-clock time as RFC 3339 text in whole seconds of UTC. */
void kb_resource_format_time(kb_time_t at, char text[KB_RESOURCE_TIME_BYTES]);

KB_END_DECLS

#endif

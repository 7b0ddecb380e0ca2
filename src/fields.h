#ifndef KB_FIELDS_H
#define KB_FIELDS_H

#include "str.h"

#include <jansson.h>

KB_BEGIN_DECLS

#define KB_FIELDS_PATH_BYTES 160
#define KB_FIELDS_MESSAGE_BYTES 160

/* A validation error in a JSON document. */
typedef struct kb_fault {
	/* JSON path, such as "spec.targets[1].port". */
	char path[KB_FIELDS_PATH_BYTES];
	char message[KB_FIELDS_MESSAGE_BYTES];
} kb_fault_t;

/*
 * Reads the fields of one JSON object. Each function returns KB_OK or
 * KB_ERR_INVALID; in the latter case `fault` describes the first error.
 */
typedef struct kb_fields {
	/* Borrowed. */
	const json_t *object;
	kb_fault_t *fault;
	/* Path of the object in the document; "" for its root. */
	char path[KB_FIELDS_PATH_BYTES];
} kb_fields_t;

/* Starts to read `object`, which is located at `path`. */
kb_result_t kb_fields_init(kb_fields_t *fields, const json_t *object,
			   const char *path, kb_fault_t *fault);

/* Starts to read element `index` of the array `name`. */
kb_result_t kb_fields_item(kb_fields_t *item, const kb_fields_t *fields,
			   const char *name, size_t index);

/* Checks that each field of the object is one of `names`. */
kb_result_t kb_fields_check_known(const kb_fields_t *fields,
				  const char *const *names, size_t count);

/* Records an error in field `name` and returns KB_ERR_INVALID. */
kb_result_t kb_fields_fail(const kb_fields_t *fields, const char *name,
			   const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* Reads a string; `value` borrows its bytes from the object. */
kb_result_t kb_fields_string(const kb_fields_t *fields, const char *name,
			     kb_str_t *value);

/* Reads an identifier: letters, digits, '.', '_' and '-', no leading '.'. */
kb_result_t kb_fields_name(const kb_fields_t *fields, const char *name,
			   kb_name_t *value);

/* Reads an IPv4 or IPv6 address. */
kb_result_t kb_fields_address(const kb_fields_t *fields, const char *name,
			      kb_name_t *value);

/* Reads a whole number from `min` to `max`. */
kb_result_t kb_fields_number(const kb_fields_t *fields, const char *name,
			     unsigned min, unsigned max, unsigned *value);

/* Reads a duration with its unit, from `min` to `max`. */
kb_result_t kb_fields_duration(const kb_fields_t *fields, const char *name,
			       kb_time_t min, kb_time_t max, kb_time_t *value);

/* Reads a boolean; a missing field is false. */
kb_result_t kb_fields_bool(const kb_fields_t *fields, const char *name,
			   int *value);

/* Checks that a field is an array of `min` to `max` elements; sets `*count`. */
kb_result_t kb_fields_array(const kb_fields_t *fields, const char *name,
			    size_t min, size_t max, size_t *count);

/* Returns non-zero if `text` is an identifier as of kb_fields_name(). */
int kb_fields_is_name(kb_str_t text);

KB_END_DECLS

#endif

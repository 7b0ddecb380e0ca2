#ifndef KB_SESSION_VALUES_H
#define KB_SESSION_VALUES_H

#include "text.h"

KB_BEGIN_DECLS

/* Named values of a caller's session or of a connection to a target. */
typedef struct kb_session_values {
	kbs_value *items;
	size_t count;
} kb_session_values_t;

void kb_session_values_finish(kb_session_values_t *values);

/* Sets a value. Returns KB_ERR_NO_MEMORY, or KB_ERR_TOO_LARGE if full. */
kb_result_t kb_session_values_set(kb_session_values_t *values, kb_str_t name,
				  kb_str_t value);

/* Returns the value of `name`, or NULL. */
const kbs_text *kb_session_values_get(const kb_session_values_t *values,
				      kb_str_t name);

/* Removes a value. Returns non-zero if it was there. */
int kb_session_values_remove(kb_session_values_t *values, kb_str_t name);

/*
 * Returns the first of `count` wanted values that `values` lacks or has
 * otherwise, or NULL.
 */
const kbs_value *
kb_session_values_find_mismatch(const kb_session_values_t *values,
				const kbs_value *wanted, size_t count);

/* Whether `values` has names that are not among the wanted ones. */
int kb_session_values_has_extra(const kb_session_values_t *values,
				const kbs_value *wanted, size_t count);

KB_END_DECLS

#endif

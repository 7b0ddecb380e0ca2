#ifndef KB_PROBLEM_H
#define KB_PROBLEM_H

#include "str.h"

#include <jansson.h>

KB_BEGIN_DECLS

#define KB_PROBLEM_MEDIA_TYPE "application/problem+json"

/* Problem details of an HTTP error response (RFC 9457). */
typedef struct kb_problem {
	kb_result_t result;
	/* HTTP status, or 0 for that of `result`. */
	int status;
	/* What is wrong in this request; may be NULL. */
	const char *detail;
	/* JSON path of the field concerned; may be NULL. */
	const char *field;
	/* Object whose members are added to the body; may be NULL. Borrowed. */
	json_t *members;
} kb_problem_t;

/* Returns the HTTP status for `result`. */
int kb_problem_status(kb_result_t result);

/* Returns "not run" or "unknown"; NULL for KB_OK. */
const char *kb_problem_outcome(kb_result_t result);

/*
 * Returns the body of the answer as a new JSON object, or NULL if memory is
 * short. The caller releases it with json_decref().
 */
json_t *kb_problem_to_json(const kb_problem_t *problem);

/*
 * Returns the body of the answer as text that the caller frees, or NULL if
 * memory is short, and sets `*status`.
 */
char *kb_problem_format(const kb_problem_t *problem, int *status);

KB_END_DECLS

#endif

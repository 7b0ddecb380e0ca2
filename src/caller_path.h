#ifndef KB_CALLER_PATH_H
#define KB_CALLER_PATH_H

#include "gen/kumquat_rpc.h"
#include "str.h"

KB_BEGIN_DECLS

/* A parsed path of the caller interface. */
typedef struct kb_caller_path {
	kbx_action action;
	kb_str_t group;
	/* Name of the transaction, or empty. */
	kb_str_t transaction;
	/* The request carries a statement. */
	int has_body;
} kb_caller_path_t;

/*
 * Parses a path such as "/v1/groups/race-1/statements". The strings in `parsed`
 * point into `path`. Returns KB_ERR_NOT_FOUND if there is no such path.
 */
kb_result_t kb_caller_path_parse(kb_str_t path, kb_caller_path_t *parsed);

/*
 * Called with a path template, such as "/v1/groups/{group}/statements", and its
 * HTTP method in lower case.
 */
typedef void kb_caller_path_fn_t(void *ctx, const char *path,
				 const char *method);

/* Calls `fn` for each path of the caller interface. */
void kb_caller_path_each(kb_caller_path_fn_t *fn, void *ctx);

KB_END_DECLS

#endif

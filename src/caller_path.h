#ifndef KB_CALLER_PATH_H
#define KB_CALLER_PATH_H

#include "gen/kumquat_rpc.h"
#include "str.h"

KB_BEGIN_DECLS

/* What a path of the caller interface asks for. */
typedef struct kb_caller_path {
	kbx_action action;
	kb_str_t group;
	/* Name of the transaction, or empty. */
	kb_str_t transaction;
	/* The request carries a statement. */
	int has_body;
} kb_caller_path_t;

/*
 * Parses a path such as "/v1/groups/race-1/statements". The strings point
 * into `path`. Returns KB_ERR_NOT_FOUND for any other.
 */
kb_result_t kb_caller_path_parse(kb_str_t path, kb_caller_path_t *parsed);

/* Receives one path, such as "/v1/groups/{group}/statements", and a method. */
typedef void kb_caller_path_fn_t(void *ctx, const char *path,
				 const char *method);

/* Names each path of the caller interface with its method. */
void kb_caller_path_each(kb_caller_path_fn_t *fn, void *ctx);

KB_END_DECLS

#endif

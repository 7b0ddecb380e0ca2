#ifndef STANDIN_CALLS_H
#define STANDIN_CALLS_H

#include "kv.h"

#include <jansson.h>

/* HTTP status and message of a failed call. */
typedef struct standin_error {
	int status;
	const char *message;
} standin_error_t;

/*
 * Each function handles one call of the gateway. It returns the response as a
 * new JSON object, or returns NULL and sets `*error`. `read_revision` is the
 * revision at which a range request without a revision reads.
 */
json_t *standin_calls_range(standin_kv_t *kv, int64_t read_revision,
			    const json_t *request, standin_error_t *error);
json_t *standin_calls_put(standin_kv_t *kv, const json_t *request,
			  standin_error_t *error);
json_t *standin_calls_delete(standin_kv_t *kv, const json_t *request,
			     standin_error_t *error);
json_t *standin_calls_txn(standin_kv_t *kv, const json_t *request,
			  standin_error_t *error);
json_t *standin_calls_compact(standin_kv_t *kv, const json_t *request,
			      standin_error_t *error);

#endif

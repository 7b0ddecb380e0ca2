#ifndef KB_CALL_H
#define KB_CALL_H

#include "catalog.h"
#include "gen/kumquat_rpc.h"
#include "point.h"
#include "trace.h"

KB_BEGIN_DECLS

typedef struct kb_call kb_call_t;

/*
 * A caller's request, on the host that received it. The strings of `args`
 * belong to the call.
 */
struct kb_call {
	kbx_execute_args args;
	kb_time_t arrived;
	kb_time_t deadline;
	/* All zero unless the request is a read. */
	kb_read_kind_t read_kind;
	int bulk;
	/* Span of the caller's request; all zero if it is not recorded. */
	kb_trace_context_t trace;
	/* Index of its traffic class, for the routing policy. */
	size_t class_index;
	/* Host that holds the open transaction, or empty. */
	kb_name_t gate_host;
	/* Called once with the result; `res` is valid until the return. */
	void (*done)(kb_call_t *call, const kbx_execute_res *res);
};

/* Initializes an empty call; all strings are allocated. */
kb_result_t kb_call_init(kb_call_t *call);

/* Frees the strings of the call. */
void kb_call_finish(kb_call_t *call);

/* Replaces a string of the call by a copy of `value`. */
kb_result_t kb_call_set(char **field, kb_str_t value);

/*
 * Fills in a statement from its JSON body. Returns KB_ERR_INVALID and
 * describes the fault.
 */
kb_result_t kb_call_parse_body(kb_call_t *call, kb_str_t body,
			       const kb_catalog_t *catalog, kb_fault_t *fault);

/* Ends the call with a result and a message, without data. */
void kb_call_fail(kb_call_t *call, kb_result_t result, const char *detail);

/*
 * Parses a transaction's name as callers send it: host, target and id at the
 * gate, separated by '~'. Returns KB_ERR_INVALID if `text` is malformed.
 */
kb_result_t kb_call_parse_transaction(kb_call_t *call, kb_str_t text);

KB_END_DECLS

#endif

#ifndef KB_GRANT_WIRE_H
#define KB_GRANT_WIRE_H

#include "kumquatbridge.h"

#include "kumquat_session.h"

KB_BEGIN_DECLS

/* A request to renew a lease. */
typedef struct kb_grant_args {
	kbs_grant_args base;
	/*
	 * The sender knows of each order to promote. Absent, and read as FALSE,
	 * in messages of earlier versions, which ignore it.
	 */
	bool_t informed;
} kb_grant_args_t;

/* The answer of a voter. */
typedef struct kb_grant_res {
	kbs_grant_res base;
	/* The voter is informed, see kb_order_knowledge_t. Like `informed`. */
	bool_t informed;
} kb_grant_res_t;

bool_t kb_grant_wire_args(XDR *xdr, kb_grant_args_t *args);
bool_t kb_grant_wire_res(XDR *xdr, kb_grant_res_t *res);

KB_END_DECLS

#endif

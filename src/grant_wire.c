#include "grant_wire.h"

/* A flag at the end of a message, which may lack it. */
static bool_t trailing_flag(XDR *xdr, bool_t *flag)
{
	if (xdr->x_op != XDR_DECODE)
		return xdr_bool(xdr, flag);
	if (!xdr_bool(xdr, flag))
		*flag = FALSE;
	return TRUE;
}

bool_t kb_grant_wire_args(XDR *xdr, kb_grant_args_t *args)
{
	return xdr_kbs_grant_args(xdr, &args->base) &&
	       trailing_flag(xdr, &args->informed);
}

bool_t kb_grant_wire_res(XDR *xdr, kb_grant_res_t *res)
{
	return xdr_kbs_grant_res(xdr, &res->base) &&
	       trailing_flag(xdr, &res->informed);
}

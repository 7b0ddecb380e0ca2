#include "grant_wire.h"

#include <gtest/gtest.h>
#include <cstring>

namespace
{

/* Encodes `value` and decodes it as another type; returns the latter. */
template <typename To, typename From>
To convert(xdrproc_t encode, From value, xdrproc_t decode)
{
	char data[512];
	XDR xdr;
	To result;
	unsigned size;

	std::memset(&result, 0, sizeof(result));
	xdrmem_create(&xdr, data, sizeof(data), XDR_ENCODE);
	EXPECT_TRUE(encode(&xdr, &value));
	size = xdr_getpos(&xdr);
	xdrmem_create(&xdr, data, size, XDR_DECODE);
	EXPECT_TRUE(decode(&xdr, &result));
	return result;
}

} // namespace

TEST(GrantWire, TheFlagIsReadBack)
{
	for (bool_t informed : { FALSE, TRUE }) {
		kb_grant_args_t args = {};
		kb_grant_res_t res = {};

		args.base.revision = 7;
		args.informed = informed;
		res.base.quiet_us = 9;
		res.informed = informed;
		args = convert<kb_grant_args_t>((xdrproc_t)kb_grant_wire_args,
						args,
						(xdrproc_t)kb_grant_wire_args);
		res = convert<kb_grant_res_t>((xdrproc_t)kb_grant_wire_res, res,
					      (xdrproc_t)kb_grant_wire_res);
		EXPECT_EQ(7u, args.base.revision);
		EXPECT_EQ(informed, args.informed);
		EXPECT_EQ(9, res.base.quiet_us);
		EXPECT_EQ(informed, res.informed);
		xdr_free((xdrproc_t)kb_grant_wire_args, (char *)&args);
		xdr_free((xdrproc_t)kb_grant_wire_res, (char *)&res);
	}
}

/* Hosts of two versions renew leases with each other. */
TEST(GrantWire, AHostOfAnEarlierVersionIsNotInformed)
{
	kbs_grant_args old_args = {};
	kb_grant_args_t args = {};

	old_args.revision = 7;
	args = convert<kb_grant_args_t>((xdrproc_t)xdr_kbs_grant_args, old_args,
					(xdrproc_t)kb_grant_wire_args);
	EXPECT_EQ(7u, args.base.revision);
	EXPECT_FALSE(args.informed);
	args.informed = TRUE;
	old_args = convert<kbs_grant_args>((xdrproc_t)kb_grant_wire_args, args,
					   (xdrproc_t)xdr_kbs_grant_args);
	EXPECT_EQ(7u, old_args.revision);
	xdr_free((xdrproc_t)xdr_kbs_grant_args, (char *)&old_args);
	xdr_free((xdrproc_t)kb_grant_wire_args, (char *)&args);
}

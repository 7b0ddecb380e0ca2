#ifndef STANDIN_LEASE_H
#define STANDIN_LEASE_H

#include "calls.h"

typedef struct standin_lease {
	int64_t id;
	int64_t ttl_s;
	kb_time_t expires;
} standin_lease_t;

/* The leases of the store; the keys of an expired lease are deleted. */
typedef struct standin_leases {
	standin_kv_t *kv;
	kb_clock_t *clock;
	standin_lease_t *leases;
	size_t count;
	int64_t next_id;
} standin_leases_t;

void standin_lease_init(standin_leases_t *leases, standin_kv_t *kv,
			kb_clock_t *clock);
void standin_lease_finish(standin_leases_t *leases);

/* Handlers of the gateway's lease calls; see calls.h for the arguments. */
json_t *standin_lease_grant(standin_leases_t *leases, const json_t *request,
			    standin_error_t *error);
json_t *standin_lease_keepalive(standin_leases_t *leases, const json_t *request,
				standin_error_t *error);
json_t *standin_lease_revoke(standin_leases_t *leases, const json_t *request,
			     standin_error_t *error);

/* Removes expired leases and deletes their keys; returns their number. */
size_t standin_lease_expire(standin_leases_t *leases);

#endif

#include "lease.h"

#include "json_text.h"
#include "codec.h"

#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

void standin_lease_init(standin_leases_t *leases, standin_kv_t *kv,
			kb_clock_t *clock)
{
	memset(leases, 0, sizeof(*leases));
	leases->kv = kv;
	leases->clock = clock;
	leases->next_id = 1;
}

void standin_lease_finish(standin_leases_t *leases)
{
	free(leases->leases);
	memset(leases, 0, sizeof(*leases));
}

static standin_lease_t *find(standin_leases_t *leases, int64_t id)
{
	for (size_t i = 0; i < leases->count; i++)
		if (leases->leases[i].id == id)
			return &leases->leases[i];
	return NULL;
}

static void renew(standin_leases_t *leases, standin_lease_t *lease)
{
	lease->expires =
		kb_clock_monotonic(leases->clock) + lease->ttl_s * KB_NS_PER_S;
}

static json_t *answer(const standin_leases_t *leases, int64_t id, int64_t ttl)
{
	return json_pack("{s:o,s:o,s:o}", "header",
			 standin_codec_header(leases->kv->revision), "ID",
			 kb_json_text_int64(id), "TTL",
			 kb_json_text_int64(ttl));
}

json_t *standin_lease_grant(standin_leases_t *leases, const json_t *request,
			    standin_error_t *error)
{
	int64_t ttl = standin_codec_number(request, "TTL");
	int64_t id = standin_codec_number(request, "ID");
	standin_lease_t *resized;
	standin_lease_t *lease;

	if (ttl <= 0 || find(leases, id)) {
		error->status = HTTP_BADREQUEST;
		error->message = "lease already exists or TTL is not positive";
		return NULL;
	}
	resized =
		realloc(leases->leases, (leases->count + 1) * sizeof(*resized));
	if (!resized) {
		error->status = HTTP_INTERNAL;
		error->message = "out of memory";
		return NULL;
	}
	leases->leases = resized;
	lease = &resized[leases->count++];
	lease->id = id ? id : leases->next_id++;
	lease->ttl_s = ttl;
	renew(leases, lease);
	return answer(leases, lease->id, ttl);
}

json_t *standin_lease_keepalive(standin_leases_t *leases, const json_t *request,
				standin_error_t *error)
{
	int64_t id = standin_codec_number(request, "ID");
	standin_lease_t *lease = find(leases, id);

	(void)error;
	if (lease)
		renew(leases, lease);
	/* The response for an expired or unknown lease has a TTL of 0. */
	return json_pack("{s:o}", "result",
			 answer(leases, id, lease ? lease->ttl_s : 0));
}

static void end_lease(standin_leases_t *leases, standin_lease_t *lease)
{
	int64_t at = leases->kv->revision + 1;

	standin_kv_delete_leased(leases->kv, lease->id, at);
	standin_kv_commit(leases->kv, at);
	*lease = leases->leases[--leases->count];
}

json_t *standin_lease_revoke(standin_leases_t *leases, const json_t *request,
			     standin_error_t *error)
{
	standin_lease_t *lease =
		find(leases, standin_codec_number(request, "ID"));

	if (!lease) {
		error->status = HTTP_NOTFOUND;
		error->message = "requested lease not found";
		return NULL;
	}
	end_lease(leases, lease);
	return json_pack("{s:o}", "header",
			 standin_codec_header(leases->kv->revision));
}

size_t standin_lease_expire(standin_leases_t *leases)
{
	kb_time_t now = kb_clock_monotonic(leases->clock);
	size_t expired = 0;
	size_t i = 0;

	while (i < leases->count) {
		if (leases->leases[i].expires > now) {
			i++;
			continue;
		}
		end_lease(leases, &leases->leases[i]);
		expired++;
	}
	return expired;
}

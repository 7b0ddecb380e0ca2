#include "proxy_internal.h"

#include "grant_wire.h"
#include "log.h"

#include <inttypes.h>
#include <stdlib.h>

/* Renewals that all known hosts have to grant. */
typedef struct fence_round {
	kb_proxy_group_t *group;
	int64_t revision;
	/* Calls that are not answered yet. */
	size_t open;
	size_t hosts;
	size_t granted;
	/* Latest time at which one of them may have granted another host's. */
	kb_time_t other_granted_at;
} fence_round_t;

static void end_round(fence_round_t *round, kb_time_t now)
{
	kb_lease_t *lease = &round->group->lease;

	if (round->group->fenced_hosts != round->granted)
		kb_log(KB_EVENT_HOLD_FENCED,
		       "group=%s revision=%" PRId64 " hosts=%zu granted=%zu",
		       round->group->name.data, round->revision, round->hosts,
		       round->granted);
	round->group->fenced_hosts = round->granted;
	/* A host that knows no others cannot tell that none serves. */
	if (round->hosts && round->granted == round->hosts)
		kb_lease_on_fenced(lease, round->revision,
				   round->other_granted_at, now);
	free(round);
}

static void on_granted(void *ctx, kb_result_t result, void *res)
{
	fence_round_t *round = ctx;
	const kb_grant_res_t *reply = res;
	kb_time_t now = kb_clock_monotonic(round->group->proxy->clock);

	if (!result)
		kb_proxy_learn_order(round->group, reply->base.order);
	if (!result && reply->base.granted) {
		kb_time_t at = now - reply->base.quiet_us * KB_NS_PER_US;

		round->granted++;
		if (at > round->other_granted_at)
			round->other_granted_at = at;
	}
	if (!--round->open)
		end_round(round, now);
}

/* Whether a process of the host may still serve by an earlier renewal. */
static int may_serve(const kb_host_t *host, kb_time_t now)
{
	return !host->self &&
	       (host->live || !host->unlisted_at ||
		now - host->unlisted_at <
			KB_LEASE_MAX_UNCONFIRMED_S * KB_NS_PER_S);
}

void kb_proxy_fence_hosts(void *ctx, kb_lease_t *lease, kb_time_t sent_at)
{
	kb_proxy_group_t *group = ctx;
	kb_proxy_t *proxy = group->proxy;
	fence_round_t *round = calloc(1, sizeof(*round));

	if (!round)
		return;
	round->group = group;
	round->revision = lease->revision;
	/* Keeps the round until all calls are started. */
	round->open = 1;
	for (size_t i = 0; i < proxy->hosts.count; i++) {
		kb_host_t *host = proxy->hosts.hosts[i];

		if (!may_serve(host, sent_at))
			continue;
		round->hosts++;
		if (!kb_proxy_request_grant(group, host, 0, on_granted, round))
			round->open++;
	}
	if (!--round->open)
		end_round(round, sent_at);
}

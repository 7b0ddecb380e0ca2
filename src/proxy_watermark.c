#include "proxy_internal.h"

#include <stdlib.h>

enum {
	/* Interval of watermark requests for a group in use. */
	REQUEST_INTERVAL_MS = 250,
	/* Without a watermark for this time the voters are asked in turn. */
	HOLDER_TIMEOUT_MS = 700,
	/* Interval of requests for the other groups, one group at a time. */
	IDLE_REQUEST_INTERVAL_MS = 250,
	/* A vacancy reported by a voter is used for this time. */
	VACANCY_MAX_AGE_MS = 1500,
	/* A group is in use for this time after its last use. */
	IN_USE_S = 10,
};

void kb_proxy_group_local_watermark(kb_proxy_group_t *group, kbs_stamp *stamp)
{
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);
	const kb_monitor_t *monitor = &group->monitor;

	memset(stamp, 0, sizeof(*stamp));
	if (!kb_lease_may_serve(&group->lease, now) || !monitor->has_primary ||
	    monitor->state == KB_MONITOR_IDLE ||
	    monitor->state == KB_MONITOR_FINDING)
		return;
	stamp->valid = TRUE;
	stamp->term = monitor->term;
	stamp->point = kb_point_to(monitor->newest);
	stamp->primary =
		kb_text_view(kb_name_str(&monitor->primary.place.target));
}

void kb_proxy_group_add_watermark(kb_proxy_group_t *group,
				  const kbs_stamp *stamp, kb_time_t sent_at)
{
	kb_time_t at = sent_at - stamp->age_us * KB_NS_PER_US;

	if (!stamp->valid)
		return;
	if (!stamp->vacant && at > group->served_at)
		group->served_at = at;
	kb_watermarks_add(&group->watermarks, stamp->term, at,
			  kb_point_from(stamp->point));
	if (stamp->term < group->primary_term)
		return;
	group->primary_term = stamp->term;
	kb_name_set(&group->primary, kb_text_str(stamp->primary));
}

int kb_proxy_group_is_vacant(const kb_proxy_group_t *group, kb_time_t now)
{
	const kb_watermark_t *newest = kb_watermarks_last(&group->watermarks);

	return newest && newest->at > group->served_at &&
	       now - newest->at <= VACANCY_MAX_AGE_MS * KB_NS_PER_MS;
}

typedef struct watermark_call {
	kb_proxy_group_t *group;
	kb_time_t sent_at;
} watermark_call_t;

static void on_watermark(void *ctx, kb_result_t result, void *res)
{
	watermark_call_t call = *(watermark_call_t *)ctx;
	const kbs_stamp_res *reply = res;

	free(ctx);
	if (!result)
		kb_proxy_group_add_watermark(call.group, &reply->stamp,
					     call.sent_at);
}

void kb_proxy_group_mark_used(kb_proxy_group_t *group, kb_time_t now)
{
	if (now - group->used_at > IN_USE_S * KB_NS_PER_S)
		group->in_use_since = now;
	group->used_at = now;
	group->quiet = 0;
}

/* Groups not in use take turns; replies show whether holders are reachable. */
static int may_request(const kb_proxy_group_t *group, kb_time_t now)
{
	const kb_proxy_t *proxy = group->proxy;
	size_t turn =
		(size_t)(now / (IDLE_REQUEST_INTERVAL_MS * KB_NS_PER_MS)) %
		proxy->group_count;

	return now - group->used_at <= IN_USE_S * KB_NS_PER_S ||
	       proxy->groups[turn] == group;
}

/*
 * Returns the host of this region that requests the group's watermarks from a
 * holder in another region. The other hosts of the region ask that host.
 */
static const kb_host_t *region_relay(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_t *proxy = group->proxy;
	kb_host_ranking_subject_t subject = {
		.key = kb_name_str(&group->name),
		.data_centre = KB_STR(""),
		.region = kb_name_str(&proxy->self.region),
	};

	kb_host_ranking_update(&group->relays, &proxy->hosts, &subject);
	for (size_t i = 0; i < group->relays.count; i++) {
		const kb_host_t *host = group->relays.hosts[i];

		if (kb_proxy_host_usable(host, now) &&
		    kb_name_is(&host->region, subject.region))
			return host;
	}
	return NULL;
}

/*
 * Returns the host to ask: the holder, or the relay of this region if the
 * holder is in another one. Without a recent watermark from a holder the
 * voters are asked in turn.
 */
static const kb_name_t *watermark_source(kb_proxy_group_t *group, kb_time_t now)
{
	const kb_voter_set_t *set = &group->lease.record.voters;
	const kb_name_t *holder = &group->lease.record.holder;
	const kb_host_t *host =
		kb_hosts_find(&group->proxy->hosts, kb_name_str(holder));
	const kb_host_t *relay;
	kb_time_t timeout = HOLDER_TIMEOUT_MS * KB_NS_PER_MS;

	if (set->count &&
	    (kb_proxy_group_watermark_age(group, now) > timeout ||
	     kb_proxy_group_unserved_time(group, now) > timeout)) {
		group->watermark_voter =
			(group->watermark_voter + 1) % set->count;
		return &set->hosts[group->watermark_voter];
	}
	if (!host ||
	    kb_name_is(&host->region, kb_name_str(&group->proxy->self.region)))
		return holder;
	relay = region_relay(group, now);
	return relay && !relay->self ? &relay->name : holder;
}

void kb_proxy_group_cached_watermark(kb_proxy_group_t *group, kbs_stamp *stamp)
{
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);
	const kb_watermark_t *newest = kb_watermarks_last(&group->watermarks);

	/* A request of another host counts as a use. */
	kb_proxy_group_mark_used(group, now);
	if (!newest || now - newest->at > HOLDER_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	stamp->valid = TRUE;
	stamp->vacant = group->served_at < newest->at;
	stamp->term = group->watermarks.term;
	stamp->point = kb_point_to(newest->point);
	stamp->primary = kb_text_view(kb_name_str(&group->primary));
	stamp->age_us = (now - newest->at) / KB_NS_PER_US;
}

void kb_proxy_group_request_watermark(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_t *proxy = group->proxy;
	kb_time_t interval = REQUEST_INTERVAL_MS * KB_NS_PER_MS;
	kb_host_t *host;
	watermark_call_t *call;
	kbs_stamp_args args = {
		.group = kb_text_view(kb_name_str(&group->name)),
	};
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_RPC_WATERMARK,
		.encode = (xdrproc_t)xdr_kbs_stamp_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_kbs_stamp_res,
		.res_size = sizeof(kbs_stamp_res),
		.timeout = KB_PROXY_CALL_TIMEOUT_MS * KB_NS_PER_MS,
		.done = on_watermark,
	};

	if (now - group->watermark_requested_at < interval ||
	    now - kb_watermarks_newest(&group->watermarks) < interval ||
	    !may_request(group, now))
		return;
	host = kb_hosts_find(&proxy->hosts,
			     kb_name_str(watermark_source(group, now)));
	if (!host || host->self)
		return;
	call = calloc(1, sizeof(*call));
	if (!call)
		return;
	group->watermark_requested_at = now;
	call->group = group;
	call->sent_at = now;
	rpc.ctx = call;
	kb_proxy_host_call(proxy, host, &rpc);
}

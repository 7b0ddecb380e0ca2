#include "proxy_internal.h"

#include <stdlib.h>

enum {
	/* Interval of watermark requests for a group in use. */
	REQUEST_INTERVAL_MS = 250,
	/*
	 * A call waits for this time for the first watermark since the start of
	 * this process; less than the timeout of the call.
	 */
	FIRST_WAIT_MS = 300,
	/* Pause before the first watermark is requested again. */
	FIRST_RETRY_INTERVAL_MS = 60,
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
	if (!kb_watermarks_newest(&call.group->watermarks))
		call.group->watermark_requested_at =
			kb_clock_monotonic(call.group->proxy->clock) -
			(REQUEST_INTERVAL_MS - FIRST_RETRY_INTERVAL_MS) *
				KB_NS_PER_MS;
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
	kb_time_t age = kb_proxy_group_watermark_age(group, now);

	/* After a start the holder has as long, too. */
	if (!kb_watermarks_newest(&group->watermarks) &&
	    age > now - group->record_received_at)
		age = now - group->record_received_at;
	if (set->count && (age > timeout || kb_proxy_group_unserved_time(
						    group, now) > timeout)) {
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

static void reply_watermark(kb_proxy_group_t *group, kb_rpc_request_t *request,
			    const kbs_stamp *stamp)
{
	kbs_stamp_res res = {
		.stamp = *stamp,
		.holder =
			kb_text_view(kb_name_str(&group->lease.record.holder)),
	};

	kb_rpc_server_reply(request, &res);
}

static void fill_watermark(kb_proxy_group_t *group, kbs_stamp *stamp)
{
	kb_proxy_group_local_watermark(group, stamp);
	if (!stamp->valid)
		kb_proxy_group_cached_watermark(group, stamp);
	if (!stamp->valid)
		kb_proxy_vacancy_watermark(group, stamp);
}

void kb_proxy_group_serve_watermark(kb_proxy_group_t *group,
				    kb_rpc_request_t *request, kb_time_t now)
{
	kb_watermark_waiter_t *waiter = NULL;
	kbs_stamp stamp = { 0 };

	fill_watermark(group, &stamp);
	if (!stamp.valid && !kb_watermarks_newest(&group->watermarks))
		waiter = calloc(1, sizeof(*waiter));
	if (!waiter) {
		reply_watermark(group, request, &stamp);
		return;
	}
	waiter->request = request;
	waiter->answer_at = now + FIRST_WAIT_MS * KB_NS_PER_MS;
	waiter->next = group->watermark_waiters;
	group->watermark_waiters = waiter;
}

void kb_proxy_group_watermark_tick(kb_proxy_group_t *group, kb_time_t now)
{
	kb_watermark_waiter_t **link = &group->watermark_waiters;
	int is_known = kb_watermarks_newest(&group->watermarks) != 0;

	while (*link) {
		kb_watermark_waiter_t *waiter = *link;
		kbs_stamp stamp = { 0 };

		if (!is_known && now < waiter->answer_at) {
			link = &waiter->next;
			continue;
		}
		*link = waiter->next;
		fill_watermark(group, &stamp);
		reply_watermark(group, waiter->request, &stamp);
		free(waiter);
	}
}

void kb_proxy_group_end_watermark_calls(kb_proxy_group_t *group)
{
	kbs_stamp none = { 0 };

	while (group->watermark_waiters) {
		kb_watermark_waiter_t *waiter = group->watermark_waiters;

		group->watermark_waiters = waiter->next;
		reply_watermark(group, waiter->request, &none);
		free(waiter);
	}
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

#include "proxy_internal.h"

#include "rendezvous.h"

#include <stdlib.h>

enum {
	/* Stamps are asked for this often while the group is used. */
	STAMP_PAUSE_MS = 250,
	/* A holder that says nothing for this time is not asked alone. */
	HOLDER_SILENT_MS = 700,
	/* One of the other groups is asked about this often. */
	IDLE_STAMP_PAUSE_MS = 250,
	/* What a candidate says of a vacancy holds for this time. */
	VACANT_KNOWN_MS = 1500,
	/* A group that was used within this time is used. */
	STAMP_USED_S = 10,
};

void kb_proxy_group_local_watermark(kb_proxy_group_t *group, kbs_stamp *stamp)
{
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);
	const kb_monitor_t *lead = &group->lead;

	memset(stamp, 0, sizeof(*stamp));
	if (!kb_lease_may_serve(&group->hold, now) || !lead->has_primary ||
	    lead->state == KB_MONITOR_IDLE || lead->state == KB_MONITOR_FINDING)
		return;
	stamp->valid = TRUE;
	stamp->term = lead->term;
	stamp->point = kb_point_to(lead->newest);
	stamp->primary = kb_text_view(kb_name_str(&lead->primary.place.target));
}

void kb_proxy_group_add_watermark(kb_proxy_group_t *group,
				  const kbs_stamp *stamp, kb_time_t sent_at)
{
	kb_time_t at = sent_at - stamp->age_us * KB_NS_PER_US;

	if (!stamp->valid)
		return;
	if (!stamp->vacant && at > group->served_at)
		group->served_at = at;
	kb_watermarks_add(&group->stamps, stamp->term, at,
			  kb_point_from(stamp->point));
	if (stamp->term < group->primary_term)
		return;
	group->primary_term = stamp->term;
	kb_name_set(&group->primary, kb_text_str(stamp->primary));
}

int kb_proxy_group_is_vacant(const kb_proxy_group_t *group, kb_time_t now)
{
	const kb_watermark_t *newest = kb_watermarks_last(&group->stamps);

	return newest && newest->at > group->served_at &&
	       now - newest->at <= VACANT_KNOWN_MS * KB_NS_PER_MS;
}

typedef struct stamp_call {
	kb_proxy_group_t *group;
	kb_time_t sent_at;
} stamp_call_t;

static void on_stamp(void *ctx, kb_result_t result, void *res)
{
	stamp_call_t call = *(stamp_call_t *)ctx;
	const kbs_stamp_res *told = res;

	free(ctx);
	if (!result)
		kb_proxy_group_add_watermark(call.group, &told->stamp,
					     call.sent_at);
}

void kb_proxy_group_mark_used(kb_proxy_group_t *group, kb_time_t now)
{
	if (now - group->used_at > STAMP_USED_S * KB_NS_PER_S)
		group->in_use_since = now;
	group->used_at = now;
}

/* Groups without callers take turns: their stamps show what is reached. */
static int may_ask_stamp(const kb_proxy_group_t *group, kb_time_t now)
{
	const kb_proxy_t *proxy = group->proxy;
	size_t turn = (size_t)(now / (IDLE_STAMP_PAUSE_MS * KB_NS_PER_MS)) %
		      proxy->group_count;

	return now - group->used_at <= STAMP_USED_S * KB_NS_PER_S ||
	       proxy->groups[turn] == group;
}

/* The host of this region that asks a holder in another one for the rest. */
static const kb_host_t *stamp_relay(const kb_proxy_group_t *group,
				    kb_time_t now)
{
	const kb_hosts_t *hosts = &group->proxy->hosts;
	const kb_host_t *best = NULL;
	uint64_t best_score = 0;

	for (size_t i = 0; i < hosts->count; i++) {
		const kb_host_t *host = hosts->hosts[i];
		uint64_t score = kb_rendezvous_score(kb_name_str(&host->name),
						     kb_name_str(&group->name));

		if (!kb_proxy_host_usable(host, now) ||
		    !kb_name_is(&host->region,
				kb_name_str(&group->proxy->self.region)) ||
		    (best && score <= best_score))
			continue;
		best = host;
		best_score = score;
	}
	return best;
}

/*
 * The holder, or the relay of this region if the holder is in another one.
 * While stamps stay away the candidates are asked in turn.
 */
static const kb_name_t *stamp_source(kb_proxy_group_t *group, kb_time_t now)
{
	const kb_voter_set_t *set = &group->hold.record.voters;
	const kb_name_t *holder = &group->hold.record.holder;
	const kb_host_t *host =
		kb_hosts_find(&group->proxy->hosts, kb_name_str(holder));
	const kb_host_t *relay;
	kb_time_t silent = HOLDER_SILENT_MS * KB_NS_PER_MS;

	if (set->count && (kb_proxy_group_watermark_age(group, now) > silent ||
			   kb_proxy_group_unserved_time(group, now) > silent)) {
		group->stamp_source = (group->stamp_source + 1) % set->count;
		return &set->hosts[group->stamp_source];
	}
	if (!host ||
	    kb_name_is(&host->region, kb_name_str(&group->proxy->self.region)))
		return holder;
	relay = stamp_relay(group, now);
	return relay && !relay->self ? &relay->name : holder;
}

void kb_proxy_group_cached_watermark(kb_proxy_group_t *group, kbs_stamp *stamp)
{
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);
	const kb_watermark_t *newest = kb_watermarks_last(&group->stamps);

	/* What others need is kept up to date here. */
	kb_proxy_group_mark_used(group, now);
	if (!newest || now - newest->at > HOLDER_SILENT_MS * KB_NS_PER_MS)
		return;
	stamp->valid = TRUE;
	stamp->vacant = group->served_at < newest->at;
	stamp->term = group->stamps.term;
	stamp->point = kb_point_to(newest->point);
	stamp->primary = kb_text_view(kb_name_str(&group->primary));
	stamp->age_us = (now - newest->at) / KB_NS_PER_US;
}

void kb_proxy_group_request_watermark(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_t *proxy = group->proxy;
	kb_time_t pause = STAMP_PAUSE_MS * KB_NS_PER_MS;
	kb_host_t *host;
	stamp_call_t *call;
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
		.done = on_stamp,
	};

	if (now - group->stamp_asked_at < pause ||
	    now - kb_watermarks_newest(&group->stamps) < pause ||
	    !may_ask_stamp(group, now))
		return;
	/* Its choice goes through all hosts: it waits until one is asked. */
	host = kb_hosts_find(&proxy->hosts,
			     kb_name_str(stamp_source(group, now)));
	if (!host || host->self)
		return;
	call = calloc(1, sizeof(*call));
	if (!call)
		return;
	group->stamp_asked_at = now;
	call->group = group;
	call->sent_at = now;
	rpc.ctx = call;
	kb_proxy_host_call(proxy, host, &rpc);
}

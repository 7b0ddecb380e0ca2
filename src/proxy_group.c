#include "proxy_parts.h"

#include "hold_record.h"
#include "log.h"
#include "rendezvous.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	KEY_MAX_BYTES = 160,
	/* The group's hold is looked after this often. */
	HOLD_TICK_MS = 50,
	/* Stamps are asked for this often while the group is used. */
	STAMP_PAUSE_MS = 250,
	/* A holder that says nothing for this time is not asked alone. */
	HOLDER_SILENT_MS = 700,
	/* One of the other groups is asked about this often. */
	IDLE_STAMP_PAUSE_MS = 250,
	/* A group that was used within this time is used. */
	STAMP_USED_S = 10,
	/* Connections of a target left to other hosts' probes and gates. */
	SPARE_CONNECTIONS = 3,
	SPARE_CONNECTIONS_MIN = 2,
	/* A planned hand-over lets open transactions end within this time. */
	HAND_OVER_FINISH_MS = 500,
	HAND_OVER_MS = 800,
	/* A host that answered within this time is reached. */
	ANSWERS_MS = 1500,
	/* A group moves to a host nearer to its primary after this time. */
	NEARER_S = 3,
	/* Hosts that are asked whether they reach a primary. */
	REACH_HOSTS = 4,
};

kb_proxy_group_t *kb_proxy_group_find(const kb_proxy_t *proxy, kb_str_t name)
{
	for (size_t i = 0; i < proxy->group_count; i++)
		if (kb_name_is(&proxy->groups[i]->name, name))
			return proxy->groups[i];
	return NULL;
}

kb_time_t kb_proxy_group_silence(const kb_proxy_group_t *group, kb_time_t now)
{
	return now - kb_stamps_newest(&group->stamps);
}

/* 2: in the primary's data centre, 1: in its region, 0: elsewhere. */
static int nearness(const kb_proxy_t *proxy, const kb_host_t *host,
		    const kb_target_entry_t *primary)
{
	const kb_settings_t *settings = proxy->setup.settings;

	if (!primary)
		return 0;
	if (kb_name_is(&host->data_centre, kb_name_str(&primary->data_centre)))
		return 2;
	for (size_t i = 0; i < settings->place_count; i++)
		if (kb_name_is(&settings->places[i].data_centre,
			       kb_name_str(&primary->data_centre)))
			return kb_name_is(
				&host->region,
				kb_name_str(&settings->places[i].region));
	return 0;
}

static const kb_target_entry_t *claimed_primary(const kb_proxy_group_t *group)
{
	const kb_target_list_t *targets = &group->proxy->targets;

	for (size_t i = 0; i < targets->count; i++)
		if (targets->entries[i].claims_primary &&
		    kb_name_is(&targets->entries[i].place.group,
			       kb_name_str(&group->name)))
			return &targets->entries[i];
	return NULL;
}

typedef struct ranked {
	const kb_host_t *host;
	/* The store still names it, and it has answered lately. */
	int listed;
	int answers;
	int near;
	uint64_t score;
} ranked_t;

static int compare_ranked(const void *a, const void *b)
{
	const ranked_t *x = a;
	const ranked_t *y = b;

	if (x->listed != y->listed)
		return y->listed - x->listed;
	if (x->answers != y->answers)
		return y->answers - x->answers;
	if (x->near != y->near)
		return y->near - x->near;
	return x->score < y->score ? 1 : x->score > y->score ? -1 : 0;
}

void kb_proxy_group_rank(kb_proxy_group_t *group, kb_hold_ranking_t *ranking)
{
	const kb_hosts_t *hosts = &group->proxy->hosts;
	const kb_target_entry_t *primary = claimed_primary(group);
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);
	ranked_t ranked[KB_HOLD_HOSTS_MAX];
	size_t count = 0;

	for (size_t i = 0; i < hosts->count && count < KB_HOLD_HOSTS_MAX; i++) {
		const kb_host_t *host = hosts->hosts[i];

		if (!host->live || host->leaving)
			continue;
		ranked[count].host = host;
		ranked[count].listed = !host->unlisted_at;
		ranked[count].answers =
			host->self ||
			now - host->replied_at < ANSWERS_MS * KB_NS_PER_MS;
		ranked[count].near = nearness(group->proxy, host, primary);
		ranked[count++].score = kb_rendezvous_score(
			kb_name_str(&host->name), kb_name_str(&group->name));
	}
	qsort(ranked, count, sizeof(ranked[0]), compare_ranked);
	ranking->count = count;
	for (size_t i = 0; i < count; i++)
		ranking->hosts[i] = ranked[i].host->name;
}

static void hold_key(const kb_proxy_group_t *group, char *key)
{
	snprintf(key, KEY_MAX_BYTES, "%s%s", KB_PROXY_HOLD_PREFIX,
		 group->name.data);
}

/* A host that is about to serve a group loses no time. */
static void wake_if_beginning(kb_proxy_group_t *group)
{
	if (group->hold.role == KB_HOLD_WAITING ||
	    group->lead.state == KB_LEAD_FINDING)
		kb_proxy_wake(group->proxy);
}

/* A call to the store for a hold. */
typedef struct hold_call {
	kb_proxy_group_t *group;
	kb_time_t sent_at;
	uint64_t number;
} hold_call_t;

static hold_call_t *new_hold_call(kb_proxy_group_t *group)
{
	hold_call_t *call = calloc(1, sizeof(*call));

	if (call)
		call->group = group;
	group->proxy->stats.store_calls++;
	return call;
}

static void on_hold_read(void *ctx, kb_result_t result,
			 const kb_store_range_t *range)
{
	hold_call_t call = *(hold_call_t *)ctx;
	kb_time_t now = kb_clock_monotonic(call.group->proxy->clock);
	kb_hold_record_t record;
	const kb_hold_record_t *found = NULL;
	int64_t revision = range ? range->revision : 0;

	free(ctx);
	if (!result && range && range->count) {
		revision = range->entries[0].revision;
		found = &record;
		result = kb_hold_record_parse(&record, range->entries[0].value);
		if (result)
			kb_log(KB_EVENT_STORE_ENTRY_MALFORMED,
			       "group=%s revision=%" PRId64,
			       call.group->name.data, revision);
	}
	kb_hold_on_read(&call.group->hold, call.sent_at, result, found,
			revision, now);
	wake_if_beginning(call.group);
}

static void hold_read(void *ctx, kb_hold_t *hold, kb_time_t sent_at)
{
	kb_proxy_group_t *group = ctx;
	kb_store_t *store = group->proxy->setup.store;
	hold_call_t *call = new_hold_call(group);
	char key[KEY_MAX_BYTES];
	kb_store_keys_t keys;

	(void)hold;
	if (!call)
		return;
	call->sent_at = sent_at;
	hold_key(group, key);
	keys = (kb_store_keys_t){ .key = kb_str_from(key) };
	if (store->ops->get(store, &keys, on_hold_read, call))
		free(call);
}

static void on_hold_written(void *ctx, kb_result_t result,
			    const kb_store_written_t *written)
{
	hold_call_t call = *(hold_call_t *)ctx;
	kb_time_t now = kb_clock_monotonic(call.group->proxy->clock);

	free(ctx);
	kb_log(KB_EVENT_HOLD_STATE,
	       "group=%s write=%" PRIu64 " result=%s revision=%" PRId64,
	       call.group->name.data, call.number, kb_result_name(result),
	       written ? written->revision : 0);
	kb_hold_on_written(&call.group->hold, call.number, result,
			   written ? written->revision : 0, now);
	wake_if_beginning(call.group);
}

static void hold_write(void *ctx, kb_hold_t *hold,
		       const kb_hold_record_t *record, int64_t expected,
		       uint64_t number)
{
	kb_proxy_group_t *group = ctx;
	kb_store_t *store = group->proxy->setup.store;
	hold_call_t *call = new_hold_call(group);
	char *text = kb_hold_record_format(record);
	char key[KEY_MAX_BYTES];
	kb_store_write_t write;

	(void)hold;
	hold_key(group, key);
	write = (kb_store_write_t){ .key = kb_str_from(key),
				    .value = kb_str_from(text),
				    .expected = expected };
	if (call)
		call->number = number;
	if (!call || !text ||
	    store->ops->put(store, &write, on_hold_written, call))
		free(call);
	free(text);
}

typedef struct grant_call {
	kb_proxy_group_t *group;
	kb_name_t candidate;
	kb_time_t asked_at;
} grant_call_t;

static void on_granted(void *ctx, kb_result_t result, void *res)
{
	grant_call_t call = *(grant_call_t *)ctx;
	const kbs_grant_res *granted = res;

	free(ctx);
	if (!result)
		kb_hold_on_store_age(&call.group->hold, &call.candidate,
				     granted->store_age_us * KB_NS_PER_US);
	if (!result)
		kb_hold_on_grant(&call.group->hold, &call.candidate,
				 call.asked_at, granted->granted,
				 kb_clock_monotonic(call.group->proxy->clock));
	wake_if_beginning(call.group);
}

static void hold_ask(void *ctx, kb_hold_t *hold, const kb_name_t *candidate,
		     kb_time_t asked_at)
{
	kb_proxy_group_t *group = ctx;
	kb_proxy_t *proxy = group->proxy;
	kb_host_t *host = kb_hosts_find(&proxy->hosts, kb_name_str(candidate));
	grant_call_t *call = host ? calloc(1, sizeof(*call)) : NULL;
	kbs_grant_args args = {
		.group = kb_text_view(kb_name_str(&group->name)),
		.holder = kb_text_view(kb_name_str(&proxy->self.name)),
		.revision = (uint64_t)hold->revision,
		.serving = kb_hold_is_live(hold, asked_at),
	};
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_GRANT,
		.encode = (xdrproc_t)xdr_kbs_grant_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_kbs_grant_res,
		.res_size = sizeof(kbs_grant_res),
		.timeout = KB_PROXY_CALL_MS * KB_NS_PER_MS,
		.done = on_granted,
		.ctx = call,
	};

	if (!call)
		return;
	call->group = group;
	call->candidate = *candidate;
	call->asked_at = asked_at;
	proxy->stats.host_calls++;
	if (kb_rpc_peer_call(&host->peer, &rpc))
		free(call);
}

static void on_heard(void *ctx, kb_result_t result, void *res)
{
	grant_call_t call = *(grant_call_t *)ctx;
	const kbs_heard_res *heard = res;

	free(ctx);
	if (!result)
		kb_hold_on_heard(&call.group->hold, heard->age_us >= 0,
				 call.asked_at - heard->age_us * KB_NS_PER_US);
}

static void hold_inquire(void *ctx, kb_hold_t *hold)
{
	kb_proxy_group_t *group = ctx;
	kb_proxy_t *proxy = group->proxy;

	for (size_t i = 0; i < hold->record.candidates.count; i++) {
		kb_host_t *host = kb_hosts_find(
			&proxy->hosts,
			kb_name_str(&hold->record.candidates.hosts[i]));
		grant_call_t *call;
		kbs_heard_args args = {
			.group = kb_text_view(kb_name_str(&group->name)),
			.holder =
				kb_text_view(kb_name_str(&hold->record.holder)),
		};
		kb_rpc_call_t rpc = {
			.procedure = KB_PROXY_HEARD,
			.encode = (xdrproc_t)xdr_kbs_heard_args,
			.args = &args,
			.decode = (xdrproc_t)xdr_kbs_heard_res,
			.res_size = sizeof(kbs_heard_res),
			.timeout = KB_PROXY_CALL_MS * KB_NS_PER_MS,
			.done = on_heard,
		};

		if (!host || host->self)
			continue;
		call = calloc(1, sizeof(*call));
		if (!call)
			continue;
		call->group = group;
		call->asked_at = kb_clock_monotonic(proxy->clock);
		rpc.ctx = call;
		proxy->stats.host_calls++;
		if (kb_rpc_peer_call(&host->peer, &rpc))
			free(call);
	}
}

static void on_looked(void *ctx, kb_result_t result, void *res)
{
	/* A host that was not told learns it from the others. */
	(void)ctx;
	(void)result;
	(void)res;
}

static void hold_tell(void *ctx, kb_hold_t *hold, const kb_name_t *name)
{
	kb_proxy_group_t *group = ctx;
	kb_proxy_t *proxy = group->proxy;
	kb_host_t *host = kb_hosts_find(&proxy->hosts, kb_name_str(name));
	kbs_look_args args = {
		.group = kb_text_view(kb_name_str(&group->name)),
	};
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_LOOK,
		.encode = (xdrproc_t)xdr_kbs_look_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_kbs_look_res,
		.res_size = sizeof(kbs_look_res),
		.timeout = KB_PROXY_CALL_MS * KB_NS_PER_MS,
		.done = on_looked,
	};

	(void)hold;
	if (!host || host->self)
		return;
	proxy->stats.host_calls++;
	kb_rpc_peer_call(&host->peer, &rpc);
}

static void hold_changed(void *ctx, kb_hold_t *hold)
{
	static const char *const roles[] = {
		[KB_HOLD_NONE] = "none",
		[KB_HOLD_TAKING] = "taking",
		[KB_HOLD_WAITING] = "waiting",
		[KB_HOLD_SERVING] = "serving",
		[KB_HOLD_RELEASING] = "releasing",
	};
	kb_proxy_group_t *group = ctx;

	kb_log(KB_EVENT_HOLD_STATE,
	       "group=%s role=%s holder=%s revision=%" PRId64 " released=%d",
	       group->name.data, roles[hold->role], hold->record.holder.data,
	       hold->revision, hold->record.released);
}

static const kb_hold_ops_t hold_ops = {
	.read = hold_read,
	.write = hold_write,
	.ask = hold_ask,
	.inquire = hold_inquire,
	.tell = hold_tell,
	.changed = hold_changed,
};

static void lead_probe(void *ctx, const kb_target_entry_t *target)
{
	kb_proxy_group_t *group = ctx;
	kb_proxy_probe_t *probe = kb_proxy_probe_get(group, target);

	if (!probe)
		return;
	probe->for_lead = 1;
	kb_target_probe_send(&probe->probe, KB_ORDER_STATUS, 0);
}

static void lead_step_down(void *ctx, const kb_target_entry_t *target,
			   uint64_t term)
{
	kb_proxy_probe_t *probe = kb_proxy_probe_get(ctx, target);

	if (probe)
		kb_target_probe_send(&probe->probe, KB_ORDER_STEP_DOWN, term);
}

typedef struct promote_call {
	kb_proxy_group_t *group;
	kb_name_t target;
} promote_call_t;

static void on_promoted(void *ctx, kb_result_t result)
{
	promote_call_t call = *(promote_call_t *)ctx;

	free(ctx);
	kb_lead_on_promoted(&call.group->lead, kb_name_str(&call.target),
			    result,
			    kb_clock_monotonic(call.group->proxy->clock));
}

static void lead_promote(void *ctx, const kb_target_entry_t *target)
{
	kb_proxy_group_t *group = ctx;
	kb_platform_view_t *view = group->proxy->setup.view;
	promote_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		return;
	call->group = group;
	call->target = target->place.target;
	if (view->ops->promote(view, &target->place,
			       kb_name_str(&group->proxy->self.name),
			       group->hold.token, on_promoted, call))
		free(call);
}

typedef struct reach_call {
	kb_proxy_group_t *group;
	kb_name_t host;
	kb_name_t target;
} reach_call_t;

static void on_reached(void *ctx, kb_result_t result, void *res)
{
	reach_call_t call = *(reach_call_t *)ctx;
	const kbs_reach_res *reach = res;

	free(ctx);
	if (!result && reach->reached && reach->primary)
		kb_lead_on_reached(
			&call.group->lead, kb_name_str(&call.target),
			&call.host, reach->term,
			kb_clock_monotonic(call.group->proxy->clock));
}

static void lead_inquire(void *ctx, const kb_target_entry_t *target)
{
	kb_proxy_group_t *group = ctx;
	kb_proxy_t *proxy = group->proxy;
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_hold_ranking_t ranking;
	size_t asked = 0;

	kb_proxy_group_rank(group, &ranking);
	for (size_t i = 0; i < ranking.count && asked < REACH_HOSTS; i++) {
		kb_host_t *host = kb_hosts_find(&proxy->hosts,
						kb_name_str(&ranking.hosts[i]));
		reach_call_t *call;
		kbs_reach_args args = {
			.group = kb_text_view(kb_name_str(&group->name)),
			.target = kb_text_view(
				kb_name_str(&target->place.target)),
		};
		kb_rpc_call_t rpc = {
			.procedure = KB_PROXY_REACH,
			.encode = (xdrproc_t)xdr_kbs_reach_args,
			.args = &args,
			.decode = (xdrproc_t)xdr_kbs_reach_res,
			.res_size = sizeof(kbs_reach_res),
			.timeout = KB_PROXY_CALL_MS * KB_NS_PER_MS,
			.done = on_reached,
		};

		if (!host || host->self || !kb_proxy_host_usable(host, now))
			continue;
		call = calloc(1, sizeof(*call));
		if (!call)
			continue;
		call->group = group;
		call->host = host->name;
		call->target = target->place.target;
		rpc.ctx = call;
		asked++;
		proxy->stats.host_calls++;
		if (kb_rpc_peer_call(&host->peer, &rpc))
			free(call);
	}
}

static void lead_hand_over(void *ctx, const kb_name_t *host)
{
	kb_proxy_group_t *group = ctx;
	kb_hold_ranking_t ranking;

	kb_proxy_group_rank(group, &ranking);
	kb_hold_release(&group->hold, &ranking, host,
			kb_clock_monotonic(group->proxy->clock));
}

static void lead_bind(void *ctx, const kb_target_entry_t *primary)
{
	static const kb_link_place_t nowhere;
	kb_proxy_group_t *group = ctx;
	unsigned limit = SPARE_CONNECTIONS_MIN;

	if (!primary) {
		kb_link_pool_bind(&group->pool, &nowhere, 1, 0);
		return;
	}
	if (group->connections > SPARE_CONNECTIONS + limit)
		limit = group->connections - SPARE_CONNECTIONS;
	kb_link_pool_bind(&group->pool, &primary->place, primary->slots, limit);
}

static void lead_pause(void *ctx, int paused)
{
	kb_proxy_group_t *group = ctx;

	group->pool.paused = paused;
}

static void lead_abort(void *ctx)
{
	kb_proxy_group_t *group = ctx;

	kb_link_pool_abort_transactions(&group->pool);
}

static unsigned lead_active(void *ctx)
{
	kb_proxy_group_t *group = ctx;

	return kb_link_pool_active(&group->pool);
}

static kb_time_t lead_hold_left(void *ctx)
{
	kb_proxy_group_t *group = ctx;
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);

	if (group->hold.role != KB_HOLD_SERVING)
		return 0;
	return kb_hold_valid_until(&group->hold) - now;
}

static const kb_lead_ops_t lead_ops = {
	.probe = lead_probe,
	.step_down = lead_step_down,
	.promote = lead_promote,
	.inquire = lead_inquire,
	.hand_over = lead_hand_over,
	.bind = lead_bind,
	.pause = lead_pause,
	.abort = lead_abort,
	.active = lead_active,
	.hold_left = lead_hold_left,
};

static int pool_may_serve(void *ctx, kb_time_t now)
{
	kb_proxy_group_t *group = ctx;

	return kb_hold_may_serve(&group->hold, now);
}

static void pool_sign(void *ctx, kb_target_sign_t sign, kb_point_t point)
{
	kb_proxy_group_t *group = ctx;
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);

	if (sign == KB_SIGN_ANSWERED)
		kb_lead_on_answer(&group->lead, point);
	else
		kb_lead_on_trouble(&group->lead, sign == KB_SIGN_READ_ONLY,
				   now);
}

static const kb_link_pool_ops_t pool_ops = {
	.may_serve = pool_may_serve,
	.sign = pool_sign,
};

kb_proxy_group_t *kb_proxy_group_get(kb_proxy_t *proxy, kb_str_t name)
{
	kb_proxy_group_t *group = kb_proxy_group_find(proxy, name);
	kb_proxy_group_t **groups;

	if (group)
		return group;
	groups = reallocarray(proxy->groups, proxy->group_count + 1,
			      sizeof(*groups));
	if (!groups)
		return NULL;
	proxy->groups = groups;
	group = calloc(1, sizeof(*group));
	if (!group)
		return NULL;
	group->proxy = proxy;
	kb_name_set(&group->name, name);
	kb_hold_init(&group->hold, &hold_ops, group, &group->name,
		     &proxy->self.name, proxy->setup.settings->first_start,
		     kb_clock_monotonic(proxy->clock));
	kb_lead_init(&group->lead, &lead_ops, group, &group->name);
	kb_link_pool_init(&group->pool, &pool_ops, group, proxy->setup.linker,
			  proxy->clock, kb_rng_next(&proxy->rng) >> 1);
	groups[proxy->group_count++] = group;
	return group;
}

void kb_proxy_group_free(kb_proxy_group_t *group)
{
	kb_proxy_probes_finish(group);
	kb_link_pool_finish(&group->pool);
	free(group);
}

void kb_proxy_group_on_key(kb_proxy_t *proxy, kb_str_t key,
			   const kb_mirror_entry_t *entry)
{
	kb_str_t prefix = KB_STR(KB_PROXY_HOLD_PREFIX);
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_proxy_group_t *group;
	kb_hold_record_t record;

	group = kb_proxy_group_get(proxy, (kb_str_t){ key.data + prefix.len,
						      key.len - prefix.len });
	if (!group)
		return;
	if (!entry) {
		kb_hold_on_key(&group->hold, NULL, proxy->mirror.revision, now);
		return;
	}
	if (kb_hold_record_parse(&record, entry->value)) {
		kb_log(KB_EVENT_STORE_ENTRY_MALFORMED, "group=%s",
		       group->name.data);
		return;
	}
	kb_hold_on_key(&group->hold, &record, entry->revision, now);
}

void kb_proxy_group_stamp(kb_proxy_group_t *group, kbs_stamp *stamp)
{
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);
	const kb_lead_t *lead = &group->lead;

	memset(stamp, 0, sizeof(*stamp));
	if (!kb_hold_may_serve(&group->hold, now) || !lead->has_primary ||
	    lead->state == KB_LEAD_IDLE || lead->state == KB_LEAD_FINDING)
		return;
	stamp->valid = TRUE;
	stamp->term = lead->term;
	stamp->point = kb_point_to(lead->newest);
	stamp->primary = kb_text_view(kb_name_str(&lead->primary.place.target));
}

void kb_proxy_group_learn(kb_proxy_group_t *group, const kbs_stamp *stamp,
			  kb_time_t sent_at)
{
	kb_time_t at = sent_at - stamp->age_us * KB_NS_PER_US;

	if (!stamp->valid)
		return;
	kb_stamps_add(&group->stamps, stamp->term, at,
		      kb_point_from(stamp->point));
	if (stamp->term < group->primary_term)
		return;
	group->primary_term = stamp->term;
	kb_name_set(&group->primary, kb_text_str(stamp->primary));
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
		kb_proxy_group_learn(call.group, &told->stamp, call.sent_at);
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
	const kb_hold_set_t *set = &group->hold.record.candidates;
	const kb_name_t *holder = &group->hold.record.holder;
	const kb_host_t *host =
		kb_hosts_find(&group->proxy->hosts, kb_name_str(holder));
	const kb_host_t *relay;

	if (set->count && kb_proxy_group_silence(group, now) >
				  HOLDER_SILENT_MS * KB_NS_PER_MS) {
		group->stamp_source = (group->stamp_source + 1) % set->count;
		return &set->hosts[group->stamp_source];
	}
	if (!host ||
	    kb_name_is(&host->region, kb_name_str(&group->proxy->self.region)))
		return holder;
	relay = stamp_relay(group, now);
	return relay && !relay->self ? &relay->name : holder;
}

void kb_proxy_group_relay(kb_proxy_group_t *group, kbs_stamp *stamp)
{
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);
	const kb_stamp_t *newest = kb_stamps_last(&group->stamps);

	/* What others need is kept up to date here. */
	group->used_at = now;
	if (!newest || now - newest->at > HOLDER_SILENT_MS * KB_NS_PER_MS)
		return;
	stamp->valid = TRUE;
	stamp->term = group->stamps.term;
	stamp->point = kb_point_to(newest->point);
	stamp->primary = kb_text_view(kb_name_str(&group->primary));
	stamp->age_us = (now - newest->at) / KB_NS_PER_US;
}

static void ask_stamp(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_t *proxy = group->proxy;
	kb_host_t *host = kb_hosts_find(&proxy->hosts,
					kb_name_str(stamp_source(group, now)));
	stamp_call_t *call;
	kbs_stamp_args args = {
		.group = kb_text_view(kb_name_str(&group->name)),
	};
	kb_rpc_call_t rpc = {
		.procedure = KB_PROXY_STAMP,
		.encode = (xdrproc_t)xdr_kbs_stamp_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_kbs_stamp_res,
		.res_size = sizeof(kbs_stamp_res),
		.timeout = KB_PROXY_CALL_MS * KB_NS_PER_MS,
		.done = on_stamp,
	};

	if (!host || host->self || !may_ask_stamp(group, now) ||
	    now - kb_stamps_newest(&group->stamps) <
		    STAMP_PAUSE_MS * KB_NS_PER_MS ||
	    now - group->stamp_asked_at < STAMP_PAUSE_MS * KB_NS_PER_MS)
		return;
	call = calloc(1, sizeof(*call));
	if (!call)
		return;
	group->stamp_asked_at = now;
	call->group = group;
	call->sent_at = now;
	rpc.ctx = call;
	proxy->stats.host_calls++;
	if (kb_rpc_peer_call(&host->peer, &rpc))
		free(call);
}

/* Ends this host's hold in good order. */
static void hand_over(kb_proxy_group_t *group, const kb_hold_ranking_t *ranking,
		      kb_time_t now)
{
	kb_time_t spent = now - group->handing_at;

	if (group->hold.role != KB_HOLD_SERVING &&
	    group->hold.role != KB_HOLD_WAITING) {
		group->handing_at = 0;
		return;
	}
	group->pool.paused = 1;
	if (kb_link_pool_active(&group->pool)) {
		if (spent > HAND_OVER_FINISH_MS * KB_NS_PER_MS)
			kb_link_pool_abort_transactions(&group->pool);
		if (spent < HAND_OVER_MS * KB_NS_PER_MS)
			return;
	}
	kb_hold_release(&group->hold, ranking,
			group->successor.len ? &group->successor : NULL, now);
	group->successor.len = 0;
}

/* Groups that a host holds as far as this one knows. */
static size_t held_by(const kb_proxy_t *proxy, const kb_name_t *host)
{
	size_t count = 0;

	for (size_t i = 0; i < proxy->group_count; i++)
		count += (size_t)kb_name_is(
			&proxy->groups[i]->hold.record.holder,
			kb_name_str(host));
	return count;
}

/* One group is handed over at a time. */
static int is_handing_over(const kb_proxy_t *proxy)
{
	for (size_t i = 0; i < proxy->group_count; i++)
		if (proxy->groups[i]->handing_at)
			return 1;
	return 0;
}

/*
 * The host that should hold the group: the nearest to its primary, and of
 * those as near as this one another only if that holds two groups less, so
 * that the loss of a host concerns few groups.
 */
static const kb_host_t *better_holder(kb_proxy_group_t *group,
				      const kb_hold_ranking_t *ranking,
				      kb_time_t now)
{
	kb_proxy_t *proxy = group->proxy;
	const kb_target_entry_t *primary = &group->lead.primary;
	int own = nearness(proxy, proxy->hosts.self, primary);
	size_t held = held_by(proxy, &proxy->self.name);

	for (size_t i = 0; i < ranking->count; i++) {
		const kb_host_t *host = kb_hosts_find(
			&proxy->hosts, kb_name_str(&ranking->hosts[i]));
		int near = host ? nearness(proxy, host, primary) : 0;

		if (!host || host->self || near < own ||
		    !kb_proxy_host_usable(host, now))
			continue;
		if (near > own || held_by(proxy, &host->name) + 2 <= held)
			return host;
	}
	return NULL;
}

/* Statements to a primary in another region cost their way each time. */
static void seek_nearer(kb_proxy_group_t *group,
			const kb_hold_ranking_t *ranking, kb_time_t now)
{
	kb_proxy_t *proxy = group->proxy;
	const kb_host_t *best = NULL;

	if (group->lead.state == KB_LEAD_SERVING && !is_handing_over(proxy))
		best = better_holder(group, ranking, now);
	if (!best) {
		group->nearer_since = 0;
		return;
	}
	if (!group->nearer_since)
		group->nearer_since = now;
	if (now - group->nearer_since < NEARER_S * KB_NS_PER_S)
		return;
	kb_log(KB_EVENT_HOLD_STATE, "group=%s nearer=%s primary=%s",
	       group->name.data, best->name.data,
	       group->lead.primary.place.target.data);
	group->handing_at = now;
	group->successor = best->name;
}

void kb_proxy_group_tick(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_t *proxy = group->proxy;
	kb_hold_ranking_t ranking;
	int serves;

	kb_proxy_group_rank(group, &ranking);
	if (proxy->mirror.revision && !group->hold.known && group->configured)
		kb_hold_on_key(&group->hold, NULL, proxy->mirror.revision, now);
	if (!proxy->stopping || group->hold.role != KB_HOLD_NONE)
		kb_hold_tick(&group->hold, &ranking, now);
	if (proxy->stopping && !group->handing_at)
		group->handing_at = now;
	serves = group->hold.role == KB_HOLD_SERVING;
	if (serves && !group->handing_at)
		seek_nearer(group, &ranking, now);
	if (group->handing_at)
		hand_over(group, &ranking, now);
	serves = group->hold.role == KB_HOLD_SERVING;
	kb_lead_hold(&group->lead, serves, now);
	kb_lead_tick(&group->lead, &proxy->targets, now);
	kb_proxy_vacancy_tick(group, now);
	if (serves) {
		kbs_stamp stamp;

		kb_proxy_group_stamp(group, &stamp);
		kb_proxy_group_learn(group, &stamp, now);
	} else {
		kb_link_pool_refuse_waiting(&group->pool, KB_ERR_NOT_GATE,
					    "another host holds the group");
		ask_stamp(group, now);
	}
	kb_link_pool_tick(&group->pool);
	kb_proxy_probes_tick(group);
}

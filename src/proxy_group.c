#include "proxy_internal.h"

#include "lease_order.h"
#include "lease_record.h"
#include "log.h"

#include <stdlib.h>

enum {
	/* Time in which the hosts of a fleet discover each other. */
	FLEET_FORMING_MS = 3000,
	/* A group without use is quiet after this time. */
	QUIET_AFTER_S = 12,
};

kb_proxy_group_t *kb_proxy_group_find(const kb_proxy_t *proxy, kb_str_t name)
{
	kb_proxy_group_t *group = NULL;

	HASH_FIND(by_name, proxy->groups_by_name, name.data, name.len, group);
	return group;
}

kb_time_t kb_proxy_group_watermark_age(const kb_proxy_group_t *group,
				       kb_time_t now)
{
	return now - kb_watermarks_newest(&group->watermarks);
}

kb_time_t kb_proxy_group_unserved_time(const kb_proxy_group_t *group,
				       kb_time_t now)
{
	kb_time_t since = group->served_at;

	if (!since)
		return 0;
	if (group->record_received_at > since)
		since = group->record_received_at;
	if (group->in_use_since > since)
		since = group->in_use_since;
	return now - since;
}

static int pool_may_serve(void *ctx, kb_time_t now)
{
	kb_proxy_group_t *group = ctx;

	return kb_lease_may_serve(&group->lease, now);
}

static void pool_event(void *ctx, kb_target_event_t sign, kb_point_t point)
{
	kb_proxy_group_t *group = ctx;
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);

	if (sign != KB_TARGET_EVENT_ANSWERED) {
		kb_monitor_on_connection_error(
			&group->monitor, sign == KB_TARGET_EVENT_READ_ONLY,
			now);
		return;
	}
	kb_monitor_on_answer(&group->monitor, point);
	kb_start_phases_reach_group(&group->proxy->start, &group->start,
				    &group->name, KB_START_GROUP_FIRST_SERVED,
				    now);
}

static const kb_link_pool_ops_t pool_ops = {
	.may_serve = pool_may_serve,
	.on_target_event = pool_event,
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
	kb_team_accounts_init(&group->accounts, kb_rng_next(&proxy->rng));
	kb_lease_init(&group->lease, &kb_proxy_lease_ops, group, &group->name,
		      &proxy->self.name,
		      proxy->setup.settings->first_start &&
			      !proxy->store_restored,
		      kb_clock_monotonic(proxy->clock));
	kb_monitor_init(&group->monitor, &kb_proxy_monitor_ops, group,
			&group->name);
	kb_link_pool_init(&group->pool, &pool_ops, group,
			  proxy->setup.connector, proxy->clock,
			  kb_rng_next(&proxy->rng) >> 1);
	kb_pace_init(&group->pool.pace, proxy->setup.settings->pace);
	groups[proxy->group_count++] = group;
	HASH_ADD_KEYPTR(by_name, proxy->groups_by_name, group->name.data,
			group->name.len, group);
	return group;
}

void kb_proxy_group_free(kb_proxy_group_t *group)
{
	kb_proxy_group_end_watermark_calls(group);
	kb_proxy_group_refuse_held(group);
	kb_proxy_confirm_end_all(group);
	kb_proxy_probes_finish(group);
	kb_link_pool_finish(&group->pool);
	kb_team_accounts_finish(&group->accounts);
	free(group);
}

void kb_proxy_group_on_key(kb_proxy_t *proxy, kb_str_t key,
			   const kb_mirror_entry_t *entry)
{
	kb_str_t prefix = KB_STR(KB_PROXY_LEASE_KEY_PREFIX);
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	kb_proxy_group_t *group;
	kb_lease_record_t record;

	group = kb_proxy_group_get(proxy, (kb_str_t){ key.data + prefix.len,
						      key.len - prefix.len });
	if (!group)
		return;
	group->quiet = 0;
	if (!entry) {
		kb_lease_on_key(&group->lease, NULL, proxy->mirror.revision,
				now);
		return;
	}
	if (kb_lease_record_parse(&record, entry->value)) {
		kb_log(KB_EVENT_STORE_ENTRY_MALFORMED, "group=%s",
		       group->name.data);
		return;
	}
	kb_lease_on_key(&group->lease, &record, entry->revision, now);
}

/*
 * Whether hosts may still be missing in the membership, as the whole fleet
 * starts for the first time. A holder that is chosen among too few hosts would
 * have to hand the group over.
 */
static int is_fleet_forming(const kb_proxy_group_t *group, kb_time_t now)
{
	const kb_proxy_t *proxy = group->proxy;

	return proxy->setup.settings->first_start &&
	       !group->lease.record.holder.len &&
	       now - proxy->started_at < FLEET_FORMING_MS * KB_NS_PER_MS;
}

/* Whether only the loss of all its voters would concern this host. */
static int is_quiet(const kb_proxy_group_t *group, kb_time_t now)
{
	const kb_lease_t *lease = &group->lease;

	return lease->known && lease->role == KB_LEASE_NONE &&
	       lease->record.holder.len && !group->handover_started_at &&
	       now - group->used_at > QUIET_AFTER_S * KB_NS_PER_S &&
	       now >= group->vacancy.requested_until && !group->probe_count &&
	       !group->pool.conns && !group->pool.jobs &&
	       !kb_voter_set_contains(&lease->record.voters, &lease->self);
}

static void tick_monitor(kb_proxy_group_t *group, int serves, kb_time_t now)
{
	kb_monitor_t *monitor = &group->monitor;
	kb_target_names_t copies = { 0 };
	kb_departures_t departures = { 0 };
	kb_target_names_t standbys;

	if (kb_monitor_set_active(monitor, serves ? group->lease.token : 0,
				  now)) {
		kb_monitor_add_copies(monitor, &group->lease.copies,
				      &group->lease.departures, now);
		if (!group->lease.knowledge.known)
			kb_monitor_expect_orders(monitor,
						 &group->lease.standbys, now);
	}
	if (group->lease.knowledge.known)
		kb_monitor_end_expectation(monitor);
	kb_monitor_set_order(monitor, &group->lease.order, now);
	kb_monitor_require_term(monitor, group->primary_term);
	kb_monitor_set_entries_time(monitor, group->proxy->mirror.as_of);
	kb_monitor_tick(monitor, &group->proxy->targets, now);
	if (!serves)
		return;
	if (monitor->durable) {
		kb_copies_names(&monitor->copies, &copies);
		departures = monitor->copies.departures;
	}
	kb_lease_set_copies(&group->lease, &copies, &departures);
	if (!kb_monitor_expects_orders(monitor))
		kb_order_knowledge_set_known(&group->lease.knowledge);
	kb_monitor_standbys(monitor, &group->proxy->targets, &standbys);
	kb_lease_set_standbys(&group->lease, &standbys);
	if (monitor->blocked)
		kb_link_pool_refuse_waiting(
			&group->pool, KB_ERR_NO_PRIMARY,
			"no target that answers may be promoted");
}

void kb_proxy_group_tick(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_t *proxy = group->proxy;
	int serves;

	if (proxy->mirror.revision && !group->lease.known && group->configured)
		kb_lease_on_key(&group->lease, NULL, proxy->mirror.revision,
				now);
	if (is_fleet_forming(group, now))
		kb_lease_defer_takeover(&group->lease, now);
	else if (!proxy->stopping || group->lease.role != KB_LEASE_NONE)
		kb_lease_tick(&group->lease, now);
	if (proxy->stopping && !group->handover_started_at)
		group->handover_started_at = now;
	serves = group->lease.role == KB_LEASE_SERVING;
	if (serves && !group->handover_started_at)
		kb_proxy_group_rebalance(group, now);
	if (group->handover_started_at)
		kb_proxy_group_hand_over(group, now);
	serves = group->lease.role == KB_LEASE_SERVING;
	if (serves)
		kb_proxy_keeper_tick(group, now);
	tick_monitor(group, serves, now);
	kb_proxy_confirm_tick(group, now);
	kb_proxy_vacancy_tick(group, now);
	if (serves) {
		kbs_stamp stamp;

		kb_proxy_group_local_watermark(group, &stamp);
		kb_proxy_group_add_watermark(group, &stamp, now);
	} else {
		kb_link_pool_refuse_waiting(&group->pool, KB_ERR_NOT_GATE,
					    "another host holds the group");
		kb_proxy_group_request_watermark(group, now);
	}
	kb_proxy_group_watermark_tick(group, now);
	kb_proxy_group_held_tick(group, now);
	kb_proxy_start_group_tick(group, now);
	kb_link_pool_tick(&group->pool);
	kb_proxy_probes_tick(group);
	group->quiet = is_quiet(group, now);
}

void kb_proxy_groups_tick(kb_proxy_t *proxy, kb_time_t now)
{
	proxy->tick_count++;
	for (size_t i = 0; i < proxy->group_count; i++)
		if (!proxy->groups[i]->quiet ||
		    (proxy->tick_count + i) % KB_PROXY_QUIET_TICKS == 0)
			kb_proxy_group_tick(proxy->groups[i], now);
}

#include "proxy_internal.h"

#include "load/move_time.h"
#include "log.h"

enum {
	/* Transactions still open after this time are rolled back. */
	HANDOVER_DRAIN_TIMEOUT_MS = 500,
	/* The group is handed over after this time at the latest. */
	HANDOVER_TIMEOUT_MS = 800,
	/*
	 * Time for the store to confirm the key first: without the store no
	 * successor can be named, and the group would be without a holder.
	 */
	HANDOVER_STORE_TIMEOUT_MS = 3000,
	/*
	 * A stopping host that is named as the holder keeps the group until
	 * this time after the start of its stop. By then it knows which others
	 * are stopping, too.
	 */
	PASS_ON_DELAY_MS = 400,
	/* Interval of the checks for a better holder. */
	REBALANCE_INTERVAL_MS = 100,
};

int kb_proxy_locality(const kb_proxy_t *proxy, const kb_host_t *host,
		      const kb_target_entry_t *primary)
{
	kb_str_t region;

	if (!primary)
		return 0;
	if (kb_name_is(&host->data_centre, kb_name_str(&primary->data_centre)))
		return 2;
	region = kb_settings_region(proxy->setup.settings,
				    &primary->data_centre);
	return region.len && kb_name_is(&host->region, region);
}

static const kb_target_entry_t *reported_primary(const kb_proxy_group_t *group)
{
	const kb_target_entry_t *target = kb_target_list_first(
		&group->proxy->targets, kb_name_str(&group->name));

	while (target && !target->reports_primary)
		target = kb_target_list_next(target);
	return target;
}

const kb_host_ranking_t *kb_proxy_group_ranking(kb_proxy_group_t *group)
{
	kb_proxy_t *proxy = group->proxy;
	const kb_target_entry_t *primary = reported_primary(group);
	kb_host_ranking_subject_t subject = {
		.key = kb_name_str(&group->name),
		.data_centre = KB_STR(""),
		.region = KB_STR(""),
		.spread = 1,
	};

	if (primary) {
		subject.data_centre = kb_name_str(&primary->data_centre);
		subject.region = kb_settings_region(proxy->setup.settings,
						    &primary->data_centre);
	}
	kb_host_ranking_update(&group->ranking, &proxy->hosts, &subject);
	return &group->ranking;
}

static void add_ranked(kb_lease_ranking_t *ranking, const kb_name_t *host)
{
	if (ranking->count < KB_LEASE_HOSTS_MAX)
		ranking->hosts[ranking->count++] = *host;
}

static int is_ranked(const kb_host_ranking_t *ranking, const kb_name_t *host)
{
	for (size_t i = 0; i < ranking->count; i++)
		if (kb_name_is(&ranking->hosts[i]->name, kb_name_str(host)))
			return 1;
	return 0;
}

void kb_proxy_group_rank(kb_proxy_group_t *group, kb_lease_ranking_t *ranking)
{
	const kb_host_ranking_t *preferred = kb_proxy_group_ranking(group);
	const kb_voter_set_t *voters = &group->lease.record.voters;
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);

	ranking->count = 0;
	for (size_t i = 0; i < preferred->count; i++)
		if (kb_voter_set_contains(voters, &preferred->hosts[i]->name) &&
		    kb_proxy_host_usable(preferred->hosts[i], now))
			add_ranked(ranking, &preferred->hosts[i]->name);
	for (size_t i = 0; i < voters->count; i++) {
		const kb_host_t *host = kb_hosts_find(
			&group->proxy->hosts, kb_name_str(&voters->hosts[i]));

		if (host && kb_proxy_host_usable(host, now) &&
		    !host->unlisted_at && !is_ranked(preferred, &host->name))
			add_ranked(ranking, &host->name);
	}
	for (size_t i = 0; i < preferred->count; i++)
		if (!kb_voter_set_contains(voters,
					   &preferred->hosts[i]->name) ||
		    !kb_proxy_host_usable(preferred->hosts[i], now))
			add_ranked(ranking, &preferred->hosts[i]->name);
}

/*
 * Serves on until the store has confirmed the key since the hand-over started.
 * Without the store, a move to a better host is given up, and a stop goes on
 * after a while. Returns whether the hand-over may continue.
 */
static int confirm_handover(kb_proxy_group_t *group, kb_time_t now)
{
	kb_time_t elapsed = now - group->handover_started_at;
	int is_late = elapsed >= HANDOVER_STORE_TIMEOUT_MS * KB_NS_PER_MS;

	if (group->lease.role == KB_LEASE_SERVING &&
	    !kb_lease_confirm(&group->lease, group->handover_started_at, now)) {
		if (!is_late)
			return 0;
		if (!group->proxy->stopping) {
			kb_log(KB_EVENT_HOLD_STATE,
			       "group=%s nearer=%s result=store-lost",
			       group->name.data, group->successor.data);
			group->handover_started_at = 0;
			group->better_host_since = 0;
			group->successor.len = 0;
			return 0;
		}
	}
	group->handover_confirmed = 1;
	group->handover_started_at = now;
	return 1;
}

/* Waits for work in flight to end, then releases the group. */
void kb_proxy_group_hand_over(kb_proxy_group_t *group, kb_time_t now)
{
	const kb_proxy_t *proxy = group->proxy;
	kb_time_t elapsed = now - group->handover_started_at;

	if (group->lease.role != KB_LEASE_SERVING &&
	    group->lease.role != KB_LEASE_WAITING) {
		group->handover_started_at = 0;
		group->handover_confirmed = 0;
		return;
	}
	if (proxy->stopping && !group->held_at_stop &&
	    now - proxy->stop_started_at < PASS_ON_DELAY_MS * KB_NS_PER_MS)
		return;
	if (!group->handover_confirmed) {
		if (!confirm_handover(group, now))
			return;
		elapsed = 0;
	}
	group->pool.paused = 1;
	if (!kb_monitor_prepare_release(&group->monitor, now))
		return;
	if (kb_link_pool_active(&group->pool)) {
		if (elapsed > HANDOVER_DRAIN_TIMEOUT_MS * KB_NS_PER_MS)
			kb_link_pool_abort_transactions(&group->pool);
		if (elapsed < HANDOVER_TIMEOUT_MS * KB_NS_PER_MS)
			return;
	}
	kb_lease_release(&group->lease,
			 group->successor.len ? &group->successor : NULL, now);
	group->successor.len = 0;
}

/* Returns the number of groups that a host holds, as far as known here. */
static size_t count_leases(const kb_proxy_t *proxy, const kb_name_t *host)
{
	size_t count = 0;

	for (size_t i = 0; i < proxy->group_count; i++)
		count += (size_t)kb_name_is(
			&proxy->groups[i]->lease.record.holder,
			kb_name_str(host));
	return count;
}

/* Whether a hand-over is in progress; groups are handed over one at a time. */
static int is_handing_over(const kb_proxy_t *proxy)
{
	for (size_t i = 0; i < proxy->group_count; i++)
		if (proxy->groups[i]->handover_started_at)
			return 1;
	return 0;
}

/*
 * Returns a host that should hold the group instead of this one, or NULL. This
 * is a host nearer to the primary, or one as near that holds at least two
 * groups fewer: spreading the groups limits the effect of the loss of one host.
 */
static const kb_host_t *better_holder(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_t *proxy = group->proxy;
	const kb_target_entry_t *primary = &group->monitor.primary;
	int own_locality = kb_proxy_locality(proxy, proxy->hosts.self, primary);
	size_t own_count = count_leases(proxy, &proxy->self.name);
	const kb_host_ranking_t *ranking = kb_proxy_group_ranking(group);

	for (size_t i = 0; i < ranking->count; i++) {
		const kb_host_t *host = ranking->hosts[i];
		int locality = kb_proxy_locality(proxy, host, primary);

		if (host->self || locality < own_locality ||
		    !kb_proxy_host_usable(host, now))
			continue;
		if (locality > own_locality ||
		    count_leases(proxy, &host->name) + 2 <= own_count)
			return host;
	}
	return NULL;
}

/* A holder that is far from the primary adds latency to every statement. */
void kb_proxy_group_rebalance(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_t *proxy = group->proxy;
	const kb_host_t *best = NULL;

	if (now - group->rebalance_checked_at <
	    REBALANCE_INTERVAL_MS * KB_NS_PER_MS)
		return;
	group->rebalance_checked_at = now;
	if (group->monitor.state == KB_MONITOR_SERVING &&
	    !is_handing_over(proxy))
		best = better_holder(group, now);
	if (!best) {
		group->better_host_since = 0;
		return;
	}
	if (!group->better_host_since)
		group->better_host_since = now;
	if (!kb_move_time_has_come(now - group->better_host_since,
				   group->pool.job_count, group->pool.slots))
		return;
	kb_log(KB_EVENT_HOLD_STATE, "group=%s nearer=%s primary=%s",
	       group->name.data, best->name.data,
	       group->monitor.primary.place.target.data);
	group->handover_started_at = now;
	group->successor = best->name;
}

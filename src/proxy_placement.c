#include "proxy_internal.h"

#include "log.h"
#include "rendezvous.h"

enum {
	/* A planned hand-over lets open transactions end within this time. */
	HAND_OVER_FINISH_MS = 500,
	HAND_OVER_MS = 800,
	/* A host that answered within this time is reached. */
	ANSWERS_MS = 1500,
	/* A group moves to a host nearer to its primary after this time. */
	NEARER_S = 3,
	/* Such a host is sought this often. */
	SEEK_PAUSE_MS = 100,
};

/* 2: in the primary's data centre, 1: in its region, 0: elsewhere. */
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

void kb_proxy_group_rank(kb_proxy_group_t *group, kb_lease_ranking_t *ranking)
{
	const kb_hosts_t *hosts = &group->proxy->hosts;
	const kb_target_entry_t *primary = claimed_primary(group);
	kb_time_t now = kb_clock_monotonic(group->proxy->clock);
	ranked_t ranked[KB_LEASE_HOSTS_MAX];
	size_t count = 0;

	for (size_t i = 0; i < hosts->count && count < KB_LEASE_HOSTS_MAX;
	     i++) {
		const kb_host_t *host = hosts->hosts[i];

		if (!host->live || host->leaving)
			continue;
		ranked[count].host = host;
		ranked[count].listed = !host->unlisted_at;
		ranked[count].answers =
			host->self ||
			now - host->replied_at < ANSWERS_MS * KB_NS_PER_MS;
		ranked[count].near =
			kb_proxy_locality(group->proxy, host, primary);
		ranked[count++].score = kb_rendezvous_score(
			kb_name_str(&host->name), kb_name_str(&group->name));
	}
	qsort(ranked, count, sizeof(ranked[0]), compare_ranked);
	ranking->count = count;
	for (size_t i = 0; i < count; i++)
		ranking->hosts[i] = ranked[i].host->name;
}

/* Ends this host's hold in good order. */
void kb_proxy_group_hand_over(kb_proxy_group_t *group, kb_time_t now)
{
	kb_time_t spent = now - group->handing_at;

	if (group->hold.role != KB_LEASE_SERVING &&
	    group->hold.role != KB_LEASE_WAITING) {
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
	kb_lease_release(&group->hold,
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
static const kb_host_t *better_holder(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_t *proxy = group->proxy;
	const kb_target_entry_t *primary = &group->lead.primary;
	int own = kb_proxy_locality(proxy, proxy->hosts.self, primary);
	size_t held = held_by(proxy, &proxy->self.name);
	kb_lease_ranking_t ranking;

	kb_proxy_group_rank(group, &ranking);
	for (size_t i = 0; i < ranking.count; i++) {
		const kb_host_t *host = kb_hosts_find(
			&proxy->hosts, kb_name_str(&ranking.hosts[i]));
		int near = host ? kb_proxy_locality(proxy, host, primary) : 0;

		if (!host || host->self || near < own ||
		    !kb_proxy_host_usable(host, now))
			continue;
		if (near > own || held_by(proxy, &host->name) + 2 <= held)
			return host;
	}
	return NULL;
}

/* Statements to a primary in another region cost their way each time. */
void kb_proxy_group_rebalance(kb_proxy_group_t *group, kb_time_t now)
{
	kb_proxy_t *proxy = group->proxy;
	const kb_host_t *best = NULL;

	if (now - group->sought_at < SEEK_PAUSE_MS * KB_NS_PER_MS)
		return;
	group->sought_at = now;
	if (group->lead.state == KB_MONITOR_SERVING && !is_handing_over(proxy))
		best = better_holder(group, now);
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

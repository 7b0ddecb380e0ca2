#include "replica_selector.h"

#include "load/replica_lag.h"
#include "rendezvous.h"

enum {
	/* Latency of a message to another data centre and another region. */
	COST_NEAR_US = 1000,
	COST_FAR_US = 20000,
	/* Added for the primary, which is kept free for writes. */
	COST_PRIMARY_US = 60000,
	/* The queue length reported by the holder is used for this time. */
	QUEUE_MAX_AGE_MS = 500,
	/* Share of a read's time for which it may wait for replicas. */
	WAIT_PERCENT = 60,
	/* A target that failed within this time is tried after others. */
	FAILED_PENALTY_MS = 500,
	COST_FAILED_US = 400000,
	/*
	 * Added for replicas other than the one that is likely to have a
	 * connection of the team: the time to open one.
	 */
	COST_OTHER_REPLICA_US = 12000,
	/* Half-life of a load reported by a gate. */
	LOAD_HALF_LIFE_MS = 100,
	/* Margin for the time from the caller's sending to the arrival here. */
	STALENESS_MARGIN_MS = 50,
	DEFAULT_SERVICE_US = 20000,
	HALVINGS_MAX = 16,
};

void kb_replica_selector_init(kb_replica_selector_t *selector,
			      const kb_database_t *database,
			      kb_point_t committed, kb_time_t now)
{
	kb_time_t age = database->max_age - STALENESS_MARGIN_MS * KB_NS_PER_MS;

	memset(selector, 0, sizeof(*selector));
	selector->consistency = database->consistency;
	selector->began_at = now;
	selector->bound = now - (age > 0 ? age : 0);
	if (database->consistency == KB_READ_YOUR_WRITES)
		selector->own_commit = committed;
}

void kb_replica_selector_exclude(kb_replica_selector_t *selector,
				 const kb_name_t *target)
{
	if (selector->excluded_count < KB_REPLICA_SELECTOR_EXCLUDED_MAX)
		selector->excluded[selector->excluded_count++] = *target;
}

void kb_replica_selector_reset(kb_replica_selector_t *selector)
{
	selector->excluded_count = 0;
	selector->exhausted = 0;
}

static int is_excluded(const kb_replica_selector_t *selector,
		       const kb_name_t *target)
{
	for (size_t i = 0; i < selector->excluded_count; i++)
		if (kb_name_is(&selector->excluded[i], kb_name_str(target)))
			return 1;
	return 0;
}

static int is_primary(const kb_proxy_group_t *group,
		      const kb_target_entry_t *target)
{
	if (group->primary.len)
		return kb_name_is(&group->primary,
				  kb_name_str(&target->place.target));
	return target->reports_primary;
}

static int64_t latency(const kb_proxy_t *proxy, const kb_name_t *data_centre)
{
	if (kb_name_is(data_centre, kb_name_str(&proxy->self.data_centre)))
		return 0;
	if (kb_str_equal(kb_settings_region(proxy->setup.settings, data_centre),
			 kb_name_str(&proxy->self.region)))
		return COST_NEAR_US;
	return COST_FAR_US;
}

/*
 * Returns the expected time at a target, from the load reported by its gate and
 * the statements that this host has in flight there.
 */
static int64_t expected_time(const kbs_load *load, kb_time_t age,
			     unsigned outstanding)
{
	int64_t service =
		load->service_us > 0 ? load->service_us : DEFAULT_SERVICE_US;
	int64_t slots = load->slots ? load->slots : 1;
	int64_t halvings = age / (LOAD_HALF_LIFE_MS * KB_NS_PER_MS);
	int64_t reported = ((int64_t)load->waiting + load->running) >>
			   (halvings < HALVINGS_MAX ? halvings : HALVINGS_MAX);
	int64_t ahead = reported > outstanding ? reported : outstanding;

	return service + service * ahead / slots;
}

/* Whether the target is likely to lack the point that it must include. */
static int is_lagging(kb_replica_selector_t *selector,
		      const kb_proxy_group_t *group,
		      const kb_proxy_load_t *load, kb_time_t now)
{
	kb_time_t deficit;

	if (!load || !load->position_at ||
	    kb_point_compare(load->position, selector->include) >= 0)
		return 0;
	deficit = kb_watermarks_deficit(&group->watermarks, load->position,
					selector->include);
	if (now - load->position_at > kb_replica_lag_hold(deficit))
		return 0;
	if (!selector->lagging || deficit < selector->least_deficit)
		selector->least_deficit = deficit;
	selector->lagging = 1;
	return 1;
}

static int64_t cost_of(const kb_proxy_t *proxy, const kb_target_entry_t *target,
		       const kb_proxy_load_t *load, kb_time_t now)
{
	int64_t cost = latency(proxy, &target->data_centre);

	if (!load)
		return cost;
	cost += expected_time(&load->load, now - load->at, load->outstanding);
	if (load->failed_at &&
	    now - load->failed_at < FAILED_PENALTY_MS * KB_NS_PER_MS)
		cost += COST_FAILED_US;
	return cost;
}

/* Whether a target of the group may serve the read as a replica. */
static int is_candidate(const kb_replica_selector_t *selector,
			const kb_proxy_group_t *group,
			const kb_target_entry_t *target)
{
	return !target->leaving && !is_primary(group, target) &&
	       !is_excluded(selector, &target->place.target);
}

static int is_far(const kb_proxy_t *proxy, const kb_target_entry_t *target)
{
	return latency(proxy, &target->data_centre) > COST_NEAR_US;
}

/*
 * Returns the replica that all hosts of this region prefer for the team, so
 * that teams with few statements need a connection at one replica only: one of
 * this region if there is any. Returns NULL without a team or without a
 * replica.
 */
static const kb_target_entry_t *
find_preferred(const kb_replica_selector_t *selector, const kb_proxy_t *proxy,
	       const kb_proxy_group_t *group)
{
	const kb_target_entry_t *best = NULL;
	uint64_t best_score = 0;

	if (!selector->team.len)
		return NULL;
	for (const kb_target_entry_t *target = kb_target_list_first(
		     &proxy->targets, kb_name_str(&group->name));
	     target; target = kb_target_list_next(target)) {
		uint64_t score;

		if (!is_candidate(selector, group, target))
			continue;
		score = kb_rendezvous_score(kb_name_str(&target->place.target),
					    kb_name_str(&selector->team));
		if (best && (is_far(proxy, target) != is_far(proxy, best)
				     ? is_far(proxy, target)
				     : score <= best_score))
			continue;
		best = target;
		best_score = score;
	}
	return best;
}

const kb_target_entry_t *
kb_replica_selector_next(kb_replica_selector_t *selector, kb_proxy_t *proxy,
			 kb_proxy_group_t *group)
{
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	const kb_target_entry_t *best = NULL;
	const kb_target_entry_t *preferred;
	int64_t best_cost = 0;
	int64_t best_expected = 0;
	int64_t primary_cost;
	kb_point_t aged;

	selector->watermark_age =
		now - kb_watermarks_newest(&group->watermarks);
	selector->exhausted = 1;
	selector->lagging = 0;
	if (!kb_watermarks_lower_bound(&group->watermarks, selector->bound,
				       &aged))
		return NULL;
	selector->include = kb_point_compare(aged, selector->own_commit) >= 0
				    ? aged
				    : selector->own_commit;
	preferred = find_preferred(selector, proxy, group);
	for (const kb_target_entry_t *target = kb_target_list_first(
		     &proxy->targets, kb_name_str(&group->name));
	     target; target = kb_target_list_next(target)) {
		const kb_proxy_load_t *load;
		int64_t expected;
		int64_t cost;

		if (!is_candidate(selector, group, target))
			continue;
		load = kb_proxy_load_get(proxy,
					 kb_name_str(&target->place.target));
		if (is_lagging(selector, group, load, now))
			continue;
		expected = cost_of(proxy, target, load, now);
		cost = expected;
		if (preferred && target != preferred)
			cost += COST_OTHER_REPLICA_US;
		if (best && cost >= best_cost)
			continue;
		best = target;
		best_cost = cost;
		best_expected = expected;
	}
	primary_cost = COST_PRIMARY_US +
		       expected_time(&group->load, now - group->load_at, 0);
	if (!best ||
	    (primary_cost < best_expected && !selector->excluded_count))
		return NULL;
	selector->exhausted = 0;
	return best;
}

int kb_replica_selector_should_wait(const kb_replica_selector_t *selector,
				    const kb_proxy_group_t *group,
				    const kb_database_t *database,
				    kb_time_t now)
{
	kb_time_t time = database->objective < database->timeout
				 ? database->objective
				 : database->timeout;

	return selector->lagging && group->load.waiting >= group->load.slots &&
	       group->load.slots &&
	       now - group->load_at <= QUEUE_MAX_AGE_MS * KB_NS_PER_MS &&
	       kb_replica_lag_is_worth_waiting(
		       selector->least_deficit,
		       selector->began_at + time * WAIT_PERCENT / 100 - now);
}

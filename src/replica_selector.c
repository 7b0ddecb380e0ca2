#include "replica_selector.h"

enum {
	/* Time of a message to another data centre and to another region. */
	COST_NEAR_US = 1000,
	COST_FAR_US = 20000,
	/* Replicas are preferred to the primary, which alone takes writes. */
	COST_PRIMARY_US = 60000,
	/* A log that lacked the point just now is likely to lack it still. */
	BEHIND_MS = 100,
	/* What the holder told of its queue counts for this time. */
	QUEUE_KNOWN_MS = 500,
	/* Part of a read's time for which it waits for replicas. */
	WAIT_PERCENT = 60,
	/* A target that failed just now is tried after others. */
	FAILED_MS = 500,
	COST_FAILED_US = 400000,
	/* What a gate told is halved after each of these times. */
	LOAD_HALF_MS = 100,
	/* Reserve for the time between the caller's sending and its arrival. */
	AGE_RESERVE_MS = 50,
	DEFAULT_SERVICE_US = 20000,
	HALVINGS_MAX = 16,
};

void kb_replica_selector_init(kb_replica_selector_t *choice,
			      const kb_database_t *database,
			      kb_point_t committed, kb_time_t now)
{
	kb_time_t age = database->max_age - AGE_RESERVE_MS * KB_NS_PER_MS;

	memset(choice, 0, sizeof(*choice));
	choice->rule = database->rule;
	choice->began_at = now;
	choice->bound = now - (age > 0 ? age : 0);
	if (database->rule == KB_READ_YOUR_WRITES)
		choice->own = committed;
}

void kb_replica_selector_exclude(kb_replica_selector_t *choice,
				 const kb_name_t *target)
{
	if (choice->excluded_count < KB_REPLICA_SELECTOR_EXCLUDED_MAX)
		choice->excluded[choice->excluded_count++] = *target;
}

void kb_replica_selector_reset(kb_replica_selector_t *choice)
{
	choice->excluded_count = 0;
	choice->exhausted = 0;
}

static int is_excluded(const kb_replica_selector_t *choice,
		       const kb_name_t *target)
{
	for (size_t i = 0; i < choice->excluded_count; i++)
		if (kb_name_is(&choice->excluded[i], kb_name_str(target)))
			return 1;
	return 0;
}

static int is_primary(const kb_proxy_group_t *group,
		      const kb_target_entry_t *target)
{
	if (group->primary.len)
		return kb_name_is(&group->primary,
				  kb_name_str(&target->place.target));
	return target->claims_primary;
}

static int64_t distance(const kb_proxy_t *proxy, const kb_name_t *centre)
{
	if (kb_name_is(centre, kb_name_str(&proxy->self.data_centre)))
		return 0;
	if (kb_str_equal(kb_settings_region(proxy->setup.settings, centre),
			 kb_name_str(&proxy->self.region)))
		return COST_NEAR_US;
	return COST_FAR_US;
}

/* Expected time at a target, from what its gate told and what is sent. */
static int64_t expected(const kbs_load *load, kb_time_t age,
			unsigned outstanding)
{
	int64_t service =
		load->service_us > 0 ? load->service_us : DEFAULT_SERVICE_US;
	int64_t slots = load->slots ? load->slots : 1;
	int64_t halvings = age / (LOAD_HALF_MS * KB_NS_PER_MS);
	int64_t told = ((int64_t)load->waiting + load->running) >>
		       (halvings < HALVINGS_MAX ? halvings : HALVINGS_MAX);
	int64_t ahead = told > outstanding ? told : outstanding;

	return service + service * ahead / slots;
}

/* Whether the target said just now that its log lacks the point. */
static int is_behind(const kb_proxy_load_t *load, kb_point_t include,
		     kb_time_t now)
{
	return load && load->position_at &&
	       now - load->position_at <= BEHIND_MS * KB_NS_PER_MS &&
	       kb_point_compare(load->position, include) < 0;
}

static int64_t cost_of(const kb_proxy_t *proxy, const kb_target_entry_t *target,
		       const kb_proxy_load_t *load, kb_time_t now)
{
	int64_t cost = distance(proxy, &target->data_centre);

	if (!load)
		return cost;
	cost += expected(&load->load, now - load->at, load->outstanding);
	if (load->failed_at && now - load->failed_at < FAILED_MS * KB_NS_PER_MS)
		cost += COST_FAILED_US;
	return cost;
}

const kb_target_entry_t *kb_replica_selector_next(kb_replica_selector_t *choice,
						  kb_proxy_t *proxy,
						  kb_proxy_group_t *group)
{
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	const kb_target_entry_t *best = NULL;
	int64_t best_cost = 0;
	int64_t primary_cost;
	kb_point_t aged;

	choice->stamp_age = now - kb_watermarks_newest(&group->stamps);
	choice->exhausted = 1;
	choice->behind = 0;
	if (!kb_watermarks_lower_bound(&group->stamps, choice->bound, &aged))
		return NULL;
	choice->include =
		kb_point_compare(aged, choice->own) >= 0 ? aged : choice->own;
	for (size_t i = 0; i < proxy->targets.count; i++) {
		const kb_target_entry_t *target = &proxy->targets.entries[i];
		const kb_proxy_load_t *load;
		int64_t cost;

		if (!kb_name_is(&target->place.group,
				kb_name_str(&group->name)) ||
		    target->leaving || is_primary(group, target) ||
		    is_excluded(choice, &target->place.target))
			continue;
		load = kb_proxy_load_get(proxy,
					 kb_name_str(&target->place.target));
		if (is_behind(load, choice->include, now)) {
			choice->behind = 1;
			continue;
		}
		cost = cost_of(proxy, target, load, now);
		if (best && cost >= best_cost)
			continue;
		best = target;
		best_cost = cost;
	}
	primary_cost = COST_PRIMARY_US +
		       expected(&group->load, now - group->load_at, 0);
	if (!best || (primary_cost < best_cost && !choice->excluded_count))
		return NULL;
	choice->exhausted = 0;
	return best;
}

int kb_replica_selector_should_wait(const kb_replica_selector_t *choice,
				    const kb_proxy_group_t *group,
				    const kb_database_t *database,
				    kb_time_t now)
{
	kb_time_t time = database->objective < database->timeout
				 ? database->objective
				 : database->timeout;

	return choice->behind && group->load.waiting >= group->load.slots &&
	       group->load.slots &&
	       now - group->load_at <= QUEUE_KNOWN_MS * KB_NS_PER_MS &&
	       now - choice->began_at < time * WAIT_PERCENT / 100;
}

#include "route.h"

#include "read_check.h"

enum {
	SAME_DATA_CENTRE_ROUND_TRIP_US = 200,
	SAME_REGION_ROUND_TRIP_US = 2000,
	OTHER_REGION_ROUND_TRIP_US = 16000,
	LINK_BYTE_COST_NS = 1000,
	BULK_LINK_BYTE_COST_NS = 10000,
	/*
	 * How much an age may have fallen for each time since it was seen; an
	 * attempt in the same region is cheap enough to find out.
	 */
	NEAR_AGE_FALL = 2,
	FAR_AGE_FALL = 1,
};

/* How promising a candidate is; lower values are tried first. */
typedef enum rank {
	RANK_FRESH,
	RANK_UNKNOWN,
	RANK_PRIMARY,
	RANK_NOT_FRESH,
	RANK_EXCLUDED,
} rank_t;

typedef struct ranked {
	size_t target;
	rank_t rank;
	kb_time_t cost;
} ranked_t;

void kb_route_default_settings(kb_route_settings_t *settings)
{
	*settings = (kb_route_settings_t){
		.round_trip = {
			SAME_DATA_CENTRE_ROUND_TRIP_US * KB_NS_PER_US,
			SAME_REGION_ROUND_TRIP_US * KB_NS_PER_US,
			OTHER_REGION_ROUND_TRIP_US * KB_NS_PER_US,
		},
		.link_byte_cost = LINK_BYTE_COST_NS,
		.bulk_link_byte_cost = BULK_LINK_BYTE_COST_NS,
		.gate_wait = KB_READ_CHECK_WAIT_MS * KB_NS_PER_MS,
	};
}

/* Returns how much older than accepted a hint may be to be worth a try. */
static kb_time_t tolerance(const kb_route_candidate_t *candidate,
			   const kb_route_settings_t *settings, kb_time_t now)
{
	kb_time_t since = now - candidate->hint->seen_at;
	int far = candidate->place == KB_ROUTE_OTHER_REGION;

	return settings->gate_wait +
	       (far ? FAR_AGE_FALL : NEAR_AGE_FALL) * since;
}

static int is_fresh(const kb_route_candidate_t *candidate,
		    const kb_route_hint_t *primary,
		    const kb_route_settings_t *settings,
		    const kb_route_requirements_t *need, kb_time_t now)
{
	const kb_route_hint_t *hint = candidate->hint;

	if (hint->view.age == KB_TIME_NEVER)
		return 0;
	return hint->view.age - need->max_age <=
		       tolerance(candidate, settings, now) &&
	       kb_route_hint_expects(hint, primary, need->point,
				     now + settings->gate_wait);
}

static rank_t rank_of(const kb_route_candidate_t *candidate,
		      const kb_route_hint_t *primary,
		      const kb_route_settings_t *settings,
		      const kb_route_requirements_t *need, kb_time_t now)
{
	const kb_route_hint_t *hint = candidate->hint;

	if (candidate->leaving)
		return RANK_EXCLUDED;
	if (hint->known && hint->view.primary)
		return RANK_PRIMARY;
	/* Only the primary can show data as of the request. */
	if (!need->max_age)
		return primary ? RANK_EXCLUDED : RANK_UNKNOWN;
	if (kb_route_hint_is_stale(hint, now))
		return RANK_UNKNOWN;
	if (is_fresh(candidate, primary, settings, need, now))
		return RANK_FRESH;
	return RANK_NOT_FRESH;
}

static kb_time_t cost_of(const kb_route_candidate_t *candidate,
			 const kb_route_settings_t *settings,
			 const kb_route_policy_t *policy,
			 const kb_route_requirements_t *need)
{
	kb_route_load_t load = {
		.target = candidate->target,
		.slots = candidate->slots,
		.waiting = candidate->hint->view.waiting,
	};
	kb_time_t cost = policy->ops->delay(policy, &load, need->class_index) +
			 settings->round_trip[candidate->place];

	if (candidate->place == KB_ROUTE_OTHER_REGION)
		cost += (kb_time_t)need->answer_bytes *
			(need->bulk ? settings->bulk_link_byte_cost
				    : settings->link_byte_cost);
	return cost;
}

static int comes_before(const ranked_t *a, const ranked_t *b)
{
	if (a->rank != b->rank)
		return a->rank < b->rank;
	return a->cost < b->cost;
}

static void insert(ranked_t *list, size_t count, ranked_t item)
{
	size_t i = count;

	for (; i && comes_before(&item, &list[i - 1]); i--)
		list[i] = list[i - 1];
	list[i] = item;
}

/* Copies the order, keeping room for the primary. */
static void choose(kb_route_t *route, const ranked_t *list, size_t count)
{
	size_t primaries = 0;

	for (size_t i = 0; i < count; i++)
		primaries += list[i].rank == RANK_PRIMARY;
	for (size_t i = 0; i < count; i++) {
		size_t kept = list[i].rank < RANK_PRIMARY && primaries ? 1 : 0;

		if (route->count + kept < KB_ROUTE_MAX_ATTEMPTS)
			route->order[route->count++] = list[i].target;
	}
}

static const kb_route_hint_t *
find_primary(const kb_route_candidate_t *candidates, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (candidates[i].hint->known &&
		    candidates[i].hint->view.primary)
			return candidates[i].hint;
	return NULL;
}

void kb_route_init(kb_route_t *route, const kb_route_settings_t *settings,
		   const kb_route_policy_t *policy,
		   const kb_route_requirements_t *need,
		   const kb_route_candidate_t *candidates, size_t count,
		   kb_time_t now)
{
	const kb_route_hint_t *primary = find_primary(candidates, count);
	ranked_t list[KB_GROUP_MAX_TARGETS];
	size_t kept = 0;

	memset(route, 0, sizeof(*route));
	route->deadline = need->deadline;
	route->result = primary ? KB_ERR_NOT_FRESH : KB_ERR_NO_PRIMARY;
	for (size_t i = 0; i < count && kept < KB_GROUP_MAX_TARGETS; i++) {
		ranked_t item = { .target = candidates[i].target };

		item.rank =
			rank_of(&candidates[i], primary, settings, need, now);
		if (item.rank == RANK_EXCLUDED)
			continue;
		item.cost = cost_of(&candidates[i], settings, policy, need);
		insert(list, kept, item);
		kept++;
	}
	choose(route, list, kept);
}

kb_result_t kb_route_next(kb_route_t *route, kb_time_t now, size_t *target)
{
	if (route->next == route->count)
		return route->result;
	if (now >= route->deadline)
		return KB_ERR_DEADLINE;
	*target = route->order[route->next];
	return KB_OK;
}

static int may_try_another(kb_result_t result)
{
	switch (result) {
	case KB_ERR_NOT_FRESH:
	case KB_ERR_OVERLOADED:
	case KB_ERR_DEADLINE:
	case KB_ERR_DRAINING:
	case KB_ERR_NOT_GATE:
	case KB_ERR_NO_PRIMARY:
	case KB_ERR_UNREACHABLE:
		return 1;
	default:
		return 0;
	}
}

int kb_route_failed(kb_route_t *route, kb_result_t result)
{
	route->result = result;
	if (!may_try_another(result)) {
		route->next = route->count;
		return 0;
	}
	if (result == KB_ERR_NOT_GATE && !route->repeated) {
		route->repeated = 1;
		return 1;
	}
	route->repeated = 0;
	route->next++;
	return route->next < route->count;
}

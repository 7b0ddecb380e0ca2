#include "route.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

static const kb_time_t MS = KB_NS_PER_MS;
static const kb_time_t NOW = 1000000 * MS;

struct View {
	bool primary;
	uint64_t applied;
	kb_time_t age;
	unsigned waiting;
	kb_route_locality_t place;
	bool leaving;
	kb_time_t seen_before;
};

/* A replica close by and up to date. */
static View replica(kb_time_t age = 10 * MS, uint64_t applied = 100)
{
	return { false, applied, age, 0, KB_ROUTE_SAME_REGION, false, MS };
}

static View primary()
{
	return { true, 100, MS, 0, KB_ROUTE_SAME_DATA_CENTRE, false, MS };
}

static View with(View view, kb_route_locality_t place, unsigned waiting = 0)
{
	view.place = place;
	view.waiting = waiting;
	return view;
}

static View never_seen()
{
	View view = replica();

	view.seen_before = -1;
	return view;
}

static View leaving(View view)
{
	view.leaving = true;
	return view;
}

static View stale(View view)
{
	view.seen_before = 5000 * MS;
	return view;
}

/* A replica whose age was seen some time ago. */
static View aged(kb_time_t age, kb_time_t seen_before)
{
	View view = replica(age);

	view.seen_before = seen_before;
	return view;
}

struct Route {
	kb_route_settings_t settings;
	kb_least_outstanding_t policy;
	std::vector<kb_route_hint_t> hints;
	std::vector<kb_route_candidate_t> candidates;
	kb_route_t route;

	explicit Route(const std::vector<View> &views,
		       kb_route_requirements_t need)
	    : hints(views.size()), candidates(views.size())
	{
		kb_route_default_settings(&settings);
		kb_least_outstanding_init(&policy);
		for (size_t i = 0; i < views.size(); i++) {
			const View &v = views[i];
			kb_route_view_t view = {
				v.primary, { 1, v.applied }, v.age, v.waiting
			};

			hints[i] = {};
			if (v.seen_before >= 0)
				kb_route_hint_update(&hints[i], &view,
						     NOW - v.seen_before);
			candidates[i] = { i, &hints[i], v.place, 2, v.leaving };
		}
		kb_route_init(&route, &settings, &policy.policy, &need,
			      candidates.data(), candidates.size(), NOW);
	}
	/* Returns the targets in the order in which they are tried. */
	std::string order(kb_result_t each = KB_ERR_NOT_FRESH)
	{
		std::string text;
		size_t target;

		while (!kb_route_next(&route, NOW, &target)) {
			text += std::to_string(target);
			kb_route_failed(&route, each);
		}
		return text;
	}
};

static kb_route_requirements_t need(kb_time_t max_age = 100 * MS,
				    uint64_t position = 0, int bulk = 0)
{
	return { max_age, { 1, position }, 0, bulk, 1000, NOW + 1000 * MS };
}

TEST(Route, OrderOfAttempts)
{
	const kb_route_locality_t far = KB_ROUTE_OTHER_REGION;
	struct {
		const char *name;
		std::vector<View> views;
		kb_route_requirements_t need;
		const char *order;
	} cases[] = {
		{ "replicas, then the primary",
		  { primary(), replica(), with(replica(), far) },
		  need(),
		  "120" },
		{ "the near one first",
		  { with(replica(), far), replica(), primary() },
		  need(),
		  "102" },
		{ "the far one if the near one is busy",
		  { with(replica(), far),
		    with(replica(), KB_ROUTE_SAME_REGION, 40), primary() },
		  need(),
		  "012" },
		{ "bulk stays near for longer",
		  { with(replica(), far),
		    with(replica(), KB_ROUTE_SAME_REGION, 20), primary() },
		  need(100 * MS, 0, 1),
		  "102" },
		{ "too old: primary first, then a guess",
		  { primary(), replica(200 * MS), replica(150 * MS) },
		  need(),
		  "012" },
		{ "both replicas of unknown age",
		  { primary(), replica(KB_TIME_NEVER), replica(KB_TIME_NEVER) },
		  need(),
		  "012" },
		{ "worth a try nearby, not far away",
		  { primary(), aged(140 * MS, 10 * MS),
		    with(aged(140 * MS, 10 * MS), KB_ROUTE_OTHER_REGION) },
		  need(),
		  "102" },
		{ "worth a try far away",
		  { primary(),
		    with(aged(130 * MS, 10 * MS), KB_ROUTE_OTHER_REGION) },
		  need(),
		  "10" },
		{ "session's write not there yet",
		  { primary(), replica(50 * MS, 90), replica(50 * MS, 100) },
		  need(100 * MS, 100),
		  "201" },
		{ "session's write there within the gate's wait",
		  { primary(), replica(10 * MS, 90) },
		  need(100 * MS, 100),
		  "10" },
		{ "data as of the request",
		  { primary(), replica(0), replica(0) },
		  need(0),
		  "0" },
		{ "data as of the request, primary not known",
		  { replica(0), never_seen() },
		  need(0),
		  "01" },
		{ "leaving targets get nothing",
		  { leaving(primary()), leaving(replica()), replica() },
		  need(),
		  "2" },
		{ "all leave", { leaving(primary()) }, need(), "" },
		{ "never seen before the primary",
		  { primary(), never_seen(), replica() },
		  need(),
		  "210" },
		{ "an old hint rules nothing out",
		  { primary(), stale(replica(200 * MS)), replica(200 * MS) },
		  need(),
		  "102" },
		{ "no target", {}, need(), "" },
		{ "the primary is kept when tries run out",
		  { replica(), replica(), replica(), replica(), replica(),
		    primary() },
		  need(),
		  "0125" },
	};

	for (const auto &c : cases) {
		Route route(c.views, c.need);

		EXPECT_EQ(c.order, route.order()) << c.name;
		EXPECT_LE(route.route.count, (size_t)KB_ROUTE_MAX_ATTEMPTS);
	}
}

TEST(Route, WhatFollowsAResult)
{
	struct {
		kb_result_t result;
		const char *order;
	} cases[] = {
		{ KB_ERR_NOT_FRESH, "120" },
		{ KB_ERR_OVERLOADED, "120" },
		{ KB_ERR_DEADLINE, "120" },
		{ KB_ERR_DRAINING, "120" },
		{ KB_ERR_UNREACHABLE, "120" },
		{ KB_ERR_NO_PRIMARY, "120" },
		/* Each gate is looked up once more. */
		{ KB_ERR_NOT_GATE, "112200" },
		{ KB_ERR_UNKNOWN, "1" },
		{ KB_ERR_STATEMENT, "1" },
		{ KB_ERR_TIMEOUT, "1" },
		{ KB_ERR_TOKEN_INVALID, "1" },
		{ KB_ERR_CLOSED, "1" },
	};

	for (const auto &c : cases) {
		Route route({ primary(), replica(),
			      with(replica(), KB_ROUTE_OTHER_REGION) },
			    need());
		size_t target;

		EXPECT_EQ(c.order, route.order(c.result)) << c.result;
		EXPECT_EQ(c.result, kb_route_next(&route.route, NOW, &target));
	}
}

TEST(Route, RefusalsBeforeAnyAttemptSayNotRun)
{
	size_t target;
	Route none({}, need()), late({ primary() }, need());
	Route leaves({ leaving(primary()) }, need());

	EXPECT_EQ(KB_ERR_NO_PRIMARY, kb_route_next(&none.route, NOW, &target));
	EXPECT_EQ(KB_ERR_NOT_FRESH, kb_route_next(&leaves.route, NOW, &target));
	EXPECT_EQ(KB_ERR_DEADLINE,
		  kb_route_next(&late.route, NOW + 1000 * MS, &target));
}

TEST(RouteHint, ExpectsWhatTheTargetAppliedAndWillHaveApplied)
{
	kb_route_hint_t hint = {}, seen_primary = {};
	kb_route_view_t view = { 0, { 2, 100 }, 50 * MS, 0 };
	kb_route_view_t of_primary = { 1, { 2, 300 }, MS, 0 };

	kb_route_hint_update(&hint, &view, 0);
	EXPECT_TRUE(kb_route_hint_expects(&hint, NULL, { 2, 100 }, 0));
	EXPECT_FALSE(kb_route_hint_expects(&hint, NULL, { 2, 101 }, 900 * MS));
	EXPECT_TRUE(kb_route_hint_expects(&hint, NULL, { 1, 90 }, 0));
	EXPECT_FALSE(kb_route_hint_expects(&hint, NULL, { 3, 90 }, 0));
	for (kb_time_t t = 10; t <= 500; t += 10) {
		view.applied.position += 10;
		kb_route_hint_update(&hint, &view, t * MS);
	}
	EXPECT_NEAR(1000, hint.rate, 1);
	EXPECT_FALSE(kb_route_hint_expects(&hint, NULL, { 2, 620 }, 510 * MS));
	EXPECT_TRUE(kb_route_hint_expects(&hint, NULL, { 2, 620 }, 521 * MS));
	/* Shown by the primary longer ago than the target's lag. */
	of_primary.applied.position = 9000;
	kb_route_hint_update(&seen_primary, &of_primary, 500 * MS);
	EXPECT_FALSE(kb_route_hint_expects(&hint, &seen_primary, { 2, 9000 },
					   549 * MS));
	EXPECT_TRUE(kb_route_hint_expects(&hint, &seen_primary, { 2, 9000 },
					  550 * MS));
}

TEST(RoutePolicy, LeastOutstandingCountsStatementsPerSlot)
{
	kb_least_outstanding_t policy;
	kb_route_load_t two = { 0, 2, 0 }, four = { 1, 4, 0 };
	const kb_route_policy_t *base = &policy.policy;

	kb_least_outstanding_init(&policy);
	EXPECT_GT(base->ops->delay(base, &two, 0),
		  base->ops->delay(base, &four, 0));
	for (int i = 0; i < 4; i++)
		base->ops->started(&policy.policy, 1, 0);
	EXPECT_LT(base->ops->delay(base, &two, 0),
		  base->ops->delay(base, &four, 0));
	base->ops->ended(&policy.policy, 1, 0, MS);
	EXPECT_EQ(3u, policy.outstanding[1]);
	two.waiting = 10;
	EXPECT_GT(base->ops->delay(base, &two, 0),
		  base->ops->delay(base, &four, 0));
}

TEST(RoutePolicy, LeastWorkWeighsEachClassAtEachTarget)
{
	kb_least_work_t policy;
	kb_route_load_t a = { 0, 1, 0 }, b = { 1, 1, 0 };
	const kb_time_t idle = 10 * MS - 9 * MS / 512;
	kb_route_policy_t *base = &policy.policy;

	kb_least_work_init(&policy);
	for (size_t target = 0; target < 2; target++)
		for (size_t index = 0; index < 2; index++) {
			base->ops->started(base, target, index);
			/* Each target is quick at one class. */
			base->ops->ended(base, target, index,
					 target == index ? MS : 10 * MS);
		}
	EXPECT_LT(base->ops->delay(base, &a, 0), base->ops->delay(base, &b, 0));
	EXPECT_GT(base->ops->delay(base, &a, 1), base->ops->delay(base, &b, 1));
	/* The mean at the target that stayed idle approaches the other's. */
	EXPECT_EQ(idle, policy.service[0][1]);
	/* One statement of the slow class weighs as much as ten others. */
	base->ops->started(base, 0, 1);
	EXPECT_EQ(idle + MS, base->ops->delay(base, &a, 0));
	base->ops->ended(base, 0, 1, -1);
	EXPECT_EQ(idle, policy.service[0][1]);
	EXPECT_EQ(1 * MS, base->ops->delay(base, &a, 0));
}

TEST(RoutePolicy, LeastWorkTriesARecoveredTargetAgain)
{
	kb_least_work_t policy;
	kb_route_load_t slow = { 1, 2, 0 };
	kb_route_policy_t *base = &policy.policy;
	kb_time_t before;

	kb_least_work_init(&policy);
	base->ops->started(base, 1, 0);
	base->ops->ended(base, 1, 0, 1000 * MS);
	before = base->ops->delay(base, &slow, 0);
	for (int i = 0; i < 3000; i++) {
		base->ops->started(base, 0, 0);
		base->ops->ended(base, 0, 0, 10 * MS);
	}
	EXPECT_EQ(1000 * MS, before);
	EXPECT_LE(base->ops->delay(base, &slow, 0), 15 * MS);
	EXPECT_GE(base->ops->delay(base, &slow, 0), 10 * MS);
}

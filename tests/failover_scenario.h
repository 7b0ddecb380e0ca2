#ifndef FAILOVER_SCENARIO_H
#define FAILOVER_SCENARIO_H

#include "fake_group.h"

#include <gtest/gtest.h>
#include <functional>
#include <string>
#include <vector>

static const kb_time_t MS = KB_NS_PER_MS;
static const kb_time_t FAULT_AT = 2000 * MS;
static const kb_time_t WORST_GAP = 6000 * MS;

/* A group with the latencies of one deployment, run until it is stable. */
struct settled_group {
	fake_group_t g;

	explicit settled_group(
		uint64_t seed, fake_deployment_t deployment,
		const std::function<void(fake_params_t *)> &change = nullptr)
	{
		fake_params_t p;

		fake_params_init(&p);
		p.seed = seed;
		p.write_interval = 40 * MS;
		fake_params_set_deployment(&p, deployment);
		if (change)
			change(&p);
		fake_group_init(&g, &p);
		fake_group_run(&g, FAULT_AT + (kb_time_t)seed * 7 * MS);
	}

	~settled_group()
	{
		fake_group_finish(&g);
	}

	settled_group(const settled_group &) = delete;

	void run(kb_time_t span)
	{
		fake_group_run(&g, g.now + span);
	}

	size_t host(size_t index) const
	{
		return fake_group_host_node(&g, index);
	}

	/*
	 * Runs until `condition` holds or `limit` has passed; returns whether
	 * it holds.
	 */
	bool run_until(kb_time_t limit, const std::function<bool()> &condition)
	{
		for (kb_time_t end = g.now + limit; g.now < end;) {
			if (condition())
				return true;
			run(MS);
		}
		return false;
	}

	bool run_until_state(kb_promotion_state_t state)
	{
		return run_until(3000 * MS, [&] {
			return g.hosts[0].failover.promotion.state == state;
		});
	}

	/* Longest time without an acknowledged write since `fault`. */
	kb_time_t gap(kb_time_t fault) const
	{
		return fake_group_longest_gap(&g, fault, g.now);
	}

	/*
	 * Returns whether every target follows the primary and has its log, but
	 * for the newest entries.
	 */
	bool has_converged() const
	{
		size_t primary = fake_group_primary(&g);

		if (primary == FAKE_NO_TARGET)
			return false;
		for (size_t i = 0; i < g.params.target_count; i++) {
			const fake_target_t *t = &g.targets[i];

			if (i == primary)
				continue;
			if (t->following != primary ||
			    t->term != g.promoted_term ||
			    fake_target_common_prefix(t, &g.targets[primary]) +
					    20 <
				    g.targets[primary].count)
				return false;
		}
		return true;
	}
};

typedef std::function<void(settled_group *)> fault_t;

inline void crash(settled_group *s, size_t target, int refuses = 0)
{
	fake_group_crash_target(&s->g, target, refuses);
}

/* Crashes the primary, and the promoting host once it has reached a state. */
inline fault_t promoter_crashes_in(kb_promotion_state_t state)
{
	return [state](settled_group *s) {
		crash(s, 0);
		ASSERT_TRUE(s->run_until_state(state));
		fake_group_crash_host(&s->g, 0);
	};
}

/* Crashes the primary and pauses the promoting host in a state. */
inline fault_t promoter_pauses_in(kb_promotion_state_t state)
{
	return [state](settled_group *s) {
		crash(s, 0);
		ASSERT_TRUE(s->run_until_state(state));
		fake_group_pause(&s->g, s->host(0), s->g.now + 3000 * MS);
	};
}

inline fault_t answers_lost(kb_command_kind_t kind, unsigned count)
{
	return [kind, count](settled_group *s) {
		s->g.replies_to_drop[kind] = count;
		crash(s, 0);
	};
}

inline fault_t stalled(kb_time_t span)
{
	return [span](settled_group *s) {
		fake_group_pause(&s->g, 0, s->g.now + span);
	};
}

inline fault_t host_cut_off(size_t host)
{
	return [host](settled_group *s) {
		fake_group_isolate(&s->g, s->host(host), 1);
	};
}

inline fault_t host_cut_from_primary(size_t host)
{
	return [host](settled_group *s) {
		fake_group_cut(&s->g, s->host(host), 0, 1);
	};
}

/* The host reaches two replicas, but neither the primary nor any host. */
inline fault_t host_reaches_replicas_only(size_t host)
{
	return [host](settled_group *s) {
		fake_group_isolate(&s->g, s->host(host), 1);
		fake_group_cut(&s->g, s->host(host), 1, 0);
		fake_group_cut(&s->g, s->host(host), 2, 0);
	};
}

/* Partitions one target and one host from everything else. */
inline fault_t split(size_t target, size_t host)
{
	return [target, host](settled_group *s) {
		fake_group_isolate(&s->g, target, 1);
		fake_group_isolate(&s->g, s->host(host), 1);
		fake_group_cut(&s->g, target, s->host(host), 0);
	};
}

#endif

#include "quorum.h"

void kb_quorum_params_init(kb_quorum_params_t *params)
{
	params->interval = KB_QUORUM_QUERY_INTERVAL_MS * KB_NS_PER_MS;
	params->view_age = KB_QUORUM_VIEW_MAX_AGE_MS * KB_NS_PER_MS;
	params->lone_wait = KB_QUORUM_SOLE_WATCHER_WAIT_MS * KB_NS_PER_MS;
}

static void forget_views(kb_quorum_t *ballot)
{
	for (size_t i = 0; i < KB_QUORUM_MAX_WATCHERS; i++)
		ballot->peers[i].at = KB_TIME_NEVER;
}

void kb_quorum_init(kb_quorum_t *ballot, const kb_quorum_params_t *params)
{
	memset(ballot, 0, sizeof(*ballot));
	ballot->params = *params;
	ballot->asked_at = KB_TIME_NEVER;
	ballot->dead_since = KB_TIME_NEVER;
	forget_views(ballot);
}

void kb_quorum_finish(kb_quorum_t *ballot)
{
	ballot->watcher_count = 0;
}

void kb_quorum_set_watchers(kb_quorum_t *ballot, size_t watcher_count,
			    size_t rank)
{
	if (watcher_count > KB_QUORUM_MAX_WATCHERS)
		watcher_count = KB_QUORUM_MAX_WATCHERS;
	if (rank >= watcher_count)
		watcher_count = 0;
	ballot->watcher_count = watcher_count;
	ballot->rank = rank;
	ballot->asked_at = KB_TIME_NEVER;
	forget_views(ballot);
}

void kb_quorum_on_view(kb_quorum_t *ballot, kb_time_t now, size_t watcher,
		       const kb_primary_view_t *view)
{
	if (watcher >= ballot->watcher_count || watcher == ballot->rank)
		return;
	ballot->peers[watcher].view = *view;
	ballot->peers[watcher].at = now;
}

static int asks(const kb_quorum_t *ballot, kb_health_t health)
{
	return ballot->watcher_count > 1 &&
	       (health == KB_HEALTH_SUSPECT || health == KB_HEALTH_DEAD);
}

int kb_quorum_update(kb_quorum_t *ballot, kb_time_t now, kb_health_t health,
		     uint64_t term)
{
	if (health != KB_HEALTH_DEAD || term != ballot->term)
		ballot->dead_since = KB_TIME_NEVER;
	ballot->term = term;
	if (health == KB_HEALTH_DEAD && ballot->dead_since == KB_TIME_NEVER) {
		ballot->dead_since = now;
		ballot->asked_at = KB_TIME_NEVER;
	}
	if (!asks(ballot, health))
		return 0;
	if (ballot->asked_at != KB_TIME_NEVER &&
	    now - ballot->asked_at < ballot->params.interval)
		return 0;
	ballot->asked_at = now;
	return 1;
}

int kb_quorum_is_agreed(const kb_quorum_t *ballot, kb_time_t now)
{
	size_t dead = 1, others = 0;

	if (!ballot->watcher_count || ballot->dead_since == KB_TIME_NEVER)
		return 0;
	for (size_t i = 0; i < ballot->watcher_count; i++) {
		const kb_quorum_peer_t *peer = &ballot->peers[i];

		if (peer->at == KB_TIME_NEVER ||
		    peer->at < ballot->dead_since ||
		    now - peer->at > ballot->params.view_age)
			continue;
		if (peer->view.term > ballot->term &&
		    peer->view.health != KB_HEALTH_DEAD)
			return 0;
		if (peer->view.health == KB_HEALTH_DEAD)
			dead++;
		if (peer->view.health == KB_HEALTH_DEAD ||
		    peer->view.health == KB_HEALTH_SUSPECT ||
		    peer->view.health == KB_HEALTH_OK)
			others++;
	}
	if (others)
		return dead >= ballot->watcher_count / 2 + 1;
	return now - ballot->dead_since >= ballot->params.lone_wait;
}

kb_time_t kb_quorum_next(const kb_quorum_t *ballot, kb_health_t health)
{
	if (!asks(ballot, health) || ballot->asked_at == KB_TIME_NEVER)
		return KB_TIME_NEVER;
	return ballot->asked_at + ballot->params.interval;
}

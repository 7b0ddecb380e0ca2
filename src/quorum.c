#include "quorum.h"

void kb_quorum_params_init(kb_quorum_params_t *params)
{
	params->interval = KB_QUORUM_QUERY_INTERVAL_MS * KB_NS_PER_MS;
	params->view_max_age = KB_QUORUM_VIEW_MAX_AGE_MS * KB_NS_PER_MS;
	params->sole_watcher_wait =
		KB_QUORUM_SOLE_WATCHER_WAIT_MS * KB_NS_PER_MS;
}

static void clear_views(kb_quorum_t *quorum)
{
	for (size_t i = 0; i < KB_QUORUM_MAX_WATCHERS; i++)
		quorum->peers[i].at = KB_TIME_NEVER;
}

void kb_quorum_init(kb_quorum_t *quorum, const kb_quorum_params_t *params)
{
	memset(quorum, 0, sizeof(*quorum));
	quorum->params = *params;
	quorum->requested_at = KB_TIME_NEVER;
	quorum->dead_since = KB_TIME_NEVER;
	clear_views(quorum);
}

void kb_quorum_finish(kb_quorum_t *quorum)
{
	quorum->watcher_count = 0;
}

void kb_quorum_set_watchers(kb_quorum_t *quorum, size_t watcher_count,
			    size_t rank)
{
	if (watcher_count > KB_QUORUM_MAX_WATCHERS)
		watcher_count = KB_QUORUM_MAX_WATCHERS;
	if (rank >= watcher_count)
		watcher_count = 0;
	quorum->watcher_count = watcher_count;
	quorum->rank = rank;
	quorum->requested_at = KB_TIME_NEVER;
	clear_views(quorum);
}

void kb_quorum_on_view(kb_quorum_t *quorum, kb_time_t now, size_t watcher,
		       const kb_primary_view_t *view)
{
	if (watcher >= quorum->watcher_count || watcher == quorum->rank)
		return;
	quorum->peers[watcher].view = *view;
	quorum->peers[watcher].at = now;
}

static int requests_views(const kb_quorum_t *quorum, kb_health_t health)
{
	return quorum->watcher_count > 1 &&
	       (health == KB_HEALTH_SUSPECT || health == KB_HEALTH_DEAD);
}

int kb_quorum_update(kb_quorum_t *quorum, kb_time_t now, kb_health_t health,
		     uint64_t term)
{
	if (health != KB_HEALTH_DEAD || term != quorum->term)
		quorum->dead_since = KB_TIME_NEVER;
	quorum->term = term;
	if (health == KB_HEALTH_DEAD && quorum->dead_since == KB_TIME_NEVER) {
		quorum->dead_since = now;
		quorum->requested_at = KB_TIME_NEVER;
	}
	if (!requests_views(quorum, health))
		return 0;
	if (quorum->requested_at != KB_TIME_NEVER &&
	    now - quorum->requested_at < quorum->params.interval)
		return 0;
	quorum->requested_at = now;
	return 1;
}

int kb_quorum_is_agreed(const kb_quorum_t *quorum, kb_time_t now)
{
	size_t dead = 1, others = 0;

	if (!quorum->watcher_count || quorum->dead_since == KB_TIME_NEVER)
		return 0;
	for (size_t i = 0; i < quorum->watcher_count; i++) {
		const kb_quorum_peer_t *peer = &quorum->peers[i];

		if (peer->at == KB_TIME_NEVER ||
		    peer->at < quorum->dead_since ||
		    now - peer->at > quorum->params.view_max_age)
			continue;
		if (peer->view.term > quorum->term &&
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
		return dead >= quorum->watcher_count / 2 + 1;
	return now - quorum->dead_since >= quorum->params.sole_watcher_wait;
}

kb_time_t kb_quorum_next(const kb_quorum_t *quorum, kb_health_t health)
{
	if (!requests_views(quorum, health) ||
	    quorum->requested_at == KB_TIME_NEVER)
		return KB_TIME_NEVER;
	return quorum->requested_at + quorum->params.interval;
}

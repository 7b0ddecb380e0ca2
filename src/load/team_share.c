#include "team_share.h"

#include <stdlib.h>

void kb_team_share_finish(kb_team_share_t *share)
{
	kb_team_use_t *team;
	kb_team_use_t *next;

	HASH_ITER(hh, share->teams, team, next)
	{
		HASH_DEL(share->teams, team);
		free(team);
	}
	memset(share, 0, sizeof(*share));
}

kb_team_use_t *kb_team_share_get(kb_team_share_t *share, kb_str_t name)
{
	kb_team_use_t *team;

	HASH_FIND(hh, share->teams, name.data, name.len, team);
	if (team)
		return team;
	team = calloc(1, sizeof(*team));
	if (!team)
		return NULL;
	if (kb_name_set(&team->name, name)) {
		free(team);
		return NULL;
	}
	HASH_ADD_KEYPTR(hh, share->teams, team->name.data, team->name.len,
			team);
	return team;
}

unsigned kb_team_use_conns(const kb_team_use_t *team)
{
	unsigned count = 0;

	for (int use = 0; use < KB_TEAM_CONN_NONE; use++)
		count += team->conns[use];
	return count;
}

void kb_team_share_prune(kb_team_share_t *share)
{
	kb_team_use_t *team;
	kb_team_use_t *next;

	HASH_ITER(hh, share->teams, team, next)
	{
		if (team->waiting || kb_team_use_conns(team))
			continue;
		HASH_DEL(share->teams, team);
		free(team);
	}
}

void kb_team_share_wait(kb_team_use_t *team, kb_time_t now)
{
	if (!team->waiting++)
		team->waiting_since = now;
}

void kb_team_share_end_wait(kb_team_use_t *team, kb_time_t now)
{
	team->waiting--;
	team->waiting_since = now;
}

void kb_team_share_move(kb_team_share_t *share, kb_team_use_t *team,
			kb_team_conn_use_t from, kb_team_conn_use_t to,
			kb_time_t now)
{
	if (from != KB_TEAM_CONN_NONE) {
		team->conns[from]--;
		share->conns--;
	}
	if (to != KB_TEAM_CONN_NONE) {
		team->conns[to]++;
		share->conns++;
	}
	share->opening += to == KB_TEAM_CONN_OPENING;
	share->opening -= from == KB_TEAM_CONN_OPENING;
	if (to == KB_TEAM_CONN_IDLE)
		team->used_at = now;
}

static int needs_conn(const kb_team_use_t *team)
{
	return !team->conns[KB_TEAM_CONN_IDLE] &&
	       team->waiting > team->conns[KB_TEAM_CONN_OPENING];
}

/* Whether `a` gets a connection before `b`. */
static int opens_before(const kb_team_use_t *a, const kb_team_use_t *b)
{
	unsigned a_conns = kb_team_use_conns(a);
	unsigned b_conns = kb_team_use_conns(b);

	if (a_conns != b_conns)
		return a_conns < b_conns;
	return a->waiting_since < b->waiting_since;
}

static int closes_before(const kb_team_use_t *a, const kb_team_use_t *b)
{
	if (a->conns[KB_TEAM_CONN_IDLE] != b->conns[KB_TEAM_CONN_IDLE])
		return a->conns[KB_TEAM_CONN_IDLE] >
		       b->conns[KB_TEAM_CONN_IDLE];
	return a->used_at < b->used_at;
}

/* Returns the team that loses an idle connection to `needy`, or to nobody. */
static kb_team_use_t *find_closed(const kb_team_share_t *share,
				  const kb_team_use_t *needy)
{
	kb_team_use_t *best = NULL;

	for (kb_team_use_t *team = share->teams; team; team = team->hh.next) {
		if (team == needy || !team->conns[KB_TEAM_CONN_IDLE])
			continue;
		if (!best || closes_before(team, best))
			best = team;
	}
	if (best && needy && kb_team_use_conns(needy) &&
	    best->conns[KB_TEAM_CONN_IDLE] < 2)
		return NULL;
	return best;
}

kb_team_opening_t kb_team_share_next_opening(const kb_team_share_t *share,
					     const kb_team_room_t *room)
{
	kb_team_opening_t opening = { NULL, NULL };

	if (share->opening >= room->parallel || share->conns > room->limit)
		return opening;
	for (kb_team_use_t *team = share->teams; team; team = team->hh.next)
		if (needs_conn(team) &&
		    (!opening.team || opens_before(team, opening.team)))
			opening.team = team;
	if (!opening.team || share->conns < room->limit)
		return opening;
	opening.closed = find_closed(share, opening.team);
	if (!opening.closed)
		opening.team = NULL;
	return opening;
}

kb_team_use_t *kb_team_share_surplus(const kb_team_share_t *share,
				     unsigned limit)
{
	return share->conns > limit ? find_closed(share, NULL) : NULL;
}

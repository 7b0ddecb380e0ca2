#include "pool_team.h"

#include <stdlib.h>

static void free_team(kb_link_pool_t *pool, kb_pool_team_t *team)
{
	HASH_DEL(pool->teams, team);
	pool->named_teams -= team->name.len != 0;
	kb_team_share_remove(&pool->share, &team->use);
	free(team);
}

kb_pool_team_t *kb_pool_team_get(kb_link_pool_t *pool, kb_str_t name)
{
	kb_pool_team_t *team;

	HASH_FIND(hh, pool->teams, name.data, name.len, team);
	if (team)
		return team;
	team = calloc(1, sizeof(*team));
	if (!team)
		return NULL;
	if (kb_name_set(&team->name, name)) {
		free(team);
		return NULL;
	}
	kb_stride_join(&team->stride, &pool->team_clock, 0);
	HASH_ADD_KEYPTR(hh, pool->teams, team->name.data, team->name.len, team);
	pool->named_teams += name.len != 0;
	kb_team_share_add(&pool->share, &team->use);
	return team;
}

void kb_pool_teams_prune(kb_link_pool_t *pool, kb_time_t now)
{
	kb_pool_team_t *team;
	kb_pool_team_t *next;

	HASH_ITER(hh, pool->teams, team, next)
	{
		if (!team->queued && kb_team_use_is_idle(&team->use, now))
			free_team(pool, team);
	}
}

void kb_pool_teams_finish(kb_link_pool_t *pool)
{
	kb_pool_team_t *team;
	kb_pool_team_t *next;

	HASH_ITER(hh, pool->teams, team, next)
	{
		free_team(pool, team);
	}
}

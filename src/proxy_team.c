#include "proxy_internal.h"

#include "rendezvous.h"

#include <stdlib.h>

/* Sets the keepers: the groups with the highest scores for the team. */
static void choose_keepers(kb_proxy_team_t *team,
			   const kb_databases_t *databases)
{
	uint64_t scores[KB_TEAM_SHARES_MAX] = { 0 };
	unsigned chosen = 0;

	for (size_t i = 0; i < databases->group_count; i++) {
		const kb_name_t *group = &databases->groups[i].group;
		uint64_t score = kb_rendezvous_score(kb_name_str(group),
						     kb_name_str(&team->name));
		unsigned place = chosen;

		while (place && scores[place - 1] < score)
			place--;
		if (place >= team->share_count)
			continue;
		if (chosen < team->share_count)
			chosen++;
		for (unsigned j = chosen - 1; j > place; j--) {
			scores[j] = scores[j - 1];
			team->keepers[j] = team->keepers[j - 1];
		}
		scores[place] = score;
		team->keepers[place] = *group;
	}
}

/* Takes over what the configuration in force says of a team. */
static void refresh(kb_proxy_t *proxy, kb_proxy_team_t *team)
{
	const kb_databases_t *databases = &proxy->databases;
	const kb_limit_tolerance_t *tolerance = &proxy->loans.tolerance;
	const kb_team_t *entry =
		kb_teams_find(&databases->teams, kb_name_str(&team->name));

	team->version = databases->version;
	team->configured = entry != NULL;
	team->limited = entry && entry->limited;
	team->share_count = 0;
	if (!team->limited)
		return;
	team->rate = entry->rate;
	team->share_count = kb_team_limit_shares(entry->burst, tolerance,
						 databases->group_count);
	if (team->share_count)
		team->share = kb_team_limit_share(entry->rate, entry->burst,
						  team->share_count, tolerance);
	choose_keepers(team, databases);
	for (unsigned i = 0; i < team->share_count; i++) {
		team->hints[i].len = 0;
		team->groups[i] = kb_proxy_group_find(
			proxy, kb_name_str(&team->keepers[i]));
	}
	kb_team_allowance_configure(&team->allowance, team->share_count,
				    kb_team_limit_lifetime(tolerance));
}

kb_proxy_team_t *kb_proxy_team_get(kb_proxy_t *proxy, kb_str_t name)
{
	kb_proxy_team_t *team;

	HASH_FIND(by_name, proxy->loans.by_name, name.data, name.len, team);
	if (!team && !kb_teams_find(&proxy->databases.teams, name))
		return NULL;
	if (!team) {
		team = calloc(1, sizeof(*team));
		if (!team)
			return NULL;
		kb_name_set(&team->name, name);
		kb_team_allowance_init(
			&team->allowance,
			kb_rendezvous_score(kb_name_str(&proxy->self.name),
					    name),
			kb_rng_next(&proxy->rng));
		HASH_ADD_KEYPTR(by_name, proxy->loans.by_name, team->name.data,
				team->name.len, team);
	}
	if (team->version != proxy->databases.version)
		refresh(proxy, team);
	return team;
}

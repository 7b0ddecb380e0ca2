#include "teams.h"

#include <sodium.h>
#include <stdlib.h>
#include <uthash.h>

enum {
	/* In place of a team's index: several teams have the key. */
	TEAM_AMBIGUOUS = -1,
	ASCII_DELETE = 0x7f,
};

struct kb_team_key {
	kb_key_digest_t digest;
	/* Index of the team, or TEAM_AMBIGUOUS. */
	long team;
	UT_hash_handle hh;
};

void kb_teams_finish(kb_teams_t *teams)
{
	kb_team_key_t *key;
	kb_team_key_t *next;

	HASH_ITER(hh, teams->keys, key, next)
	{
		HASH_DEL(teams->keys, key);
		free(key);
	}
	free(teams->teams);
	memset(teams, 0, sizeof(*teams));
}

kb_key_digest_t kb_key_digest(kb_str_t key)
{
	kb_key_digest_t digest;

	crypto_generichash(digest.bytes, sizeof(digest.bytes),
			   (const unsigned char *)key.data, key.len, NULL, 0);
	return digest;
}

const kb_team_t *kb_teams_find(const kb_teams_t *teams, kb_str_t name)
{
	/* The team that was added last gets its keys next. */
	for (size_t i = teams->count; i > 0; i--)
		if (kb_name_is(&teams->teams[i - 1].name, name))
			return &teams->teams[i - 1];
	return NULL;
}

/* Whether a name can be a field of a message to a target. */
static int is_word(const kb_name_t *name)
{
	for (size_t i = 0; i < name->len; i++)
		if ((unsigned char)name->data[i] <= ' ' ||
		    name->data[i] == ASCII_DELETE)
			return 0;
	return name->len > 0;
}

kb_result_t kb_teams_add(kb_teams_t *teams, const kb_team_t *team)
{
	kb_team_t *grown;

	if (!is_word(&team->name))
		return KB_ERR_INVALID;
	if (kb_teams_find(teams, kb_name_str(&team->name)))
		return KB_ERR_CONFLICT;
	grown = reallocarray(teams->teams, teams->count + 1, sizeof(*grown));
	if (!grown)
		return KB_ERR_NO_MEMORY;
	teams->teams = grown;
	grown[teams->count++] = *team;
	return KB_OK;
}

static kb_team_key_t *find_key(const kb_teams_t *teams,
			       const kb_key_digest_t *digest)
{
	kb_team_key_t *key;

	HASH_FIND(hh, teams->keys, digest, sizeof(*digest), key);
	return key;
}

kb_result_t kb_teams_add_key(kb_teams_t *teams, kb_str_t team, kb_str_t key)
{
	const kb_team_t *owner = kb_teams_find(teams, team);
	kb_key_digest_t digest = kb_key_digest(key);
	kb_team_key_t *entry = find_key(teams, &digest);

	if (!owner)
		return KB_ERR_NOT_FOUND;
	if (entry && entry->team == owner - teams->teams)
		return KB_OK;
	if (entry) {
		if (entry->team != TEAM_AMBIGUOUS)
			teams->ambiguous++;
		entry->team = TEAM_AMBIGUOUS;
		return KB_ERR_CONFLICT;
	}
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return KB_ERR_NO_MEMORY;
	entry->digest = digest;
	entry->team = owner - teams->teams;
	HASH_ADD(hh, teams->keys, digest, sizeof(entry->digest), entry);
	return KB_OK;
}

const kb_team_t *kb_teams_find_key(const kb_teams_t *teams,
				   const kb_key_digest_t *digest)
{
	const kb_team_key_t *key = find_key(teams, digest);

	return key && key->team != TEAM_AMBIGUOUS ? &teams->teams[key->team]
						  : NULL;
}

size_t kb_teams_longest_search(const kb_teams_t *teams)
{
	const UT_hash_table *table;
	size_t longest = 0;

	if (!teams->keys)
		return 0;
	table = teams->keys->hh.tbl;
	for (unsigned i = 0; i < table->num_buckets; i++)
		if (table->buckets[i].count > longest)
			longest = table->buckets[i].count;
	return longest;
}

kb_result_t kb_teams_authenticate(const kb_teams_t *teams,
				  const kb_key_digest_t *digest,
				  kb_name_t *team)
{
	const kb_team_t *owner;

	memset(team, 0, sizeof(*team));
	if (!teams->configured)
		return KB_OK;
	owner = kb_teams_find_key(teams, digest);
	if (!owner)
		return KB_ERR_UNAUTHENTICATED;
	*team = owner->name;
	return KB_OK;
}

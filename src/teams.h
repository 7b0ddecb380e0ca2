#ifndef KB_TEAMS_H
#define KB_TEAMS_H

#include "str.h"

KB_BEGIN_DECLS

enum {
	KB_KEY_DIGEST_BYTES = 16,
};

/* Digest of a caller's key; the key itself is not stored. */
typedef struct kb_key_digest {
	unsigned char bytes[KB_KEY_DIGEST_BYTES];
} kb_key_digest_t;

/* Callers that share keys, a priority and a limit. */
typedef struct kb_team {
	kb_name_t name;
	/* 0 is the highest priority. */
	unsigned priority;
	/* Whether `rate` and `burst` are in force. */
	int limited;
	/* Operations a second, over all hosts. */
	double rate;
	/* Operations at once, beyond the rate. */
	double burst;
} kb_team_t;

typedef struct kb_team_key kb_team_key_t;

/*
 * The teams of a configuration. Without teams callers need no key and
 * connections to targets belong to nobody.
 */
typedef struct kb_teams {
	/* The configuration has teams, though none may be well-formed. */
	int configured;
	kb_team_t *teams;
	size_t count;
	/* Hash table of the keys' digests. */
	kb_team_key_t *keys;
	/* Teams that were left out, and keys that several teams have. */
	size_t malformed;
	size_t ambiguous;
} kb_teams_t;

void kb_teams_finish(kb_teams_t *teams);

/* Returns the digest of a key. */
kb_key_digest_t kb_key_digest(kb_str_t key);

/*
 * Adds a team. Returns KB_ERR_INVALID if its name is empty or has blanks or
 * control characters, KB_ERR_CONFLICT if there is one of this name, or
 * KB_ERR_NO_MEMORY.
 */
kb_result_t kb_teams_add(kb_teams_t *teams, const kb_team_t *team);

/*
 * Lets a key identify the callers of `team`, which was added. Returns
 * KB_ERR_CONFLICT if another team has the key, which then identifies nobody;
 * KB_ERR_NOT_FOUND or KB_ERR_NO_MEMORY.
 */
kb_result_t kb_teams_add_key(kb_teams_t *teams, kb_str_t team, kb_str_t key);

/* Returns the team of this name, or NULL. */
const kb_team_t *kb_teams_find(const kb_teams_t *teams, kb_str_t name);

/* Returns the team whose callers a key identifies, or NULL. */
const kb_team_t *kb_teams_find_key(const kb_teams_t *teams,
				   const kb_key_digest_t *digest);

/* Returns the largest number of keys that one look-up compares. */
size_t kb_teams_longest_search(const kb_teams_t *teams);

/*
 * Sets `*team` to the name of the team whose callers a key identifies, or
 * leaves it empty if the configuration has no teams. Returns
 * KB_ERR_UNAUTHENTICATED if it has, and the key identifies nobody.
 */
kb_result_t kb_teams_authenticate(const kb_teams_t *teams,
				  const kb_key_digest_t *digest,
				  kb_name_t *team);

KB_END_DECLS

#endif

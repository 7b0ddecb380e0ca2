#ifndef KB_TEAM_ACCOUNT_H
#define KB_TEAM_ACCOUNT_H

#include "team_limit.h"
#include "rng.h"
#include "str.h"

#include <uthash.h>

KB_BEGIN_DECLS

/* Operations that a keeper lends to a host. */
typedef struct kb_team_loan {
	unsigned operations;
	/* Time until more may be lent; 0 if all was lent. */
	kb_time_t retry;
	/* Time in which all that were denied could be served. */
	kb_time_t queue;
} kb_team_loan_t;

/* A team's share: a token bucket. */
typedef struct kb_team_account {
	kb_name_t team;
	kb_limit_share_t share;
	double tokens;
	kb_time_t filled_at;
	/* Hosts ask for more than there is until then. */
	kb_time_t contended_until;
	/* Time at which the hosts that were denied would all be served. */
	kb_time_t backlog_until;
	/* The same for the operations that were denied, by all shares. */
	kb_time_t queue_until;
	UT_hash_handle by_team;
} kb_team_account_t;

/* Counters of a keeper. */
typedef struct kb_team_accounts_counters {
	uint64_t asked;
	uint64_t lent;
	uint64_t denials;
} kb_team_accounts_counters_t;

/*
 * Accounts of the teams whose shares the holder of a group keeps. There is one
 * holder at a time. Its accounts begin with its lease: they are empty but for
 * the initial tokens, as what the former holder has lent is not known.
 */
typedef struct kb_team_accounts {
	kb_team_account_t *by_team;
	/* Fencing token of the lease, and the start of the accounts. */
	int64_t epoch;
	kb_time_t since;
	kb_rng_t rng;
	kb_team_accounts_counters_t counters;
} kb_team_accounts_t;

void kb_team_accounts_init(kb_team_accounts_t *accounts, uint64_t seed);
void kb_team_accounts_finish(kb_team_accounts_t *accounts);

/* Notes that the lease `epoch` is held. Another one empties all accounts. */
void kb_team_accounts_begin(kb_team_accounts_t *accounts, int64_t epoch,
			    kb_time_t now);

/*
 * Lends up to `operations` to a host; this host must hold the lease at `now`.
 * `share` is the team's share in the configuration in force, `since` the
 * earliest start of an account that does not exist yet.
 */
kb_team_loan_t kb_team_accounts_lend(kb_team_accounts_t *accounts,
				     kb_str_t team,
				     const kb_limit_share_t *share,
				     kb_time_t since, unsigned operations,
				     kb_time_t now);

/* Removes the accounts of the teams that `keep` does not return non-zero for.
 */
void kb_team_accounts_prune(kb_team_accounts_t *accounts,
			    int (*keep)(void *ctx, kb_str_t team), void *ctx);

KB_END_DECLS

#endif

#include "team_account.h"

#include <math.h>
#include <stdlib.h>

enum {
	/* A denial limits what one host gets at a time for this long. */
	CONTENDED_MS = 1000,
	/* Bounds of the time until a denied host asks again. */
	RETRY_MIN_MS = 5,
	RETRY_MAX_MS = 1000,
	/* Bound of the queue that callers are told. */
	QUEUE_MAX_MS = 5000,
	/* Answer to hosts that ask for a team that may run nothing. */
	RETRY_NEVER_MS = 5000,
};

void kb_team_accounts_init(kb_team_accounts_t *accounts, uint64_t seed)
{
	memset(accounts, 0, sizeof(*accounts));
	kb_rng_init(&accounts->rng, seed);
}

void kb_team_accounts_prune(kb_team_accounts_t *accounts,
			    int (*keep)(void *ctx, kb_str_t team), void *ctx)
{
	kb_team_account_t *account = accounts->by_team;

	HASH_CLEAR(by_team, accounts->by_team);
	while (account) {
		kb_team_account_t *next = account->by_team.next;

		if (keep && keep(ctx, kb_name_str(&account->team)))
			HASH_ADD_KEYPTR(by_team, accounts->by_team,
					account->team.data, account->team.len,
					account);
		else
			free(account);
		account = next;
	}
}

void kb_team_accounts_finish(kb_team_accounts_t *accounts)
{
	kb_team_accounts_prune(accounts, NULL, NULL);
}

void kb_team_accounts_begin(kb_team_accounts_t *accounts, int64_t epoch,
			    kb_time_t now)
{
	if (accounts->epoch == epoch)
		return;
	kb_team_accounts_finish(accounts);
	accounts->epoch = epoch;
	accounts->since = now;
}

static double seconds(kb_time_t duration)
{
	return (double)duration / (double)KB_NS_PER_S;
}

/* Returns the time in which `operations` are earned. */
static kb_time_t earning_time(const kb_team_account_t *account,
			      double operations)
{
	if (operations <= 0)
		return 0;
	if (operations >= account->share.rate * RETRY_NEVER_MS / 1000)
		return RETRY_NEVER_MS * KB_NS_PER_MS;
	return (kb_time_t)(operations / account->share.rate *
			   (double)KB_NS_PER_S);
}

/* Adds what was earned and puts the share of the configuration in force. */
static void refill(kb_team_account_t *account, const kb_limit_share_t *share,
		   kb_time_t now)
{
	if (now > account->filled_at) {
		account->tokens +=
			account->share.rate * seconds(now - account->filled_at);
		account->filled_at = now;
	}
	account->share = *share;
	account->tokens = fmin(account->tokens, share->capacity);
}

static kb_team_account_t *get_account(kb_team_accounts_t *accounts,
				      kb_str_t team,
				      const kb_limit_share_t *share,
				      kb_time_t since)
{
	kb_team_account_t *account;

	HASH_FIND(by_team, accounts->by_team, team.data, team.len, account);
	if (account)
		return account;
	account = calloc(1, sizeof(*account));
	if (!account)
		return NULL;
	if (kb_name_set(&account->team, team)) {
		free(account);
		return NULL;
	}
	account->share = *share;
	account->tokens = share->initial;
	account->filled_at = since > accounts->since ? since : accounts->since;
	HASH_ADD_KEYPTR(by_team, accounts->by_team, account->team.data,
			account->team.len, account);
	return account;
}

/*
 * Returns when a host that was not lent `missing` operations should ask again:
 * the hosts that were denied return one after the other, but soon enough that
 * the bucket does not fill up meanwhile.
 */
static kb_time_t retry_time(kb_team_accounts_t *accounts,
			    kb_team_account_t *account, unsigned missing,
			    kb_time_t now)
{
	kb_time_t first = earning_time(account, 1 - account->tokens);
	kb_time_t longest = earning_time(account, account->share.capacity / 2);
	kb_time_t until = account->backlog_until;
	kb_time_t wait;

	if (longest > RETRY_MAX_MS * KB_NS_PER_MS)
		longest = RETRY_MAX_MS * KB_NS_PER_MS;
	if (until < now)
		until = now;
	until += earning_time(account, missing);
	if (until > now + longest)
		until = now + longest;
	account->backlog_until = until;
	wait = (until - now) / 2;
	wait += (kb_time_t)kb_rng_below(&accounts->rng, (uint64_t)wait + 1);
	if (wait < first)
		wait = first;
	return wait > RETRY_MIN_MS * KB_NS_PER_MS ? wait
						  : RETRY_MIN_MS * KB_NS_PER_MS;
}

/*
 * Returns the time in which `missing` operations more and those that were
 * denied before are served. Each of them asks the other shares, too.
 */
static kb_time_t queue_time(kb_team_account_t *account, unsigned missing,
			    kb_time_t now)
{
	kb_time_t last = now + QUEUE_MAX_MS * KB_NS_PER_MS;

	if (account->queue_until < now)
		account->queue_until = now;
	account->queue_until += earning_time(account, missing) /
				(kb_time_t)account->share.shares;
	if (account->queue_until > last)
		account->queue_until = last;
	return account->queue_until - now;
}

kb_team_loan_t kb_team_accounts_lend(kb_team_accounts_t *accounts,
				     kb_str_t team,
				     const kb_limit_share_t *share,
				     kb_time_t since, unsigned operations,
				     kb_time_t now)
{
	kb_team_account_t *account = get_account(accounts, team, share, since);
	kb_team_loan_t loan = { .retry = RETRY_MAX_MS * KB_NS_PER_MS };
	unsigned available;

	accounts->counters.asked += operations;
	if (!account) {
		accounts->counters.denials++;
		return loan;
	}
	refill(account, share, now);
	available = account->tokens >= 1 ? (unsigned)account->tokens : 0;
	/* Leave half to the other hosts. */
	if (now < account->contended_until)
		available = (available + 1) / 2;
	loan.operations = operations < available ? operations : available;
	loan.retry = 0;
	account->tokens -= loan.operations;
	accounts->counters.lent += loan.operations;
	if (loan.operations == operations)
		return loan;
	accounts->counters.denials++;
	account->contended_until = now + CONTENDED_MS * KB_NS_PER_MS;
	loan.retry = retry_time(accounts, account, operations - loan.operations,
				now);
	loan.queue = queue_time(account, operations - loan.operations, now);
	return loan;
}

#include "team_allowance.h"

#include <math.h>
#include <string.h>

enum {
	/* Time over which demand is measured, and which a loan covers. */
	DEMAND_MEASURED_MS = 1000,
	DEMAND_COVERED_MS = 100,
	OPERATIONS_MAX = 1024,
	/* A slow keeper: its answer takes twice as long as usual and this. */
	HEDGE_DELAY_MIN_MS = 15,
	HEDGE_DELAY_MAX_MS = 80,
	/* Pause after a call to a keeper failed. */
	FAILURE_PAUSE_MS = 50,
	/* A near keeper is not preferred for this after its denial. */
	NEAR_AFTER_DENIAL_MS = 2000,
	/* Returning callers are spread over this time at least. */
	RETRY_SPREAD_MS = 500,
	/* One part of 8 of a round trip enters the smoothed one. */
	ROUND_TRIP_WEIGHT = 8,
};

void kb_team_allowance_init(kb_team_allowance_t *allowance, uint64_t preferred,
			    uint64_t seed)
{
	memset(allowance, 0, sizeof(*allowance));
	allowance->preferred = (unsigned)(preferred % KB_TEAM_SHARES_MAX);
	kb_rng_init(&allowance->rng, seed);
}

void kb_team_allowance_configure(kb_team_allowance_t *allowance,
				 unsigned shares, kb_time_t lifetime)
{
	allowance->share_count = shares;
	allowance->lifetime = lifetime;
	if (shares)
		allowance->preferred %= shares;
	for (unsigned i = 0; i < KB_TEAM_SHARES_MAX; i++) {
		allowance->shares[i].denied_until = 0;
		allowance->shares[i].failed_until = 0;
	}
}

/* Returns the demand as of `now`. */
static double demand_at(const kb_team_allowance_t *allowance, kb_time_t now)
{
	double age = (double)(now - allowance->demand_at) /
		     (DEMAND_MEASURED_MS * (double)KB_NS_PER_MS);

	return allowance->demand * exp(-age);
}

void kb_team_allowance_arrived(kb_team_allowance_t *allowance, kb_time_t now)
{
	allowance->demand =
		demand_at(allowance, now) + 1000.0 / DEMAND_MEASURED_MS;
	allowance->demand_at = now;
}

static int has_loan(const kb_allowance_share_t *share, kb_time_t now)
{
	return share->operations && now < share->expires_at;
}

/* Whether the keeper may be asked, or has an answer to give. */
static int is_open(const kb_allowance_share_t *share, kb_time_t now)
{
	return share->asking ||
	       (now >= share->denied_until && now >= share->failed_until);
}

/* Returns the time until a denied share lends again, or 0 if none is denied. */
static kb_time_t denial_left(const kb_team_allowance_t *allowance,
			     kb_time_t now)
{
	kb_time_t least = 0;

	for (unsigned i = 0; i < allowance->share_count; i++) {
		kb_time_t left = allowance->shares[i].denied_until - now;

		if (left > 0 && (!least || left < least))
			least = left;
	}
	return least;
}

/*
 * Returns when a refused caller should come back, which is not before `left`:
 * after those that were refused before it on this host, and among those that
 * were on all hosts.
 */
static kb_time_t return_time(kb_team_allowance_t *allowance, kb_time_t left,
			     kb_time_t now)
{
	kb_time_t turn = kb_return_pace_next(
		&allowance->pace, left, left / allowance->share_count, now);
	kb_time_t queue = turn + RETRY_SPREAD_MS * KB_NS_PER_MS;

	for (unsigned i = 0; i < allowance->share_count; i++) {
		kb_time_t until = allowance->shares[i].queue_until;

		if (until - now > queue)
			queue = until - now;
	}
	return turn + (kb_time_t)kb_rng_below(&allowance->rng,
					      (uint64_t)(queue - turn));
}

kb_allowance_verdict_t kb_team_allowance_take(kb_team_allowance_t *allowance,
					      kb_time_t now,
					      kb_allowance_ticket_t *ticket,
					      kb_time_t *retry)
{
	kb_allowance_share_t *best = NULL;
	kb_time_t left = denial_left(allowance, now);
	int open = 0;

	for (unsigned i = 0; i < KB_TEAM_SHARES_MAX; i++) {
		kb_allowance_share_t *share = &allowance->shares[i];

		if (i < allowance->share_count)
			open |= is_open(share, now);
		if (!has_loan(share, now))
			continue;
		if (best && best->expires_at <= share->expires_at)
			continue;
		best = share;
		ticket->share = i;
	}
	if (best) {
		best->operations--;
		ticket->valid = 1;
		ticket->expires_at = best->expires_at;
		return KB_ALLOWANCE_GRANTED;
	}
	if (open || !left)
		return KB_ALLOWANCE_WAIT;
	*retry = return_time(allowance, left, now);
	return KB_ALLOWANCE_REFUSED;
}

/* Adds operations; all that are left end with the first of them. */
static void add_operations(kb_allowance_share_t *share, unsigned operations,
			   kb_time_t expires_at, kb_time_t now)
{
	if (now >= expires_at || !operations)
		return;
	if (!has_loan(share, now)) {
		share->operations = operations;
		share->expires_at = expires_at;
		return;
	}
	share->operations += operations;
	if (expires_at < share->expires_at)
		share->expires_at = expires_at;
}

void kb_team_allowance_give_back(kb_team_allowance_t *allowance,
				 const kb_allowance_ticket_t *ticket,
				 kb_time_t now)
{
	if (ticket->valid)
		add_operations(&allowance->shares[ticket->share], 1,
			       ticket->expires_at, now);
}

/* Time after which another keeper is asked, too. */
static kb_time_t hedge_delay(const kb_allowance_share_t *share)
{
	kb_time_t delay =
		2 * share->round_trip + HEDGE_DELAY_MIN_MS * KB_NS_PER_MS;

	if (delay > HEDGE_DELAY_MAX_MS * KB_NS_PER_MS || !share->round_trip)
		delay = HEDGE_DELAY_MAX_MS * KB_NS_PER_MS;
	return delay;
}

/* Whether the share is preferred: near, and not short of operations lately. */
static int is_near(const kb_allowance_share_t *share, kb_time_t now)
{
	return share->near &&
	       now - share->denied_until >= NEAR_AFTER_DENIAL_MS * KB_NS_PER_MS;
}

/*
 * Finds a share that may be asked among those that are near, or the others.
 * Returns 0 if there is none, and -1 if an answer is to be waited for first.
 */
static int find_share(const kb_team_allowance_t *allowance, int near,
		      kb_time_t now, unsigned *share)
{
	unsigned count = allowance->share_count;

	for (unsigned i = 0; i < count; i++) {
		unsigned candidate = (allowance->preferred + i) % count;
		const kb_allowance_share_t *s = &allowance->shares[candidate];

		if (is_near(s, now) != near)
			continue;
		if (s->asking && now - s->asked_at < hedge_delay(s))
			return -1;
		if (s->asking || !is_open(s, now))
			continue;
		*share = candidate;
		return 1;
	}
	return 0;
}

unsigned kb_team_allowance_wanted(const kb_team_allowance_t *allowance,
				  kb_time_t now, unsigned *share)
{
	double ahead = demand_at(allowance, now) * DEMAND_COVERED_MS / 1000;
	unsigned operations = allowance->waiting;
	int found;

	if (!operations)
		return 0;
	if (operations < ahead)
		operations = (unsigned)ahead;
	if (operations > OPERATIONS_MAX)
		operations = OPERATIONS_MAX;
	found = find_share(allowance, 1, now, share);
	if (!found)
		found = find_share(allowance, 0, now, share);
	return found > 0 ? operations : 0;
}

void kb_team_allowance_asked(kb_team_allowance_t *allowance, unsigned share,
			     kb_time_t now)
{
	allowance->shares[share].asking = 1;
	allowance->shares[share].asked_at = now;
}

void kb_team_allowance_on_loan(kb_team_allowance_t *allowance, unsigned share,
			       kb_time_t asked_at, unsigned operations,
			       kb_time_t retry, kb_time_t now)
{
	kb_allowance_share_t *s = &allowance->shares[share];
	kb_time_t took = now - asked_at;

	if (s->asked_at == asked_at)
		s->asking = 0;
	s->round_trip = s->round_trip
				? s->round_trip + (took - s->round_trip) /
							  ROUND_TRIP_WEIGHT
				: took;
	s->failed_until = 0;
	add_operations(s, operations, asked_at + allowance->lifetime, now);
	if (retry > 0) {
		s->denied_until = now + retry;
		if (share == allowance->preferred && allowance->share_count)
			allowance->preferred =
				(share + 1) % allowance->share_count;
	}
}

void kb_team_allowance_on_queue(kb_team_allowance_t *allowance, unsigned share,
				kb_time_t queue, kb_time_t now)
{
	allowance->shares[share].queue_until = now + queue;
}

void kb_team_allowance_redirected(kb_team_allowance_t *allowance,
				  unsigned share)
{
	allowance->shares[share].asking = 0;
}

void kb_team_allowance_on_failure(kb_team_allowance_t *allowance,
				  unsigned share, kb_time_t now)
{
	kb_allowance_share_t *s = &allowance->shares[share];

	s->asking = 0;
	s->failed_until = now + FAILURE_PAUSE_MS * KB_NS_PER_MS;
	if (share == allowance->preferred && allowance->share_count)
		allowance->preferred = (share + 1) % allowance->share_count;
}

#include "team_limit.h"

#include <math.h>

enum {
	/* Covers the calls for a loan and the time until it is used. */
	LIFETIME_MIN_MS = 200,
	/* Changes of a share's keeper in a window that the slack covers. */
	KEEPER_CHANGES = 5,
	/* Operations in a share of a limit that has the most shares. */
	SHARE_CAPACITY_MIN = 8,
};

/* Part of the slack by which buckets are larger than the burst. */
#define CAPACITY_SLACK 0.5

static double total_capacity(double burst,
			     const kb_limit_tolerance_t *tolerance)
{
	return burst + CAPACITY_SLACK * tolerance->slack;
}

unsigned kb_team_limit_shares(double burst,
			      const kb_limit_tolerance_t *tolerance,
			      size_t keepers)
{
	double capacity = total_capacity(burst, tolerance);
	unsigned shares = KB_TEAM_SHARES_MAX;

	if (capacity < SHARE_CAPACITY_MIN * KB_TEAM_SHARES_MAX)
		shares = KB_TEAM_SHARES_SMALL;
	if (shares > keepers)
		shares = (unsigned)keepers;
	if (capacity < shares)
		shares = (unsigned)fmax(capacity, keepers ? 1 : 0);
	return shares;
}

kb_time_t kb_team_limit_lifetime(const kb_limit_tolerance_t *tolerance)
{
	return (kb_time_t)fmax(tolerance->overage * (double)tolerance->window,
			       LIFETIME_MIN_MS * (double)KB_NS_PER_MS);
}

kb_limit_share_t kb_team_limit_share(double rate, double burst, unsigned shares,
				     const kb_limit_tolerance_t *tolerance)
{
	double window = (double)tolerance->window;
	double lifetime = (double)kb_team_limit_lifetime(tolerance);
	/* What is lent in a window and a lifetime may run in the window. */
	double part = window * (1 + tolerance->overage) / (window + lifetime);
	kb_limit_share_t share = {
		.rate = rate * fmin(part, 1) / shares,
		.capacity = total_capacity(burst, tolerance) / shares,
		.initial = (1 - CAPACITY_SLACK) * tolerance->slack /
			   (KEEPER_CHANGES * shares),
		.shares = shares,
	};

	share.initial = fmin(share.initial, share.capacity);
	return share;
}

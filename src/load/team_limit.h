#ifndef KB_TEAM_LIMIT_H
#define KB_TEAM_LIMIT_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

enum {
	/* A team's limit is divided among at most this many keepers. */
	KB_TEAM_SHARES_MAX = 4,
	/* The same for a limit whose shares would hold few operations. */
	KB_TEAM_SHARES_SMALL = 3,
};

/* What a limit of a rate and a burst allows in a sliding window. */
typedef struct kb_limit_tolerance {
	kb_time_t window;
	/* Fraction that may be exceeded. */
	double overage;
	/* Operations that may be exceeded. */
	double slack;
} kb_limit_tolerance_t;

/* One share of a team's limit: the token bucket of one keeper. */
typedef struct kb_limit_share {
	/* Operations a second. */
	double rate;
	double capacity;
	/* Tokens of a new keeper, whose predecessor may have lent all. */
	double initial;
	/* Number of shares of the limit. */
	unsigned shares;
} kb_limit_share_t;

/*
 * Returns the number of shares of a limit that `keepers` can keep. A share
 * holds at least one operation. More shares keep a team served behind a cut;
 * a small burst in many buckets would leave single ones empty.
 */
unsigned kb_team_limit_shares(double burst,
			      const kb_limit_tolerance_t *tolerance,
			      size_t keepers);

/* Returns one of `shares` equal shares of a limit. */
kb_limit_share_t kb_team_limit_share(double rate, double burst, unsigned shares,
				     const kb_limit_tolerance_t *tolerance);

/* Time for which a loan is valid, counted from the request for it. */
kb_time_t kb_team_limit_lifetime(const kb_limit_tolerance_t *tolerance);

KB_END_DECLS

#endif

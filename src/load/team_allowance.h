#ifndef KB_TEAM_ALLOWANCE_H
#define KB_TEAM_ALLOWANCE_H

#include "return_pace.h"
#include "rng.h"
#include "team_limit.h"

KB_BEGIN_DECLS

/* What a host knows of one share of a team's limit. */
typedef struct kb_allowance_share {
	/* Operations lent to this host and not used, and their end. */
	unsigned operations;
	kb_time_t expires_at;
	/* A request to the keeper is in flight since `asked_at`. */
	int asking;
	kb_time_t asked_at;
	/* The keeper has no more to lend until then. */
	kb_time_t denied_until;
	/* Until then others are served that were denied before. */
	kb_time_t queue_until;
	/* The keeper was not reached; it is asked again then. */
	kb_time_t failed_until;
	/* The keeper is in this region: it is asked before those that are not.
	 */
	int near;
	/* Smoothed time that its answers take. */
	kb_time_t round_trip;
} kb_allowance_share_t;

/* An operation of a loan: the share that lent it and its end. */
typedef struct kb_allowance_ticket {
	int valid;
	unsigned share;
	kb_time_t expires_at;
} kb_allowance_ticket_t;

typedef enum kb_allowance_verdict {
	/* The operation may run. */
	KB_ALLOWANCE_GRANTED,
	/* A keeper is asked, or will be. */
	KB_ALLOWANCE_WAIT,
	/* The limit is reached. */
	KB_ALLOWANCE_REFUSED,
} kb_allowance_verdict_t;

/*
 * A host's part in the limit of a team: the operations that keepers have lent
 * to it. Without a loan no operation runs.
 */
typedef struct kb_team_allowance {
	unsigned share_count;
	kb_allowance_share_t shares[KB_TEAM_SHARES_MAX];
	/* The share that is asked first. */
	unsigned preferred;
	kb_time_t lifetime;
	/* Operations that wait for a loan. */
	unsigned waiting;
	/* Operations a second, smoothed, as of `demand_at`. */
	double demand;
	kb_time_t demand_at;
	/* Turns of the callers that were refused. */
	kb_return_pace_t pace;
	kb_rng_t rng;
} kb_team_allowance_t;

/* `preferred` spreads the hosts over the shares. */
void kb_team_allowance_init(kb_team_allowance_t *allowance, uint64_t preferred,
			    uint64_t seed);

/*
 * Sets the number of shares and the lifetime of loans; to be called when the
 * keepers have changed. Loans stay valid; denials do not.
 */
void kb_team_allowance_configure(kb_team_allowance_t *allowance,
				 unsigned shares, kb_time_t lifetime);

/* Notes the arrival of an operation, as a measure of demand. */
void kb_team_allowance_arrived(kb_team_allowance_t *allowance, kb_time_t now);

/*
 * Takes an operation from a loan. If it returns KB_ALLOWANCE_GRANTED, `*ticket`
 * is set, if KB_ALLOWANCE_REFUSED, `*retry` to the time until a retry may
 * succeed.
 */
kb_allowance_verdict_t kb_team_allowance_take(kb_team_allowance_t *allowance,
					      kb_time_t now,
					      kb_allowance_ticket_t *ticket,
					      kb_time_t *retry);

/* Gives back an operation that was not run. */
void kb_team_allowance_give_back(kb_team_allowance_t *allowance,
				 const kb_allowance_ticket_t *ticket,
				 kb_time_t now);

/*
 * Returns the number of operations to ask for and sets `*share`, or 0 if no
 * keeper needs to be asked now. kb_team_allowance_asked() follows, or
 * kb_team_allowance_on_failure() if the keeper cannot be asked.
 */
unsigned kb_team_allowance_wanted(const kb_team_allowance_t *allowance,
				  kb_time_t now, unsigned *share);

void kb_team_allowance_asked(kb_team_allowance_t *allowance, unsigned share,
			     kb_time_t now);

/*
 * Takes the answer to the request that was sent at `asked_at`: `operations`
 * are lent, and more may be after `retry`, or it is 0.
 */
void kb_team_allowance_on_loan(kb_team_allowance_t *allowance, unsigned share,
			       kb_time_t asked_at, unsigned operations,
			       kb_time_t retry, kb_time_t now);

/* Takes the time in which a share serves those that it has denied. */
void kb_team_allowance_on_queue(kb_team_allowance_t *allowance, unsigned share,
				kb_time_t queue, kb_time_t now);

/* Another host is the keeper; it can be asked at once. */
void kb_team_allowance_redirected(kb_team_allowance_t *allowance,
				  unsigned share);

/* The keeper was not reached. */
void kb_team_allowance_on_failure(kb_team_allowance_t *allowance,
				  unsigned share, kb_time_t now);

KB_END_DECLS

#endif

#include "team_share.h"

#include <math.h>

enum {
	PERCENT = 100,
};

/* A team that has started less than this is forgotten with its connections. */
static const double rate_negligible = 0.1;

void kb_team_share_add(kb_team_share_t *share, kb_team_use_t *team)
{
	team->prev = NULL;
	team->next = share->first;
	if (team->next)
		team->next->prev = team;
	share->first = team;
}

void kb_team_share_remove(kb_team_share_t *share, kb_team_use_t *team)
{
	if (team->prev)
		team->prev->next = team->next;
	else
		share->first = team->next;
	if (team->next)
		team->next->prev = team->prev;
}

unsigned kb_team_use_conns(const kb_team_use_t *team)
{
	unsigned count = 0;

	for (int use = 0; use < KB_TEAM_CONN_NONE; use++)
		count += team->conns[use];
	return count;
}

static unsigned in_use(const kb_team_use_t *team)
{
	return team->conns[KB_TEAM_CONN_BUSY] +
	       team->conns[KB_TEAM_CONN_PINNED];
}

static double rate_at(const kb_team_use_t *team, kb_time_t now)
{
	double half_lives = (double)(now - team->rate_at) /
			    (KB_TEAM_RATE_HALF_LIFE_MS * KB_NS_PER_MS);

	return team->rate * exp2(-half_lives);
}

int kb_team_use_is_idle(const kb_team_use_t *team, kb_time_t now)
{
	return !team->waiting && !team->begins && !kb_team_use_conns(team) &&
	       rate_at(team, now) < rate_negligible;
}

static unsigned all_waiting(const kb_team_use_t *team)
{
	return team->waiting + team->begins;
}

void kb_team_use_wait(kb_team_use_t *team, int begins, kb_time_t now)
{
	if (!all_waiting(team))
		team->waiting_since = now;
	if (begins)
		team->begins++;
	else
		team->waiting++;
}

void kb_team_use_end_wait(kb_team_use_t *team, int begins, kb_time_t now)
{
	if (begins)
		team->begins--;
	else
		team->waiting--;
	team->waiting_since = now;
}

void kb_team_share_begin(kb_team_share_t *share, kb_team_use_t *team)
{
	team->transactions++;
	share->transactions++;
}

void kb_team_share_end(kb_team_share_t *share, kb_team_use_t *team)
{
	team->transactions--;
	share->transactions--;
}

static void record_start(kb_team_use_t *team, kb_time_t now)
{
	unsigned used = in_use(team);

	if (now >= team->window_end) {
		team->last_peak =
			now - team->window_end <
					KB_TEAM_PEAK_WINDOW_MS * KB_NS_PER_MS
				? team->peak
				: 0;
		team->peak = 0;
		team->window_end = now + KB_TEAM_PEAK_WINDOW_MS * KB_NS_PER_MS;
	}
	if (used > team->peak)
		team->peak = used;
	team->rate = rate_at(team, now) + 1;
	team->rate_at = now;
}

void kb_team_share_move(kb_team_share_t *share, kb_team_use_t *team,
			kb_team_conn_use_t from, kb_team_conn_use_t to,
			kb_time_t now)
{
	if (from == to)
		return;
	if (from != KB_TEAM_CONN_NONE) {
		team->conns[from]--;
		share->conns--;
	}
	if (to != KB_TEAM_CONN_NONE) {
		team->conns[to]++;
		share->conns++;
	}
	share->opening += to == KB_TEAM_CONN_OPENING;
	share->opening -= from == KB_TEAM_CONN_OPENING;
	if (from == KB_TEAM_CONN_OPENING && to == KB_TEAM_CONN_IDLE)
		team->opened_at = now;
	if (to == KB_TEAM_CONN_IDLE)
		team->used_at = now;
	if (to == KB_TEAM_CONN_BUSY)
		record_start(team, now);
}

/* Most connections that a team used at once of late. */
static unsigned recent_peak(const kb_team_use_t *team, kb_time_t now)
{
	kb_time_t window = KB_TEAM_PEAK_WINDOW_MS * KB_NS_PER_MS;

	if (now >= team->window_end + window)
		return in_use(team);
	if (now >= team->window_end)
		return team->peak;
	return team->peak > team->last_peak ? team->peak : team->last_peak;
}

/* Connections beyond the first that a team did not use of late. */
static unsigned surplus_of(const kb_team_use_t *team, kb_time_t now)
{
	unsigned conns = kb_team_use_conns(team);
	unsigned peak = recent_peak(team, now);
	unsigned idle = team->conns[KB_TEAM_CONN_IDLE];
	unsigned surplus;

	/* How often a team is used decides about its last connection. */
	peak = peak ? peak : 1;
	surplus = conns > peak ? conns - peak : 0;
	return surplus < idle ? surplus : idle;
}

unsigned kb_team_share_begins_left(const kb_team_share_t *share,
				   const kb_team_use_t *team,
				   const kb_team_room_t *room)
{
	unsigned own = room->limit * KB_TEAM_TRANSACTIONS_PERCENT / PERCENT;
	unsigned reserve = room->limit * KB_TEAM_RESERVE_PERCENT / PERCENT;
	unsigned all;
	unsigned own_left;
	unsigned all_left;

	if (!room->shared)
		return room->limit;
	/* With a small limit, transactions must still be possible. */
	own = own ? own : 1;
	reserve = reserve || room->limit < 2 ? reserve : 1;
	all = room->limit - reserve;
	own_left = own > team->transactions ? own - team->transactions : 0;
	all_left = all > share->transactions ? all - share->transactions : 0;
	return own_left < all_left ? own_left : all_left;
}

/* Statements that a team could start if it had connections for them. */
static unsigned startable(const kb_team_share_t *share,
			  const kb_team_use_t *team, const kb_team_room_t *room)
{
	unsigned left = kb_team_share_begins_left(share, team, room);

	return team->waiting + (team->begins < left ? team->begins : left);
}

/*
 * Connections that will be idle again soon without being opened: those whose
 * statement is no part of a transaction.
 */
static unsigned returning(const kb_team_use_t *team)
{
	unsigned busy = team->conns[KB_TEAM_CONN_BUSY];
	unsigned busy_in_transactions =
		team->transactions > team->conns[KB_TEAM_CONN_PINNED]
			? team->transactions - team->conns[KB_TEAM_CONN_PINNED]
			: 0;

	return busy > busy_in_transactions ? busy - busy_in_transactions : 0;
}

static int needs_conn(const kb_team_share_t *share, const kb_team_use_t *team,
		      const kb_team_room_t *room)
{
	unsigned opening = team->conns[KB_TEAM_CONN_OPENING];
	unsigned wanted;

	if (team->conns[KB_TEAM_CONN_IDLE] || !all_waiting(team))
		return 0;
	wanted = startable(share, team, room);
	if (!room->shared || !kb_team_use_conns(team))
		return wanted > opening;
	if (opening + returning(team) >= room->in_flight)
		return 0;
	return wanted > opening + returning(team);
}

/* Whether `a` gets a connection before `b`. */
static int opens_before(const kb_team_use_t *a, const kb_team_use_t *b)
{
	unsigned a_conns = kb_team_use_conns(a);
	unsigned b_conns = kb_team_use_conns(b);

	if (a_conns != b_conns)
		return a_conns < b_conns;
	return a->waiting_since < b->waiting_since;
}

/* Connections of a team that its open transactions do not hold. */
static unsigned usable(const kb_team_use_t *team)
{
	return kb_team_use_conns(team) - team->transactions;
}

/* Whether `team` may lose an idle connection to `needy`. */
static int may_close(const kb_team_use_t *team, const kb_team_use_t *needy,
		     kb_time_t now)
{
	kb_time_t hold = KB_TEAM_HOLD_MS * KB_NS_PER_MS;

	if (team == needy || !team->conns[KB_TEAM_CONN_IDLE])
		return 0;
	if (all_waiting(team))
		return now - team->opened_at >= hold &&
		       now - needy->waiting_since >= hold && !usable(needy);
	if (!usable(needy))
		return 1;
	if (kb_team_use_conns(team) == 1)
		return now - team->used_at >= KB_TEAM_REST_MS * KB_NS_PER_MS;
	return surplus_of(team, now) > 0;
}

static int closes_before(const kb_team_use_t *a, const kb_team_use_t *b,
			 kb_time_t now)
{
	unsigned a_surplus = surplus_of(a, now);
	unsigned b_surplus = surplus_of(b, now);
	double a_rate = rate_at(a, now);
	double b_rate = rate_at(b, now);

	if (!all_waiting(a) != !all_waiting(b))
		return !all_waiting(a);
	if (a_surplus != b_surplus)
		return a_surplus > b_surplus;
	if (a_rate < b_rate || a_rate > b_rate)
		return a_rate < b_rate;
	return a->used_at < b->used_at;
}

/* Returns the team that loses an idle connection to `needy`. */
static kb_team_use_t *find_closed(const kb_team_share_t *share,
				  const kb_team_use_t *needy, kb_time_t now)
{
	kb_team_use_t *best = NULL;

	for (kb_team_use_t *team = share->first; team; team = team->next)
		if (may_close(team, needy, now) &&
		    (!best || closes_before(team, best, now)))
			best = team;
	return best;
}

kb_team_opening_t kb_team_share_next_opening(const kb_team_share_t *share,
					     const kb_team_room_t *room,
					     kb_time_t now)
{
	kb_team_opening_t opening = { NULL, NULL };

	if (share->opening >= room->parallel || share->conns > room->limit)
		return opening;
	for (kb_team_use_t *team = share->first; team; team = team->next)
		if (needs_conn(share, team, room) &&
		    (!opening.team || opens_before(team, opening.team)))
			opening.team = team;
	if (!opening.team || share->conns < room->limit)
		return opening;
	opening.closed = find_closed(share, opening.team, now);
	if (!opening.closed)
		opening.team = NULL;
	return opening;
}

kb_team_use_t *kb_team_share_surplus(const kb_team_share_t *share,
				     unsigned limit, kb_time_t now)
{
	kb_team_use_t *best = NULL;

	if (share->conns <= limit)
		return NULL;
	for (kb_team_use_t *team = share->first; team; team = team->next)
		if (team->conns[KB_TEAM_CONN_IDLE] &&
		    (!best || closes_before(team, best, now)))
			best = team;
	return best;
}

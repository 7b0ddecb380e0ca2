#include "lease_internal.h"

#include <string.h>

enum {
	/* Least interval between two writes that change the voters. */
	REWRITE_PAUSE_MS = 1000,
	/* The same while the host is not serving yet. */
	REWRITE_WAITING_MS = 300,
	/* Interval at which the voters are compared with the ranking. */
	COMPARE_PAUSE_MS = 100,
	/* Time for the voters to answer the query about the holder. */
	INQUIRY_MS = 100,
};

/* Whether a voter has granted nothing lately or lost the store. */
static int is_missing(const kb_lease_t *hold, const kb_name_t *host,
		      kb_time_t now)
{
	for (size_t i = 0; i < hold->grant_count; i++) {
		const kb_lease_grant_t *grant = &hold->grants[i];
		kb_time_t last =
			grant->granted ? grant->asked_at : grant->since;

		if (kb_lease_names_equal(&grant->candidate, host))
			return grant->storeless ||
			       (last && now - last > KB_LEASE_VOTER_TIMEOUT_MS *
							     KB_NS_PER_MS);
	}
	return 0;
}

static int is_ranked(const kb_lease_ranking_t *ranking, const kb_name_t *host)
{
	for (size_t i = 0; i < ranking->count; i++)
		if (kb_lease_names_equal(&ranking->hosts[i], host))
			return 1;
	return 0;
}

static void add_host(kb_voter_set_t *set, const kb_name_t *host)
{
	if (set->count < KB_LEASE_VOTERS_MAX &&
	    !kb_voter_set_contains(set, host))
		set->hosts[set->count++] = *host;
}

/*
 * Fills in a record with `holder` and the preferred voters: first the current
 * voters that respond, then the highest-ranked hosts, unresponsive ones last.
 */
static void make_record(const kb_lease_t *hold, kb_lease_record_t *record,
			const kb_name_t *holder,
			const kb_lease_ranking_t *ranking, kb_time_t now)
{
	const kb_voter_set_t *present = &hold->record.candidates;
	kb_voter_set_t *set = &record->candidates;

	memset(record, 0, sizeof(*record));
	record->holder = *holder;
	add_host(set, holder);
	for (size_t i = 0; kb_lease_is_own(hold) && i < present->count; i++)
		if (is_ranked(ranking, &present->hosts[i]) &&
		    !is_missing(hold, &present->hosts[i], now))
			add_host(set, &present->hosts[i]);
	for (int missing = 0; missing < 2; missing++)
		for (size_t i = 0; i < ranking->count; i++)
			if (is_missing(hold, &ranking->hosts[i], now) ==
			    missing)
				add_host(set, &ranking->hosts[i]);
}

/* Copies the voters whose grants the last serving holder may still have. */
static void keep_former(kb_lease_record_t *record,
			const kb_lease_record_t *replaced)
{
	if (replaced->settled) {
		record->former = replaced->candidates;
		return;
	}
	record->former = replaced->former;
	record->former_lost = replaced->former_lost;
	record->released = replaced->released;
}

/* Takes over the lease by a write on the known revision. */
static void take(kb_lease_t *hold, const kb_lease_ranking_t *ranking,
		 kb_time_t now)
{
	make_record(hold, &hold->wanted, &hold->self, ranking, now);
	keep_former(&hold->wanted, &hold->record);
	if (!hold->record.holder.len && !hold->first_start)
		hold->wanted.former_lost = 1;
	kb_lease_set_role(hold, KB_LEASE_ACQUIRING);
	kb_lease_begin_write(hold, now);
}

/*
 * Position of this host in the ranking, not counting the current holder;
 * KB_LEASE_HOSTS_MAX if it is not ranked.
 */
static size_t rank_of(const kb_lease_ranking_t *ranking, const kb_name_t *self,
		      const kb_name_t *holder)
{
	size_t rank = 0;

	for (size_t i = 0; i < ranking->count; i++) {
		if (kb_lease_names_equal(&ranking->hosts[i], self))
			return rank;
		if (!kb_lease_names_equal(&ranking->hosts[i], holder))
			rank++;
	}
	return KB_LEASE_HOSTS_MAX;
}

/* Silence of the holder after which a host of `rank` takes over. */
static kb_time_t patience(const kb_lease_t *hold, size_t rank)
{
	kb_time_t ms = hold->record.holder.len ? KB_LEASE_HOLDER_TIMEOUT_MS
					       : KB_LEASE_INITIAL_DELAY_MS;

	ms += (kb_time_t)rank * KB_LEASE_RANK_DELAY_MS;
	if (hold->record.holder.len &&
	    !kb_voter_set_contains(&hold->record.candidates, &hold->self))
		ms += KB_LEASE_NON_VOTER_DELAY_S * KB_NS_PER_S / KB_NS_PER_MS;
	return ms * KB_NS_PER_MS;
}

/*
 * Takes over the lease after the takeover delay, unless a voter has seen the
 * holder serving in the meantime.
 */
static void watch_holder(kb_lease_t *hold, kb_time_t now)
{
	kb_time_t silence = now - hold->heard_at;
	kb_lease_ranking_t ranking;
	size_t rank;

	/* The ranking is not needed before the holder is overdue. */
	if (silence < patience(hold, 0)) {
		hold->inquiring = 0;
		return;
	}
	hold->ops->rank(hold->ctx, hold, &ranking);
	rank = rank_of(&ranking, &hold->self, &hold->record.holder);
	if (rank >= KB_LEASE_HOSTS_MAX)
		return;
	if (silence < patience(hold, rank)) {
		hold->inquiring = 0;
		return;
	}
	if (!hold->record.holder.len) {
		take(hold, &ranking, now);
		return;
	}
	if (!hold->inquiring) {
		hold->inquiring = 1;
		hold->inquired_at = now;
		hold->ops->inquire(hold->ctx, hold);
		return;
	}
	if (now - hold->inquired_at < INQUIRY_MS * KB_NS_PER_MS)
		return;
	hold->inquiring = 0;
	take(hold, &ranking, now);
}

static void ask_candidates(kb_lease_t *hold, kb_time_t now)
{
	hold->asked_at = now;
	for (size_t i = 0; i < hold->grant_count; i++) {
		if (!hold->grants[i].since)
			hold->grants[i].since = now;
		hold->ops->ask(hold->ctx, hold, &hold->grants[i].candidate,
			       now);
	}
}

static int same_set(const kb_voter_set_t *a, const kb_voter_set_t *b)
{
	if (a->count != b->count)
		return 0;
	for (size_t i = 0; i < a->count; i++)
		if (!kb_voter_set_contains(b, &a->hosts[i]))
			return 0;
	return 1;
}

/*
 * Whether the new voters already grant renewals, so that naming them does not
 * interrupt service, or the lease has expired and there is none to interrupt.
 */
static int is_prepared(const kb_lease_t *hold, kb_time_t now)
{
	kb_time_t recent = now - KB_LEASE_DURATION_MS / 2 * KB_NS_PER_MS;

	return kb_lease_majority_renewal(hold, &hold->wanted.candidates) >=
		       recent ||
	       kb_lease_valid_until(hold) <= now;
}

/*
 * Writes the record when the preferred voters have changed, and with `settled`
 * set once the former holder can no longer serve.
 */
static void rewrite(kb_lease_t *hold, kb_time_t now)
{
	kb_lease_ranking_t ranking;
	kb_lease_record_t wanted;
	int settles = hold->role == KB_LEASE_WAITING && !hold->record.settled &&
		      now >= hold->serve_at && now < kb_lease_valid_until(hold);

	kb_time_t pause = hold->role == KB_LEASE_SERVING ? REWRITE_PAUSE_MS
							 : REWRITE_WAITING_MS;

	if (hold->rewriting &&
	    now - hold->wrote_at < KB_LEASE_CALL_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	if (!settles &&
	    (now - hold->wrote_at < pause * KB_NS_PER_MS ||
	     now - hold->compared_at < COMPARE_PAUSE_MS * KB_NS_PER_MS))
		return;
	hold->compared_at = now;
	hold->ops->rank(hold->ctx, hold, &ranking);
	make_record(hold, &wanted, &hold->self, &ranking, now);
	wanted.settled = hold->record.settled || settles;
	if (!wanted.settled)
		keep_former(&wanted, &hold->record);
	if (!hold->rewriting && hold->revision &&
	    wanted.settled == hold->record.settled &&
	    same_set(&wanted.candidates, &hold->record.candidates)) {
		hold->preparing = 0;
		return;
	}
	/* An unanswered write may still take effect: repeat the same one. */
	if (!hold->rewriting || settles)
		hold->wanted = wanted;
	if (!hold->rewriting && !settles && !is_prepared(hold, now)) {
		hold->preparing = 1;
		kb_lease_rebuild_grants(hold);
		return;
	}
	hold->preparing = 0;
	hold->rewriting = 1;
	kb_lease_rebuild_grants(hold);
	kb_lease_begin_write(hold, now);
}

static void renew(kb_lease_t *hold, kb_time_t now)
{
	kb_time_t pause =
		kb_lease_valid_until(hold) >
				now + KB_LEASE_DURATION_MS / 2 * KB_NS_PER_MS
			? KB_LEASE_RENEW_INTERVAL_MS
			: KB_LEASE_RENEW_RETRY_INTERVAL_MS;

	if (now - hold->asked_at >= pause * KB_NS_PER_MS)
		ask_candidates(hold, now);
	if (!hold->confirmed ||
	    now - hold->confirmed_at >=
		    KB_LEASE_STORE_CHECK_INTERVAL_S * KB_NS_PER_S)
		kb_lease_begin_read(hold, now);
	rewrite(hold, now);
	if (hold->role == KB_LEASE_WAITING && hold->record.settled &&
	    now + KB_LEASE_SAFETY_MARGIN_MS * KB_NS_PER_MS <
		    kb_lease_valid_until(hold))
		kb_lease_set_role(hold, KB_LEASE_SERVING);
}

void kb_lease_tick(kb_lease_t *hold, kb_time_t now)
{
	if (!hold->known)
		return;
	switch (hold->role) {
	case KB_LEASE_NONE:
		if (kb_lease_is_own(hold) ||
		    (!hold->verified &&
		     kb_voter_set_contains(&hold->record.candidates,
					   &hold->self)))
			kb_lease_begin_read(hold, now);
		else
			watch_holder(hold, now);
		break;
	case KB_LEASE_ACQUIRING:
		if (now - hold->wrote_at >
		    2 * KB_LEASE_CALL_TIMEOUT_MS * KB_NS_PER_MS)
			kb_lease_on_written(hold, hold->write_number,
					    KB_ERR_UNKNOWN, 0, now);
		break;
	case KB_LEASE_RELEASING:
		if (now - hold->wrote_at >
		    KB_LEASE_CALL_TIMEOUT_MS * KB_NS_PER_MS)
			kb_lease_begin_write(hold, now);
		break;
	default:
		renew(hold, now);
		break;
	}
}

void kb_lease_release(kb_lease_t *hold, const kb_name_t *successor,
		      kb_time_t now)
{
	const kb_name_t *next = successor;
	kb_lease_ranking_t ranking;

	if (hold->role != KB_LEASE_SERVING && hold->role != KB_LEASE_WAITING)
		return;
	hold->ops->rank(hold->ctx, hold, &ranking);
	for (size_t i = 0; !next && i < ranking.count; i++)
		if (!kb_lease_names_equal(&ranking.hosts[i], &hold->self))
			next = &ranking.hosts[i];
	if (!next)
		return;
	make_record(hold, &hold->wanted, next, &ranking, now);
	keep_former(&hold->wanted, &hold->record);
	if (hold->role == KB_LEASE_SERVING)
		hold->wanted.released = 1;
	hold->rewriting = 0;
	kb_lease_set_role(hold, KB_LEASE_RELEASING);
	kb_lease_begin_write(hold, now);
}

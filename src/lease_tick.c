#include "lease_internal.h"

#include <string.h>

enum {
	/* Least interval between two writes that change the voters. */
	VOTER_CHANGE_INTERVAL_MS = 1000,
	/* The same while the host is not serving yet. */
	VOTER_CHANGE_WAITING_INTERVAL_MS = 300,
	/* Interval at which the voters are compared with the ranking. */
	COMPARE_INTERVAL_MS = 100,
	/* Time for the voters to answer the query about the holder. */
	HOLDER_QUERY_TIMEOUT_MS = 100,
	/* Interval at which a host that is no voter determines its rank. */
	RANK_INTERVAL_MS = 500,
};

/* Whether a voter has granted nothing lately or lost the store. */
static int is_unresponsive(const kb_lease_t *lease, const kb_name_t *host,
			   kb_time_t now)
{
	for (size_t i = 0; i < lease->grant_count; i++) {
		const kb_lease_grant_t *grant = &lease->grants[i];
		kb_time_t last =
			grant->granted ? grant->sent_at : grant->first_sent_at;

		if (kb_lease_names_equal(&grant->voter, host))
			return grant->store_unreachable ||
			       (last && now - last > KB_LEASE_VOTER_TIMEOUT_MS *
							     KB_NS_PER_MS);
	}
	return kb_lease_is_avoided(lease, host, now);
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
static void make_record(const kb_lease_t *lease, kb_lease_record_t *record,
			const kb_name_t *holder,
			const kb_lease_ranking_t *ranking, kb_time_t now)
{
	const kb_voter_set_t *current = &lease->record.voters;
	kb_voter_set_t *set = &record->voters;

	memset(record, 0, sizeof(*record));
	record->holder = *holder;
	add_host(set, holder);
	for (size_t i = 0; kb_lease_is_own(lease) && i < current->count; i++)
		if (is_ranked(ranking, &current->hosts[i]) &&
		    !is_unresponsive(lease, &current->hosts[i], now))
			add_host(set, &current->hosts[i]);
	for (int unresponsive = 0; unresponsive < 2; unresponsive++)
		for (size_t i = 0; i < ranking->count; i++)
			if (is_unresponsive(lease, &ranking->hosts[i], now) ==
			    unresponsive)
				add_host(set, &ranking->hosts[i]);
}

/* Copies the voters whose grants the last serving holder may still have. */
static void copy_former_voters(kb_lease_record_t *record,
			       const kb_lease_record_t *replaced)
{
	if (replaced->settled) {
		record->former_voters = replaced->voters;
		return;
	}
	record->former_voters = replaced->former_voters;
	record->former_unknown = replaced->former_unknown;
	record->released = replaced->released;
}

/* The grant that the next write makes if it names another holder. */
static int64_t next_grant(const kb_lease_t *lease)
{
	return lease->key_revision ? lease->key_revision : lease->as_of;
}

/* Takes over the lease by a write on the known revision. */
static void take_over(kb_lease_t *lease, const kb_lease_ranking_t *ranking,
		      kb_time_t now)
{
	make_record(lease, &lease->pending, &lease->self, ranking, now);
	lease->pending.grant = next_grant(lease);
	if (lease->restored ||
	    (!lease->record.holder.len && !lease->first_start))
		lease->pending.former_unknown = 1;
	else
		copy_former_voters(&lease->pending, &lease->record);
	kb_lease_set_role(lease, KB_LEASE_ACQUIRING);
	kb_lease_begin_write(lease, now);
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
static kb_time_t takeover_delay(const kb_lease_t *lease, size_t rank)
{
	kb_time_t ms = lease->record.holder.len ? KB_LEASE_HOLDER_TIMEOUT_MS
						: KB_LEASE_INITIAL_DELAY_MS;

	if (lease->restored)
		ms += KB_LEASE_RESTORED_DELAY_MS;
	ms += (kb_time_t)rank * KB_LEASE_RANK_DELAY_MS;
	if (lease->record.holder.len &&
	    !kb_voter_set_contains(&lease->record.voters, &lease->self))
		ms += KB_LEASE_NON_VOTER_DELAY_S * KB_NS_PER_S / KB_NS_PER_MS;
	return ms * KB_NS_PER_MS;
}

/*
 * Contacts the voters when renewals are missing, so that those that have failed
 * together with the holder do not delay the takeover by their rank.
 */
static void check_voters(kb_lease_t *lease, kb_time_t silence)
{
	if (silence < KB_LEASE_HOLDER_TIMEOUT_MS / 2 * KB_NS_PER_MS) {
		lease->voters_checked = 0;
		return;
	}
	if (lease->voters_checked || !lease->record.holder.len ||
	    !kb_voter_set_contains(&lease->record.voters, &lease->self))
		return;
	lease->voters_checked = 1;
	lease->ops->query_holder(lease->ctx, lease);
}

/*
 * Puts off the next ranking of a host that is no voter: it sees no renewals, so
 * the holder always seems overdue to it.
 */
static void schedule_rank(kb_lease_t *lease, size_t rank, kb_time_t now)
{
	kb_time_t due = lease->holder_seen_at + takeover_delay(lease, rank);

	if (!lease->record.holder.len ||
	    kb_voter_set_contains(&lease->record.voters, &lease->self))
		return;
	lease->rank_at = now + RANK_INTERVAL_MS * KB_NS_PER_MS;
	if (rank < KB_LEASE_HOSTS_MAX && due < lease->rank_at)
		lease->rank_at = due;
}

/*
 * Takes over the lease after the takeover delay, unless a voter has seen the
 * holder serving in the meantime.
 */
static void check_holder(kb_lease_t *lease, kb_time_t now)
{
	kb_time_t silence = now - lease->holder_seen_at;
	kb_lease_ranking_t ranking;
	size_t rank;

	/* The ranking is not needed before the holder is overdue. */
	if (silence < takeover_delay(lease, 0)) {
		lease->querying_holder = 0;
		check_voters(lease, silence);
		return;
	}
	if (now < lease->rank_at)
		return;
	lease->ops->rank(lease->ctx, lease, &ranking);
	rank = rank_of(&ranking, &lease->self, &lease->record.holder);
	if (rank >= KB_LEASE_HOSTS_MAX) {
		schedule_rank(lease, rank, now);
		return;
	}
	if (silence < takeover_delay(lease, rank)) {
		lease->querying_holder = 0;
		schedule_rank(lease, rank, now);
		return;
	}
	if (!lease->record.holder.len) {
		take_over(lease, &ranking, now);
		return;
	}
	if (!lease->querying_holder) {
		lease->querying_holder = 1;
		lease->query_sent_at = now;
		lease->ops->query_holder(lease->ctx, lease);
		return;
	}
	if (now - lease->query_sent_at < HOLDER_QUERY_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	lease->querying_holder = 0;
	take_over(lease, &ranking, now);
}

static void send_renewals(kb_lease_t *lease, kb_time_t now)
{
	lease->renewals_sent_at = now;
	for (size_t i = 0; i < lease->grant_count; i++) {
		if (!lease->grants[i].first_sent_at)
			lease->grants[i].first_sent_at = now;
		lease->ops->request_renewal(lease->ctx, lease,
					    &lease->grants[i].voter, now);
	}
}

static int sets_equal(const kb_voter_set_t *a, const kb_voter_set_t *b)
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
static int new_voters_ready(const kb_lease_t *lease, kb_time_t now)
{
	kb_time_t recent = now - KB_LEASE_DURATION_MS / 2 * KB_NS_PER_MS;

	return kb_lease_majority_renewal(lease, &lease->pending.voters) >=
		       recent ||
	       kb_lease_valid_until(lease) <= now;
}

/*
 * Writes the record when the preferred voters have changed, and with `settled`
 * set once the former holder can no longer serve.
 */
static void update_record(kb_lease_t *lease, kb_time_t now)
{
	kb_lease_ranking_t ranking;
	kb_lease_record_t pending;
	int settles = lease->role == KB_LEASE_WAITING &&
		      !lease->record.settled && now >= lease->wait_until &&
		      now < kb_lease_valid_until(lease);

	kb_time_t pause = lease->role == KB_LEASE_SERVING
				  ? VOTER_CHANGE_INTERVAL_MS
				  : VOTER_CHANGE_WAITING_INTERVAL_MS;

	if (lease->rewriting && now - lease->write_sent_at <
					KB_LEASE_CALL_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	if (kb_lease_write_facts(lease, now))
		return;
	if (!settles &&
	    (now - lease->write_sent_at < pause * KB_NS_PER_MS ||
	     now - lease->compared_at < COMPARE_INTERVAL_MS * KB_NS_PER_MS))
		return;
	lease->compared_at = now;
	lease->ops->rank(lease->ctx, lease, &ranking);
	make_record(lease, &pending, &lease->self, &ranking, now);
	pending.grant = lease->record.grant;
	pending.settled = lease->record.settled || settles;
	if (!pending.settled)
		copy_former_voters(&pending, &lease->record);
	if (!lease->rewriting && lease->revision &&
	    pending.settled == lease->record.settled &&
	    sets_equal(&pending.voters, &lease->record.voters)) {
		lease->preparing = 0;
		return;
	}
	/* An unanswered write may still take effect: repeat the same one. */
	if (!lease->rewriting || settles)
		lease->pending = pending;
	if (!lease->rewriting && !settles && !new_voters_ready(lease, now)) {
		lease->preparing = 1;
		kb_lease_rebuild_grants(lease);
		return;
	}
	lease->preparing = 0;
	lease->rewriting = 1;
	kb_lease_rebuild_grants(lease);
	kb_lease_begin_write(lease, now);
}

static void renew(kb_lease_t *lease, kb_time_t now)
{
	kb_time_t pause =
		kb_lease_valid_until(lease) >
				now + KB_LEASE_DURATION_MS / 2 * KB_NS_PER_MS
			? KB_LEASE_RENEW_INTERVAL_MS
			: KB_LEASE_RENEW_RETRY_INTERVAL_MS;

	if (now - lease->renewals_sent_at >= pause * KB_NS_PER_MS)
		send_renewals(lease, now);
	if (!lease->confirmed ||
	    now - lease->confirmed_at >=
		    KB_LEASE_STORE_CHECK_INTERVAL_S * KB_NS_PER_S)
		kb_lease_begin_read(lease, now);
	if (lease->restored) {
		kb_lease_rewrite_restored(lease, now);
		return;
	}
	if (lease->role == KB_LEASE_WAITING && now < lease->wait_until &&
	    lease->record.former_unknown &&
	    now - lease->fence_sent_at >=
		    KB_LEASE_FENCE_INTERVAL_MS * KB_NS_PER_MS) {
		lease->fence_sent_at = now;
		lease->ops->fence_hosts(lease->ctx, lease, now);
	}
	update_record(lease, now);
	if (lease->role == KB_LEASE_WAITING && lease->record.settled &&
	    now + KB_LEASE_SAFETY_MARGIN_MS * KB_NS_PER_MS <
		    kb_lease_valid_until(lease))
		kb_lease_set_role(lease, KB_LEASE_SERVING);
}

void kb_lease_tick(kb_lease_t *lease, kb_time_t now)
{
	if (!lease->known)
		return;
	switch (lease->role) {
	case KB_LEASE_NONE:
		if (kb_lease_is_own(lease) ||
		    (!lease->verified &&
		     kb_voter_set_contains(&lease->record.voters,
					   &lease->self)))
			kb_lease_begin_read(lease, now);
		else
			check_holder(lease, now);
		break;
	case KB_LEASE_ACQUIRING:
		if (now - lease->write_sent_at >
		    2 * KB_LEASE_CALL_TIMEOUT_MS * KB_NS_PER_MS)
			kb_lease_on_written(lease, lease->write_number,
					    KB_ERR_UNKNOWN, 0, now);
		break;
	case KB_LEASE_RELEASING:
		if (now - lease->write_sent_at >
		    KB_LEASE_CALL_TIMEOUT_MS * KB_NS_PER_MS)
			kb_lease_begin_write(lease, now);
		break;
	default:
		renew(lease, now);
		break;
	}
}

void kb_lease_release(kb_lease_t *lease, const kb_name_t *successor,
		      kb_time_t now)
{
	const kb_name_t *next = successor;
	kb_lease_ranking_t ranking;

	if (lease->role != KB_LEASE_SERVING && lease->role != KB_LEASE_WAITING)
		return;
	if (lease->restored && now >= kb_lease_valid_until(lease)) {
		kb_lease_lose(lease);
		return;
	}
	lease->ops->rank(lease->ctx, lease, &ranking);
	for (size_t i = 0; !next && i < ranking.count; i++)
		if (!kb_lease_names_equal(&ranking.hosts[i], &lease->self))
			next = &ranking.hosts[i];
	if (!next)
		return;
	make_record(lease, &lease->pending, next, &ranking, now);
	lease->pending.grant = next_grant(lease);
	copy_former_voters(&lease->pending, &lease->record);
	if (lease->role == KB_LEASE_SERVING)
		lease->pending.released = 1;
	lease->rewriting = 0;
	kb_lease_set_role(lease, KB_LEASE_RELEASING);
	kb_lease_begin_write(lease, now);
}

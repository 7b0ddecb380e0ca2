#include "lease_internal.h"

#include "store.h"

static kb_lease_avoided_t *find_avoided(kb_lease_t *lease,
					const kb_name_t *host)
{
	for (size_t i = 0; i < KB_LEASE_AVOIDED_MAX; i++)
		if (kb_lease_names_equal(&lease->avoided[i].host, host))
			return &lease->avoided[i];
	return &lease->avoided[lease->avoided_count++ % KB_LEASE_AVOIDED_MAX];
}

void kb_lease_on_voter_store_age(kb_lease_t *lease, const kb_name_t *voter,
				 kb_time_t age, kb_time_t now)
{
	int lost = age > KB_LEASE_VOTER_STORE_TIMEOUT_MS * KB_NS_PER_MS;
	kb_lease_avoided_t *avoided;

	for (size_t i = 0; i < lease->grant_count; i++)
		if (kb_lease_names_equal(&lease->grants[i].voter, voter))
			lease->grants[i].store_unreachable = lost;
	if (!lost)
		return;
	avoided = find_avoided(lease, voter);
	avoided->host = *voter;
	avoided->until = now + KB_LEASE_AVOIDED_S * KB_NS_PER_S;
}

int kb_lease_is_avoided(const kb_lease_t *lease, const kb_name_t *host,
			kb_time_t now)
{
	for (size_t i = 0; i < KB_LEASE_AVOIDED_MAX; i++)
		if (now < lease->avoided[i].until &&
		    kb_lease_names_equal(&lease->avoided[i].host, host))
			return 1;
	return 0;
}

/* Latest time at which a former voter may have granted another host. */
static kb_time_t last_grant_to_other(const kb_lease_t *lease,
				     const kb_name_t *voter)
{
	if (kb_lease_names_equal(voter, &lease->self))
		return lease->granted_at > lease->started_at
			       ? lease->granted_at
			       : lease->started_at;
	for (size_t i = 0; i < lease->grant_count; i++)
		if (lease->grants[i].granted &&
		    kb_lease_names_equal(&lease->grants[i].voter, voter))
			return lease->grants[i].other_granted_at;
	return KB_TIME_NEVER;
}

/*
 * Ends the wait early. The former holder needs grants of a majority of its
 * voters. Once a majority of them grants this host's renewals, at least one of
 * these must have granted the former holder's last renewal, so that renewal is
 * not newer than the latest of their grants to other hosts.
 */
static void shorten_wait(kb_lease_t *lease)
{
	const kb_voter_set_t *former = &lease->record.former_voters;
	kb_time_t times[KB_LEASE_VOTERS_MAX];
	kb_time_t end;

	if (!former->count)
		return;
	for (size_t i = 0; i < former->count; i++) {
		kb_time_t at = last_grant_to_other(lease, &former->hosts[i]);
		size_t index = i;

		for (; index && times[index - 1] > at; index--)
			times[index] = times[index - 1];
		times[index] = at;
	}
	if (times[former->count / 2] == KB_TIME_NEVER)
		return;
	end = times[former->count / 2] + KB_LEASE_DURATION_MS * KB_NS_PER_MS;
	if (end < lease->wait_until)
		lease->wait_until = end;
}

void kb_lease_on_grant(kb_lease_t *lease, const kb_name_t *voter,
		       kb_time_t sent_at, int granted, kb_time_t exclusive_time,
		       kb_time_t now)
{
	for (size_t i = 0; i < lease->grant_count; i++) {
		kb_lease_grant_t *grant = &lease->grants[i];

		if (!kb_lease_names_equal(&grant->voter, voter) || !granted ||
		    sent_at < grant->first_sent_at)
			continue;
		if (!grant->granted || sent_at > grant->sent_at)
			grant->sent_at = sent_at;
		grant->granted = 1;
		grant->other_granted_at = now - exclusive_time;
	}
	if (lease->role == KB_LEASE_WAITING && !lease->former_stopped &&
	    granted && lease->record.former_voters.count &&
	    kb_lease_names_equal(&lease->record.former_voters.hosts[0],
				 voter)) {
		/*
		 * The former holder itself granted the renewal: it has stopped
		 * and cannot serve again without a new write.
		 */
		lease->former_stopped = 1;
		lease->wait_until = now;
	}
	if (lease->role == KB_LEASE_WAITING && !lease->former_stopped &&
	    !lease->record.former_unknown)
		shorten_wait(lease);
}

int kb_lease_grant(kb_lease_t *lease, const kb_name_t *holder, int64_t revision,
		   int serving, kb_time_t now)
{
	if (!lease->verified) {
		/* An earlier process may have granted a later revision. */
		kb_lease_begin_read(lease, now);
		return 0;
	}
	/*
	 * A voter that has restarted does not know whether the key named a
	 * later holder before the store was restored.
	 */
	if (kb_store_era(revision) < kb_store_era(lease->as_of) &&
	    (revision != lease->granted_revision ||
	     !kb_lease_names_equal(&lease->granted_to, holder)))
		return 0;
	/* The requester's write is newer than the one of this host. */
	if (revision > lease->revision)
		kb_lease_lose(lease);
	if (lease->role != KB_LEASE_NONE ||
	    (kb_lease_is_own(lease) && revision <= lease->revision) ||
	    revision < lease->granted_revision)
		return 0;
	/*
	 * A write that the requester has not seen names another host, or this
	 * one again.
	 */
	if (lease->known && lease->revision > revision &&
	    (!kb_lease_names_equal(&lease->record.holder, holder) ||
	     revision <= lease->record.grant))
		return 0;
	if (!kb_lease_names_equal(&lease->granted_to, holder)) {
		lease->other_granted_at = lease->granted_at;
		lease->granted_to = *holder;
	}
	lease->granted_revision = revision;
	lease->granted_at = now;
	if (serving)
		lease->holder_seen_at = now;
	return 1;
}

kb_time_t kb_lease_exclusive_time(const kb_lease_t *lease, kb_time_t now)
{
	return now - (lease->other_granted_at > lease->started_at
			      ? lease->other_granted_at
			      : lease->started_at);
}

int kb_lease_last_grant(const kb_lease_t *lease, int64_t revision,
			kb_time_t *since)
{
	/* In role KB_LEASE_ACQUIRING this host does not serve yet either. */
	if (!lease->verified ||
	    (lease->role != KB_LEASE_NONE &&
	     lease->role != KB_LEASE_ACQUIRING) ||
	    kb_lease_is_own(lease) || lease->granted_revision > revision ||
	    lease->revision > revision)
		return 0;
	/* An earlier process may have granted until this one started. */
	*since = lease->granted_at > lease->started_at ? lease->granted_at
						       : lease->started_at;
	return 1;
}

static int denials_contain(const kb_lease_denials_t *denials,
			   const kb_name_t *host)
{
	for (size_t i = 0; i < denials->count; i++)
		if (kb_lease_names_equal(&denials->hosts[i], host))
			return 1;
	return 0;
}

static void add_possible(kb_lease_denials_t *denials, const kb_voter_set_t *set)
{
	for (size_t i = 0; i < set->count; i++)
		if (!denials_contain(denials, &set->hosts[i]))
			denials->hosts[denials->count++] = set->hosts[i];
}

void kb_lease_possible_denials(const kb_lease_t *lease,
			       kb_lease_denials_t *denials)
{
	denials->count = 0;
	add_possible(denials, &lease->record.voters);
	if (!lease->record.settled)
		add_possible(denials, &lease->record.former_voters);
}

static int majority_denies(const kb_voter_set_t *set,
			   const kb_lease_denials_t *denials)
{
	size_t count = 0;

	for (size_t i = 0; i < set->count; i++)
		count += (size_t)denials_contain(denials, &set->hosts[i]);
	return count > set->count / 2;
}

int kb_lease_is_denied(const kb_lease_t *lease,
		       const kb_lease_denials_t *denials)
{
	const kb_lease_record_t *record = &lease->record;

	if (!majority_denies(&record->voters, denials))
		return 0;
	return record->settled ||
	       (!record->former_unknown &&
		(!record->former_voters.count ||
		 majority_denies(&record->former_voters, denials)));
}

void kb_lease_on_holder_seen(kb_lease_t *lease, int seen, kb_time_t seen_at)
{
	if (seen && seen_at > lease->holder_seen_at)
		lease->holder_seen_at = seen_at;
}

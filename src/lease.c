#include "lease_internal.h"

#include "store.h"

#include <string.h>

enum {
	/* Takeover delay is extended by this after a conflicting write. */
	CONFLICT_DELAY_MS = 300,
	/* The same if the store could not be reached or did not answer. */
	STORE_ERROR_DELAY_MS = 600,
};

int kb_lease_names_equal(const kb_name_t *a, const kb_name_t *b)
{
	return kb_name_is(a, kb_name_str(b));
}

int kb_voter_set_contains(const kb_voter_set_t *set, const kb_name_t *host)
{
	for (size_t i = 0; i < set->count; i++)
		if (kb_lease_names_equal(&set->hosts[i], host))
			return 1;
	return 0;
}

int kb_lease_is_own(const kb_lease_t *lease)
{
	return lease->revision && !lease->restored &&
	       kb_lease_names_equal(&lease->record.holder, &lease->self);
}

void kb_lease_set_role(kb_lease_t *lease, kb_lease_role_t role)
{
	if (lease->role == role)
		return;
	lease->role = role;
	lease->ops->changed(lease->ctx, lease);
}

void kb_lease_init(kb_lease_t *lease, const kb_lease_ops_t *ops, void *ctx,
		   const kb_name_t *group, const kb_name_t *self,
		   int first_start, kb_time_t now)
{
	memset(lease, 0, sizeof(*lease));
	lease->ops = ops;
	lease->ctx = ctx;
	lease->group = *group;
	lease->self = *self;
	lease->first_start = first_start;
	lease->started_at = now;
}

kb_time_t kb_lease_majority_renewal(const kb_lease_t *lease,
				    const kb_voter_set_t *set)
{
	kb_time_t times[KB_LEASE_VOTERS_MAX];
	size_t majority = set->count / 2 + 1;
	size_t count = 0;

	if (!set->count)
		return 0;
	for (size_t i = 0; i < set->count; i++) {
		kb_time_t at = 0;
		size_t index;

		if (kb_lease_names_equal(&set->hosts[i], &lease->self))
			at = KB_TIME_NEVER;
		for (size_t j = 0; j < lease->grant_count; j++)
			if (lease->grants[j].granted &&
			    kb_lease_names_equal(&lease->grants[j].voter,
						 &set->hosts[i]))
				at = lease->grants[j].sent_at;
		for (index = count++; index && times[index - 1] < at; index--)
			times[index] = times[index - 1];
		times[index] = at;
	}
	return times[majority - 1];
}

kb_time_t kb_lease_valid_until(const kb_lease_t *lease)
{
	kb_time_t limit =
		lease->confirmed_at + KB_LEASE_MAX_UNCONFIRMED_S * KB_NS_PER_S;
	kb_time_t granted =
		kb_lease_majority_renewal(lease, &lease->record.voters);
	kb_time_t pending = lease->rewriting
				    ? kb_lease_majority_renewal(
					      lease, &lease->pending.voters)
				    : granted;

	if (pending < granted)
		granted = pending;
	if (!lease->confirmed || !granted)
		return 0;
	if (granted == KB_TIME_NEVER)
		return limit;
	granted += KB_LEASE_DURATION_MS * KB_NS_PER_MS;
	return granted < limit ? granted : limit;
}

int kb_lease_may_serve(const kb_lease_t *lease, kb_time_t now)
{
	return lease->role == KB_LEASE_SERVING &&
	       now + KB_LEASE_SAFETY_MARGIN_MS * KB_NS_PER_MS <
		       kb_lease_valid_until(lease);
}

int kb_lease_is_live(const kb_lease_t *lease, kb_time_t now)
{
	if (lease->role == KB_LEASE_WAITING)
		return now < lease->wait_until +
				     KB_LEASE_MAX_UNCONFIRMED_S * KB_NS_PER_S;
	return kb_lease_may_serve(lease, now);
}

/* Adds the voters of `set` that the table lacks; keeps their old state. */
static void add_voters(kb_lease_t *lease, const kb_voter_set_t *set,
		       const kb_lease_grant_t *old, size_t old_count)
{
	for (size_t i = 0; i < set->count; i++) {
		kb_lease_grant_t *grant;
		size_t j = 0;

		if (kb_lease_names_equal(&set->hosts[i], &lease->self))
			continue;
		while (j < lease->grant_count &&
		       !kb_lease_names_equal(&lease->grants[j].voter,
					     &set->hosts[i]))
			j++;
		if (j < lease->grant_count)
			continue;
		grant = &lease->grants[lease->grant_count++];
		memset(grant, 0, sizeof(*grant));
		grant->voter = set->hosts[i];
		for (j = 0; j < old_count; j++)
			if (kb_lease_names_equal(&old[j].voter, &set->hosts[i]))
				*grant = old[j];
	}
}

void kb_lease_rebuild_grants(kb_lease_t *lease)
{
	kb_lease_grant_t old[sizeof(lease->grants) / sizeof(lease->grants[0])];
	size_t old_count = lease->grant_count;

	memcpy(old, lease->grants, sizeof(old));
	lease->grant_count = 0;
	add_voters(lease, &lease->record.voters, old, old_count);
	if (lease->preparing || lease->rewriting)
		add_voters(lease, &lease->pending.voters, old, old_count);
	if (lease->role == KB_LEASE_WAITING)
		add_voters(lease, &lease->record.former_voters, old, old_count);
}

void kb_lease_begin_read(kb_lease_t *lease, kb_time_t now)
{
	if (lease->reading &&
	    now - lease->read_sent_at < KB_LEASE_CALL_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	lease->reading = 1;
	lease->read_sent_at = now;
	lease->ops->read(lease->ctx, lease, now);
}

void kb_lease_begin_write(kb_lease_t *lease, kb_time_t now)
{
	lease->write_sent_at = now;
	lease->pending.era = kb_store_era(lease->as_of);
	lease->pending.order = lease->order;
	lease->pending.copies = lease->copies;
	lease->pending.departures = lease->departures;
	lease->pending.standbys = lease->standbys;
	lease->pending.orders_unknown = lease->role == KB_LEASE_ACQUIRING
						? lease->record.orders_unknown
						: !lease->knowledge.known;
	lease->ops->write(lease->ctx, lease, &lease->pending,
			  lease->key_revision, ++lease->write_number);
}

void kb_lease_lose(kb_lease_t *lease)
{
	lease->confirmed = 0;
	lease->preparing = 0;
	lease->rewriting = 0;
	kb_lease_set_role(lease, KB_LEASE_NONE);
}

void kb_lease_set_known(kb_lease_t *lease, kb_time_t now)
{
	if (!lease->known)
		lease->era_known_at = now;
	lease->known = 1;
}

/* The grant by which this host has its role. */
static int64_t held_grant(const kb_lease_t *lease)
{
	return lease->role == KB_LEASE_ACQUIRING ? lease->pending.grant
						 : lease->record.grant;
}

void kb_lease_on_key(kb_lease_t *lease, const kb_lease_record_t *record,
		     int64_t revision, kb_time_t now)
{
	int is_other_grant;

	if (lease->known &&
	    (revision < lease->as_of || (record && revision == lease->as_of)))
		return;
	if (kb_lease_is_restored_key(lease, record, revision)) {
		kb_lease_on_restored_key(lease, record, revision, now);
		return;
	}
	if (!lease->known ||
	    (record &&
	     !kb_lease_names_equal(&record->holder, &lease->record.holder)))
		lease->holder_seen_at = now;
	/* A new voter has not received renewals before. */
	if (record && kb_voter_set_contains(&record->voters, &lease->self) &&
	    !kb_voter_set_contains(&lease->record.voters, &lease->self))
		lease->holder_seen_at = now;
	kb_lease_set_known(lease, now);
	lease->as_of = revision;
	lease->key_revision = record ? revision : 0;
	if (!record) {
		/* If this host holds the lease it will write the key again. */
		lease->revision = 0;
		return;
	}
	is_other_grant = record->grant != held_grant(lease);
	lease->restored = 0;
	lease->revision = revision;
	lease->record = *record;
	kb_lease_learn_order(lease, &record->order);
	kb_lease_take_targets(lease, record);
	/* A host that was named again meanwhile has lost the former grant. */
	if (!kb_lease_is_own(lease) || is_other_grant)
		kb_lease_lose(lease);
	else if (lease->role != KB_LEASE_NONE)
		kb_lease_rebuild_grants(lease);
	lease->ops->changed(lease->ctx, lease);
}

/* The key names this host: waits until the former holders have stopped. */
static void begin_waiting(kb_lease_t *lease, kb_time_t now)
{
	const kb_lease_record_t *record = &lease->record;

	lease->token = lease->revision;
	lease->former_stopped =
		record->released || record->settled ||
		(!record->former_voters.count && !record->former_unknown);
	lease->wait_until = now;
	if (!lease->former_stopped)
		lease->wait_until += KB_LEASE_MAX_UNCONFIRMED_S * KB_NS_PER_S;
	lease->confirmed = 0;
	lease->preparing = 0;
	lease->rewriting = 0;
	lease->grant_count = 0;
	lease->renewals_sent_at = 0;
	lease->fence_sent_at = 0;
	kb_order_knowledge_begin(&lease->knowledge, record, &lease->self);
	kb_lease_set_role(lease, KB_LEASE_WAITING);
	kb_lease_rebuild_grants(lease);
}

void kb_lease_on_read(kb_lease_t *lease, kb_time_t sent_at, kb_result_t result,
		      const kb_lease_record_t *record, int64_t revision,
		      kb_time_t now)
{
	if (sent_at == lease->read_sent_at)
		lease->reading = 0;
	if (result)
		return;
	lease->verified = 1;
	kb_lease_on_key(lease, record, revision, now);
	if (!record || revision != lease->revision || !kb_lease_is_own(lease))
		return;
	/*
	 * The key names this host through a release by the former holder, an
	 * earlier process of this host, or a write whose answer was lost.
	 */
	if (lease->role == KB_LEASE_NONE)
		begin_waiting(lease, now);
	if (!lease->confirmed || sent_at > lease->confirmed_at)
		lease->confirmed_at = sent_at;
	lease->confirmed = 1;
}

static void apply_written(kb_lease_t *lease, int64_t revision)
{
	lease->known = 1;
	lease->revision = revision;
	lease->as_of = revision;
	lease->key_revision = revision;
	lease->record = lease->pending;
	lease->restored = 0;
}

void kb_lease_on_written(kb_lease_t *lease, uint64_t number, kb_result_t result,
			 int64_t revision, kb_time_t now)
{
	if (number != lease->write_number)
		return;
	/* A record that was written in another era than it names is void. */
	if (result || (lease->known && revision <= lease->as_of) ||
	    kb_store_era(revision) != lease->pending.era) {
		if (lease->role == KB_LEASE_ACQUIRING) {
			lease->holder_seen_at +=
				(result == KB_ERR_CONFLICT
					 ? CONFLICT_DELAY_MS
					 : STORE_ERROR_DELAY_MS) *
				KB_NS_PER_MS;
			kb_lease_set_role(lease, KB_LEASE_NONE);
		}
		kb_lease_begin_read(lease, now);
		return;
	}
	if (lease->role == KB_LEASE_ACQUIRING) {
		apply_written(lease, revision);
		begin_waiting(lease, now);
	} else if (lease->role == KB_LEASE_RELEASING) {
		apply_written(lease, revision);
		lease->holder_seen_at = now;
		kb_lease_lose(lease);
		lease->ops->notify_holder(lease->ctx, lease,
					  &lease->record.holder);
	} else if (lease->rewriting) {
		lease->rewriting = 0;
		apply_written(lease, revision);
		kb_lease_rebuild_grants(lease);
	}
}

void kb_lease_defer_takeover(kb_lease_t *lease, kb_time_t now)
{
	lease->holder_seen_at = now;
}

void kb_lease_refresh(kb_lease_t *lease, kb_time_t now)
{
	if (lease->role != KB_LEASE_NONE)
		return;
	/* A read that is already in flight may return the previous value. */
	lease->reading = 0;
	kb_lease_begin_read(lease, now);
}

int kb_lease_confirm(kb_lease_t *lease, kb_time_t since, kb_time_t now)
{
	if (!lease->restored && lease->confirmed &&
	    lease->confirmed_at >= since)
		return 1;
	kb_lease_begin_read(lease, now);
	return 0;
}

#include "lease_internal.h"

#include <string.h>

enum {
	/* Takeover delay is extended by this after a conflicting write. */
	TAKE_PAUSE_MS = 300,
	/* The same if the store could not be reached or did not answer. */
	STORELESS_PAUSE_MS = 600,
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

int kb_lease_is_own(const kb_lease_t *hold)
{
	return hold->revision &&
	       kb_lease_names_equal(&hold->record.holder, &hold->self);
}

void kb_lease_set_role(kb_lease_t *hold, kb_lease_role_t role)
{
	if (hold->role == role)
		return;
	hold->role = role;
	hold->ops->changed(hold->ctx, hold);
}

void kb_lease_init(kb_lease_t *hold, const kb_lease_ops_t *ops, void *ctx,
		   const kb_name_t *group, const kb_name_t *self,
		   int first_start, kb_time_t now)
{
	memset(hold, 0, sizeof(*hold));
	hold->ops = ops;
	hold->ctx = ctx;
	hold->group = *group;
	hold->self = *self;
	hold->first_start = first_start;
	hold->began_at = now;
}

kb_time_t kb_lease_majority_renewal(const kb_lease_t *hold,
				    const kb_voter_set_t *set)
{
	kb_time_t times[KB_LEASE_VOTERS_MAX];
	size_t majority = set->count / 2 + 1;
	size_t count = 0;

	if (!set->count)
		return 0;
	for (size_t i = 0; i < set->count; i++) {
		kb_time_t at = 0;
		size_t place;

		if (kb_lease_names_equal(&set->hosts[i], &hold->self))
			at = KB_TIME_NEVER;
		for (size_t j = 0; j < hold->grant_count; j++)
			if (hold->grants[j].granted &&
			    kb_lease_names_equal(&hold->grants[j].candidate,
						 &set->hosts[i]))
				at = hold->grants[j].asked_at;
		for (place = count++; place && times[place - 1] < at; place--)
			times[place] = times[place - 1];
		times[place] = at;
	}
	return times[majority - 1];
}

kb_time_t kb_lease_valid_until(const kb_lease_t *hold)
{
	kb_time_t limit =
		hold->confirmed_at + KB_LEASE_MAX_UNCONFIRMED_S * KB_NS_PER_S;
	kb_time_t granted =
		kb_lease_majority_renewal(hold, &hold->record.candidates);
	kb_time_t wanted = hold->rewriting
				   ? kb_lease_majority_renewal(
					     hold, &hold->wanted.candidates)
				   : granted;

	if (wanted < granted)
		granted = wanted;
	if (!hold->confirmed || !granted)
		return 0;
	if (granted == KB_TIME_NEVER)
		return limit;
	granted += KB_LEASE_DURATION_MS * KB_NS_PER_MS;
	return granted < limit ? granted : limit;
}

int kb_lease_may_serve(const kb_lease_t *hold, kb_time_t now)
{
	return hold->role == KB_LEASE_SERVING &&
	       now + KB_LEASE_SAFETY_MARGIN_MS * KB_NS_PER_MS <
		       kb_lease_valid_until(hold);
}

int kb_lease_is_live(const kb_lease_t *hold, kb_time_t now)
{
	if (hold->role == KB_LEASE_WAITING)
		return now < hold->serve_at +
				     KB_LEASE_MAX_UNCONFIRMED_S * KB_NS_PER_S;
	return kb_lease_may_serve(hold, now);
}

/* Adds the voters of `set` that the table lacks; keeps their old state. */
static void ask_set(kb_lease_t *hold, const kb_voter_set_t *set,
		    const kb_lease_grant_t *old, size_t old_count)
{
	for (size_t i = 0; i < set->count; i++) {
		kb_lease_grant_t *grant;
		size_t j = 0;

		if (kb_lease_names_equal(&set->hosts[i], &hold->self))
			continue;
		while (j < hold->grant_count &&
		       !kb_lease_names_equal(&hold->grants[j].candidate,
					     &set->hosts[i]))
			j++;
		if (j < hold->grant_count)
			continue;
		grant = &hold->grants[hold->grant_count++];
		memset(grant, 0, sizeof(*grant));
		grant->candidate = set->hosts[i];
		for (j = 0; j < old_count; j++)
			if (kb_lease_names_equal(&old[j].candidate,
						 &set->hosts[i]))
				*grant = old[j];
	}
}

void kb_lease_rebuild_grants(kb_lease_t *hold)
{
	kb_lease_grant_t old[sizeof(hold->grants) / sizeof(hold->grants[0])];
	size_t old_count = hold->grant_count;

	memcpy(old, hold->grants, sizeof(old));
	hold->grant_count = 0;
	ask_set(hold, &hold->record.candidates, old, old_count);
	if (hold->preparing || hold->rewriting)
		ask_set(hold, &hold->wanted.candidates, old, old_count);
	if (hold->role == KB_LEASE_WAITING)
		ask_set(hold, &hold->record.former, old, old_count);
}

void kb_lease_begin_read(kb_lease_t *hold, kb_time_t now)
{
	if (hold->reading &&
	    now - hold->read_sent_at < KB_LEASE_CALL_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	hold->reading = 1;
	hold->read_sent_at = now;
	hold->ops->read(hold->ctx, hold, now);
}

void kb_lease_begin_write(kb_lease_t *hold, kb_time_t now)
{
	hold->wrote_at = now;
	hold->ops->write(hold->ctx, hold, &hold->wanted, hold->revision,
			 ++hold->write_number);
}

void kb_lease_lose(kb_lease_t *hold)
{
	hold->confirmed = 0;
	hold->preparing = 0;
	hold->rewriting = 0;
	kb_lease_set_role(hold, KB_LEASE_NONE);
}

void kb_lease_on_key(kb_lease_t *hold, const kb_lease_record_t *record,
		     int64_t revision, kb_time_t now)
{
	if (hold->known &&
	    (revision < hold->as_of || (record && revision == hold->as_of)))
		return;
	if (!hold->known ||
	    (record &&
	     !kb_lease_names_equal(&record->holder, &hold->record.holder)))
		hold->heard_at = now;
	/* A new voter has not received renewals before. */
	if (record && kb_voter_set_contains(&record->candidates, &hold->self) &&
	    !kb_voter_set_contains(&hold->record.candidates, &hold->self))
		hold->heard_at = now;
	hold->known = 1;
	hold->as_of = revision;
	if (!record) {
		/* If this host holds the lease it will write the key again. */
		hold->revision = 0;
		return;
	}
	hold->revision = revision;
	hold->record = *record;
	if (!kb_lease_is_own(hold))
		kb_lease_lose(hold);
	else if (hold->role != KB_LEASE_NONE)
		kb_lease_rebuild_grants(hold);
	hold->ops->changed(hold->ctx, hold);
}

/* The key names this host: waits until the former holders have stopped. */
static void begin_waiting(kb_lease_t *hold, kb_time_t now)
{
	const kb_lease_record_t *record = &hold->record;

	hold->token = hold->revision;
	hold->former_stopped = record->released || record->settled ||
			       (!record->former.count && !record->former_lost);
	hold->serve_at = now;
	if (!hold->former_stopped)
		hold->serve_at += KB_LEASE_MAX_UNCONFIRMED_S * KB_NS_PER_S;
	hold->confirmed = 0;
	hold->preparing = 0;
	hold->rewriting = 0;
	hold->grant_count = 0;
	hold->asked_at = 0;
	kb_lease_set_role(hold, KB_LEASE_WAITING);
	kb_lease_rebuild_grants(hold);
}

void kb_lease_on_read(kb_lease_t *hold, kb_time_t sent_at, kb_result_t result,
		      const kb_lease_record_t *record, int64_t revision,
		      kb_time_t now)
{
	if (sent_at == hold->read_sent_at)
		hold->reading = 0;
	if (result)
		return;
	hold->verified = 1;
	kb_lease_on_key(hold, record, revision, now);
	if (!record || revision != hold->revision || !kb_lease_is_own(hold))
		return;
	/*
	 * The key names this host through a release by the former holder, an
	 * earlier process of this host, or a write whose answer was lost.
	 */
	if (hold->role == KB_LEASE_NONE)
		begin_waiting(hold, now);
	if (!hold->confirmed || sent_at > hold->confirmed_at)
		hold->confirmed_at = sent_at;
	hold->confirmed = 1;
}

static void take_written(kb_lease_t *hold, int64_t revision)
{
	hold->known = 1;
	hold->revision = revision;
	hold->as_of = revision;
	hold->record = hold->wanted;
}

void kb_lease_on_written(kb_lease_t *hold, uint64_t number, kb_result_t result,
			 int64_t revision, kb_time_t now)
{
	if (number != hold->write_number)
		return;
	if (result || (hold->known && revision <= hold->as_of)) {
		if (hold->role == KB_LEASE_ACQUIRING) {
			hold->heard_at += (result == KB_ERR_CONFLICT
						   ? TAKE_PAUSE_MS
						   : STORELESS_PAUSE_MS) *
					  KB_NS_PER_MS;
			kb_lease_set_role(hold, KB_LEASE_NONE);
		}
		kb_lease_begin_read(hold, now);
		return;
	}
	if (hold->role == KB_LEASE_ACQUIRING) {
		take_written(hold, revision);
		begin_waiting(hold, now);
	} else if (hold->role == KB_LEASE_RELEASING) {
		take_written(hold, revision);
		hold->heard_at = now;
		kb_lease_lose(hold);
		hold->ops->tell(hold->ctx, hold, &hold->record.holder);
	} else if (hold->rewriting) {
		hold->rewriting = 0;
		take_written(hold, revision);
		kb_lease_rebuild_grants(hold);
	}
}

void kb_lease_refresh(kb_lease_t *hold, kb_time_t now)
{
	if (hold->role != KB_LEASE_NONE)
		return;
	/* A read that is already in flight may return the previous value. */
	hold->reading = 0;
	kb_lease_begin_read(hold, now);
}

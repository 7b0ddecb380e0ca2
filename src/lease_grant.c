#include "lease_internal.h"

void kb_lease_on_voter_store_age(kb_lease_t *hold, const kb_name_t *candidate,
				 kb_time_t age)
{
	for (size_t i = 0; i < hold->grant_count; i++)
		if (kb_lease_names_equal(&hold->grants[i].candidate, candidate))
			hold->grants[i].storeless =
				age >
				KB_LEASE_VOTER_STORE_TIMEOUT_MS * KB_NS_PER_MS;
}

/* Latest time at which a former voter may have granted another host. */
static kb_time_t others_until(const kb_lease_t *hold, const kb_name_t *former)
{
	if (kb_lease_names_equal(former, &hold->self))
		return hold->granted_at > hold->began_at ? hold->granted_at
							 : hold->began_at;
	for (size_t i = 0; i < hold->grant_count; i++)
		if (hold->grants[i].granted &&
		    kb_lease_names_equal(&hold->grants[i].candidate, former))
			return hold->grants[i].others_until;
	return KB_TIME_NEVER;
}

/*
 * Ends the wait early. The former holder needs grants of a majority of its
 * voters. Once a majority of them grants this host's renewals, at least one of
 * these must have granted the former holder's last renewal, so that renewal is
 * not newer than the latest of their grants to other hosts.
 */
static void shorten_wait(kb_lease_t *hold)
{
	const kb_voter_set_t *former = &hold->record.former;
	kb_time_t times[KB_LEASE_VOTERS_MAX];
	kb_time_t end;

	if (!former->count)
		return;
	for (size_t i = 0; i < former->count; i++) {
		kb_time_t at = others_until(hold, &former->hosts[i]);
		size_t place = i;

		for (; place && times[place - 1] > at; place--)
			times[place] = times[place - 1];
		times[place] = at;
	}
	if (times[former->count / 2] == KB_TIME_NEVER)
		return;
	end = times[former->count / 2] + KB_LEASE_DURATION_MS * KB_NS_PER_MS;
	if (end < hold->serve_at)
		hold->serve_at = end;
}

void kb_lease_on_grant(kb_lease_t *hold, const kb_name_t *candidate,
		       kb_time_t asked_at, int granted, kb_time_t quiet,
		       kb_time_t now)
{
	for (size_t i = 0; i < hold->grant_count; i++) {
		kb_lease_grant_t *grant = &hold->grants[i];

		if (!kb_lease_names_equal(&grant->candidate, candidate) ||
		    !granted || asked_at < grant->since)
			continue;
		if (!grant->granted || asked_at > grant->asked_at)
			grant->asked_at = asked_at;
		grant->granted = 1;
		grant->others_until = now - quiet;
	}
	if (hold->role == KB_LEASE_WAITING && !hold->former_stopped &&
	    granted && hold->record.former.count &&
	    kb_lease_names_equal(&hold->record.former.hosts[0], candidate)) {
		/*
		 * The former holder itself granted the renewal: it has stopped
		 * and cannot serve again without a new write.
		 */
		hold->former_stopped = 1;
		hold->serve_at = now;
	}
	if (hold->role == KB_LEASE_WAITING && !hold->former_stopped &&
	    !hold->record.former_lost)
		shorten_wait(hold);
}

int kb_lease_grant(kb_lease_t *hold, const kb_name_t *holder, int64_t revision,
		   int serving, kb_time_t now)
{
	if (!hold->verified) {
		/* An earlier process may have granted a later revision. */
		kb_lease_begin_read(hold, now);
		return 0;
	}
	/* The requester's write is newer than the one of this host. */
	if (revision > hold->revision)
		kb_lease_lose(hold);
	if (hold->role != KB_LEASE_NONE ||
	    (kb_lease_is_own(hold) && revision <= hold->revision) ||
	    revision < hold->granted_revision)
		return 0;
	/* A write that the requester has not seen names another host. */
	if (hold->known && hold->revision > revision &&
	    !kb_lease_names_equal(&hold->record.holder, holder))
		return 0;
	if (!kb_lease_names_equal(&hold->granted_to, holder)) {
		hold->granted_others_at = hold->granted_at;
		hold->granted_to = *holder;
	}
	hold->granted_revision = revision;
	hold->granted_at = now;
	if (serving)
		hold->heard_at = now;
	return 1;
}

kb_time_t kb_lease_exclusive_time(const kb_lease_t *hold, kb_time_t now)
{
	return now - (hold->granted_others_at > hold->began_at
			      ? hold->granted_others_at
			      : hold->began_at);
}

int kb_lease_last_grant(const kb_lease_t *hold, int64_t revision,
			kb_time_t *since)
{
	/* In role KB_LEASE_ACQUIRING this host does not serve yet either. */
	if (!hold->verified ||
	    (hold->role != KB_LEASE_NONE && hold->role != KB_LEASE_ACQUIRING) ||
	    kb_lease_is_own(hold) || hold->granted_revision > revision ||
	    hold->revision > revision)
		return 0;
	/* An earlier process may have granted until this one started. */
	*since = hold->granted_at > hold->began_at ? hold->granted_at
						   : hold->began_at;
	return 1;
}

void kb_lease_on_holder_seen(kb_lease_t *hold, int heard, kb_time_t heard_at)
{
	if (heard && heard_at > hold->heard_at)
		hold->heard_at = heard_at;
}

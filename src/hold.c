#include "hold.h"

#include <string.h>

enum {
	/* Calls without an answer are repeated after this time. */
	CALL_TIMEOUT_MS = 600,
	/* The set of candidates is not rewritten more often. */
	REWRITE_PAUSE_MS = 1000,
	/* The same before the host serves. */
	REWRITE_WAITING_MS = 300,
	/* Time for answers of other hosts that were asked about the holder. */
	INQUIRY_MS = 100,
	/* Pause after a write that took a group over in vain. */
	TAKE_PAUSE_MS = 300,
	/* The same if the store was not reached or did not answer. */
	STORELESS_PAUSE_MS = 600,
};

static int names_equal(const kb_name_t *a, const kb_name_t *b)
{
	return kb_name_is(a, kb_name_str(b));
}

static int is_in(const kb_hold_set_t *set, const kb_name_t *host)
{
	for (size_t i = 0; i < set->count; i++)
		if (names_equal(&set->hosts[i], host))
			return 1;
	return 0;
}

/* Whether the key names this host. */
static int names_self(const kb_hold_t *hold)
{
	return hold->revision && names_equal(&hold->record.holder, &hold->self);
}

static void set_role(kb_hold_t *hold, kb_hold_role_t role)
{
	if (hold->role == role)
		return;
	hold->role = role;
	hold->ops->changed(hold->ctx, hold);
}

void kb_hold_init(kb_hold_t *hold, const kb_hold_ops_t *ops, void *ctx,
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

/*
 * Sending of the newest renewal that a majority of `set` granted, this host
 * counted; 0 if there is none, KB_TIME_NEVER if this host is a majority.
 */
static kb_time_t majority_time(const kb_hold_t *hold, const kb_hold_set_t *set)
{
	kb_time_t times[KB_HOLD_CANDIDATES_MAX];
	size_t majority = set->count / 2 + 1;
	size_t count = 0;

	if (!set->count)
		return 0;
	for (size_t i = 0; i < set->count; i++) {
		kb_time_t at = 0;
		size_t place;

		if (names_equal(&set->hosts[i], &hold->self))
			at = KB_TIME_NEVER;
		for (size_t j = 0; j < hold->grant_count; j++)
			if (hold->grants[j].granted &&
			    names_equal(&hold->grants[j].candidate,
					&set->hosts[i]))
				at = hold->grants[j].asked_at;
		for (place = count++; place && times[place - 1] < at; place--)
			times[place] = times[place - 1];
		times[place] = at;
	}
	return times[majority - 1];
}

kb_time_t kb_hold_valid_until(const kb_hold_t *hold)
{
	kb_time_t limit =
		hold->confirmed_at + KB_HOLD_STORE_MAX_S * KB_NS_PER_S;
	kb_time_t granted = majority_time(hold, &hold->record.candidates);
	kb_time_t wanted =
		hold->rewriting ? majority_time(hold, &hold->wanted.candidates)
				: granted;

	if (wanted < granted)
		granted = wanted;
	if (!hold->confirmed || !granted)
		return 0;
	if (granted == KB_TIME_NEVER)
		return limit;
	granted += KB_HOLD_VALID_MS * KB_NS_PER_MS;
	return granted < limit ? granted : limit;
}

int kb_hold_may_serve(const kb_hold_t *hold, kb_time_t now)
{
	return hold->role == KB_HOLD_SERVING &&
	       now + KB_HOLD_MARGIN_MS * KB_NS_PER_MS <
		       kb_hold_valid_until(hold);
}

int kb_hold_is_live(const kb_hold_t *hold, kb_time_t now)
{
	if (hold->role == KB_HOLD_WAITING)
		return now < hold->serve_at + KB_HOLD_STORE_MAX_S * KB_NS_PER_S;
	return kb_hold_may_serve(hold, now);
}

static void ask_set(kb_hold_t *hold, const kb_hold_set_t *set,
		    const kb_hold_grant_t *old, size_t old_count)
{
	for (size_t i = 0; i < set->count; i++) {
		kb_hold_grant_t *grant;
		size_t j = 0;

		if (names_equal(&set->hosts[i], &hold->self))
			continue;
		while (j < hold->grant_count &&
		       !names_equal(&hold->grants[j].candidate, &set->hosts[i]))
			j++;
		if (j < hold->grant_count)
			continue;
		grant = &hold->grants[hold->grant_count++];
		memset(grant, 0, sizeof(*grant));
		grant->candidate = set->hosts[i];
		for (j = 0; j < old_count; j++)
			if (names_equal(&old[j].candidate, &set->hosts[i]))
				*grant = old[j];
	}
}

/* Asks the candidates of the record, of a rewrite, and the former ones. */
static void set_grants(kb_hold_t *hold)
{
	kb_hold_grant_t old[sizeof(hold->grants) / sizeof(hold->grants[0])];
	size_t old_count = hold->grant_count;

	memcpy(old, hold->grants, sizeof(old));
	hold->grant_count = 0;
	ask_set(hold, &hold->record.candidates, old, old_count);
	if (hold->preparing || hold->rewriting)
		ask_set(hold, &hold->wanted.candidates, old, old_count);
	if (hold->role == KB_HOLD_WAITING)
		ask_set(hold, &hold->record.former, old, old_count);
}

static void begin_read(kb_hold_t *hold, kb_time_t now)
{
	if (hold->reading &&
	    now - hold->read_sent_at < CALL_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	hold->reading = 1;
	hold->read_sent_at = now;
	hold->ops->read(hold->ctx, hold, now);
}

static void begin_write(kb_hold_t *hold, kb_time_t now)
{
	hold->wrote_at = now;
	hold->ops->write(hold->ctx, hold, &hold->wanted, hold->revision,
			 ++hold->write_number);
}

/* The key names another host now. */
static void lose(kb_hold_t *hold)
{
	hold->confirmed = 0;
	hold->preparing = 0;
	hold->rewriting = 0;
	if (hold->role != KB_HOLD_TAKING)
		set_role(hold, KB_HOLD_NONE);
}

void kb_hold_on_key(kb_hold_t *hold, const kb_hold_record_t *record,
		    int64_t revision, kb_time_t now)
{
	if (hold->known &&
	    (revision < hold->as_of || (record && revision == hold->as_of)))
		return;
	if (!hold->known ||
	    (record && !names_equal(&record->holder, &hold->record.holder)))
		hold->heard_at = now;
	/* A new candidate has not been asked before. */
	if (record && is_in(&record->candidates, &hold->self) &&
	    !is_in(&hold->record.candidates, &hold->self))
		hold->heard_at = now;
	hold->known = 1;
	hold->as_of = revision;
	if (!record) {
		/* This host writes it anew if it holds the group. */
		hold->revision = 0;
		return;
	}
	hold->revision = revision;
	hold->record = *record;
	if (!names_self(hold))
		lose(hold);
	else if (hold->role != KB_HOLD_NONE)
		set_grants(hold);
	hold->ops->changed(hold->ctx, hold);
}

/* The key names this host: it waits until the former holders have stopped. */
static void begin_waiting(kb_hold_t *hold, kb_time_t now)
{
	const kb_hold_record_t *record = &hold->record;

	hold->token = hold->revision;
	hold->former_stopped = record->released || record->settled ||
			       (!record->former.count && !record->former_lost);
	hold->serve_at = now;
	if (!hold->former_stopped)
		hold->serve_at += KB_HOLD_STORE_MAX_S * KB_NS_PER_S;
	hold->confirmed = 0;
	hold->preparing = 0;
	hold->rewriting = 0;
	hold->grant_count = 0;
	hold->asked_at = 0;
	set_role(hold, KB_HOLD_WAITING);
	set_grants(hold);
}

void kb_hold_on_read(kb_hold_t *hold, kb_time_t sent_at, kb_result_t result,
		     const kb_hold_record_t *record, int64_t revision,
		     kb_time_t now)
{
	if (sent_at == hold->read_sent_at)
		hold->reading = 0;
	if (result)
		return;
	hold->verified = 1;
	kb_hold_on_key(hold, record, revision, now);
	if (!record || revision != hold->revision || !names_self(hold))
		return;
	/*
	 * By a release, by an earlier process of this host, or by a write of
	 * its own whose answer was lost.
	 */
	if (hold->role == KB_HOLD_NONE)
		begin_waiting(hold, now);
	if (!hold->confirmed || sent_at > hold->confirmed_at)
		hold->confirmed_at = sent_at;
	hold->confirmed = 1;
}

/* Whether a host that is asked has granted nothing for some time. */
static int is_missing(const kb_hold_t *hold, const kb_name_t *host,
		      kb_time_t now)
{
	for (size_t i = 0; i < hold->grant_count; i++) {
		const kb_hold_grant_t *grant = &hold->grants[i];
		kb_time_t last =
			grant->granted ? grant->asked_at : grant->since;

		if (names_equal(&grant->candidate, host))
			return grant->storeless ||
			       (last &&
				now - last > KB_HOLD_MISSING_MS * KB_NS_PER_MS);
	}
	return 0;
}

static int is_ranked(const kb_hold_ranking_t *ranking, const kb_name_t *host)
{
	for (size_t i = 0; i < ranking->count; i++)
		if (names_equal(&ranking->hosts[i], host))
			return 1;
	return 0;
}

static void add_host(kb_hold_set_t *set, const kb_name_t *host)
{
	if (set->count < KB_HOLD_CANDIDATES_MAX && !is_in(set, host))
		set->hosts[set->count++] = *host;
}

/*
 * Names the present candidates that answer, then the first hosts of the
 * ranking; those that do not answer last.
 */
static void make_record(const kb_hold_t *hold, kb_hold_record_t *record,
			const kb_name_t *holder,
			const kb_hold_ranking_t *ranking, kb_time_t now)
{
	const kb_hold_set_t *present = &hold->record.candidates;
	kb_hold_set_t *set = &record->candidates;

	memset(record, 0, sizeof(*record));
	record->holder = *holder;
	add_host(set, holder);
	for (size_t i = 0; names_self(hold) && i < present->count; i++)
		if (is_ranked(ranking, &present->hosts[i]) &&
		    !is_missing(hold, &present->hosts[i], now))
			add_host(set, &present->hosts[i]);
	for (int missing = 0; missing < 2; missing++)
		for (size_t i = 0; i < ranking->count; i++)
			if (is_missing(hold, &ranking->hosts[i], now) ==
			    missing)
				add_host(set, &ranking->hosts[i]);
}

/* Notes whose grants the holder that served last may have had. */
static void keep_former(kb_hold_record_t *record,
			const kb_hold_record_t *replaced)
{
	if (replaced->settled) {
		record->former = replaced->candidates;
		return;
	}
	record->former = replaced->former;
	record->former_lost = replaced->former_lost;
	record->released = replaced->released;
}

static void take(kb_hold_t *hold, const kb_hold_ranking_t *ranking,
		 kb_time_t now)
{
	make_record(hold, &hold->wanted, &hold->self, ranking, now);
	keep_former(&hold->wanted, &hold->record);
	if (!hold->record.holder.len && !hold->first_start)
		hold->wanted.former_lost = 1;
	set_role(hold, KB_HOLD_TAKING);
	begin_write(hold, now);
}

static void take_written(kb_hold_t *hold, int64_t revision)
{
	hold->known = 1;
	hold->revision = revision;
	hold->as_of = revision;
	hold->record = hold->wanted;
}

void kb_hold_on_written(kb_hold_t *hold, uint64_t number, kb_result_t result,
			int64_t revision, kb_time_t now)
{
	if (number != hold->write_number)
		return;
	if (result || (hold->known && revision <= hold->as_of)) {
		if (hold->role == KB_HOLD_TAKING) {
			hold->heard_at += (result == KB_ERR_CONFLICT
						   ? TAKE_PAUSE_MS
						   : STORELESS_PAUSE_MS) *
					  KB_NS_PER_MS;
			set_role(hold, KB_HOLD_NONE);
		}
		begin_read(hold, now);
		return;
	}
	if (hold->role == KB_HOLD_TAKING) {
		take_written(hold, revision);
		begin_waiting(hold, now);
	} else if (hold->role == KB_HOLD_RELEASING) {
		take_written(hold, revision);
		hold->heard_at = now;
		lose(hold);
		hold->ops->tell(hold->ctx, hold, &hold->record.holder);
	} else if (hold->rewriting) {
		hold->rewriting = 0;
		take_written(hold, revision);
		set_grants(hold);
	}
}

void kb_hold_on_store_age(kb_hold_t *hold, const kb_name_t *candidate,
			  kb_time_t age)
{
	for (size_t i = 0; i < hold->grant_count; i++)
		if (names_equal(&hold->grants[i].candidate, candidate))
			hold->grants[i].storeless =
				age > KB_HOLD_STORELESS_MS * KB_NS_PER_MS;
}

void kb_hold_on_grant(kb_hold_t *hold, const kb_name_t *candidate,
		      kb_time_t asked_at, int granted, kb_time_t now)
{
	for (size_t i = 0; i < hold->grant_count; i++) {
		kb_hold_grant_t *grant = &hold->grants[i];

		if (!names_equal(&grant->candidate, candidate) || !granted ||
		    asked_at < grant->since)
			continue;
		if (!grant->granted || asked_at > grant->asked_at)
			grant->asked_at = asked_at;
		grant->granted = 1;
	}
	if (hold->role == KB_HOLD_WAITING && !hold->former_stopped && granted &&
	    hold->record.former.count &&
	    names_equal(&hold->record.former.hosts[0], candidate)) {
		/* It does not serve, and will not without a write. */
		hold->former_stopped = 1;
		hold->serve_at = now;
	}
	if (hold->role == KB_HOLD_WAITING && !hold->former_stopped &&
	    !hold->record.former_lost &&
	    majority_time(hold, &hold->record.former)) {
		hold->former_stopped = 1;
		hold->serve_at = now + KB_HOLD_VALID_MS * KB_NS_PER_MS;
	}
}

void kb_hold_look(kb_hold_t *hold, kb_time_t now)
{
	if (hold->role != KB_HOLD_NONE)
		return;
	/* A read that was sent before may not show it. */
	hold->reading = 0;
	begin_read(hold, now);
}

int kb_hold_grant(kb_hold_t *hold, const kb_name_t *holder, int64_t revision,
		  int serving, kb_time_t now)
{
	if (!hold->verified) {
		/* An earlier process may have granted a later revision. */
		begin_read(hold, now);
		return 0;
	}
	/* The sender's write is later than that of this host. */
	if (revision > hold->revision && hold->role != KB_HOLD_TAKING)
		lose(hold);
	if (hold->role != KB_HOLD_NONE ||
	    (names_self(hold) && revision <= hold->revision) ||
	    revision < hold->granted_revision)
		return 0;
	/* A later write than the sender knows of names another host. */
	if (hold->known && hold->revision > revision &&
	    !names_equal(&hold->record.holder, holder))
		return 0;
	hold->granted_revision = revision;
	hold->granted_at = now;
	if (serving)
		hold->heard_at = now;
	return 1;
}

int kb_hold_granted(const kb_hold_t *hold, int64_t revision, kb_time_t *since)
{
	/* A host whose write has no answer yet does not serve yet either. */
	if (!hold->verified ||
	    (hold->role != KB_HOLD_NONE && hold->role != KB_HOLD_TAKING) ||
	    names_self(hold) || hold->granted_revision > revision ||
	    hold->revision > revision)
		return 0;
	/* An earlier process may have granted until this one began. */
	*since = hold->granted_at > hold->began_at ? hold->granted_at
						   : hold->began_at;
	return 1;
}

void kb_hold_on_heard(kb_hold_t *hold, int heard, kb_time_t heard_at)
{
	if (heard && heard_at > hold->heard_at)
		hold->heard_at = heard_at;
}

static size_t rank_of(const kb_hold_ranking_t *ranking, const kb_name_t *self,
		      const kb_name_t *holder)
{
	size_t rank = 0;

	for (size_t i = 0; i < ranking->count; i++) {
		if (names_equal(&ranking->hosts[i], self))
			return rank;
		if (!names_equal(&ranking->hosts[i], holder))
			rank++;
	}
	return KB_HOLD_HOSTS_MAX;
}

/* Takes the group over once its holder has been silent for long enough. */
static void watch_holder(kb_hold_t *hold, const kb_hold_ranking_t *ranking,
			 kb_time_t now)
{
	size_t rank = rank_of(ranking, &hold->self, &hold->record.holder);
	kb_time_t patience =
		(KB_HOLD_SUSPECT_MS + (kb_time_t)rank * KB_HOLD_RANK_MS) *
		KB_NS_PER_MS;

	if (rank >= KB_HOLD_HOSTS_MAX)
		return;
	if (!hold->record.holder.len)
		patience =
			(KB_HOLD_FIRST_MS + (kb_time_t)rank * KB_HOLD_RANK_MS) *
			KB_NS_PER_MS;
	else if (!is_in(&hold->record.candidates, &hold->self))
		patience += KB_HOLD_UNCALLED_S * KB_NS_PER_S;
	if (now - hold->heard_at < patience) {
		hold->inquiring = 0;
		return;
	}
	if (!hold->record.holder.len) {
		take(hold, ranking, now);
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
	take(hold, ranking, now);
}

static void ask_candidates(kb_hold_t *hold, kb_time_t now)
{
	hold->asked_at = now;
	for (size_t i = 0; i < hold->grant_count; i++) {
		if (!hold->grants[i].since)
			hold->grants[i].since = now;
		hold->ops->ask(hold->ctx, hold, &hold->grants[i].candidate,
			       now);
	}
}

static int same_set(const kb_hold_set_t *a, const kb_hold_set_t *b)
{
	if (a->count != b->count)
		return 0;
	for (size_t i = 0; i < a->count; i++)
		if (!is_in(b, &a->hosts[i]))
			return 0;
	return 1;
}

/*
 * Whether the wanted candidates grant renewals already, so that naming them
 * does not interrupt the service; or there is none to interrupt.
 */
static int is_prepared(const kb_hold_t *hold, kb_time_t now)
{
	kb_time_t recent = now - KB_HOLD_VALID_MS / 2 * KB_NS_PER_MS;

	return majority_time(hold, &hold->wanted.candidates) >= recent ||
	       kb_hold_valid_until(hold) <= now;
}

/* Names the present hosts as candidates, and settles the hold when it may. */
static void rewrite(kb_hold_t *hold, const kb_hold_ranking_t *ranking,
		    kb_time_t now)
{
	kb_hold_record_t wanted;
	int settles = hold->role == KB_HOLD_WAITING && !hold->record.settled &&
		      now >= hold->serve_at && now < kb_hold_valid_until(hold);

	kb_time_t pause = hold->role == KB_HOLD_SERVING ? REWRITE_PAUSE_MS
							: REWRITE_WAITING_MS;

	if (hold->rewriting &&
	    now - hold->wrote_at < CALL_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	if (!settles && now - hold->wrote_at < pause * KB_NS_PER_MS)
		return;
	make_record(hold, &wanted, &hold->self, ranking, now);
	wanted.settled = hold->record.settled || settles;
	if (!wanted.settled)
		keep_former(&wanted, &hold->record);
	if (!hold->rewriting && hold->revision &&
	    wanted.settled == hold->record.settled &&
	    same_set(&wanted.candidates, &hold->record.candidates)) {
		hold->preparing = 0;
		return;
	}
	/* A write without an answer may still take effect: repeat it. */
	if (!hold->rewriting || settles)
		hold->wanted = wanted;
	if (!hold->rewriting && !settles && !is_prepared(hold, now)) {
		hold->preparing = 1;
		set_grants(hold);
		return;
	}
	hold->preparing = 0;
	hold->rewriting = 1;
	set_grants(hold);
	begin_write(hold, now);
}

static void renew(kb_hold_t *hold, const kb_hold_ranking_t *ranking,
		  kb_time_t now)
{
	kb_time_t pause =
		kb_hold_valid_until(hold) >
				now + KB_HOLD_VALID_MS / 2 * KB_NS_PER_MS
			? KB_HOLD_RENEW_MS
			: KB_HOLD_URGENT_MS;

	if (now - hold->asked_at >= pause * KB_NS_PER_MS)
		ask_candidates(hold, now);
	if (!hold->confirmed ||
	    now - hold->confirmed_at >= KB_HOLD_STORE_CHECK_S * KB_NS_PER_S)
		begin_read(hold, now);
	rewrite(hold, ranking, now);
	if (hold->role == KB_HOLD_WAITING && hold->record.settled &&
	    now + KB_HOLD_MARGIN_MS * KB_NS_PER_MS < kb_hold_valid_until(hold))
		set_role(hold, KB_HOLD_SERVING);
}

void kb_hold_tick(kb_hold_t *hold, const kb_hold_ranking_t *ranking,
		  kb_time_t now)
{
	if (!hold->known)
		return;
	switch (hold->role) {
	case KB_HOLD_NONE:
		if (names_self(hold) ||
		    (!hold->verified &&
		     is_in(&hold->record.candidates, &hold->self)))
			begin_read(hold, now);
		else
			watch_holder(hold, ranking, now);
		break;
	case KB_HOLD_TAKING:
		if (now - hold->wrote_at > 2 * CALL_TIMEOUT_MS * KB_NS_PER_MS)
			kb_hold_on_written(hold, hold->write_number,
					   KB_ERR_UNKNOWN, 0, now);
		break;
	case KB_HOLD_RELEASING:
		if (now - hold->wrote_at > CALL_TIMEOUT_MS * KB_NS_PER_MS)
			begin_write(hold, now);
		break;
	default:
		renew(hold, ranking, now);
		break;
	}
}

void kb_hold_release(kb_hold_t *hold, const kb_hold_ranking_t *ranking,
		     const kb_name_t *successor, kb_time_t now)
{
	const kb_name_t *next = successor;

	if (hold->role != KB_HOLD_SERVING && hold->role != KB_HOLD_WAITING)
		return;
	for (size_t i = 0; !next && i < ranking->count; i++)
		if (!names_equal(&ranking->hosts[i], &hold->self))
			next = &ranking->hosts[i];
	if (!next)
		return;
	make_record(hold, &hold->wanted, next, ranking, now);
	keep_former(&hold->wanted, &hold->record);
	if (hold->role == KB_HOLD_SERVING)
		hold->wanted.released = 1;
	hold->rewriting = 0;
	set_role(hold, KB_HOLD_RELEASING);
	begin_write(hold, now);
}

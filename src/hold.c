#include "hold.h"

#include <string.h>

enum {
	/* Calls without an answer are repeated after this time. */
	CALL_TIMEOUT_MS = 600,
	/* The set of candidates is not rewritten more often. */
	REWRITE_PAUSE_MS = 1000,
	/* Time for answers of other hosts that were asked about the holder. */
	INQUIRY_MS = 100,
};

static int names_equal(const kb_name_t *a, const kb_name_t *b)
{
	return kb_name_is(a, kb_name_str(b));
}

static int is_candidate(const kb_hold_record_t *record, const kb_name_t *host)
{
	for (size_t i = 0; i < record->candidate_count; i++)
		if (names_equal(&record->candidates[i], host))
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
		  int first_start)
{
	memset(hold, 0, sizeof(*hold));
	hold->ops = ops;
	hold->ctx = ctx;
	hold->group = *group;
	hold->self = *self;
	hold->first_start = first_start;
}

/* Until when the grants of all candidates let this host serve. */
static kb_time_t granted_until(const kb_hold_t *hold)
{
	kb_time_t oldest = KB_TIME_NEVER;
	kb_time_t until;
	kb_time_t limit;

	if (!hold->confirmed)
		return 0;
	limit = hold->confirmed_at + KB_HOLD_STORE_MAX_S * KB_NS_PER_S;
	for (size_t i = 0; i < hold->grant_count; i++) {
		if (!hold->grants[i].granted)
			return 0;
		if (hold->grants[i].asked_at < oldest)
			oldest = hold->grants[i].asked_at;
	}
	if (oldest == KB_TIME_NEVER)
		return limit;
	until = oldest + KB_HOLD_VALID_MS * KB_NS_PER_MS;
	return until < limit ? until : limit;
}

kb_time_t kb_hold_valid_until(const kb_hold_t *hold)
{
	kb_time_t granted = granted_until(hold);
	kb_time_t stored = hold->confirmed
				   ? hold->confirmed_at +
					     KB_HOLD_VALID_MS * KB_NS_PER_MS
				   : 0;

	return granted > stored ? granted : stored;
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
		return !hold->record.uncalled &&
		       now < hold->serve_at + KB_HOLD_VALID_MS * KB_NS_PER_MS;
	return kb_hold_may_serve(hold, now);
}

/* Asks the candidates of the record and of a rewrite under way. */
static void set_grants(kb_hold_t *hold)
{
	kb_hold_grant_t old[KB_HOLD_CANDIDATES_MAX * 2];
	size_t old_count = hold->grant_count;
	const kb_hold_record_t *records[2] = { &hold->record, &hold->wanted };

	memcpy(old, hold->grants, sizeof(old));
	hold->grant_count = 0;
	for (int r = 0; r < 1 + hold->rewriting; r++) {
		for (size_t i = 0; i < records[r]->candidate_count; i++) {
			const kb_name_t *name = &records[r]->candidates[i];
			kb_hold_grant_t *grant;
			size_t j = 0;

			if (names_equal(name, &hold->self))
				continue;
			while (j < hold->grant_count &&
			       !names_equal(&hold->grants[j].candidate, name))
				j++;
			if (j < hold->grant_count)
				continue;
			grant = &hold->grants[hold->grant_count++];
			memset(grant, 0, sizeof(*grant));
			grant->candidate = *name;
			for (j = 0; j < old_count; j++)
				if (names_equal(&old[j].candidate, name))
					*grant = old[j];
		}
	}
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
	hold->rewriting = 0;
	if (hold->role != KB_HOLD_TAKING)
		set_role(hold, KB_HOLD_NONE);
}

void kb_hold_on_key(kb_hold_t *hold, const kb_hold_record_t *record,
		    int64_t revision, kb_time_t now)
{
	if (hold->known && (revision < hold->as_of ||
			    (record && revision == hold->as_of)))
		return;
	if (!hold->known || (record && !names_equal(&record->holder,
						    &hold->record.holder)))
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

/* The key names this host: it waits until the former holder has stopped. */
static void begin_waiting(kb_hold_t *hold, kb_time_t now)
{
	kb_time_t wait = KB_HOLD_VALID_MS * KB_NS_PER_MS;

	if (hold->record.released || hold->record.settled)
		wait = 0;
	else if (hold->record.uncalled)
		wait = KB_HOLD_STORE_MAX_S * KB_NS_PER_S;
	hold->token = hold->revision;
	hold->serve_at = now + wait;
	hold->confirmed = 0;
	hold->rewriting = 0;
	hold->grant_count = 0;
	hold->asked_at = 0;
	set_grants(hold);
	set_role(hold, KB_HOLD_WAITING);
}

void kb_hold_on_read(kb_hold_t *hold, kb_time_t sent_at, kb_result_t result,
		     const kb_hold_record_t *record, int64_t revision,
		     kb_time_t now)
{
	if (sent_at == hold->read_sent_at)
		hold->reading = 0;
	if (result)
		return;
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

static void fill_candidates(kb_hold_record_t *record,
			    const kb_hold_ranking_t *ranking)
{
	for (size_t i = 0; i < ranking->count &&
			   record->candidate_count < KB_HOLD_CANDIDATES_MAX;
	     i++)
		if (!is_candidate(record, &ranking->hosts[i]))
			record->candidates[record->candidate_count++] =
				ranking->hosts[i];
}

static void make_record(kb_hold_record_t *record, const kb_name_t *holder,
			const kb_hold_ranking_t *ranking)
{
	memset(record, 0, sizeof(*record));
	record->holder = *holder;
	record->candidates[record->candidate_count++] = *holder;
	fill_candidates(record, ranking);
}

static void take(kb_hold_t *hold, const kb_hold_ranking_t *ranking,
		 kb_time_t now)
{
	int is_first = !hold->record.holder.len && hold->first_start;

	make_record(&hold->wanted, &hold->self, ranking);
	hold->wanted.uncalled = !is_first &&
				!is_candidate(&hold->record, &hold->self);
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
		if (hold->role == KB_HOLD_TAKING)
			set_role(hold, KB_HOLD_NONE);
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
	} else if (hold->rewriting) {
		hold->rewriting = 0;
		take_written(hold, revision);
		set_grants(hold);
	}
}

void kb_hold_on_grant(kb_hold_t *hold, const kb_name_t *candidate,
		      kb_time_t asked_at, int granted)
{
	for (size_t i = 0; i < hold->grant_count; i++) {
		kb_hold_grant_t *grant = &hold->grants[i];

		if (!names_equal(&grant->candidate, candidate))
			continue;
		if (granted && (!grant->granted || asked_at > grant->asked_at))
			grant->asked_at = asked_at;
		if (granted)
			grant->granted = 1;
	}
}

int kb_hold_grant(kb_hold_t *hold, const kb_name_t *holder, int64_t revision,
		  int serving, kb_time_t now)
{
	if (hold->role != KB_HOLD_NONE || names_self(hold))
		return 0;
	/* A later write than the sender knows of names another host. */
	if (hold->known && hold->revision > revision &&
	    !names_equal(&hold->record.holder, holder))
		return 0;
	hold->granted_at = now;
	if (serving)
		hold->heard_at = now;
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
		patience = (KB_HOLD_FIRST_MS +
			    (kb_time_t)rank * KB_HOLD_RANK_MS) *
			   KB_NS_PER_MS;
	else if (!is_candidate(&hold->record, &hold->self))
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
	for (size_t i = 0; i < hold->grant_count; i++)
		hold->ops->ask(hold->ctx, hold, &hold->grants[i].candidate,
			       now);
}

static int same_candidates(const kb_hold_record_t *a, const kb_hold_record_t *b)
{
	if (a->candidate_count != b->candidate_count)
		return 0;
	for (size_t i = 0; i < a->candidate_count; i++)
		if (!is_candidate(b, &a->candidates[i]))
			return 0;
	return 1;
}

/* Names the present hosts as candidates. */
static void rewrite(kb_hold_t *hold, const kb_hold_ranking_t *ranking,
		    kb_time_t now)
{
	kb_hold_record_t wanted;

	if (now - hold->wrote_at < REWRITE_PAUSE_MS * KB_NS_PER_MS &&
	    (hold->role != KB_HOLD_SERVING || hold->record.settled))
		return;
	if (hold->rewriting &&
	    now - hold->wrote_at < CALL_TIMEOUT_MS * KB_NS_PER_MS)
		return;
	make_record(&wanted, &hold->self, ranking);
	wanted.uncalled = hold->role == KB_HOLD_WAITING &&
			  hold->record.uncalled;
	wanted.settled = hold->role == KB_HOLD_SERVING ||
			 hold->record.settled;
	if (!hold->rewriting && hold->revision &&
	    same_candidates(&wanted, &hold->record) &&
	    !hold->record.released && wanted.settled == hold->record.settled &&
	    wanted.uncalled == hold->record.uncalled)
		return;
	/* A write without an answer may still take effect: repeat it. */
	if (!hold->rewriting)
		hold->wanted = wanted;
	hold->rewriting = 1;
	set_grants(hold);
	begin_write(hold, now);
}

static void renew(kb_hold_t *hold, const kb_hold_ranking_t *ranking,
		  kb_time_t now)
{
	kb_time_t renewal = KB_HOLD_RENEW_MS * KB_NS_PER_MS;
	kb_time_t store_pause = KB_HOLD_STORE_CHECK_S * KB_NS_PER_S;
	kb_time_t granted = granted_until(hold);

	if (now - hold->asked_at >= renewal)
		ask_candidates(hold, now);
	if (granted < now + (KB_HOLD_VALID_MS - 2 * KB_HOLD_RENEW_MS) *
				    KB_NS_PER_MS)
		store_pause = renewal;
	if (!hold->confirmed || now - hold->confirmed_at >= store_pause) {
		if (!hold->reading || now - hold->read_sent_at >= renewal) {
			hold->reading = 0;
			begin_read(hold, now);
		}
	}
	rewrite(hold, ranking, now);
	if (hold->role == KB_HOLD_WAITING && now >= hold->serve_at &&
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
		if (names_self(hold))
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
	make_record(&hold->wanted, next, ranking);
	hold->wanted.released = hold->role == KB_HOLD_SERVING;
	hold->wanted.uncalled = !hold->wanted.released && hold->record.uncalled;
	hold->rewriting = 0;
	set_role(hold, KB_HOLD_RELEASING);
	begin_write(hold, now);
}

#include "spread_internal.h"

#include "rendezvous.h"

#include <stdlib.h>

enum {
	RANDOM_TRIES = 8,
};

static kb_time_t ms(int64_t count)
{
	return count * KB_NS_PER_MS;
}

static void on_accepted(kb_config_set_t *set, const kb_config_entry_t *entry)
{
	kb_spread_t *spread =
		(kb_spread_t *)((char *)set - offsetof(kb_spread_t, set));

	spread->ops->in_force(spread, entry);
}

static void choose_relays(kb_spread_t *spread)
{
	const kb_member_table_t *table = &spread->members->table;
	kb_str_t here = kb_member_data_centre(kb_members_self(spread->members));

	for (int i = 0; i < KB_SPREAD_RELAYS; i++)
		spread->relays[i] = KB_MEMBER_NONE;
	for (uint32_t i = 0; i < table->used; i++)
		if (kb_member_is_live(&table->members[i]) &&
		    kb_str_equal(kb_member_data_centre(&table->members[i]),
				 here))
			kb_spread_offer_relay(table, spread->relays, i);
	spread->is_relay = false;
	for (int i = 0; i < KB_SPREAD_RELAYS; i++)
		if (spread->relays[i] == spread->members->self)
			spread->is_relay = true;
}

void kb_spread_init(kb_spread_t *spread, const kb_spread_ops_t *ops,
		    const kb_members_t *members, uint64_t seed, kb_time_t now)
{
	static const kb_config_set_ops_t set_ops = { on_accepted };

	memset(spread, 0, sizeof(*spread));
	spread->ops = ops;
	spread->members = members;
	kb_rng_init(&spread->rng, seed);
	kb_config_set_init(&spread->set, &set_ops);
	spread->started_at = now;
	spread->next_digest = now;
	spread->next_report = now;
	spread->next_repair = now;
	spread->next_status = KB_TIME_NEVER;
	spread->pull.deadline = KB_TIME_NEVER;
	choose_relays(spread);
}

void kb_spread_finish(kb_spread_t *spread)
{
	free(spread->reports);
	free(spread->places);
	kb_config_set_finish(&spread->set);
}

static bool rank_above(const kb_member_table_t *table, uint32_t a, uint32_t b)
{
	const kb_member_t *first = &table->members[a];
	kb_str_t key = kb_member_data_centre(first);
	const kb_member_t *second;

	if (b == KB_MEMBER_NONE)
		return true;
	second = &table->members[b];
	if (kb_member_is_eligible(first) != kb_member_is_eligible(second))
		return kb_member_is_eligible(first);
	return kb_rendezvous_score(kb_member_name(first), key) >
	       kb_rendezvous_score(kb_member_name(second), key);
}

void kb_spread_offer_relay(const kb_member_table_t *table,
			   uint32_t relays[KB_SPREAD_RELAYS], uint32_t index)
{
	for (int i = 0; i < KB_SPREAD_RELAYS; i++) {
		uint32_t lower = relays[i];

		if (!rank_above(table, index, lower))
			continue;
		relays[i] = index;
		if (lower == KB_MEMBER_NONE)
			return;
		index = lower;
	}
}

void kb_spread_begin_message(const kb_spread_t *spread,
			     kb_spread_message_t *message,
			     kb_spread_message_type_t type)
{
	kb_spread_message_init(message, type);
	kb_name_set(&message->from,
		    kb_member_name(kb_members_self(spread->members)));
	message->revision = spread->set.complete;
}

void kb_spread_send(kb_spread_t *spread, uint32_t to,
		    const kb_spread_message_t *message)
{
	spread->ops->send(spread, &spread->members->table.members[to], message);
}

static bool can_pick(const kb_spread_t *spread, uint32_t index, bool nearby)
{
	const kb_member_t *member = &spread->members->table.members[index];
	const kb_member_t *self = kb_members_self(spread->members);

	if (index == spread->members->self || !kb_member_is_live(member))
		return false;
	return !nearby || kb_str_equal(kb_member_data_centre(member),
				       kb_member_data_centre(self));
}

uint32_t kb_spread_pick(kb_spread_t *spread, bool nearby)
{
	uint32_t used = spread->members->table.used;
	uint32_t start = 0;

	for (int i = 0; i < RANDOM_TRIES; i++) {
		start = (uint32_t)kb_rng_below(&spread->rng, used);
		if (can_pick(spread, start, nearby))
			return start;
	}
	for (uint32_t i = 0; i < used; i++) {
		uint32_t index = (start + i) % used;

		if (can_pick(spread, index, nearby))
			return index;
	}
	return nearby ? kb_spread_pick(spread, false) : KB_MEMBER_NONE;
}

void kb_spread_send_digest(kb_spread_t *spread, uint32_t to)
{
	kb_spread_message_t message;

	kb_spread_begin_message(spread, &message, KB_SPREAD_DIGEST);
	message.digest = kb_config_set_digest(&spread->set);
	kb_spread_send(spread, to, &message);
}

static void exchange_digest(kb_spread_t *spread, kb_time_t now)
{
	bool nearby =
		spread->digest_count++ % KB_SPREAD_FAR_DIGEST_INTERVAL != 0;
	uint32_t to = kb_spread_pick(spread, nearby);
	int64_t period = spread->set.complete ? KB_SPREAD_DIGEST_PERIOD_MS
					      : KB_SPREAD_START_PERIOD_MS;

	spread->next_digest = now + ms(period);
	if (to != KB_MEMBER_NONE)
		kb_spread_send_digest(spread, to);
}

/* Begins or ends the watch of the store as the host's role asks. */
static void follow_role(kb_spread_t *spread, kb_time_t now)
{
	bool wait = !spread->set.complete &&
		    now < spread->started_at + ms(KB_SPREAD_START_GRACE_MS);

	if (spread->is_relay && !spread->watching && !wait) {
		spread->watching = true;
		spread->ops->watch(spread, spread->set.complete);
	} else if (!spread->is_relay && spread->watching) {
		spread->watching = false;
		spread->loading = false;
		spread->ops->unwatch(spread);
	}
}

void kb_spread_on_member(kb_spread_t *spread, const kb_member_t *member,
			 kb_time_t now)
{
	const kb_member_t *self = kb_members_self(spread->members);
	uint32_t before[KB_SPREAD_RELAYS];

	if (!kb_str_equal(kb_member_data_centre(member),
			  kb_member_data_centre(self)))
		return;
	memcpy(before, spread->relays, sizeof(before));
	choose_relays(spread);
	if (memcmp(before, spread->relays, sizeof(before)) != 0)
		spread->next_report = now;
	follow_role(spread, now);
}

static kb_time_t earlier(kb_time_t a, kb_time_t b)
{
	return a < b ? a : b;
}

kb_time_t kb_spread_next_wake(const kb_spread_t *spread)
{
	kb_time_t wake = earlier(spread->next_digest, spread->next_report);

	wake = earlier(wake, spread->next_status);
	return earlier(wake, spread->pull.deadline);
}

kb_time_t kb_spread_on_timer(kb_spread_t *spread, kb_time_t now)
{
	follow_role(spread, now);
	if (now >= spread->pull.deadline)
		kb_spread_on_pull_timeout(spread, now);
	if (now >= spread->next_digest)
		exchange_digest(spread, now);
	if (now >= spread->next_report) {
		spread->next_report = now + ms(KB_SPREAD_REPORT_PERIOD_MS);
		kb_spread_send_reports(spread);
	}
	if (now >= spread->next_status) {
		spread->next_status = now + ms(KB_SPREAD_STATUS_PERIOD_MS);
		kb_spread_request_status(spread, now);
	}
	return kb_spread_next_wake(spread);
}

void kb_spread_on_advance(kb_spread_t *spread, uint64_t before, bool pass_on,
			  kb_time_t now)
{
	if (spread->set.complete == before)
		return;
	spread->next_report = earlier(spread->next_report,
				      now + ms(KB_SPREAD_REPORT_DELAY_MS));
	/* A host that has just started has nothing new for others. */
	if (pass_on && before)
		kb_spread_push(spread, before);
}

void kb_spread_on_message(kb_spread_t *spread,
			  const kb_spread_message_t *message, kb_time_t now)
{
	uint32_t from = kb_member_table_find(&spread->members->table,
					     kb_name_str(&message->from));

	if (from == KB_MEMBER_NONE || from == spread->members->self)
		return;
	switch (message->type) {
	case KB_SPREAD_PUSH:
		kb_spread_on_push(spread, from, message, now);
		break;
	case KB_SPREAD_DIGEST:
		kb_spread_on_digest(spread, from, message, now);
		break;
	case KB_SPREAD_PULL:
		kb_spread_on_pull(spread, from, message);
		break;
	case KB_SPREAD_PAGE:
		kb_spread_on_page(spread, from, message, now);
		break;
	case KB_SPREAD_REPORT:
		kb_spread_on_report(spread, from, message);
		break;
	case KB_SPREAD_STATUS_REQUEST:
		kb_spread_on_status_request(spread, from);
		break;
	case KB_SPREAD_STATUS:
		kb_spread_on_status(spread, from, message, now);
		break;
	}
}

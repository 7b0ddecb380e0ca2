#include "config_gossip_internal.h"

#include "rendezvous.h"

#include <stdlib.h>

enum {
	RANDOM_ATTEMPTS = 8,
};

static kb_time_t ms(int64_t count)
{
	return count * KB_NS_PER_MS;
}

static void on_accepted(kb_config_set_t *set, const kb_config_entry_t *entry)
{
	kb_config_gossip_t *gossip =
		(kb_config_gossip_t *)((char *)set -
				       offsetof(kb_config_gossip_t, set));

	gossip->ops->in_force(gossip, entry);
}

static void choose_relays(kb_config_gossip_t *gossip)
{
	const kb_member_table_t *table = &gossip->members->table;
	kb_str_t here = kb_member_data_centre(kb_members_self(gossip->members));

	for (int i = 0; i < KB_CONFIG_GOSSIP_RELAYS; i++)
		gossip->relays[i] = KB_MEMBER_NONE;
	for (uint32_t i = 0; i < table->used; i++)
		if (kb_member_is_live(&table->members[i]) &&
		    kb_str_equal(kb_member_data_centre(&table->members[i]),
				 here))
			kb_config_gossip_add_relay_candidate(table,
							     gossip->relays, i);
	gossip->is_relay = false;
	for (int i = 0; i < KB_CONFIG_GOSSIP_RELAYS; i++)
		if (gossip->relays[i] == gossip->members->self)
			gossip->is_relay = true;
}

void kb_config_gossip_init(kb_config_gossip_t *gossip,
			   const kb_config_gossip_ops_t *ops,
			   const kb_members_t *members, uint64_t seed,
			   kb_time_t now)
{
	static const kb_config_set_ops_t set_ops = { on_accepted };

	memset(gossip, 0, sizeof(*gossip));
	gossip->ops = ops;
	gossip->members = members;
	kb_rng_init(&gossip->rng, seed);
	kb_config_set_init(&gossip->set, &set_ops);
	gossip->started_at = now;
	gossip->next_digest = now;
	gossip->next_report = now;
	gossip->next_repair = now;
	gossip->next_status = KB_TIME_NEVER;
	gossip->pull.deadline = KB_TIME_NEVER;
	choose_relays(gossip);
}

void kb_config_gossip_finish(kb_config_gossip_t *gossip)
{
	free(gossip->reports);
	free(gossip->data_centres);
	kb_config_set_finish(&gossip->set);
}

static bool outranks(const kb_member_table_t *table, uint32_t a, uint32_t b)
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

void kb_config_gossip_add_relay_candidate(
	const kb_member_table_t *table,
	uint32_t relays[KB_CONFIG_GOSSIP_RELAYS], uint32_t index)
{
	for (int i = 0; i < KB_CONFIG_GOSSIP_RELAYS; i++) {
		uint32_t lower = relays[i];

		if (!outranks(table, index, lower))
			continue;
		relays[i] = index;
		if (lower == KB_MEMBER_NONE)
			return;
		index = lower;
	}
}

void kb_config_gossip_begin_message(const kb_config_gossip_t *gossip,
				    kb_config_gossip_message_t *message,
				    kb_config_gossip_message_type_t type)
{
	kb_config_gossip_message_init(message, type);
	kb_name_set(&message->from,
		    kb_member_name(kb_members_self(gossip->members)));
	message->revision = gossip->set.complete;
}

void kb_config_gossip_send(kb_config_gossip_t *gossip, uint32_t to,
			   const kb_config_gossip_message_t *message)
{
	gossip->ops->send(gossip, &gossip->members->table.members[to], message);
}

static bool can_pick(const kb_config_gossip_t *gossip, uint32_t index,
		     bool nearby)
{
	const kb_member_t *member = &gossip->members->table.members[index];
	const kb_member_t *self = kb_members_self(gossip->members);

	if (index == gossip->members->self || !kb_member_is_live(member))
		return false;
	return !nearby || kb_str_equal(kb_member_data_centre(member),
				       kb_member_data_centre(self));
}

uint32_t kb_config_gossip_pick_peer(kb_config_gossip_t *gossip, bool nearby)
{
	uint32_t used = gossip->members->table.used;
	uint32_t start = 0;

	for (int i = 0; i < RANDOM_ATTEMPTS; i++) {
		start = (uint32_t)kb_rng_below(&gossip->rng, used);
		if (can_pick(gossip, start, nearby))
			return start;
	}
	for (uint32_t i = 0; i < used; i++) {
		uint32_t index = (start + i) % used;

		if (can_pick(gossip, index, nearby))
			return index;
	}
	return nearby ? kb_config_gossip_pick_peer(gossip, false)
		      : KB_MEMBER_NONE;
}

void kb_config_gossip_send_digest(kb_config_gossip_t *gossip, uint32_t to)
{
	kb_config_gossip_message_t message;

	kb_config_gossip_begin_message(gossip, &message,
				       KB_CONFIG_GOSSIP_DIGEST);
	message.digest = kb_config_set_digest(&gossip->set);
	kb_config_gossip_send(gossip, to, &message);
}

static void exchange_digest(kb_config_gossip_t *gossip, kb_time_t now)
{
	bool nearby =
		gossip->digest_count++ % KB_CONFIG_GOSSIP_FAR_DIGEST_INTERVAL !=
		0;
	uint32_t to = kb_config_gossip_pick_peer(gossip, nearby);
	int64_t period = gossip->set.complete
				 ? KB_CONFIG_GOSSIP_DIGEST_PERIOD_MS
				 : KB_CONFIG_GOSSIP_START_PERIOD_MS;

	gossip->next_digest = now + ms(period);
	if (to != KB_MEMBER_NONE)
		kb_config_gossip_send_digest(gossip, to);
}

/* Starts or stops the watch of the store as the host's role requires. */
static void apply_role(kb_config_gossip_t *gossip, kb_time_t now)
{
	bool wait =
		!gossip->set.complete &&
		now < gossip->started_at + ms(KB_CONFIG_GOSSIP_START_GRACE_MS);

	if (gossip->is_relay && !gossip->watching && !wait) {
		gossip->watching = true;
		gossip->ops->watch(gossip, gossip->set.complete);
	} else if (!gossip->is_relay && gossip->watching) {
		gossip->watching = false;
		gossip->loading = false;
		gossip->ops->unwatch(gossip);
	}
}

void kb_config_gossip_on_member(kb_config_gossip_t *gossip,
				const kb_member_t *member, kb_time_t now)
{
	const kb_member_t *self = kb_members_self(gossip->members);
	uint32_t before[KB_CONFIG_GOSSIP_RELAYS];

	if (!kb_str_equal(kb_member_data_centre(member),
			  kb_member_data_centre(self)))
		return;
	memcpy(before, gossip->relays, sizeof(before));
	choose_relays(gossip);
	if (memcmp(before, gossip->relays, sizeof(before)) != 0)
		gossip->next_report = now;
	apply_role(gossip, now);
}

static kb_time_t earlier(kb_time_t a, kb_time_t b)
{
	return a < b ? a : b;
}

kb_time_t kb_config_gossip_next_wake(const kb_config_gossip_t *gossip)
{
	kb_time_t wake = earlier(gossip->next_digest, gossip->next_report);

	wake = earlier(wake, gossip->next_status);
	return earlier(wake, gossip->pull.deadline);
}

kb_time_t kb_config_gossip_on_timer(kb_config_gossip_t *gossip, kb_time_t now)
{
	apply_role(gossip, now);
	if (now >= gossip->pull.deadline)
		kb_config_gossip_on_pull_timeout(gossip, now);
	if (now >= gossip->next_digest)
		exchange_digest(gossip, now);
	if (now >= gossip->next_report) {
		gossip->next_report =
			now + ms(KB_CONFIG_GOSSIP_REPORT_PERIOD_MS);
		kb_config_gossip_send_reports(gossip);
	}
	if (now >= gossip->next_status) {
		gossip->next_status =
			now + ms(KB_CONFIG_GOSSIP_STATUS_PERIOD_MS);
		kb_config_gossip_request_status(gossip, now);
	}
	return kb_config_gossip_next_wake(gossip);
}

void kb_config_gossip_on_advance(kb_config_gossip_t *gossip, uint64_t before,
				 bool push, kb_time_t now)
{
	if (gossip->set.complete == before)
		return;
	gossip->next_report =
		earlier(gossip->next_report,
			now + ms(KB_CONFIG_GOSSIP_REPORT_DELAY_MS));
	/* The first changes after the start are not new to other hosts. */
	if (push && before)
		kb_config_gossip_push(gossip, before);
}

void kb_config_gossip_on_message(kb_config_gossip_t *gossip,
				 const kb_config_gossip_message_t *message,
				 kb_time_t now)
{
	uint32_t from = kb_member_table_find(&gossip->members->table,
					     kb_name_str(&message->from));

	if (from == KB_MEMBER_NONE || from == gossip->members->self)
		return;
	switch (message->type) {
	case KB_CONFIG_GOSSIP_PUSH:
		kb_config_gossip_on_push(gossip, from, message, now);
		break;
	case KB_CONFIG_GOSSIP_DIGEST:
		kb_config_gossip_on_digest(gossip, from, message, now);
		break;
	case KB_CONFIG_GOSSIP_PULL:
		kb_config_gossip_on_pull(gossip, from, message);
		break;
	case KB_CONFIG_GOSSIP_PAGE:
		kb_config_gossip_on_page(gossip, from, message, now);
		break;
	case KB_CONFIG_GOSSIP_REPORT:
		kb_config_gossip_on_report(gossip, from, message);
		break;
	case KB_CONFIG_GOSSIP_STATUS_REQUEST:
		kb_config_gossip_on_status_request(gossip, from);
		break;
	case KB_CONFIG_GOSSIP_STATUS:
		kb_config_gossip_on_status(gossip, from, message, now);
		break;
	}
}

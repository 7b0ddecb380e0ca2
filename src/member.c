#include "member_internal.h"

enum {
	RANDOM_TRIES = 16,
	/* With more hosts, one in so many messages may leave the region. */
	NEAR_MIN_HOSTS = 64,
	FAR_INTERVAL = 4,
	/* A rumour is sent at least so often, and more for each further
	 * decimal digit of the number of hosts. */
	MIN_SENDS = 12,
	SENDS_PER_DIGIT = 4,
	/* While so many rumours wait, each is sent this often only; the
	 * exchange of digests tells those who missed it. */
	LONG_QUEUE = 256,
	LONG_QUEUE_SENDS = 10,
	EXIT_ANNOUNCEMENTS = 8,
};

uint32_t kb_members_random(kb_members_t *members, uint32_t bound)
{
	return (uint32_t)kb_rng_below(&members->rng, bound);
}

kb_result_t kb_members_init(kb_members_t *members, const kb_members_ops_t *ops,
			    const kb_member_record_t *self, uint64_t seed,
			    kb_time_t now)
{
	kb_result_t result;

	if (!self->name.len || !self->address.len || !self->instance)
		return KB_ERR_INVALID;
	memset(members, 0, sizeof(*members));
	members->ops = ops;
	kb_rng_init(&members->rng, seed);
	kb_member_table_init(&members->table);
	kb_gossip_queue_init(&members->rumours);
	result = kb_member_table_add(&members->table, self, &members->self);
	if (result) {
		kb_member_table_finish(&members->table);
		return result;
	}
	members->probe.index = KB_MEMBER_NONE;
	members->sync_with = KB_MEMBER_NONE;
	members->next_deadline = KB_TIME_NEVER;
	members->budget_bytes = KB_MEMBER_BUDGET_BYTES_PER_S;
	members->budget_at = now;
	members->expected_wake = now;
	members->next_probe = now;
	members->next_gossip = now;
	members->next_sync = now;
	kb_members_queue_gossip(members, members->self, now);
	return KB_OK;
}

void kb_members_finish(kb_members_t *members)
{
	kb_gossip_queue_finish(&members->rumours);
	kb_member_table_finish(&members->table);
}

const kb_member_t *kb_members_find(const kb_members_t *members, kb_str_t name)
{
	uint32_t index = kb_member_table_find(&members->table, name);

	return index == KB_MEMBER_NONE ? NULL : &members->table.members[index];
}

void kb_members_begin_message(kb_members_t *members,
			      kb_member_message_type_t type, uint32_t to)
{
	kb_member_message_t *message = &members->message;
	const kb_member_t *host = &members->table.members[to];

	kb_member_message_init(message);
	message->type = type;
	kb_name_set(&message->to, kb_member_name(host));
	kb_member_to_record(kb_members_self(members), &message->from);
	/* A host that is suspected has to learn of it to refute it. */
	if (host->state >= KB_MEMBER_SUSPECT) {
		message->record_count = 1;
		kb_member_to_record(host, &message->records[0]);
		kb_member_clear_location(&message->records[0]);
	}
}

void kb_members_refill(kb_members_t *members, kb_time_t now)
{
	kb_time_t passed = now - members->budget_at;

	members->budget_at = now;
	if (passed > KB_NS_PER_S)
		passed = KB_NS_PER_S;
	members->budget_bytes +=
		passed * KB_MEMBER_BUDGET_BYTES_PER_S / KB_NS_PER_S;
	if (members->budget_bytes > KB_MEMBER_BUDGET_BYTES_PER_S)
		members->budget_bytes = KB_MEMBER_BUDGET_BYTES_PER_S;
}

void kb_members_send(kb_members_t *members, uint32_t to)
{
	members->budget_bytes -=
		(int64_t)kb_member_wire_size(&members->message);
	members->ops->send(members, &members->table.members[to],
			   &members->message);
}

void kb_members_send_with_gossip(kb_members_t *members, uint32_t to)
{
	if (members->budget_bytes >= KB_MEMBER_GOSSIP_MAX_BYTES)
		kb_gossip_queue_fill(&members->rumours, &members->table,
				     &members->message,
				     KB_MEMBER_GOSSIP_MAX_BYTES);
	kb_members_send(members, to);
}

static uint8_t sends_for(const kb_members_t *members)
{
	uint32_t hosts = members->table.count;
	uint8_t sends = MIN_SENDS;

	if (members->rumours.count >= LONG_QUEUE)
		return LONG_QUEUE_SENDS;

	for (uint32_t limit = 10; limit <= hosts && limit < UINT32_MAX / 10;
	     limit *= 10)
		sends += SENDS_PER_DIGIT;
	return sends;
}

void kb_members_queue_gossip(kb_members_t *members, uint32_t index,
			     kb_time_t now)
{
	if (members->learning && index != members->self)
		return;
	if (members->rumours.count == 0 && members->next_gossip < now)
		members->next_gossip = now;
	/* Without memory the periodic exchange of digests carries the claim. */
	(void)kb_gossip_queue_push(&members->rumours, &members->table, index,
				   sends_for(members));
}

bool kb_members_is_other_live(const kb_members_t *members, uint32_t index)
{
	return index != members->self &&
	       kb_member_is_live(&members->table.members[index]);
}

uint32_t kb_members_pick(kb_members_t *members, kb_members_filter_fn_t *test)
{
	uint32_t used = members->table.used;
	uint32_t start = 0;

	for (int i = 0; i < RANDOM_TRIES; i++) {
		start = kb_members_random(members, used);
		if (test(members, start))
			return start;
	}
	for (uint32_t i = 0; i < used; i++) {
		uint32_t index = (start + i) % used;

		if (test(members, index))
			return index;
	}
	return KB_MEMBER_NONE;
}

static bool is_near(const kb_members_t *members, uint32_t index)
{
	return kb_members_is_other_live(members, index) &&
	       kb_str_equal(kb_member_region(&members->table.members[index]),
			    kb_member_region(kb_members_self(members)));
}

uint32_t kb_members_pick_live(kb_members_t *members)
{
	uint32_t index = KB_MEMBER_NONE;

	if (kb_members_live_count(members) > NEAR_MIN_HOSTS &&
	    kb_members_random(members, FAR_INTERVAL))
		index = kb_members_pick(members, is_near);
	if (index == KB_MEMBER_NONE)
		index = kb_members_pick(members, kb_members_is_other_live);
	return index;
}

void kb_members_on_call_failed(kb_members_t *members, kb_str_t name,
			       kb_time_t now)
{
	uint32_t index = kb_member_table_find(&members->table, name);

	if (index == KB_MEMBER_NONE || index == members->self ||
	    index == members->probe.index ||
	    members->urgent_count == KB_MEMBER_URGENT_MAX ||
	    members->table.members[index].state == KB_MEMBER_SUSPECT)
		return;
	for (size_t i = 0; i < members->urgent_count; i++)
		if (members->urgent[i] == index)
			return;
	members->urgent[members->urgent_count++] = index;
	if (members->probe.index == KB_MEMBER_NONE)
		members->next_probe = now;
}

kb_result_t kb_members_on_hint(kb_members_t *members,
			       const kb_member_record_t *host, kb_time_t now)
{
	uint32_t index =
		kb_member_table_find(&members->table, kb_name_str(&host->name));
	kb_member_record_t candidate = *host;
	kb_result_t result;

	if (!host->name.len || !host->address.len)
		return KB_ERR_INVALID;
	if (index != KB_MEMBER_NONE) {
		if (members->table.members[index].state == KB_MEMBER_DEAD &&
		    members->urgent_count < KB_MEMBER_URGENT_HINTS_MAX)
			kb_members_on_call_failed(
				members, kb_name_str(&host->name), now);
		return KB_OK;
	}
	candidate.instance = 0;
	candidate.incarnation = 0;
	if (candidate.state != KB_MEMBER_LEAVING)
		candidate.state = KB_MEMBER_ALIVE;
	result = kb_member_table_add(&members->table, &candidate, &index);
	if (!result)
		members->ops->changed(members, &members->table.members[index]);
	return result;
}

void kb_members_set_leaving(kb_members_t *members, bool leaving, kb_time_t now)
{
	kb_member_t *self = &members->table.members[members->self];
	kb_member_record_t record;

	if (self->leaving == leaving)
		return;
	kb_member_to_record(self, &record);
	record.incarnation++;
	record.state = leaving ? KB_MEMBER_LEAVING : KB_MEMBER_ALIVE;
	if (kb_member_table_update(&members->table, members->self, &record))
		return;
	members->ops->changed(members, self);
	kb_members_queue_gossip(members, members->self, now);
	members->next_gossip = now;
}

void kb_members_announce_exit(kb_members_t *members)
{
	for (int i = 0; i < EXIT_ANNOUNCEMENTS; i++) {
		uint32_t to = kb_members_pick_live(members);
		kb_member_message_t *message = &members->message;

		if (to == KB_MEMBER_NONE)
			return;
		kb_members_begin_message(members, KB_MEMBER_GOSSIP, to);
		message->record_count = 1;
		message->records[0] = message->from;
		message->records[0].state = KB_MEMBER_DEAD;
		kb_member_clear_location(&message->records[0]);
		kb_members_send(members, to);
	}
}

#include "member_internal.h"

static kb_time_t suspicion_timeout(const kb_members_t *members)
{
	kb_time_t step = KB_MEMBER_SUSPICION_STEP_MS * KB_NS_PER_MS;
	kb_time_t timeout = 0;

	for (uint32_t hosts = kb_members_live_count(members); hosts; hosts /= 2)
		timeout += step;
	return timeout;
}

static void set_deadline(kb_members_t *members, kb_member_t *member,
			 kb_time_t now)
{
	if (member->state == KB_MEMBER_SUSPECT)
		member->deadline = now + suspicion_timeout(members);
	else
		member->deadline =
			now + KB_MEMBER_DEAD_RETENTION_S * KB_NS_PER_S;
	if (member->deadline < members->next_deadline)
		members->next_deadline = member->deadline;
}

static bool has_address_of(const kb_member_t *member,
			   const kb_member_record_t *record)
{
	return member->port == record->port &&
	       kb_name_is(&record->address, kb_member_address(member));
}

/* Answers a claim about this host that it does not agree with. */
static void refute(kb_members_t *members, const kb_member_record_t *claim,
		   kb_time_t now)
{
	kb_member_t *self = &members->table.members[members->self];
	kb_member_record_t record;

	if (kb_member_compare_claims(self, claim) >= 0)
		return;
	if (claim->instance > self->instance && claim->address.len &&
	    !has_address_of(self, claim)) {
		if (!members->superseded)
			members->ops->superseded(members);
		members->superseded = true;
		return;
	}
	if (claim->instance == UINT64_MAX)
		return;
	kb_member_to_record(self, &record);
	record.instance = claim->instance;
	record.incarnation = claim->incarnation + 1;
	if (claim->instance > self->instance ||
	    claim->incarnation == UINT32_MAX) {
		record.instance = claim->instance + 1;
		record.incarnation = 0;
	}
	if (kb_member_table_update(&members->table, members->self, &record))
		return;
	kb_members_queue_gossip(members, members->self, now);
	members->next_gossip = now;
}

static bool add(kb_members_t *members, const kb_member_record_t *record,
		kb_time_t now)
{
	uint32_t index;

	if (record->state >= KB_MEMBER_SUSPECT || !record->address.len ||
	    !record->instance)
		return false;
	/* Without memory the host stays unknown until it is heard of again. */
	if (kb_member_table_add(&members->table, record, &index))
		return false;
	kb_members_queue_gossip(members, index, now);
	members->ops->changed(members, &members->table.members[index]);
	return true;
}

bool kb_members_merge(kb_members_t *members, const kb_member_record_t *record,
		      kb_time_t now)
{
	uint32_t index = kb_member_table_find(&members->table,
					      kb_name_str(&record->name));
	kb_member_t *member;
	int order;

	if (index == members->self) {
		refute(members, record, now);
		return false;
	}
	if (index == KB_MEMBER_NONE)
		return add(members, record, now);
	member = &members->table.members[index];
	order = kb_member_compare_claims(member, record);
	if (order == 0)
		kb_gossip_queue_count_duplicate(&members->rumours,
						&members->table, index);
	/* Without its place the instance is of no use; a digest brings it. */
	if (order >= 0 ||
	    (!record->address.len && record->instance != member->instance) ||
	    kb_member_table_update(&members->table, index, record))
		return false;
	if (member->state >= KB_MEMBER_SUSPECT)
		set_deadline(members, member, now);
	kb_members_queue_gossip(members, index, now);
	members->ops->changed(members, member);
	return true;
}

/* Takes what the sender says of itself; returns its index. */
static uint32_t merge_sender(kb_members_t *members,
			     const kb_member_record_t *from, kb_time_t now)
{
	kb_str_t name = kb_name_str(&from->name);
	uint32_t index = kb_member_table_find(&members->table, name);
	bool was_dead = index != KB_MEMBER_NONE &&
			members->table.members[index].state == KB_MEMBER_DEAD;

	kb_members_merge(members, from, now);
	index = kb_member_table_find(&members->table, name);
	if (index == members->self || index == KB_MEMBER_NONE)
		return KB_MEMBER_NONE;
	/* It may come from the other side of a partition that has healed. */
	if (was_dead && members->table.members[index].state != KB_MEMBER_DEAD) {
		members->sync_with = index;
		members->next_sync = now;
	}
	return index;
}

static void acknowledge(kb_members_t *members, uint32_t to, uint64_t sequence)
{
	kb_members_begin_message(members, KB_MEMBER_ACK, to);
	members->message.sequence = sequence;
	kb_members_send_with_gossip(members, to);
}

static void on_probe_request(kb_members_t *members, uint32_t from,
			     const kb_member_message_t *message)
{
	uint32_t index = kb_member_table_find(&members->table,
					      kb_name_str(&message->subject));
	kb_member_relayed_probe_t *relayed;

	if (index == KB_MEMBER_NONE)
		return;
	if (index == members->self) {
		acknowledge(members, from, message->sequence);
		return;
	}
	relayed = &members->relayed[members->relayed_next];
	members->relayed_next =
		(members->relayed_next + 1) % KB_MEMBER_RELAYED_PROBES_MAX;
	relayed->sequence = ++members->sequence;
	relayed->requester_sequence = message->sequence;
	relayed->requester = from;
	kb_members_begin_message(members, KB_MEMBER_PROBE, index);
	members->message.sequence = relayed->sequence;
	kb_members_send_with_gossip(members, index);
}

static void on_ack(kb_members_t *members, const kb_member_message_t *message)
{
	for (size_t i = 0; i < KB_MEMBER_RELAYED_PROBES_MAX; i++) {
		kb_member_relayed_probe_t *relayed = &members->relayed[i];

		if (relayed->sequence != message->sequence)
			continue;
		relayed->sequence = 0;
		if (members->table.members[relayed->requester].text)
			acknowledge(members, relayed->requester,
				    relayed->requester_sequence);
		return;
	}
	if (members->probe.index == KB_MEMBER_NONE ||
	    members->probe.sequence != message->sequence)
		return;
	members->probe.index = KB_MEMBER_NONE;
}

/* Returns whether a bucket of `message` differs from that of `member`. */
static bool differs(const kb_members_t *members,
		    const kb_member_message_t *message,
		    const kb_member_t *member)
{
	uint32_t bucket = kb_member_table_bucket(kb_member_name(member));

	return message->buckets[bucket] != members->table.buckets[bucket];
}

/* Adds `record` to the reply unless it is full. */
static bool add_to_reply(kb_member_message_t *reply,
			 const kb_member_record_t *record, size_t *bytes)
{
	size_t size = kb_member_wire_record_size(record);

	if (reply->record_count == KB_MEMBER_RECORDS_MAX ||
	    *bytes + size > KB_MEMBER_MESSAGE_MAX_BYTES)
		return false;
	reply->records[reply->record_count++] = *record;
	*bytes += size;
	return true;
}

/* Begins at a random host, so that repeated exchanges cover all of them. */
static void on_sync(kb_members_t *members, uint32_t from,
		    const kb_member_message_t *message)
{
	const kb_member_table_t *table = &members->table;
	kb_member_message_t *reply = &members->message;
	uint32_t start = kb_members_random(members, table->used);
	uint32_t i = 0;

	for (int n = 0; n < KB_MEMBER_SYNC_REPLY_MESSAGES_MAX; n++) {
		kb_member_record_t record;
		size_t bytes;

		if (members->budget_bytes < KB_MEMBER_MESSAGE_MAX_BYTES)
			return;
		kb_members_begin_message(members, KB_MEMBER_SYNC_REPLY, from);
		bytes = kb_member_wire_size(reply);
		for (; i < table->used; i++) {
			const kb_member_t *member =
				&table->members[(start + i) % table->used];

			if (!member->text || !member->instance ||
			    !differs(members, message, member))
				continue;
			kb_member_to_record(member, &record);
			if (!add_to_reply(reply, &record, &bytes))
				break;
		}
		reply->more = i < table->used;
		kb_members_send(members, from);
		if (!reply->more)
			return;
	}
}

static void on_sync_reply(kb_members_t *members,
			  const kb_member_message_t *message, bool news,
			  kb_time_t now)
{
	kb_time_t soon = members->next_sync;

	if (message->more)
		soon = now + KB_MEMBER_SYNC_PARTIAL_PERIOD_MS * KB_NS_PER_MS;
	else if (news)
		soon = now + KB_MEMBER_SYNC_CHANGED_PERIOD_MS * KB_NS_PER_MS;
	if (soon < members->next_sync)
		members->next_sync = soon;
	if (!message->more)
		members->synced = true;
}

void kb_members_on_message(kb_members_t *members,
			   const kb_member_message_t *message, kb_time_t now)
{
	bool news = false;
	uint32_t from;

	if (!kb_name_is(&message->to, kb_member_name(kb_members_self(members))))
		return;
	from = merge_sender(members, &message->from, now);
	if (from == KB_MEMBER_NONE)
		return;
	members->learning =
		!members->synced && message->type == KB_MEMBER_SYNC_REPLY;
	for (size_t i = 0; i < message->record_count; i++)
		news |= kb_members_merge(members, &message->records[i], now);
	members->learning = false;
	switch (message->type) {
	case KB_MEMBER_PROBE:
		acknowledge(members, from, message->sequence);
		break;
	case KB_MEMBER_ACK:
		on_ack(members, message);
		break;
	case KB_MEMBER_PROBE_REQUEST:
		on_probe_request(members, from, message);
		break;
	case KB_MEMBER_GOSSIP:
		break;
	case KB_MEMBER_SYNC:
		on_sync(members, from, message);
		break;
	case KB_MEMBER_SYNC_REPLY:
		on_sync_reply(members, message, news, now);
		break;
	}
}

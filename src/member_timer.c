#include "member_internal.h"

static kb_time_t ms(int64_t count)
{
	return count * KB_NS_PER_MS;
}

static bool is_dead(const kb_members_t *members, uint32_t index)
{
	const kb_member_t *member = &members->table.members[index];

	return member->text && member->state == KB_MEMBER_DEAD;
}

/* A dead host is probed as often as a live one, unless most are dead. */
static bool probes_dead_host(kb_members_t *members)
{
	uint32_t hosts = members->table.count;
	uint32_t dead = members->table.state_count[KB_MEMBER_DEAD];
	uint32_t most = (hosts + KB_MEMBER_DEAD_PROBE_SHARE - 1) /
			KB_MEMBER_DEAD_PROBE_SHARE;

	return kb_members_random(members, hosts) < (dead < most ? dead : most);
}

static uint32_t pick_probe_target(kb_members_t *members)
{
	while (members->urgent_count) {
		uint32_t index = members->urgent[--members->urgent_count];

		if (index < members->table.used &&
		    members->table.members[index].text)
			return index;
	}
	if (probes_dead_host(members))
		return kb_members_pick(members, is_dead);
	return kb_members_pick_live(members);
}

static void suspect(kb_members_t *members, uint32_t index, kb_time_t now)
{
	const kb_member_t *member = &members->table.members[index];
	kb_member_record_t record;

	if (!member->text || member->state >= KB_MEMBER_SUSPECT)
		return;
	kb_member_to_record(member, &record);
	record.state = KB_MEMBER_SUSPECT;
	kb_members_merge(members, &record, now);
}

static void start_probe(kb_members_t *members, kb_time_t now)
{
	kb_member_probe_t *probe = &members->probe;

	if (probe->index != KB_MEMBER_NONE)
		suspect(members, probe->index, now);
	members->next_probe = now + ms(KB_MEMBER_PROBE_PERIOD_MS);
	probe->index = pick_probe_target(members);
	if (probe->index == KB_MEMBER_NONE)
		return;
	probe->sequence = ++members->sequence;
	probe->indirect = false;
	probe->started_at = now;
	kb_members_begin_message(members, KB_MEMBER_PROBE, probe->index);
	members->message.sequence = probe->sequence;
	kb_members_send_with_gossip(members, probe->index);
}

static void request_probes(kb_members_t *members)
{
	kb_member_probe_t *probe = &members->probe;
	const kb_member_t *subject = &members->table.members[probe->index];

	probe->indirect = true;
	for (int i = 0; i < KB_MEMBER_INDIRECT_PROBES; i++) {
		uint32_t helper = kb_members_pick_live(members);

		if (helper == KB_MEMBER_NONE || helper == probe->index)
			continue;
		kb_members_begin_message(members, KB_MEMBER_PROBE_REQUEST,
					 helper);
		members->message.sequence = probe->sequence;
		kb_name_set(&members->message.subject, kb_member_name(subject));
		kb_members_send_with_gossip(members, helper);
	}
}

static void gossip(kb_members_t *members, kb_time_t now)
{
	members->next_gossip = now + ms(KB_MEMBER_GOSSIP_PERIOD_MS);
	for (int i = 0; i < KB_MEMBER_GOSSIP_FANOUT; i++) {
		uint32_t to = kb_members_pick_live(members);

		if (to == KB_MEMBER_NONE || !members->rumours.count ||
		    members->budget_bytes < KB_MEMBER_GOSSIP_MAX_BYTES)
			return;
		kb_members_begin_message(members, KB_MEMBER_GOSSIP, to);
		kb_members_send_with_gossip(members, to);
	}
}

static void sync(kb_members_t *members, kb_time_t now)
{
	uint32_t to = members->sync_with;

	members->sync_with = KB_MEMBER_NONE;
	if (to == KB_MEMBER_NONE || !kb_members_is_other_live(members, to))
		to = kb_members_pick_live(members);
	members->next_sync =
		now + ms(members->synced ? KB_MEMBER_SYNC_PERIOD_MS
					 : KB_MEMBER_SYNC_PARTIAL_PERIOD_MS);
	if (to == KB_MEMBER_NONE ||
	    members->budget_bytes < KB_MEMBER_MESSAGE_MAX_BYTES)
		return;
	kb_members_begin_message(members, KB_MEMBER_SYNC, to);
	memcpy(members->message.buckets, members->table.buckets,
	       sizeof(members->message.buckets));
	members->message.bucket_count = KB_MEMBER_BUCKET_COUNT;
	kb_members_send(members, to);
}

static void forget(kb_members_t *members, uint32_t index)
{
	kb_gossip_queue_remove(&members->rumours, &members->table, index);
	if (members->probe.index == index)
		members->probe.index = KB_MEMBER_NONE;
	if (members->sync_with == index)
		members->sync_with = KB_MEMBER_NONE;
	kb_member_table_remove(&members->table, index);
}

static void expire(kb_members_t *members, kb_time_t now)
{
	members->next_deadline = KB_TIME_NEVER;
	for (uint32_t i = 0; i < members->table.used; i++) {
		kb_member_t *member = &members->table.members[i];
		kb_member_record_t record;

		if (!member->text || member->state < KB_MEMBER_SUSPECT)
			continue;
		if (member->deadline <= now &&
		    member->state == KB_MEMBER_DEAD) {
			forget(members, i);
			continue;
		}
		if (member->deadline <= now) {
			kb_member_to_record(member, &record);
			record.state = KB_MEMBER_DEAD;
			kb_members_merge(members, &record, now);
		}
		if (member->deadline < members->next_deadline)
			members->next_deadline = member->deadline;
	}
}

/* Gives others the time to refute that this process did not listen. */
static void on_pause(kb_members_t *members, kb_time_t length)
{
	members->probe.index = KB_MEMBER_NONE;
	for (uint32_t i = 0; i < members->table.used; i++) {
		kb_member_t *member = &members->table.members[i];

		if (member->text && member->state == KB_MEMBER_SUSPECT)
			member->deadline += length;
	}
}

static kb_time_t earlier(kb_time_t a, kb_time_t b)
{
	return a < b ? a : b;
}

static bool needs_indirect(const kb_members_t *members)
{
	return members->probe.index != KB_MEMBER_NONE &&
	       !members->probe.indirect;
}

kb_time_t kb_members_next_wake(const kb_members_t *members)
{
	kb_time_t wake = earlier(members->next_probe, members->next_sync);

	wake = earlier(wake, members->next_deadline);
	if (needs_indirect(members))
		wake = earlier(wake, members->probe.started_at +
					     ms(KB_MEMBER_ACK_TIMEOUT_MS));
	if (members->rumours.count)
		wake = earlier(wake, members->next_gossip);
	return wake;
}

kb_time_t kb_members_on_timer(kb_members_t *members, kb_time_t now)
{
	kb_time_t late = now - members->expected_wake;

	kb_members_refill(members, now);
	if (late > ms(KB_MEMBER_PAUSE_LIMIT_MS))
		on_pause(members, late);
	if (now >= members->next_deadline)
		expire(members, now);
	if (now >= members->next_probe)
		start_probe(members, now);
	else if (needs_indirect(members) &&
		 now >= members->probe.started_at +
				 ms(KB_MEMBER_ACK_TIMEOUT_MS))
		request_probes(members);
	if (members->rumours.count && now >= members->next_gossip)
		gossip(members, now);
	if (now >= members->next_sync)
		sync(members, now);
	members->expected_wake = kb_members_next_wake(members);
	return members->expected_wake;
}

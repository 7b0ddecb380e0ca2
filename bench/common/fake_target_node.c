#include "fake_message.h"

enum { FAKE_REPLICATE_INTERVAL_MS = 20 };

/* Sends up to FAKE_PUSH_ENTRIES entries to one follower. */
static void push_to(fake_group_t *group, size_t primary, size_t follower)
{
	const fake_target_t *from = &group->targets[primary];
	const fake_target_t *to = &group->targets[follower];
	fake_message_t push = { .kind = FAKE_PUSH,
				.from = primary,
				.to = follower,
				.id = from->term };
	size_t keep = fake_target_common_prefix(from, to);

	if (keep == from->count)
		return;
	push.target = keep;
	while (keep < from->count && push.entry_count < FAKE_PUSH_ENTRIES)
		push.entries[push.entry_count++] = from->log[keep++];
	group->pushed_at[follower] = group->now;
	fake_send(group, &push);
}

void fake_target_push(fake_group_t *group, size_t target)
{
	kb_time_t lost = FAKE_REPLICATE_INTERVAL_MS * KB_NS_PER_MS;

	if (group->targets[target].role != KB_ROLE_PRIMARY)
		return;
	for (size_t i = 0; i < group->params.target_count; i++) {
		const fake_target_t *to = &group->targets[i];

		if (i == target || !to->up || to->following != target ||
		    to->term != group->targets[target].term)
			continue;
		if (group->pushed_at[i] != KB_TIME_NEVER &&
		    group->now - group->pushed_at[i] < lost)
			continue;
		push_to(group, target, i);
	}
}

static void on_push(fake_group_t *group, const fake_message_t *push)
{
	fake_target_t *target = &group->targets[push->to];
	fake_message_t reply = { .kind = FAKE_PUSHED,
				 .from = push->to,
				 .to = push->from };
	size_t keep = push->target, matching = 0;

	if (target->term != push->id || target->following != push->from ||
	    keep > target->count)
		return;
	/* Entries are dropped only from the first one that differs. */
	while (matching < push->entry_count && keep < target->count &&
	       target->log[keep].term == push->entries[matching].term &&
	       target->log[keep].write == push->entries[matching].write) {
		keep++;
		matching++;
	}
	if (matching < push->entry_count)
		fake_target_replace_suffix(target, keep,
					   &push->entries[matching],
					   push->entry_count - matching);
	fake_send(group, &reply);
}

static int apply_command(fake_group_t *group, const fake_message_t *message)
{
	fake_target_t *target = &group->targets[message->to];
	uint64_t term = message->command.term;
	size_t role_before = target->role;
	int granted = 0;

	switch (message->command.kind) {
	case KB_COMMAND_FENCE:
		return fake_target_fence(target, term, message->id);
	case KB_COMMAND_PROMOTE:
		granted = fake_target_promote(target, term, message->id);
		if (granted && role_before != KB_ROLE_PRIMARY)
			fake_record_promotion(group, message->to);
		return granted;
	case KB_COMMAND_FOLLOW:
		granted = fake_target_follow(target, term, message->target);
		if (granted)
			group->pushed_at[message->to] = KB_TIME_NEVER;
		return granted;
	}
	return 0;
}

static void on_command(fake_group_t *group, const fake_message_t *message)
{
	fake_message_t reply = { .kind = FAKE_COMMAND_RESULT,
				 .from = message->to,
				 .to = message->from,
				 .generation = message->generation,
				 .command = message->command };

	reply.granted = apply_command(group, message);
	fake_target_report(&group->targets[message->to], &reply.report);
	if (group->replies_to_drop[message->command.kind])
		group->replies_to_drop[message->command.kind]--;
	else
		fake_send(group, &reply);
}

static void on_probe(fake_group_t *group, const fake_message_t *message)
{
	fake_message_t reply = { .kind = FAKE_REPORT,
				 .from = message->to,
				 .to = message->from,
				 .generation = message->generation,
				 .id = message->id };

	fake_target_report(&group->targets[message->to], &reply.report);
	fake_send(group, &reply);
}

static void on_write(fake_group_t *group, const fake_message_t *message)
{
	fake_target_t *target = &group->targets[message->to];
	fake_message_t reply = { .kind = FAKE_WRITE_RESULT,
				 .from = message->to,
				 .to = message->from,
				 .generation = message->generation,
				 .id = message->id };

	reply.point.position = fake_target_commit(target, message->id);
	reply.point.term = target->term;
	reply.granted = target->term < group->promoted_term;
	fake_send(group, &reply);
	fake_target_push(group, message->to);
}

static void receive_while_down(fake_group_t *group,
			       const fake_message_t *message)
{
	fake_message_t reply = { .kind = FAKE_REPORT,
				 .from = message->to,
				 .to = message->from,
				 .generation = message->generation,
				 .id = message->id,
				 .result = KB_ERR_UNREACHABLE };

	if (message->kind == FAKE_PROBE && group->targets[message->to].refuses)
		fake_send(group, &reply);
	if (message->kind == FAKE_REPLICATE)
		fake_send_self(group, FAKE_REPLICATE, message->to,
			       FAKE_REPLICATE_INTERVAL_MS * KB_NS_PER_MS);
}

void fake_target_receive(fake_group_t *group, fake_message_t *message)
{
	if (!group->targets[message->to].up) {
		receive_while_down(group, message);
		return;
	}
	switch (message->kind) {
	case FAKE_PROBE:
		on_probe(group, message);
		break;
	case FAKE_COMMAND:
		on_command(group, message);
		break;
	case FAKE_WRITE:
		on_write(group, message);
		break;
	case FAKE_PUSH:
		on_push(group, message);
		break;
	case FAKE_PUSHED:
		group->pushed_at[message->from] = KB_TIME_NEVER;
		fake_target_push(group, message->to);
		break;
	case FAKE_REPLICATE:
		fake_target_push(group, message->to);
		fake_send_self(group, FAKE_REPLICATE, message->to,
			       FAKE_REPLICATE_INTERVAL_MS * KB_NS_PER_MS);
		break;
	default:
		break;
	}
}

#include "fake_group.h"

#include "fake_message.h"

#include <stdio.h>
#include <stdlib.h>

enum {
	FAKE_PER_MILLE = 1000,
	/* One-way latencies. */
	FAKE_SAME_SITE_US = 200,
	FAKE_KHOMAS_US = 1000,
	FAKE_RIGA_US = 500,
	FAKE_REGIONS_US = 8000,
	FAKE_JITTER_US = 500,
};

void fake_params_init(fake_params_t *params)
{
	memset(params, 0, sizeof(*params));
	params->target_count = 3;
	params->host_count = 3;
	params->watcher_count = 3;
	for (size_t i = 0; i < FAKE_MAX_SITES; i++)
		for (size_t j = 0; j < FAKE_MAX_SITES; j++)
			params->latency[i][j] = KB_NS_PER_MS;
	params->write_interval = 10 * KB_NS_PER_MS;
	params->write_deadline = 2 * KB_NS_PER_S;
	kb_failover_params_init(&params->failover);
	kb_confirm_params_init(&params->confirm);
}

void fake_params_set_deployment(fake_params_t *params,
				fake_deployment_t deployment)
{
	kb_time_t between_sites_us =
		deployment == FAKE_KHOMAS ? FAKE_KHOMAS_US : FAKE_RIGA_US;

	for (size_t i = 0; i < FAKE_MAX_SITES; i++) {
		for (size_t j = 0; j < FAKE_MAX_SITES; j++) {
			kb_time_t us = between_sites_us;

			if (i == j)
				us = FAKE_SAME_SITE_US;
			else if (i == FAKE_MAX_SITES - 1 ||
				 j == FAKE_MAX_SITES - 1)
				us = FAKE_REGIONS_US;
			params->latency[i][j] = us * KB_NS_PER_US;
		}
	}
	for (size_t i = 0; i < params->target_count; i++)
		params->site[i] = i % FAKE_MAX_SITES;
	for (size_t i = 0; i < params->host_count; i++)
		params->site[params->target_count + i] = i % FAKE_MAX_SITES;
	params->jitter = FAKE_JITTER_US * KB_NS_PER_US;
}

static void init_spec(fake_group_t *group)
{
	kb_group_spec_t *spec = &group->spec;

	kb_name_set(&spec->name, KB_STR("fake"));
	spec->target_count = group->params.target_count;
	for (size_t i = 0; i < spec->target_count; i++) {
		char name[] = { 'a', 0 };

		name[0] += (char)i;
		kb_name_set(&spec->targets[i].name, kb_str_from(name));
	}
}

void fake_group_init(fake_group_t *group, const fake_params_t *params)
{
	memset(group, 0, sizeof(*group));
	group->params = *params;
	kb_rng_init(&group->rng, params->seed);
	fake_queue_init(&group->queue, sizeof(fake_message_t));
	init_spec(group);
	for (size_t i = 0; i < params->target_count; i++) {
		fake_target_init(&group->targets[i]);
		fake_target_fence(&group->targets[i], 1, 1);
		group->pushed_at[i] = KB_TIME_NEVER;
		fake_send_self(group, FAKE_REPLICATE, i, 0);
		if (i)
			fake_target_follow(&group->targets[i], 1, 0);
	}
	fake_target_promote(&group->targets[0], 1, 1);
	group->promoted_term = 1;
	for (size_t i = 0; i < params->host_count; i++)
		fake_host_start(group, i);
}

void fake_group_finish(fake_group_t *group)
{
	for (size_t i = 0; i < group->params.host_count; i++)
		if (group->hosts[i].up)
			fake_group_crash_host(group, i);
	for (size_t i = 0; i < group->params.target_count; i++)
		fake_target_finish(&group->targets[i]);
	fake_queue_finish(&group->queue);
	free(group->acks);
	group->acks = NULL;
}

size_t fake_group_host_node(const fake_group_t *group, size_t host)
{
	return group->params.target_count + host;
}

static kb_time_t random_below(fake_group_t *group, kb_time_t bound)
{
	return (kb_time_t)kb_rng_below(&group->rng, (uint64_t)bound);
}

void fake_send(fake_group_t *group, fake_message_t *message)
{
	const fake_params_t *params = &group->params;
	kb_time_t delay = params->latency[params->site[message->from]]
					 [params->site[message->to]];

	group->messages++;
	if (group->cut[message->from][message->to] ||
	    kb_rng_below(&group->rng, FAKE_PER_MILLE) < params->loss_per_mille)
		return;
	delay += random_below(group, params->jitter);
	if (kb_rng_below(&group->rng, FAKE_PER_MILLE) < params->tail_per_mille)
		delay += random_below(group, params->tail);
	fake_queue_push(&group->queue, group->now + delay, message);
}

void fake_send_self(fake_group_t *group, fake_message_kind_t kind, size_t node,
		    kb_time_t delay)
{
	fake_message_t message = { .kind = kind, .from = node, .to = node };

	fake_queue_push(&group->queue, group->now + delay, &message);
}

static void deliver(fake_group_t *group, fake_message_t *message)
{
	if (group->paused_until[message->to] > group->now)
		fake_queue_push(&group->queue, group->paused_until[message->to],
				message);
	else if (group->cut[message->from][message->to])
		return;
	else if (message->to < group->params.target_count)
		fake_target_receive(group, message);
	else
		fake_host_receive(group, message);
}

void fake_group_run(fake_group_t *group, kb_time_t end)
{
	fake_message_t message;

	while (fake_queue_next(&group->queue) <= end) {
		group->now = fake_queue_next(&group->queue);
		fake_queue_pop(&group->queue, &message);
		deliver(group, &message);
	}
	group->now = end;
}

size_t fake_group_primary(const fake_group_t *group)
{
	for (size_t i = 0; i < group->params.target_count; i++)
		if (group->targets[i].role == KB_ROLE_PRIMARY &&
		    group->targets[i].term == group->promoted_term)
			return i;
	return FAKE_NO_TARGET;
}

void fake_group_crash_target(fake_group_t *group, size_t target, int refuses)
{
	group->targets[target].up = 0;
	group->targets[target].refuses = refuses;
}

void fake_group_restart_target(fake_group_t *group, size_t target)
{
	group->targets[target].up = 1;
	group->pushed_at[target] = KB_TIME_NEVER;
}

void fake_group_crash_host(fake_group_t *group, size_t host)
{
	fake_host_t *crashed = &group->hosts[host];

	crashed->up = 0;
	kb_confirm_finish(&crashed->confirm);
	kb_failover_finish(&crashed->failover);
}

void fake_group_restart_host(fake_group_t *group, size_t host)
{
	fake_host_start(group, host);
}

void fake_group_pause(fake_group_t *group, size_t node, kb_time_t until)
{
	if (until > group->paused_until[node])
		group->paused_until[node] = until;
}

void fake_group_cut(fake_group_t *group, size_t a, size_t b, int cut)
{
	if (a == b)
		return;
	group->cut[a][b] = group->cut[b][a] = (unsigned char)cut;
}

void fake_group_isolate(fake_group_t *group, size_t node, int cut)
{
	for (size_t i = 0; i < FAKE_MAX_NODES; i++)
		fake_group_cut(group, node, i, cut);
}

void fake_group_heal(fake_group_t *group)
{
	memset(group->cut, 0, sizeof(group->cut));
}

void fake_group_set_state(fake_group_t *group, size_t target,
			  kb_admin_state_t state)
{
	group->spec.targets[target].state = state;
	for (size_t i = 0; i < group->params.host_count; i++)
		if (group->hosts[i].up)
			kb_failover_set_group(&group->hosts[i].failover,
					      group->now, &group->spec);
}

kb_time_t fake_group_next_ack(const fake_group_t *group, kb_time_t time)
{
	for (size_t i = 0; i < group->ack_count; i++)
		if (group->acks[i].time > time)
			return group->acks[i].time;
	return KB_TIME_NEVER;
}

kb_time_t fake_group_longest_gap(const fake_group_t *group, kb_time_t from,
				 kb_time_t to)
{
	kb_time_t last = from, longest = 0;

	for (size_t i = 0; i < group->ack_count; i++) {
		kb_time_t time = group->acks[i].time;

		if (time < from || time > to)
			continue;
		if (time - last > longest)
			longest = time - last;
		last = time;
	}
	return to - last > longest ? to - last : longest;
}

static void record_violation(fake_group_t *group, const char *what)
{
	if (!group->violation)
		group->violation = what;
}

static int has_ack(const fake_target_t *target, const fake_ack_t *ack)
{
	const fake_entry_t *entry;

	if (!ack->durable || ack->point.term >= target->term)
		return 1;
	if (ack->point.position > target->count)
		return 0;
	entry = &target->log[ack->point.position - 1];
	return entry->term == ack->point.term && entry->write == ack->write;
}

void fake_record_promotion(fake_group_t *group, size_t index)
{
	const fake_target_t *target = &group->targets[index];

	group->promotions++;
	for (size_t i = 0; i < group->params.target_count; i++)
		if (i != index && group->targets[i].role == KB_ROLE_PRIMARY &&
		    group->targets[i].term == target->term)
			record_violation(group, "two primaries in one term");
	for (size_t i = 0; i < group->ack_count; i++)
		if (!has_ack(target, &group->acks[i]))
			record_violation(group, "acknowledged write lost");
	if (target->term > group->promoted_term)
		group->promoted_term = target->term;
}

void fake_record_ack(fake_group_t *group, const fake_ack_t *ack)
{
	if (group->ack_count == group->ack_capacity) {
		size_t capacity =
			group->ack_capacity ? 2 * group->ack_capacity : 64;
		fake_ack_t *acks =
			realloc(group->acks, capacity * sizeof(*acks));

		if (!acks)
			abort();
		group->acks = acks;
		group->ack_capacity = capacity;
	}
	group->acks[group->ack_count++] = *ack;
	for (size_t i = 0; i < group->params.target_count; i++)
		if (group->targets[i].role == KB_ROLE_PRIMARY &&
		    !has_ack(&group->targets[i], ack))
			record_violation(
				group,
				"acknowledged write missing on a primary");
	if (ack->stale)
		record_violation(group,
				 "write committed by a replaced primary");
	if (group->params.confirm.window &&
	    ack->point.term < group->promoted_term)
		record_violation(group,
				 "write acknowledged by a replaced primary");
}

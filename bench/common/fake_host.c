#include "fake_message.h"

#include <stdlib.h>

enum { FAKE_PERCENT = 100 };

static fake_host_t *host_of(kb_failover_t *failover)
{
	return (fake_host_t *)failover;
}

/* Sends a message with the current generation of `host`. */
static void send_from(fake_host_t *host, fake_message_t *message, size_t to)
{
	message->from = fake_group_host_node(host->group, host->index);
	message->to = to;
	message->generation = host->generation;
	fake_send(host->group, message);
}

static void send_probe(kb_failover_t *failover, size_t target, uint64_t id)
{
	fake_message_t message = { .kind = FAKE_PROBE, .id = id };

	send_from(host_of(failover), &message, target);
}

static void send_command(fake_host_t *host, kb_command_kind_t kind,
			 size_t target, uint64_t term, size_t primary)
{
	fake_message_t message = { .kind = FAKE_COMMAND,
				   .command = { kind, target, term },
				   .target = primary };

	/* A host that has restarted is a new promoter. */
	message.id = (host->index + 1) | host->generation << 8;
	send_from(host, &message, target);
}

static void fence(kb_failover_t *failover, size_t target, uint64_t term)
{
	send_command(host_of(failover), KB_COMMAND_FENCE, target, term, 0);
}

static void promote(kb_failover_t *failover, size_t target, uint64_t term)
{
	send_command(host_of(failover), KB_COMMAND_PROMOTE, target, term, 0);
}

static void follow(kb_failover_t *failover, size_t target, uint64_t term,
		   size_t primary)
{
	send_command(host_of(failover), KB_COMMAND_FOLLOW, target, term,
		     primary);
}

static void request_views(kb_failover_t *failover)
{
	fake_host_t *host = host_of(failover);

	for (size_t i = 0; i < host->group->params.watcher_count; i++) {
		fake_message_t message = { .kind = FAKE_VIEW_REQUEST };

		if (i != host->index)
			send_from(host, &message,
				  fake_group_host_node(host->group, i));
	}
}

static void primary_changed(kb_failover_t *failover, uint64_t term,
			    size_t primary, int promoted)
{
	fake_host_t *host = host_of(failover);

	(void)primary;
	if (!promoted)
		return;
	for (size_t i = 0; i < host->group->params.host_count; i++) {
		fake_message_t message = { .kind = FAKE_HINT, .id = term };

		if (i != host->index)
			send_from(host, &message,
				  fake_group_host_node(host->group, i));
	}
}

static const kb_failover_ops_t failover_ops = {
	send_probe, fence, promote, follow, request_views, primary_changed,
};

static void set_wake(fake_host_t *host, kb_time_t wake)
{
	kb_time_t now = host->group->now;

	if (wake == host->wake || wake == KB_TIME_NEVER)
		return;
	host->wake = wake;
	fake_send_self(host->group, FAKE_TIMER,
		       fake_group_host_node(host->group, host->index),
		       wake > now ? wake - now : 0);
}

/* Runs the confirmation timer and arms the host's timer for both. */
static void run_timers(fake_host_t *host, kb_time_t wake)
{
	kb_time_t confirm =
		kb_confirm_on_timer(&host->confirm, host->group->now);

	set_wake(host, confirm < wake ? confirm : wake);
}

void fake_host_start(fake_group_t *group, size_t index)
{
	fake_host_t *host = &group->hosts[index];

	host->group = group;
	host->index = index;
	host->up = 1;
	host->generation++;
	host->wake = KB_TIME_NEVER;
	group->params.failover.seed = kb_rng_next(&group->rng);
	kb_failover_init(&host->failover, &failover_ops,
			 &group->params.failover, &group->spec);
	kb_confirm_init(&host->confirm, &host->failover.watch,
			&group->params.confirm);
	if (index < group->params.watcher_count)
		kb_failover_set_watchers(&host->failover, group->now,
					 group->params.watcher_count, index);
	run_timers(host, kb_failover_on_timer(&host->failover, group->now));
	if (host->generation == 1)
		fake_send_self(group, FAKE_SUBMIT,
			       fake_group_host_node(group, index),
			       (kb_time_t)kb_rng_below(
				       &group->rng,
				       (uint64_t)group->params.write_interval));
}

static void on_done(kb_confirm_entry_t *entry, kb_result_t result)
{
	fake_write_t *write = (fake_write_t *)entry;
	fake_ack_t ack = { write->group->now,
			   { entry->term, entry->position },
			   write->id,
			   entry->position != 0,
			   write->stale };

	if (result == KB_OK)
		fake_record_ack(write->group, &ack);
	free(write);
}

static const kb_confirm_entry_ops_t write_ops = { on_done };

static void on_write_result(fake_host_t *host, const fake_message_t *message)
{
	fake_group_t *group = host->group;
	fake_write_t *write;
	kb_time_t wake;

	if (!message->point.position)
		return;
	write = calloc(1, sizeof(*write));
	if (!write)
		abort();
	write->group = group;
	write->id = message->id;
	write->stale = message->granted;
	write->entry.ops = &write_ops;
	write->entry.target = message->from;
	write->entry.term = message->point.term;
	write->entry.deadline = group->now + group->params.write_deadline;
	if (kb_rng_below(&group->rng, FAKE_PERCENT) >=
	    group->params.term_only_percent)
		write->entry.position = message->point.position;
	wake = kb_confirm_add(&host->confirm, group->now, &write->entry);
	set_wake(host, wake < host->wake ? wake : host->wake);
}

static void submit(fake_host_t *host)
{
	fake_group_t *group = host->group;
	size_t primary = kb_failover_primary(&host->failover);
	fake_message_t message = { .kind = FAKE_WRITE };

	if (primary == KB_NO_TARGET || !host->up ||
	    host->index < group->params.first_writer)
		return;
	message.id = ++group->writes;
	send_from(host, &message, primary);
}

static void on_view_request(fake_host_t *host, const fake_message_t *request)
{
	fake_message_t reply = { .kind = FAKE_VIEW,
				 .from = request->to,
				 .to = request->from,
				 .generation = request->generation };

	reply.view = kb_failover_view(&host->failover, host->group->now);
	fake_send(host->group, &reply);
	run_timers(host,
		   kb_failover_on_timer(&host->failover, host->group->now));
}

void fake_host_receive(fake_group_t *group, fake_message_t *message)
{
	fake_host_t *host =
		&group->hosts[message->to - group->params.target_count];
	kb_failover_t *failover = &host->failover;
	kb_time_t now = group->now;

	if (message->kind == FAKE_SUBMIT) {
		submit(host);
		fake_send_self(group, FAKE_SUBMIT, message->to,
			       group->params.write_interval);
		return;
	}
	if (!host->up)
		return;
	if (message->kind == FAKE_VIEW_REQUEST) {
		if (!group->params.ignores_view_requests)
			on_view_request(host, message);
		return;
	}
	if (message->kind == FAKE_HINT) {
		run_timers(host,
			   kb_failover_on_hint(failover, now, message->id));
		return;
	}
	if (message->kind == FAKE_TIMER) {
		if (now < host->wake)
			return;
		host->wake = KB_TIME_NEVER;
		run_timers(host, kb_failover_on_timer(failover, now));
		return;
	}
	if (message->generation != host->generation)
		return;
	if (message->kind == FAKE_REPORT)
		run_timers(host,
			   kb_failover_on_report(failover, now, message->from,
						 message->id, message->result,
						 &message->report));
	else if (message->kind == FAKE_COMMAND_RESULT)
		run_timers(host,
			   kb_failover_on_command_result(
				   failover, now, &message->command, KB_OK,
				   message->granted, &message->report));
	else if (message->kind == FAKE_VIEW)
		run_timers(host,
			   kb_failover_on_view(
				   failover, now,
				   message->from - group->params.target_count,
				   &message->view));
	else if (message->kind == FAKE_WRITE_RESULT)
		on_write_result(host, message);
}

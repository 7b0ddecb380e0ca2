#include "config_gossip_internal.h"

#include <stdlib.h>

enum {
	/* Changes per page; exceeded to include all changes of a revision. */
	PAGE_CHANGES = 1024,
};

static kb_time_t ms(int64_t count)
{
	return count * KB_NS_PER_MS;
}

/*
 * Counts the entries of a page that begins at `first`. All entries of a
 * revision go into the same page. Sets `*more` if further pages follow.
 */
static size_t count_page(const kb_config_entry_t *first, bool *more)
{
	const kb_config_entry_t *entry = first;
	size_t count = 0;
	size_t bytes = 0;

	for (; entry; entry = entry->next, count++) {
		kb_config_change_t change = kb_config_entry_change(entry);

		bytes += kb_config_gossip_wire_change_size(&change);
		if (count &&
		    (bytes > KB_CONFIG_GOSSIP_PAGE_BYTES ||
		     count >= PAGE_CHANGES) &&
		    entry->prev->revision != entry->revision)
			break;
	}
	*more = entry != NULL;
	return count;
}

/* Adds `count` entries to `message`, which borrows their strings and has to
 * be finished. */
static kb_result_t add_entries(kb_config_gossip_message_t *message,
			       const kb_config_entry_t *entry, size_t count)
{
	kb_config_change_t *changes;

	if (!count)
		return KB_OK;
	changes = malloc(count * sizeof(*changes));
	if (!changes)
		return KB_ERR_NO_MEMORY;
	for (size_t i = 0; i < count; i++, entry = entry->next)
		changes[i] = kb_config_entry_change(entry);
	message->storage = changes;
	message->changes = changes;
	message->change_count = count;
	return KB_OK;
}

void kb_config_gossip_push(kb_config_gossip_t *gossip, uint64_t after)
{
	const kb_config_entry_t *first =
		kb_config_set_since(&gossip->set, after);
	kb_config_gossip_message_t message;
	bool more;
	size_t count = count_page(first, &more);

	if (!count)
		return;
	kb_config_gossip_begin_message(gossip, &message, KB_CONFIG_GOSSIP_PUSH);
	message.after = after;
	/* If the changes do not fit into a page, send the digest; the
	 * receiver then pulls them. */
	if (!more && add_entries(&message, first, count))
		return;
	for (int i = 0; i < KB_CONFIG_GOSSIP_PUSH_FANOUT; i++) {
		uint32_t to = kb_config_gossip_pick_peer(gossip, true);

		if (to == KB_MEMBER_NONE)
			break;
		gossip->counters.pushes_sent++;
		if (more)
			kb_config_gossip_send_digest(gossip, to);
		else
			kb_config_gossip_send(gossip, to, &message);
	}
	kb_config_gossip_message_finish(&message);
}

static void send_page(kb_config_gossip_t *gossip, uint32_t to, uint64_t after,
		      bool full)
{
	const kb_config_entry_t *first;
	kb_config_gossip_message_t message;
	size_t count;

	if (!full && !kb_config_set_has_since(&gossip->set, after)) {
		full = true;
		after = 0;
	}
	first = kb_config_set_since(&gossip->set, after);
	kb_config_gossip_begin_message(gossip, &message, KB_CONFIG_GOSSIP_PAGE);
	count = count_page(first, &message.more);
	if (add_entries(&message, first, count))
		return;
	message.after = after;
	message.full = full;
	message.floor = gossip->set.tombstone_floor;
	gossip->counters.pages_sent++;
	kb_config_gossip_send(gossip, to, &message);
	kb_config_gossip_message_finish(&message);
}

static void send_pull(kb_config_gossip_t *gossip, uint32_t to, uint64_t after,
		      bool full)
{
	kb_config_gossip_message_t message;

	kb_config_gossip_begin_message(gossip, &message, KB_CONFIG_GOSSIP_PULL);
	message.after = after;
	message.full = full;
	kb_config_gossip_send(gossip, to, &message);
}

void kb_config_gossip_request_changes(kb_config_gossip_t *gossip, uint32_t peer)
{
	/* One transfer at a time; a later digest requests the rest. */
	if (!gossip->pull.active)
		send_pull(gossip, peer, gossip->set.complete, false);
}

/*
 * Applies the changes of a message. Skips invalid ones, as every host does.
 * Returns false if out of memory, so that some changes are missing.
 */
static bool apply(kb_config_gossip_t *gossip,
		  const kb_config_gossip_message_t *message, bool snapshot)
{
	for (size_t i = 0; i < message->change_count; i++) {
		const kb_config_change_t *change = &message->changes[i];
		bool accepted = true;
		kb_result_t result;

		if (snapshot)
			result = kb_config_set_apply_snapshot(&gossip->set,
							      change);
		else
			result = kb_config_set_apply(&gossip->set, change,
						     &accepted);
		if (result == KB_ERR_NO_MEMORY)
			return false;
		gossip->counters.stale_ignored += !accepted;
	}
	return true;
}

void kb_config_gossip_on_push(kb_config_gossip_t *gossip, uint32_t from,
			      const kb_config_gossip_message_t *message,
			      kb_time_t now)
{
	uint64_t before = gossip->set.complete;

	if (message->revision <= before)
		return;
	if (!apply(gossip, message, false))
		return;
	if (!kb_config_set_advance(&gossip->set, message->after,
				   message->revision)) {
		gossip->counters.gaps++;
		kb_config_gossip_request_changes(gossip, from);
		return;
	}
	kb_config_gossip_on_advance(gossip, before, true, now);
}

void kb_config_gossip_on_digest(kb_config_gossip_t *gossip, uint32_t from,
				const kb_config_gossip_message_t *message,
				kb_time_t now)
{
	uint64_t complete = gossip->set.complete;

	if (message->revision < complete) {
		send_page(gossip, from, message->revision, false);
		return;
	}
	if (message->revision > complete) {
		kb_config_gossip_request_changes(gossip, from);
		return;
	}
	if (message->digest == kb_config_set_digest(&gossip->set) ||
	    now < gossip->next_repair)
		return;
	/* At the same revision a different digest means that one host has
	 * lost changes. It adds those of the other and deletes nothing. */
	gossip->next_repair = now + ms(KB_CONFIG_GOSSIP_REPAIR_PERIOD_MS);
	gossip->counters.repairs++;
	if (!gossip->pull.active)
		send_pull(gossip, from, gossip->set.tombstone_floor, false);
}

void kb_config_gossip_on_pull(kb_config_gossip_t *gossip, uint32_t from,
			      const kb_config_gossip_message_t *message)
{
	send_page(gossip, from, message->after, message->full);
}

static void end_pull(kb_config_gossip_t *gossip)
{
	gossip->pull.active = false;
	gossip->pull.deadline = KB_TIME_NEVER;
}

/* Returns whether the page belongs to the transfer, or starts one. */
static bool accept_page(kb_config_gossip_t *gossip, uint32_t from,
			const kb_config_gossip_message_t *message)
{
	kb_config_gossip_pull_t *pull = &gossip->pull;

	if (pull->active)
		return pull->peer == from && pull->full == message->full &&
		       pull->cursor == message->after;
	if (message->full &&
	    (message->after || gossip->loading ||
	     message->revision <= gossip->set.complete ||
	     !kb_config_set_begin_snapshot(&gossip->set, message->revision)))
		return false;
	if (message->after > gossip->set.complete)
		return false;
	pull->active = true;
	pull->full = message->full;
	pull->peer = from;
	pull->base = message->after;
	pull->revision = 0;
	gossip->counters.transfers++;
	return true;
}

/* Ends a transfer with its last page. */
static void complete_pull(kb_config_gossip_t *gossip,
			  const kb_config_gossip_message_t *message,
			  kb_time_t now)
{
	kb_config_gossip_pull_t *pull = &gossip->pull;
	uint64_t before = gossip->set.complete;

	end_pull(gossip);
	/* A peer that has restarted since may be behind its earlier pages. */
	if (message->revision < pull->revision)
		return;
	if (pull->full)
		kb_config_set_end_snapshot(&gossip->set, message->revision,
					   message->floor);
	else
		kb_config_set_advance(&gossip->set, pull->base,
				      message->revision);
	kb_config_gossip_on_advance(gossip, before, !pull->full, now);
}

void kb_config_gossip_on_page(kb_config_gossip_t *gossip, uint32_t from,
			      const kb_config_gossip_message_t *message,
			      kb_time_t now)
{
	kb_config_gossip_pull_t *pull = &gossip->pull;

	if (!accept_page(gossip, from, message)) {
		apply(gossip, message, false);
		return;
	}
	if (!apply(gossip, message, message->full)) {
		end_pull(gossip);
		return;
	}
	if (!message->more) {
		complete_pull(gossip, message, now);
		return;
	}
	if (!message->change_count) {
		end_pull(gossip);
		return;
	}
	if (message->revision > pull->revision)
		pull->revision = message->revision;
	pull->cursor = message->changes[message->change_count - 1].revision;
	pull->retries = 0;
	pull->deadline = now + ms(KB_CONFIG_GOSSIP_PULL_TIMEOUT_MS);
	send_pull(gossip, from, pull->cursor, pull->full);
}

void kb_config_gossip_on_pull_timeout(kb_config_gossip_t *gossip, kb_time_t now)
{
	kb_config_gossip_pull_t *pull = &gossip->pull;
	const kb_member_t *peer = &gossip->members->table.members[pull->peer];

	if (!kb_member_is_live(peer) ||
	    ++pull->retries > KB_CONFIG_GOSSIP_PULL_MAX_RETRIES) {
		end_pull(gossip);
		return;
	}
	pull->deadline = now + ms(KB_CONFIG_GOSSIP_PULL_TIMEOUT_MS);
	send_pull(gossip, pull->peer, pull->cursor, pull->full);
}

kb_result_t kb_config_gossip_on_store_changes(kb_config_gossip_t *gossip,
					      const kb_config_change_t *changes,
					      size_t count, uint64_t revision,
					      kb_time_t now)
{
	uint64_t before = gossip->set.complete;
	kb_result_t result = KB_OK;

	for (size_t i = 0; i < count; i++) {
		bool accepted;
		kb_result_t fault = kb_config_set_apply(&gossip->set,
							&changes[i], &accepted);

		if (!result || fault == KB_ERR_NO_MEMORY)
			result = fault;
		gossip->counters.stale_ignored += !accepted;
	}
	if (result == KB_ERR_NO_MEMORY)
		return result;
	kb_config_set_advance(&gossip->set, before, revision);
	kb_config_gossip_on_advance(gossip, before, true, now);
	return result;
}

bool kb_config_gossip_on_load_begin(kb_config_gossip_t *gossip,
				    uint64_t revision)
{
	if (!kb_config_set_begin_snapshot(&gossip->set, revision))
		return false;
	if (gossip->pull.active && gossip->pull.full)
		end_pull(gossip);
	gossip->loading = true;
	return true;
}

kb_result_t kb_config_gossip_on_load(kb_config_gossip_t *gossip,
				     const kb_config_change_t *changes,
				     size_t count)
{
	kb_result_t result = gossip->loading ? KB_OK : KB_ERR_CLOSED;

	for (size_t i = 0; i < count && !result; i++)
		result =
			kb_config_set_apply_snapshot(&gossip->set, &changes[i]);
	return result;
}

kb_result_t kb_config_gossip_on_load_end(kb_config_gossip_t *gossip,
					 uint64_t revision, kb_time_t now)
{
	uint64_t before = gossip->set.complete;
	kb_result_t result;

	if (!gossip->loading)
		return KB_ERR_CLOSED;
	gossip->loading = false;
	result = kb_config_set_end_snapshot(&gossip->set, revision, revision);
	if (!result)
		kb_config_gossip_on_advance(gossip, before, true, now);
	return result;
}

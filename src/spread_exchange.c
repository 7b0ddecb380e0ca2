#include "spread_internal.h"

#include <stdlib.h>

enum {
	/* A page ends after so many changes, once their revision is whole. */
	PAGE_CHANGES = 1024,
};

static kb_time_t ms(int64_t count)
{
	return count * KB_NS_PER_MS;
}

/*
 * Counts the entries of a page that begins at `first`. All entries of one
 * revision go into the same page. Sets `*more` if others follow.
 */
static size_t count_page(const kb_config_entry_t *first, bool *more)
{
	const kb_config_entry_t *entry = first;
	size_t count = 0;
	size_t bytes = 0;

	for (; entry; entry = entry->next, count++) {
		kb_config_change_t change = kb_config_entry_change(entry);

		bytes += kb_spread_wire_change_size(&change);
		if (count &&
		    (bytes > KB_SPREAD_PAGE_BYTES || count >= PAGE_CHANGES) &&
		    entry->prev->revision != entry->revision)
			break;
	}
	*more = entry != NULL;
	return count;
}

/* Lends `count` entries to `message`, which the caller has to finish. */
static kb_result_t add_entries(kb_spread_message_t *message,
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

void kb_spread_push(kb_spread_t *spread, uint64_t after)
{
	const kb_config_entry_t *first =
		kb_config_set_since(&spread->set, after);
	kb_spread_message_t message;
	bool more;
	size_t count = count_page(first, &more);

	if (!count)
		return;
	kb_spread_begin_message(spread, &message, KB_SPREAD_PUSH);
	message.after = after;
	/* What does not fit is fetched by those who see the digest. */
	if (!more && add_entries(&message, first, count))
		return;
	for (int i = 0; i < KB_SPREAD_PUSH_FANOUT; i++) {
		uint32_t to = kb_spread_pick(spread, true);

		if (to == KB_MEMBER_NONE)
			break;
		spread->counters.pushes_sent++;
		if (more)
			kb_spread_send_digest(spread, to);
		else
			kb_spread_send(spread, to, &message);
	}
	kb_spread_message_finish(&message);
}

static void send_page(kb_spread_t *spread, uint32_t to, uint64_t after,
		      bool whole)
{
	const kb_config_entry_t *first;
	kb_spread_message_t message;
	size_t count;

	if (!whole && !kb_config_set_has_since(&spread->set, after)) {
		whole = true;
		after = 0;
	}
	first = kb_config_set_since(&spread->set, after);
	kb_spread_begin_message(spread, &message, KB_SPREAD_PAGE);
	count = count_page(first, &message.more);
	if (add_entries(&message, first, count))
		return;
	message.after = after;
	message.whole = whole;
	message.floor = spread->set.tombstone_floor;
	spread->counters.pages_sent++;
	kb_spread_send(spread, to, &message);
	kb_spread_message_finish(&message);
}

static void send_pull(kb_spread_t *spread, uint32_t to, uint64_t after,
		      bool whole)
{
	kb_spread_message_t message;

	kb_spread_begin_message(spread, &message, KB_SPREAD_PULL);
	message.after = after;
	message.whole = whole;
	kb_spread_send(spread, to, &message);
}

void kb_spread_request_changes(kb_spread_t *spread, uint32_t peer)
{
	/* One transfer at a time; the next digest finds what is left. */
	if (!spread->pull.active)
		send_pull(spread, peer, spread->set.complete, false);
}

/*
 * Takes changes. A faulty one is left out, as it is on every host. Returns
 * false if memory ran out, so that some are missing.
 */
static bool apply(kb_spread_t *spread, const kb_spread_message_t *message,
		  bool snapshot)
{
	for (size_t i = 0; i < message->change_count; i++) {
		const kb_config_change_t *change = &message->changes[i];
		bool accepted = true;
		kb_result_t result;

		if (snapshot)
			result = kb_config_set_apply_snapshot(&spread->set,
							      change);
		else
			result = kb_config_set_apply(&spread->set, change,
						     &accepted);
		if (result == KB_ERR_NO_MEMORY)
			return false;
		spread->counters.stale_ignored += !accepted;
	}
	return true;
}

void kb_spread_on_push(kb_spread_t *spread, uint32_t from,
		       const kb_spread_message_t *message, kb_time_t now)
{
	uint64_t before = spread->set.complete;

	if (message->revision <= before)
		return;
	if (!apply(spread, message, false))
		return;
	if (!kb_config_set_advance(&spread->set, message->after,
				   message->revision)) {
		spread->counters.gaps++;
		kb_spread_request_changes(spread, from);
		return;
	}
	kb_spread_on_advance(spread, before, true, now);
}

void kb_spread_on_digest(kb_spread_t *spread, uint32_t from,
			 const kb_spread_message_t *message, kb_time_t now)
{
	uint64_t complete = spread->set.complete;

	if (message->revision < complete) {
		send_page(spread, from, message->revision, false);
		return;
	}
	if (message->revision > complete) {
		kb_spread_request_changes(spread, from);
		return;
	}
	if (message->digest == kb_config_set_digest(&spread->set) ||
	    now < spread->next_repair)
		return;
	/* Both have the same changes, so that one has lost some: it takes
	 * those of the other in addition, and deletes nothing. */
	spread->next_repair = now + ms(KB_SPREAD_REPAIR_PERIOD_MS);
	spread->counters.repairs++;
	if (!spread->pull.active)
		send_pull(spread, from, spread->set.tombstone_floor, false);
}

void kb_spread_on_pull(kb_spread_t *spread, uint32_t from,
		       const kb_spread_message_t *message)
{
	send_page(spread, from, message->after, message->whole);
}

static void end_pull(kb_spread_t *spread)
{
	spread->pull.active = false;
	spread->pull.deadline = KB_TIME_NEVER;
}

/* Returns whether the page belongs to a transfer, which it may begin. */
static bool join_pull(kb_spread_t *spread, uint32_t from,
		      const kb_spread_message_t *message)
{
	kb_spread_pull_t *pull = &spread->pull;

	if (pull->active)
		return pull->peer == from && pull->whole == message->whole &&
		       pull->cursor == message->after;
	if (message->whole &&
	    (message->after || spread->loading ||
	     message->revision <= spread->set.complete ||
	     !kb_config_set_begin_snapshot(&spread->set, message->revision)))
		return false;
	if (message->after > spread->set.complete)
		return false;
	pull->active = true;
	pull->whole = message->whole;
	pull->peer = from;
	pull->base = message->after;
	pull->revision = 0;
	spread->counters.transfers++;
	return true;
}

/* Ends a transfer with its last page. */
static void complete_pull(kb_spread_t *spread,
			  const kb_spread_message_t *message, kb_time_t now)
{
	kb_spread_pull_t *pull = &spread->pull;
	uint64_t before = spread->set.complete;

	end_pull(spread);
	/* A peer that has restarted meanwhile may be behind its own pages. */
	if (message->revision < pull->revision)
		return;
	if (pull->whole)
		kb_config_set_end_snapshot(&spread->set, message->revision,
					   message->floor);
	else
		kb_config_set_advance(&spread->set, pull->base,
				      message->revision);
	kb_spread_on_advance(spread, before, !pull->whole, now);
}

void kb_spread_on_page(kb_spread_t *spread, uint32_t from,
		       const kb_spread_message_t *message, kb_time_t now)
{
	kb_spread_pull_t *pull = &spread->pull;

	if (!join_pull(spread, from, message)) {
		apply(spread, message, false);
		return;
	}
	if (!apply(spread, message, message->whole)) {
		end_pull(spread);
		return;
	}
	if (!message->more) {
		complete_pull(spread, message, now);
		return;
	}
	if (!message->change_count) {
		end_pull(spread);
		return;
	}
	if (message->revision > pull->revision)
		pull->revision = message->revision;
	pull->cursor = message->changes[message->change_count - 1].revision;
	pull->tries = 0;
	pull->deadline = now + ms(KB_SPREAD_PULL_TIMEOUT_MS);
	send_pull(spread, from, pull->cursor, pull->whole);
}

void kb_spread_on_pull_timeout(kb_spread_t *spread, kb_time_t now)
{
	kb_spread_pull_t *pull = &spread->pull;
	const kb_member_t *peer = &spread->members->table.members[pull->peer];

	if (!kb_member_is_live(peer) || ++pull->tries > KB_SPREAD_PULL_TRIES) {
		end_pull(spread);
		return;
	}
	pull->deadline = now + ms(KB_SPREAD_PULL_TIMEOUT_MS);
	send_pull(spread, pull->peer, pull->cursor, pull->whole);
}

kb_result_t kb_spread_on_store_changes(kb_spread_t *spread,
				       const kb_config_change_t *changes,
				       size_t count, uint64_t revision,
				       kb_time_t now)
{
	uint64_t before = spread->set.complete;
	kb_result_t result = KB_OK;

	for (size_t i = 0; i < count; i++) {
		bool accepted;
		kb_result_t fault = kb_config_set_apply(&spread->set,
							&changes[i], &accepted);

		if (!result || fault == KB_ERR_NO_MEMORY)
			result = fault;
		spread->counters.stale_ignored += !accepted;
	}
	if (result == KB_ERR_NO_MEMORY)
		return result;
	kb_config_set_advance(&spread->set, before, revision);
	kb_spread_on_advance(spread, before, true, now);
	return result;
}

bool kb_spread_on_load_begin(kb_spread_t *spread, uint64_t revision)
{
	if (!kb_config_set_begin_snapshot(&spread->set, revision))
		return false;
	if (spread->pull.active && spread->pull.whole)
		end_pull(spread);
	spread->loading = true;
	return true;
}

kb_result_t kb_spread_on_load(kb_spread_t *spread,
			      const kb_config_change_t *changes, size_t count)
{
	kb_result_t result = spread->loading ? KB_OK : KB_ERR_CLOSED;

	for (size_t i = 0; i < count && !result; i++)
		result =
			kb_config_set_apply_snapshot(&spread->set, &changes[i]);
	return result;
}

kb_result_t kb_spread_on_load_end(kb_spread_t *spread, uint64_t revision,
				  kb_time_t now)
{
	uint64_t before = spread->set.complete;
	kb_result_t result;

	if (!spread->loading)
		return KB_ERR_CLOSED;
	spread->loading = false;
	result = kb_config_set_end_snapshot(&spread->set, revision, revision);
	if (!result)
		kb_spread_on_advance(spread, before, true, now);
	return result;
}

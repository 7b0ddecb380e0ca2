#include "gossip_queue.h"

#include <stdlib.h>

enum {
	INITIAL_CAPACITY = 16,
};

void kb_gossip_queue_init(kb_gossip_queue_t *queue)
{
	memset(queue, 0, sizeof(*queue));
}

void kb_gossip_queue_finish(kb_gossip_queue_t *queue)
{
	free(queue->indices);
	memset(queue, 0, sizeof(*queue));
}

kb_result_t kb_gossip_queue_push(kb_gossip_queue_t *queue,
				 kb_member_table_t *table, uint32_t index,
				 uint8_t sends)
{
	kb_member_t *member = &table->members[index];

	if (!member->queued && queue->count == queue->capacity) {
		size_t capacity = queue->capacity ? queue->capacity * 2
						  : INITIAL_CAPACITY;
		uint32_t *indices =
			realloc(queue->indices, capacity * sizeof(*indices));

		if (!indices)
			return KB_ERR_NO_MEMORY;
		queue->indices = indices;
		queue->capacity = capacity;
	}
	if (!member->queued)
		queue->indices[queue->count++] = index;
	member->queued = true;
	member->sends_left = sends;
	return KB_OK;
}

static void take_out(kb_gossip_queue_t *queue, kb_member_table_t *table,
		     size_t place)
{
	table->members[queue->indices[place]].queued = false;
	queue->indices[place] = queue->indices[--queue->count];
}

void kb_gossip_queue_remove(kb_gossip_queue_t *queue, kb_member_table_t *table,
			    uint32_t index)
{
	if (!table->members[index].queued)
		return;
	for (size_t i = 0; i < queue->count; i++) {
		if (queue->indices[i] == index) {
			take_out(queue, table, i);
			return;
		}
	}
}

void kb_gossip_queue_count_duplicate(kb_gossip_queue_t *queue,
				     kb_member_table_t *table, uint32_t index)
{
	kb_member_t *member = &table->members[index];

	if (member->queued && !--member->sends_left)
		kb_gossip_queue_remove(queue, table, index);
}

static uint8_t most_sends_left(const kb_gossip_queue_t *queue,
			       const kb_member_table_t *table)
{
	uint8_t most = 0;

	for (size_t i = 0; i < queue->count; i++) {
		uint8_t left = table->members[queue->indices[i]].sends_left;

		if (left > most)
			most = left;
	}
	return most;
}

static bool holds_name(const kb_member_message_t *message, kb_str_t name)
{
	for (size_t i = 0; i < message->record_count; i++)
		if (kb_name_is(&message->records[i].name, name))
			return true;
	return false;
}

/* Appends the claims with `level` sends left; returns the bytes taken. */
static size_t fill_level(kb_gossip_queue_t *queue, kb_member_table_t *table,
			 kb_member_message_t *message, size_t max_bytes,
			 uint8_t level)
{
	size_t bytes = 0;
	size_t i = 0;

	while (i < queue->count &&
	       message->record_count < KB_MEMBER_RECORDS_MAX) {
		kb_member_t *member = &table->members[queue->indices[i]];
		kb_member_record_t *record =
			&message->records[message->record_count];
		size_t size;

		if (member->sends_left != level ||
		    holds_name(message, kb_member_name(member))) {
			i++;
			continue;
		}
		kb_member_to_record(member, record);
		if (!member->fresh)
			kb_member_clear_location(record);
		size = kb_member_wire_record_size(record);
		if (bytes + size > max_bytes)
			break;
		bytes += size;
		message->record_count++;
		if (--member->sends_left)
			i++;
		else
			take_out(queue, table, i);
	}
	return bytes;
}

void kb_gossip_queue_fill(kb_gossip_queue_t *queue, kb_member_table_t *table,
			  kb_member_message_t *message, size_t max_bytes)
{
	for (uint8_t level = most_sends_left(queue, table); level; level--) {
		size_t bytes =
			fill_level(queue, table, message, max_bytes, level);

		max_bytes -= bytes;
	}
}

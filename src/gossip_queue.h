#ifndef KB_GOSSIP_QUEUE_H
#define KB_GOSSIP_QUEUE_H

#include "member_table.h"

KB_BEGIN_DECLS

/*
 * Hosts whose claims are to be passed on. A claim is read from the table when
 * it is sent, so that only the newest one travels.
 */
typedef struct kb_gossip_queue {
	uint32_t *indices;
	size_t count;
	size_t capacity;
} kb_gossip_queue_t;

void kb_gossip_queue_init(kb_gossip_queue_t *queue);

void kb_gossip_queue_finish(kb_gossip_queue_t *queue);

/*
 * Queues the claim about host `index` to be sent `sends` times from now on.
 * Returns KB_ERR_NO_MEMORY or KB_OK.
 */
kb_result_t kb_gossip_queue_push(kb_gossip_queue_t *queue,
				 kb_member_table_t *table, uint32_t index,
				 uint8_t sends);

/* Takes host `index`, which is about to be removed, out of the queue. */
void kb_gossip_queue_remove(kb_gossip_queue_t *queue, kb_member_table_t *table,
			    uint32_t index);

/* Counts a claim about host `index` that others sent as one sent here. */
void kb_gossip_queue_count_duplicate(kb_gossip_queue_t *queue,
				     kb_member_table_t *table, uint32_t index);

/*
 * Appends claims to `message` while they fit into `max_bytes` in all, those
 * sent the least first, and takes out those that have been sent enough.
 */
void kb_gossip_queue_fill(kb_gossip_queue_t *queue, kb_member_table_t *table,
			  kb_member_message_t *message, size_t max_bytes);

KB_END_DECLS

#endif

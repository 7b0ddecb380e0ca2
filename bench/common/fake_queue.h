#ifndef FAKE_QUEUE_H
#define FAKE_QUEUE_H

#include "kumquatbridge.h"

KB_BEGIN_DECLS

typedef struct fake_slot {
	kb_time_t time;
	uint64_t sequence;
	size_t item;
} fake_slot_t;

/* A queue of items of one size, ordered by time and then by insertion. */
typedef struct fake_queue {
	size_t item_size;
	fake_slot_t *heap;
	size_t count, capacity;
	unsigned char *items;
	size_t *free_items;
	size_t free_count;
	uint64_t sequence;
} fake_queue_t;

/* Initializes an empty queue. */
void fake_queue_init(fake_queue_t *queue, size_t item_size);

/* Frees the queue. */
void fake_queue_finish(fake_queue_t *queue);

/* Inserts a copy of `item`. */
void fake_queue_push(fake_queue_t *queue, kb_time_t time, const void *item);

/* Returns the time of the first item, or KB_TIME_NEVER. */
kb_time_t fake_queue_next(const fake_queue_t *queue);

/* Moves the first item into `item`; the queue must not be empty. */
void fake_queue_pop(fake_queue_t *queue, void *item);

KB_END_DECLS

#endif

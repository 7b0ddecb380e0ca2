#include "fake_queue.h"

#include <stdlib.h>
#include <string.h>

enum { FAKE_QUEUE_FIRST_CAPACITY = 64 };

void fake_queue_init(fake_queue_t *queue, size_t item_size)
{
	memset(queue, 0, sizeof(*queue));
	queue->item_size = item_size;
}

void fake_queue_finish(fake_queue_t *queue)
{
	free(queue->heap);
	free(queue->items);
	free(queue->free_items);
	memset(queue, 0, sizeof(*queue));
}

static void *grown(void *memory, size_t count, size_t size)
{
	void *larger = realloc(memory, count * size);

	if (!larger)
		abort();
	return larger;
}

static void grow(fake_queue_t *queue)
{
	size_t old = queue->capacity;

	queue->capacity = old ? 2 * old : FAKE_QUEUE_FIRST_CAPACITY;
	queue->heap =
		grown(queue->heap, queue->capacity, sizeof(queue->heap[0]));
	queue->items = grown(queue->items, queue->capacity, queue->item_size);
	queue->free_items = grown(queue->free_items, queue->capacity,
				  sizeof(queue->free_items[0]));
	for (size_t i = old; i < queue->capacity; i++)
		queue->free_items[queue->free_count++] = i;
}

static int is_before(const fake_slot_t *a, const fake_slot_t *b)
{
	if (a->time != b->time)
		return a->time < b->time;
	return a->sequence < b->sequence;
}

void fake_queue_push(fake_queue_t *queue, kb_time_t time, const void *item)
{
	fake_slot_t slot;
	size_t place;

	if (!queue->free_count)
		grow(queue);
	slot.time = time;
	slot.sequence = queue->sequence++;
	slot.item = queue->free_items[--queue->free_count];
	memcpy(queue->items + slot.item * queue->item_size, item,
	       queue->item_size);
	place = queue->count++;
	while (place && is_before(&slot, &queue->heap[(place - 1) / 2])) {
		queue->heap[place] = queue->heap[(place - 1) / 2];
		place = (place - 1) / 2;
	}
	queue->heap[place] = slot;
}

kb_time_t fake_queue_next(const fake_queue_t *queue)
{
	return queue->count ? queue->heap[0].time : KB_TIME_NEVER;
}

void fake_queue_pop(fake_queue_t *queue, void *item)
{
	fake_slot_t *heap = queue->heap;
	fake_slot_t last;
	size_t place = 0;

	memcpy(item, queue->items + heap[0].item * queue->item_size,
	       queue->item_size);
	queue->free_items[queue->free_count++] = heap[0].item;
	last = heap[--queue->count];
	for (size_t child; (child = 2 * place + 1) < queue->count;
	     place = child) {
		if (child + 1 < queue->count &&
		    is_before(&heap[child + 1], &heap[child]))
			child++;
		if (!is_before(&heap[child], &last))
			break;
		heap[place] = heap[child];
	}
	if (queue->count)
		heap[place] = last;
}

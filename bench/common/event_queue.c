#include "event_queue.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { FIRST_CAPACITY = 1024 };

static void out_of_memory(void)
{
	fputs("out of memory\n", stderr);
	exit(1);
}

void *kb_bench_alloc(size_t count, size_t size)
{
	void *memory = calloc(count, size);

	if (!memory)
		out_of_memory();
	return memory;
}

void kb_event_queue_init(kb_event_queue_t *queue)
{
	memset(queue, 0, sizeof(*queue));
}

void kb_event_queue_finish(kb_event_queue_t *queue)
{
	free(queue->heap);
}

static int earlier(const kb_event_item_t *a, const kb_event_item_t *b)
{
	return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

static void grow(kb_event_queue_t *queue)
{
	kb_event_item_t *heap;

	queue->capacity =
		queue->capacity ? 2 * queue->capacity : FIRST_CAPACITY;
	heap = realloc(queue->heap, queue->capacity * sizeof(*heap));
	if (!heap)
		out_of_memory();
	queue->heap = heap;
}

void kb_event_queue_add(kb_event_queue_t *queue, kb_time_t at,
			kb_event_fn_t *run, void *ctx, void *arg)
{
	kb_event_item_t item = { at, queue->next_sequence++, run, ctx, arg };
	size_t i = queue->count;

	if (queue->count == queue->capacity)
		grow(queue);
	queue->count++;
	for (; i && earlier(&item, &queue->heap[(i - 1) / 2]); i = (i - 1) / 2)
		queue->heap[i] = queue->heap[(i - 1) / 2];
	queue->heap[i] = item;
}

static kb_event_item_t take_first(kb_event_queue_t *queue)
{
	kb_event_item_t first = queue->heap[0];
	kb_event_item_t last = queue->heap[--queue->count];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= queue->count)
			break;
		if (child + 1 < queue->count &&
		    earlier(&queue->heap[child + 1], &queue->heap[child]))
			child++;
		if (!earlier(&queue->heap[child], &last))
			break;
		queue->heap[i] = queue->heap[child];
		i = child;
	}
	queue->heap[i] = last;
	return first;
}

void kb_event_queue_run(kb_event_queue_t *queue, kb_time_t end)
{
	while (queue->count && queue->heap[0].at <= end) {
		kb_event_item_t item = take_first(queue);

		item.run(item.ctx, item.arg, item.at);
	}
}

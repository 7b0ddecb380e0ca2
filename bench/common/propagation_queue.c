#include "propagation_queue.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	INITIAL_CAPACITY = 1024,
};

void propagation_queue_init(propagation_queue_t *queue)
{
	memset(queue, 0, sizeof(*queue));
}

void propagation_queue_finish(propagation_queue_t *queue)
{
	for (size_t i = 0; i < queue->count; i++)
		free(queue->events[i].bytes);
	free(queue->events);
}

static int before(const propagation_event_t *a, const propagation_event_t *b)
{
	if (a->time != b->time)
		return a->time < b->time;
	return a->order < b->order;
}

static void grow(propagation_queue_t *queue)
{
	size_t capacity =
		queue->capacity ? queue->capacity * 2 : INITIAL_CAPACITY;
	propagation_event_t *events =
		realloc(queue->events, capacity * sizeof(*events));

	if (!events) {
		fprintf(stderr, "out of memory\n");
		exit(1);
	}
	queue->events = events;
	queue->capacity = capacity;
}

void propagation_queue_push(propagation_queue_t *queue,
			    propagation_event_t event)
{
	size_t i = queue->count;

	if (queue->count == queue->capacity)
		grow(queue);
	queue->count++;
	event.order = queue->order++;
	for (; i && before(&event, &queue->events[(i - 1) / 2]);
	     i = (i - 1) / 2)
		queue->events[i] = queue->events[(i - 1) / 2];
	queue->events[i] = event;
}

propagation_event_t propagation_queue_pop(propagation_queue_t *queue)
{
	propagation_event_t first = queue->events[0];
	propagation_event_t last = queue->events[--queue->count];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= queue->count)
			break;
		if (child + 1 < queue->count &&
		    before(&queue->events[child + 1], &queue->events[child]))
			child++;
		if (!before(&queue->events[child], &last))
			break;
		queue->events[i] = queue->events[child];
		i = child;
	}
	queue->events[i] = last;
	return first;
}

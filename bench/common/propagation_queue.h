#ifndef PROPAGATION_QUEUE_H
#define PROPAGATION_QUEUE_H

#include "kumquatbridge.h"

/* What happens at a host at a time. */
typedef enum propagation_kind {
	PROPAGATION_MEMBER_TIMER,
	PROPAGATION_SPREAD_TIMER,
	PROPAGATION_MEMBER_MESSAGE,
	PROPAGATION_SPREAD_MESSAGE,
	/* The watch of the store delivers. */
	PROPAGATION_WATCH,
} propagation_kind_t;

typedef struct propagation_event {
	kb_time_t time;
	uint64_t order;
	propagation_kind_t kind;
	uint32_t host;
	/* Run of the host that the event is meant for. */
	uint32_t run;
	char *bytes;
	size_t len;
} propagation_event_t;

/* Events in the order of their time. */
typedef struct propagation_queue {
	propagation_event_t *events;
	size_t count;
	size_t capacity;
	uint64_t order;
} propagation_queue_t;

void propagation_queue_init(propagation_queue_t *queue);

void propagation_queue_finish(propagation_queue_t *queue);

/* Takes `event` with the bytes that it owns. */
void propagation_queue_push(propagation_queue_t *queue,
			    propagation_event_t event);

/* Takes the first event out; the caller frees its bytes. */
propagation_event_t propagation_queue_pop(propagation_queue_t *queue);

#endif

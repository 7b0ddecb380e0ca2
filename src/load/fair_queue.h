#ifndef KB_FAIR_QUEUE_H
#define KB_FAIR_QUEUE_H

#include "group.h"
#include "stride.h"

KB_BEGIN_DECLS

/*
 * A queue that shares service time by weight between traffic classes and
 * evenly between the callers of one class (stride scheduling). The next entry
 * is one of the class, and of the caller in it, that has received the least
 * service so far. The cost of an entry is estimated when it starts and
 * corrected when it ends. The queue allocates nothing; entries belong to the
 * owner.
 */

#define KB_FAIR_MAX_CLASSES 16
/* Flows, which are pairs of class and caller, that are tracked at a time. */
#define KB_FAIR_MAX_FLOWS 128

typedef struct kb_fair_entry kb_fair_entry_t;
typedef struct kb_fair_flow kb_fair_flow_t;

/* Priority of an entry within its flow, highest first. */
typedef enum kb_fair_priority {
	/* Statements of open transactions, which are never evicted. */
	KB_FAIR_PRIORITY_IN_TRANSACTION,
	KB_FAIR_PRIORITY_STATEMENT,
	/* Entries that may start only while `allow_begin` permits it. */
	KB_FAIR_PRIORITY_BEGIN,
	KB_FAIR_PRIORITIES,
} kb_fair_priority_t;

/* A queued or running entry; all members are private. */
struct kb_fair_entry {
	kb_fair_entry_t *prev;
	kb_fair_entry_t *next;
	kb_fair_flow_t *flow;
	kb_fair_priority_t priority;
	kb_time_t charged;
};

/* A doubly linked list of entries, oldest first. */
typedef struct kb_fair_list {
	kb_fair_entry_t *first;
	kb_fair_entry_t *last;
} kb_fair_list_t;

/* The entries of one caller in one class. */
struct kb_fair_flow {
	kb_name_t caller;
	size_t class_index;
	unsigned queued;
	unsigned running;
	kb_stride_t stride;
	kb_fair_list_t queues[KB_FAIR_PRIORITIES];
};

/* A traffic class with its measurements. */
typedef struct kb_fair_class {
	kb_traffic_class_t spec;
	unsigned queued;
	unsigned running;
	kb_stride_t stride;
	kb_stride_clock_t flow_clock;
	/* Moving mean of the service time, or 0 before the first one. */
	kb_time_t mean_service;
} kb_fair_class_t;

typedef struct kb_fair_queue {
	size_t class_count;
	kb_fair_class_t classes[KB_FAIR_MAX_CLASSES];
	kb_fair_flow_t flows[KB_FAIR_MAX_FLOWS];
	kb_stride_clock_t class_clock;
	unsigned queued;
} kb_fair_queue_t;

/* Decides whether the oldest BEGIN of `caller` may start now. */
typedef int kb_fair_allow_fn_t(void *ctx, const kb_name_t *caller);

/* Restricts which entries kb_fair_queue_pop() may return. */
typedef struct kb_fair_filter {
	/* Bulk classes are skipped if zero. */
	int allow_bulk;
	kb_fair_allow_fn_t *allow_begin;
	void *ctx;
} kb_fair_filter_t;

void kb_fair_queue_init(kb_fair_queue_t *queue);

/*
 * Adds a class or changes the one with the same name. Returns KB_ERR_TOO_LARGE
 * if there are too many.
 */
kb_result_t kb_fair_queue_set_class(kb_fair_queue_t *queue,
				    const kb_traffic_class_t *spec);

/* Returns the index of a class, or `class_count` if there is none. */
size_t kb_fair_queue_find_class(const kb_fair_queue_t *queue, kb_str_t name);

/*
 * Appends an entry. Returns KB_ERR_OVERLOADED if all flows are in use and
 * KB_ERR_NOT_FOUND if the class does not exist. An entry of an open transaction
 * is never refused as overload: it shares the flow of another caller instead.
 */
kb_result_t kb_fair_queue_push(kb_fair_queue_t *queue, kb_fair_entry_t *entry,
			       size_t class_index, const kb_name_t *caller,
			       kb_fair_priority_t priority);

/*
 * Removes and returns the entry to start next, or returns NULL. Its flow is
 * charged with the estimated cost.
 */
kb_fair_entry_t *kb_fair_queue_pop(kb_fair_queue_t *queue,
				   const kb_fair_filter_t *filter);

/* Removes a queued entry. */
void kb_fair_queue_remove(kb_fair_queue_t *queue, kb_fair_entry_t *entry);

/*
 * Returns the newest evictable entry of the caller that has the most entries in
 * the class, if it has at least two more than `caller`. Returns NULL otherwise.
 */
kb_fair_entry_t *kb_fair_queue_evictable(kb_fair_queue_t *queue,
					 size_t class_index,
					 const kb_name_t *caller);

/* Refunds the charge for an entry that was popped and did not run. */
void kb_fair_queue_refund(kb_fair_queue_t *queue, kb_fair_entry_t *entry);

/* Ends an entry that was popped and has run for `service`. */
void kb_fair_queue_complete(kb_fair_queue_t *queue, kb_fair_entry_t *entry,
			    kb_time_t service);

/*
 * Returns the estimated wait of a new entry of a class and caller if `slots`
 * entries run at a time and all slots are taken.
 */
kb_time_t kb_fair_queue_expected_wait(const kb_fair_queue_t *queue,
				      size_t class_index,
				      const kb_name_t *caller, unsigned slots);

/* Returns the estimated service time of all queued and running entries. */
kb_time_t kb_fair_queue_expected_work(const kb_fair_queue_t *queue);

/* Calls `visit` for each queued entry, which `visit` may remove. */
void kb_fair_queue_each(kb_fair_queue_t *queue,
			void (*visit)(void *ctx, kb_fair_entry_t *entry),
			void *ctx);

void kb_fair_list_append(kb_fair_list_t *list, kb_fair_entry_t *entry);
void kb_fair_list_remove(kb_fair_list_t *list, kb_fair_entry_t *entry);

KB_END_DECLS

#endif

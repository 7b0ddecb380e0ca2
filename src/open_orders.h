#ifndef KB_OPEN_ORDERS_H
#define KB_OPEN_ORDERS_H

#include "promotion_order.h"

KB_BEGIN_DECLS

enum {
	/* A request without an answer may take effect for this time. */
	KB_OPEN_ORDERS_UNANSWERED_MAX_S = 20,
	/* A request takes effect within this time after it was accepted. */
	KB_OPEN_ORDERS_ACCEPTED_MAX_MS = 2000,
};

/* The requests to promote one target that may still take effect. */
typedef struct kb_open_order {
	kb_name_t target;
	/* Those in flight and those whose answer was lost; the last one. */
	unsigned unanswered;
	kb_time_t unanswered_until;
	/* Until then an accepted one may take effect. */
	kb_time_t accepted_until;
} kb_open_order_t;

/*
 * The requests to promote targets of a group that may still take effect. A
 * request whose answer was lost may be carried out late, also after later ones.
 */
typedef struct kb_open_orders {
	size_t count;
	kb_open_order_t orders[KB_ORDER_TARGETS_MAX];
} kb_open_orders_t;

/*
 * Adds a request that is about to be sent, or that another host may have sent.
 * Returns 0 if there are requests for too many targets.
 */
int kb_open_orders_add(kb_open_orders_t *orders, const kb_name_t *target,
		       kb_time_t now);

/* Adds a request for each target that is not contained, if there is room. */
void kb_open_orders_add_all(kb_open_orders_t *orders,
			    const kb_order_targets_t *targets, kb_time_t now);

/*
 * Takes the answer to a request: it was accepted, or not carried out. Not
 * called if the answer was lost.
 */
void kb_open_orders_on_answer(kb_open_orders_t *orders, kb_str_t target,
			      int accepted, kb_time_t now);

/* Removes the targets whose requests can't take effect any more. */
void kb_open_orders_expire(kb_open_orders_t *orders, kb_time_t now);

/*
 * Fills in the targets that an order to promote `next` has to name: the others,
 * and `next` itself if a request for it had no answer.
 */
void kb_open_orders_names(const kb_open_orders_t *orders, const kb_name_t *next,
			  kb_order_targets_t *targets);

KB_END_DECLS

#endif

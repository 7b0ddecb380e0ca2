#ifndef KB_PROMOTION_ORDER_H
#define KB_PROMOTION_ORDER_H

#include "str.h"

KB_BEGIN_DECLS

enum {
	/* Targets for which requests to promote may be open at a time. */
	KB_ORDER_TARGETS_MAX = 4,
};

/* Targets, each once. */
typedef struct kb_order_targets {
	size_t count;
	kb_name_t names[KB_ORDER_TARGETS_MAX];
} kb_order_targets_t;

/*
 * A promotion that has been requested for a group, or is about to be, and may
 * take effect at any time. It is over once a primary of a later term leads.
 */
typedef struct kb_promotion_order {
	/* Increases with each order of the group; 0 if there was none. */
	uint64_t number;
	/* Highest term known when it was given. */
	uint64_t term;
	/* Target that is to lead; empty if the order was withdrawn. */
	kb_name_t target;
	/*
	 * Target of an order that this one has replaced; empty if there is
	 * none. That order may still take effect unless it was refused.
	 */
	kb_name_t earlier;
	/*
	 * Targets of former requests whose answer was lost: they may take
	 * effect late, also once this order is over.
	 */
	kb_order_targets_t unanswered;
	/*
	 * Highest term whose primary has been served, or may be: the platform
	 * has accepted the order. 0 if it is unknown, in the record of a host
	 * of an earlier version.
	 */
	uint64_t served_term;
} kb_promotion_order_t;

/*
 * Replaces an order by the next one. If that names another target and no later
 * term, it keeps the replaced one's target as `earlier`.
 */
void kb_promotion_order_replace(kb_promotion_order_t *order,
				const kb_name_t *target, uint64_t term);

/*
 * Lets an order say what `next` says: replaces it if the target or the term
 * differs. It gets the next number unless it only says more than before.
 */
void kb_promotion_order_update(kb_promotion_order_t *order,
			       const kb_promotion_order_t *next);

/*
 * Whether `other` is a later order than `order`, or the same one and names more
 * targets or a later served term.
 */
int kb_promotion_order_is_later(const kb_promotion_order_t *order,
				const kb_promotion_order_t *other);

/*
 * Whether an order says what `next` is to say. Its number and the target of the
 * order that it has replaced follow from the orders before.
 */
int kb_promotion_order_says(const kb_promotion_order_t *order,
			    const kb_promotion_order_t *next);

int kb_promotion_order_equal(const kb_promotion_order_t *a,
			     const kb_promotion_order_t *b);

KB_END_DECLS

#endif

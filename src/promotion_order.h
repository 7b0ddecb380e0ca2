#ifndef KB_PROMOTION_ORDER_H
#define KB_PROMOTION_ORDER_H

#include "str.h"

KB_BEGIN_DECLS

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
} kb_promotion_order_t;

int kb_promotion_order_equal(const kb_promotion_order_t *a,
			     const kb_promotion_order_t *b);

KB_END_DECLS

#endif

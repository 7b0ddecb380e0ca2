#include "promotion_order.h"

int kb_promotion_order_equal(const kb_promotion_order_t *a,
			     const kb_promotion_order_t *b)
{
	return a->number == b->number && a->term == b->term &&
	       kb_name_is(&a->target, kb_name_str(&b->target));
}

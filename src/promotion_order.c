#include "promotion_order.h"

int kb_promotion_order_equal(const kb_promotion_order_t *a,
			     const kb_promotion_order_t *b)
{
	return a->number == b->number && a->term == b->term &&
	       kb_name_is(&a->target, kb_name_str(&b->target)) &&
	       kb_name_is(&a->earlier, kb_name_str(&b->earlier));
}

void kb_promotion_order_replace(kb_promotion_order_t *order,
				const kb_name_t *target, uint64_t term)
{
	static const kb_name_t none;
	kb_name_t earlier = order->earlier;

	if (!earlier.len || kb_name_is(&earlier, kb_name_str(target)))
		earlier = order->target;
	if (term > order->term || !target->len ||
	    kb_name_is(&earlier, kb_name_str(target)))
		earlier = none;
	order->number++;
	order->term = term;
	order->target = *target;
	order->earlier = earlier;
}

#include "promotion_order.h"

static int targets_contain(const kb_order_targets_t *targets,
			   const kb_name_t *target)
{
	for (size_t i = 0; i < targets->count; i++)
		if (kb_name_is(&targets->names[i], kb_name_str(target)))
			return 1;
	return 0;
}

static int targets_include(const kb_order_targets_t *targets,
			   const kb_order_targets_t *others)
{
	for (size_t i = 0; i < others->count; i++)
		if (!targets_contain(targets, &others->names[i]))
			return 0;
	return 1;
}

static int targets_equal(const kb_order_targets_t *a,
			 const kb_order_targets_t *b)
{
	return a->count == b->count && targets_include(a, b);
}

static int is_same(const kb_promotion_order_t *a, const kb_promotion_order_t *b)
{
	return a->term == b->term &&
	       kb_name_is(&a->target, kb_name_str(&b->target));
}

int kb_promotion_order_says(const kb_promotion_order_t *order,
			    const kb_promotion_order_t *next)
{
	return is_same(order, next) &&
	       order->served_term == next->served_term &&
	       targets_equal(&order->unanswered, &next->unanswered);
}

int kb_promotion_order_is_later(const kb_promotion_order_t *order,
				const kb_promotion_order_t *other)
{
	if (other->number != order->number)
		return other->number > order->number;
	/* A holder may reuse a number that only few voters have been told. */
	if (other->term != order->term)
		return other->term > order->term;
	return is_same(order, other) &&
	       (other->unanswered.count > order->unanswered.count ||
		other->served_term > order->served_term);
}

int kb_promotion_order_equal(const kb_promotion_order_t *a,
			     const kb_promotion_order_t *b)
{
	return a->number == b->number && kb_promotion_order_says(a, b) &&
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

void kb_promotion_order_update(kb_promotion_order_t *order,
			       const kb_promotion_order_t *next)
{
	if (!is_same(order, next))
		kb_promotion_order_replace(order, &next->target, next->term);
	else if (next->served_term < order->served_term ||
		 !targets_include(&next->unanswered, &order->unanswered))
		/* Else others would take what they know for the later order. */
		order->number++;
	order->unanswered = next->unanswered;
	order->served_term = next->served_term;
}

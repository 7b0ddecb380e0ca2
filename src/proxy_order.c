#include "proxy_internal.h"

#include "lease_order.h"

kbs_order *kb_proxy_order_view(const kb_proxy_group_t *group, int64_t revision,
			       kb_proxy_order_view_t *view)
{
	const kb_promotion_order_t *order =
		kb_lease_unrecorded_order(&group->lease, revision);

	if (!order)
		return NULL;
	view->order.number = order->number;
	view->order.term = order->term;
	view->order.target = kb_text_view(kb_name_str(&order->target));
	view->order.earlier = kb_text_view(kb_name_str(&order->earlier));
	for (size_t i = 0; i < order->unanswered.count; i++)
		view->unanswered[i] =
			kb_text_view(kb_name_str(&order->unanswered.names[i]));
	view->order.served_term = order->served_term;
	view->order.unanswered.unanswered_val = view->unanswered;
	view->order.unanswered.unanswered_len = (u_int)order->unanswered.count;
	return &view->order;
}

void kb_proxy_learn_order(kb_proxy_group_t *group, const kbs_order *order)
{
	kb_promotion_order_t learned = { 0 };

	if (!order ||
	    kb_name_set(&learned.target, kb_text_str(order->target)) ||
	    kb_name_set(&learned.earlier, kb_text_str(order->earlier)))
		return;
	learned.number = order->number;
	learned.term = order->term;
	learned.served_term = order->served_term;
	for (u_int i = 0; i < order->unanswered.unanswered_len; i++)
		if (kb_name_set(
			    &learned.unanswered
				     .names[learned.unanswered.count++],
			    kb_text_str(order->unanswered.unanswered_val[i])))
			return;
	kb_lease_learn_order(&group->lease, &learned);
}

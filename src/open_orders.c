#include "open_orders.h"

static kb_open_order_t *find(kb_open_orders_t *orders, kb_str_t target)
{
	for (size_t i = 0; i < orders->count; i++)
		if (kb_name_is(&orders->orders[i].target, target))
			return &orders->orders[i];
	return NULL;
}

int kb_open_orders_add(kb_open_orders_t *orders, const kb_name_t *target,
		       kb_time_t now)
{
	kb_open_order_t *order = find(orders, kb_name_str(target));

	if (!order && orders->count == KB_ORDER_TARGETS_MAX)
		return 0;
	if (!order) {
		order = &orders->orders[orders->count++];
		*order = (kb_open_order_t){ .target = *target };
	}
	order->unanswered++;
	order->unanswered_until =
		now + KB_OPEN_ORDERS_UNANSWERED_MAX_S * KB_NS_PER_S;
	return 1;
}

void kb_open_orders_add_all(kb_open_orders_t *orders,
			    const kb_order_targets_t *targets, kb_time_t now)
{
	for (size_t i = 0; i < targets->count; i++)
		if (!find(orders, kb_name_str(&targets->names[i])))
			kb_open_orders_add(orders, &targets->names[i], now);
}

void kb_open_orders_on_answer(kb_open_orders_t *orders, kb_str_t target,
			      int accepted, kb_time_t now)
{
	kb_open_order_t *order = find(orders, target);

	if (!order)
		return;
	if (order->unanswered)
		order->unanswered--;
	if (accepted)
		order->accepted_until =
			now + KB_OPEN_ORDERS_ACCEPTED_MAX_MS * KB_NS_PER_MS;
}

void kb_open_orders_expire(kb_open_orders_t *orders, kb_time_t now)
{
	size_t kept = 0;

	for (size_t i = 0; i < orders->count; i++) {
		const kb_open_order_t *order = &orders->orders[i];

		if (now < order->accepted_until ||
		    (order->unanswered && now < order->unanswered_until))
			orders->orders[kept++] = *order;
	}
	orders->count = kept;
}

void kb_open_orders_names(const kb_open_orders_t *orders, const kb_name_t *next,
			  kb_order_targets_t *targets)
{
	targets->count = 0;
	for (size_t i = 0; i < orders->count; i++) {
		const kb_open_order_t *order = &orders->orders[i];

		if (order->unanswered ||
		    !kb_name_is(&order->target, kb_name_str(next)))
			targets->names[targets->count++] = order->target;
	}
}

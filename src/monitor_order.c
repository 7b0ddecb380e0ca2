#include "monitor_internal.h"

#include "log.h"

#include <inttypes.h>

uint64_t kb_monitor_highest_term(const kb_monitor_t *monitor)
{
	uint64_t highest = monitor->term;

	for (size_t i = 0; i < monitor->probe_count; i++)
		if (monitor->probes[i].report.term > highest)
			highest = monitor->probes[i].report.term;
	return highest;
}

/* Whether the platform has refused to promote a target. */
static int is_rejected(kb_monitor_t *monitor, const kb_name_t *target)
{
	const kb_monitor_probe_t *probe =
		kb_monitor_find_probe(monitor, kb_name_str(target));

	return probe && probe->rejected;
}

/*
 * Whether the last order has replaced another one, whose effect may look like
 * its own.
 */
static int has_earlier_order(kb_monitor_t *monitor)
{
	const kb_promotion_order_t *order = &monitor->order;

	return order->earlier.len && !is_rejected(monitor, &order->target);
}

/* Whether the last order may still replace the primary of `term`. */
static int is_order_open(kb_monitor_t *monitor, const kb_name_t *primary,
			 uint64_t term)
{
	const kb_promotion_order_t *order = &monitor->order;

	if (!order->target.len)
		return 0;
	if (term == order->term + 1)
		return has_earlier_order(monitor) &&
		       kb_name_is(&order->earlier, kb_name_str(primary));
	/* If they are equal, it had taken effect before it was repeated. */
	return term < order->term ||
	       (term == order->term &&
		!kb_name_is(&order->target, kb_name_str(primary)));
}

int kb_monitor_is_order_over(kb_monitor_t *monitor)
{
	uint64_t last = monitor->order.term;

	if (has_earlier_order(monitor))
		last++;
	return !monitor->order.target.len ||
	       kb_monitor_highest_term(monitor) > last;
}

int kb_monitor_may_serve(kb_monitor_t *monitor, const kb_name_t *primary,
			 uint64_t term)
{
	const kb_promotion_order_t *order = &monitor->order;

	if (is_order_open(monitor, primary, term))
		return 0;
	/* A withdrawn order names the term in which the group goes on. */
	return term >= kb_monitor_highest_term(monitor) &&
	       (order->target.len || term >= order->term);
}

/*
 * Whether the last order tells each later holder that a primary of an earlier
 * term than `term` must not be used.
 */
static int is_term_recorded(const kb_promotion_order_t *order,
			    const kb_name_t *primary, uint64_t term)
{
	if (!order->target.len)
		return term == order->term || (term <= 1 && !order->term);
	if (term == order->term)
		return kb_name_is(&order->target, kb_name_str(primary));
	return term == order->term + 1 &&
	       !kb_name_is(&order->earlier, kb_name_str(primary));
}

/*
 * Announces an order or, with an empty `target`, that the last one is
 * withdrawn. Returns whether each later holder knows it; see kb_monitor_ops_t.
 */
static int announce(kb_monitor_t *monitor, const kb_name_t *target,
		    uint64_t term, uint64_t served_term)
{
	kb_promotion_order_t next = {
		.term = term,
		.target = *target,
		.served_term = served_term,
	};

	kb_open_orders_names(&monitor->open_orders, target, &next.unanswered);
	monitor->announcing = !monitor->ops->announce(monitor->ctx, &next);
	return !monitor->announcing;
}

void kb_monitor_settle_orders(kb_monitor_t *monitor)
{
	const kb_promotion_order_t order = monitor->order;

	if (order.unanswered.count && !monitor->open_orders.count)
		announce(monitor, &order.target, order.term, order.served_term);
}

int kb_monitor_record_term(kb_monitor_t *monitor, const kb_name_t *primary,
			   uint64_t term)
{
	const kb_promotion_order_t order = monitor->order;

	if (!is_term_recorded(&order, primary, term))
		return announce(monitor, primary, term ? term - 1 : 0, term);
	/* A first term is not recorded: there is none before it. */
	if (order.served_term < term && (order.number || term > 1))
		return announce(monitor, &order.target, order.term, term);
	return !monitor->announcing ||
	       announce(monitor, &order.target, order.term, order.served_term);
}

void kb_monitor_record_acceptance(kb_monitor_t *monitor)
{
	const kb_promotion_order_t order = monitor->order;

	if (monitor->promotion_accepted && order.served_term <= order.term &&
	    kb_name_is(&order.target, kb_name_str(&monitor->promotee)))
		announce(monitor, &order.target, order.term, order.term + 1);
}

/* Remembers the target of an open order that another order replaces. */
static void keep_earlier_order(kb_monitor_t *monitor, const kb_name_t *next,
			       uint64_t term)
{
	const kb_name_t *target = &monitor->order.target;

	if (next->len && term <= monitor->order.term &&
	    monitor->order_state == KB_ORDER_OPEN &&
	    !kb_monitor_is_order_over(monitor) &&
	    !kb_name_is(next, kb_name_str(target)) &&
	    !is_rejected(monitor, target))
		monitor->earlier_order = *target;
	if (kb_name_is(next, kb_name_str(&monitor->earlier_order)))
		monitor->earlier_order.len = 0;
}

/* Takes an order of another host. */
static void inherit_order(kb_monitor_t *monitor,
			  const kb_promotion_order_t *order)
{
	uint64_t served_term = kb_monitor_order_served_term(order);

	monitor->inherited = 1;
	if (served_term > monitor->served_term)
		monitor->served_term = served_term;
}

void kb_monitor_set_order(kb_monitor_t *monitor,
			  const kb_promotion_order_t *order, kb_time_t now)
{
	if (monitor->state == KB_MONITOR_IDLE) {
		monitor->earlier_order = order->earlier;
	} else if (order->number != monitor->order.number) {
		keep_earlier_order(monitor, &order->target, order->term);
		kb_open_orders_add_all(&monitor->open_orders,
				       &order->unanswered, now);
		if (!kb_name_is(&order->target,
				kb_name_str(&monitor->promotee)))
			inherit_order(monitor, order);
		if (monitor->state == KB_MONITOR_FINDING &&
		    !monitor->earlier_order.len)
			monitor->earlier_order = order->earlier;
	}
	monitor->order = *order;
	if ((monitor->state != KB_MONITOR_SERVING &&
	     monitor->state != KB_MONITOR_SUSPECTING &&
	     monitor->state != KB_MONITOR_SWITCHOVER) ||
	    kb_monitor_may_serve(monitor, &monitor->primary.place.target,
				 monitor->term))
		return;
	kb_monitor_give_up_primary(monitor, now);
}

/* The former primary may be served once kb_monitor_record_term() allows it. */
static void withdraw_order(kb_monitor_t *monitor)
{
	static const kb_name_t none;

	kb_log(KB_EVENT_PROMOTION_WITHDRAWN,
	       "group=%s target=%s term=%" PRIu64 " number=%" PRIu64,
	       monitor->group.data, monitor->order.target.data,
	       monitor->order.term, monitor->order.number);
	announce(monitor, &none, monitor->order.term, monitor->served_term);
	monitor->order.target.len = 0;
	monitor->order_state = KB_ORDER_NONE;
}

kb_order_step_t kb_monitor_order_step(kb_monitor_t *monitor,
				      const kb_target_list_t *targets,
				      kb_time_t after, kb_time_t now)
{
	kb_str_t target = kb_name_str(&monitor->order.target);
	const kb_target_entry_t *entry = kb_target_list_find(targets, target);
	const kb_monitor_probe_t *probe =
		kb_monitor_find_probe(monitor, target);
	kb_time_t timeout = KB_MONITOR_SILENT_TIMEOUT_MS * KB_NS_PER_MS;

	if (monitor->order_state != KB_ORDER_OPEN || !probe || !entry ||
	    entry->leaving || probe->rejected ||
	    kb_monitor_is_order_over(monitor))
		return KB_ORDER_STEP_CHOOSE;
	if (probe->answered_at > after)
		return kb_monitor_may_promote(monitor, probe)
			       ? KB_ORDER_STEP_REPEAT
			       : KB_ORDER_STEP_CHOOSE;
	if (probe->failed_at > after && probe->refused)
		timeout = KB_MONITOR_REFUSED_TIMEOUT_MS * KB_NS_PER_MS;
	return now - after < timeout ? KB_ORDER_STEP_WAIT
				     : KB_ORDER_STEP_CHOOSE;
}

void kb_monitor_resolve_order(kb_monitor_t *monitor,
			      const kb_target_list_t *targets, kb_time_t now)
{
	if (now < monitor->promotion_open_until) {
		/* Probe all targets again. */
		monitor->state_since = now;
		return;
	}
	if (monitor->order_state == KB_ORDER_NONE ||
	    monitor->order_state == KB_ORDER_REPEAT_REFUSED) {
		withdraw_order(monitor);
		return;
	}
	switch (kb_monitor_order_step(monitor, targets, monitor->state_since,
				      now)) {
	case KB_ORDER_STEP_REPEAT:
		kb_monitor_promote_target(monitor, &monitor->order.target, now);
		break;
	case KB_ORDER_STEP_CHOOSE:
		if (now - monitor->state_since >=
		    KB_MONITOR_SILENT_TIMEOUT_MS * KB_NS_PER_MS)
			kb_monitor_begin_promotion(monitor, now);
		break;
	default:
		break;
	}
}

/* The served term that an order is to name; a repeated one says no less. */
static uint64_t served_term_for(const kb_monitor_t *monitor,
				const kb_name_t *target, uint64_t term)
{
	const kb_promotion_order_t *order = &monitor->order;

	if (order->term == term &&
	    kb_name_is(&order->target, kb_name_str(target)) &&
	    order->served_term > monitor->served_term)
		return order->served_term;
	return monitor->served_term;
}

static void log_repeated(const kb_monitor_t *monitor)
{
	kb_log(KB_EVENT_PROMOTION_REPEATED,
	       "group=%s target=%s term=%" PRIu64 " number=%" PRIu64,
	       monitor->group.data, monitor->order.target.data,
	       monitor->order.term, monitor->order.number);
}

void kb_monitor_send_order(kb_monitor_t *monitor,
			   const kb_target_list_t *targets, kb_time_t now)
{
	kb_str_t target = kb_name_str(&monitor->promotee);
	const kb_target_entry_t *entry = kb_target_list_find(targets, target);
	const kb_monitor_probe_t *probe =
		kb_monitor_find_probe(monitor, target);
	uint64_t term = kb_monitor_highest_term(monitor);
	int is_repeated = monitor->order_state == KB_ORDER_OPEN &&
			  !kb_monitor_is_order_over(monitor) &&
			  kb_name_is(&monitor->order.target, target);

	if (!entry || entry->leaving || !probe || probe->rejected ||
	    (probe->answered_at && !kb_monitor_may_promote(monitor, probe)) ||
	    now - monitor->promotee_since >
		    KB_MONITOR_PROMOTION_TIMEOUT_MS * KB_NS_PER_MS) {
		/* Choose a target again. */
		monitor->promotee.len = 0;
		monitor->state_since = now;
		return;
	}
	if (monitor->releasing ||
	    monitor->ops->lease_left(monitor->ctx) <
		    KB_MONITOR_MIN_LEASE_LEFT_MS * KB_NS_PER_MS)
		return;
	/* Primaries of the terms before the last order stay excluded. */
	if (monitor->order.term > term)
		term = monitor->order.term;
	if (monitor->inherited && monitor->order.target.len &&
	    !kb_monitor_is_order_over(monitor))
		kb_open_orders_add(&monitor->open_orders,
				   &monitor->order.target, now);
	monitor->inherited = 0;
	keep_earlier_order(monitor, &monitor->promotee, term);
	if (!announce(monitor, &monitor->promotee, term,
		      served_term_for(monitor, &monitor->promotee, term)) ||
	    !kb_open_orders_add(&monitor->open_orders, &monitor->promotee, now))
		return;
	if (monitor->order_state == KB_ORDER_NONE || !monitor->order.target.len)
		monitor->order_state = KB_ORDER_SENT;
	else
		monitor->order_state = KB_ORDER_OPEN;
	if (is_repeated)
		log_repeated(monitor);
	monitor->promotion_sent = 1;
	monitor->promotion_accepted = 0;
	monitor->promotee_since = now;
	monitor->promotee_term =
		probe->report.is_primary ? probe->report.term : 0;
	monitor->promotion_open_until =
		now + KB_MONITOR_PROMOTION_TIMEOUT_MS * KB_NS_PER_MS;
	monitor->promotions++;
	kb_log(KB_EVENT_PROMOTE_SENT,
	       "group=%s target=%s received=%" PRIu64 ".%" PRIu64
	       " newest=%" PRIu64 ".%" PRIu64 " planned=%d",
	       monitor->group.data, probe->target.data,
	       probe->report.received.term, probe->report.received.position,
	       monitor->newest.term, monitor->newest.position,
	       monitor->planned);
	monitor->ops->promote(monitor->ctx, entry);
}

void kb_monitor_on_promoted(kb_monitor_t *monitor, kb_str_t target,
			    kb_result_t result, kb_time_t now)
{
	kb_monitor_probe_t *probe = kb_monitor_find_probe(monitor, target);
	int is_first = monitor->order_state == KB_ORDER_SENT;
	int is_refused = result == KB_ERR_CONFLICT ||
			 result == KB_ERR_OVERLOADED ||
			 result == KB_ERR_UNREACHABLE;

	if (!result || is_refused)
		kb_open_orders_on_answer(&monitor->open_orders, target, !result,
					 now);
	if (!probe || monitor->state != KB_MONITOR_PROMOTING ||
	    !monitor->promotion_sent || !kb_name_is(&monitor->promotee, target))
		return;
	if (result)
		kb_log(KB_EVENT_PROMOTION_FAILED,
		       "group=%s target=%s result=%s", monitor->group.data,
		       monitor->promotee.data, kb_result_name(result));
	if (!is_refused) {
		monitor->promotion_accepted = !result;
		monitor->order_state = KB_ORDER_OPEN;
		return;
	}
	if (is_first) {
		monitor->order_state = KB_ORDER_NONE;
		monitor->promotion_open_until = 0;
	} else if (result == KB_ERR_CONFLICT &&
		   !kb_monitor_find_probe(
			   monitor, kb_name_str(&monitor->earlier_order))) {
		monitor->order_state = KB_ORDER_REPEAT_REFUSED;
	}
	if (result == KB_ERR_CONFLICT)
		probe->rejected = 1;
	/* The promotion was not done: choose a target again at once. */
	monitor->promotee_since =
		now - KB_MONITOR_PROMOTION_TIMEOUT_MS * KB_NS_PER_MS;
}

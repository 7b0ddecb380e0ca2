#include "fair_queue.h"

enum {
	/* Weight of a new sample in the mean service time, as a divisor. */
	SERVICE_MEAN_DIVISOR = 8,
};

void kb_fair_list_append(kb_fair_list_t *list, kb_fair_entry_t *entry)
{
	entry->next = NULL;
	entry->prev = list->last;
	if (list->last)
		list->last->next = entry;
	else
		list->first = entry;
	list->last = entry;
}

void kb_fair_list_remove(kb_fair_list_t *list, kb_fair_entry_t *entry)
{
	if (entry->prev)
		entry->prev->next = entry->next;
	else
		list->first = entry->next;
	if (entry->next)
		entry->next->prev = entry->prev;
	else
		list->last = entry->prev;
	entry->prev = entry->next = NULL;
}

void kb_fair_queue_init(kb_fair_queue_t *queue)
{
	memset(queue, 0, sizeof(*queue));
}

size_t kb_fair_queue_find_class(const kb_fair_queue_t *queue, kb_str_t name)
{
	size_t i;

	for (i = 0; i < queue->class_count; i++)
		if (kb_name_is(&queue->classes[i].spec.name, name))
			break;
	return i;
}

kb_result_t kb_fair_queue_set_class(kb_fair_queue_t *queue,
				    const kb_traffic_class_t *spec)
{
	size_t i = kb_fair_queue_find_class(queue, kb_name_str(&spec->name));

	if (i == KB_FAIR_MAX_CLASSES)
		return KB_ERR_TOO_LARGE;
	if (i == queue->class_count)
		queue->class_count++;
	queue->classes[i].spec = *spec;
	if (!queue->classes[i].spec.weight)
		queue->classes[i].spec.weight = 1;
	return KB_OK;
}

static int flow_matches(const kb_fair_flow_t *flow, size_t class_index,
			const kb_name_t *caller)
{
	return flow->class_index == class_index &&
	       kb_name_is(&flow->caller, kb_name_str(caller));
}

static const kb_fair_flow_t *find_flow(const kb_fair_queue_t *queue,
				       size_t class_index,
				       const kb_name_t *caller)
{
	for (size_t i = 0; i < KB_FAIR_MAX_FLOWS; i++)
		if (flow_matches(&queue->flows[i], class_index, caller))
			return &queue->flows[i];
	return NULL;
}

/*
 * Returns how far the flow is ahead of its class in service time received, or
 * INT64_MIN if the flow is unused.
 */
static kb_time_t flow_lead(const kb_fair_queue_t *queue,
			   const kb_fair_flow_t *flow)
{
	if (!flow->caller.len)
		return INT64_MIN;
	return kb_stride_lead(&flow->stride,
			      &queue->classes[flow->class_index].flow_clock);
}

/*
 * Returns the flow of the caller. A new flow replaces the idle one that is the
 * least ahead, so that the service which others have received stays recorded.
 */
static kb_fair_flow_t *get_flow(kb_fair_queue_t *queue, size_t class_index,
				const kb_name_t *caller)
{
	kb_fair_flow_t *best = NULL;

	for (size_t i = 0; i < KB_FAIR_MAX_FLOWS; i++) {
		kb_fair_flow_t *flow = &queue->flows[i];

		if (flow_matches(flow, class_index, caller))
			return flow;
		if (flow->queued || flow->running)
			continue;
		if (!best || flow_lead(queue, flow) < flow_lead(queue, best))
			best = flow;
	}
	if (!best)
		return NULL;
	memset(best, 0, sizeof(*best));
	best->class_index = class_index;
	best->caller = *caller;
	return best;
}

/*
 * Returns the flow that has the fewest entries, one of the class if there is
 * any.
 */
static kb_fair_flow_t *shared_flow(kb_fair_queue_t *queue, size_t class_index)
{
	kb_fair_flow_t *best = NULL;

	for (size_t i = 0; i < KB_FAIR_MAX_FLOWS; i++) {
		kb_fair_flow_t *flow = &queue->flows[i];
		int in_class = flow->class_index == class_index;
		int best_in_class = best && best->class_index == class_index;

		if (!best || in_class > best_in_class ||
		    (in_class == best_in_class && flow->queued < best->queued))
			best = flow;
	}
	return best;
}

kb_result_t kb_fair_queue_push(kb_fair_queue_t *queue, kb_fair_entry_t *entry,
			       size_t class_index, const kb_name_t *caller,
			       kb_fair_priority_t priority)
{
	kb_fair_class_t *class;
	kb_fair_flow_t *flow;

	if (class_index >= queue->class_count)
		return KB_ERR_NOT_FOUND;
	flow = get_flow(queue, class_index, caller);
	/* The transaction holds a connection that only its statements free. */
	if (!flow && priority == KB_FAIR_PRIORITY_IN_TRANSACTION)
		flow = shared_flow(queue, class_index);
	if (!flow)
		return KB_ERR_OVERLOADED;
	class = &queue->classes[flow->class_index];
	if (!class->queued)
		kb_stride_join(&class->stride, &queue->class_clock, 0);
	if (!flow->queued)
		kb_stride_join(&flow->stride, &class->flow_clock, 0);
	entry->flow = flow;
	entry->priority = priority;
	kb_fair_list_append(&flow->queues[priority], entry);
	flow->queued++;
	class->queued++;
	queue->queued++;
	return KB_OK;
}

void kb_fair_queue_remove(kb_fair_queue_t *queue, kb_fair_entry_t *entry)
{
	kb_fair_flow_t *flow = entry->flow;

	kb_fair_list_remove(&flow->queues[entry->priority], entry);
	flow->queued--;
	queue->classes[flow->class_index].queued--;
	queue->queued--;
}

static kb_fair_entry_t *flow_head(const kb_fair_flow_t *flow,
				  const kb_fair_filter_t *filter)
{
	kb_fair_entry_t *begin = flow->queues[KB_FAIR_PRIORITY_BEGIN].first;

	for (size_t priority = 0; priority < KB_FAIR_PRIORITY_BEGIN; priority++)
		if (flow->queues[priority].first)
			return flow->queues[priority].first;
	if (begin && filter->allow_begin(filter->ctx, &flow->caller))
		return begin;
	return NULL;
}

static int comes_before(const kb_fair_queue_t *queue, const kb_fair_flow_t *a,
			const kb_fair_flow_t *b)
{
	if (a->class_index == b->class_index)
		return kb_stride_before(&a->stride, &b->stride);
	return kb_stride_before(&queue->classes[a->class_index].stride,
				&queue->classes[b->class_index].stride);
}

static void charge(kb_fair_queue_t *queue, kb_fair_flow_t *flow,
		   kb_time_t service)
{
	kb_fair_class_t *class = &queue->classes[flow->class_index];

	kb_stride_charge(&flow->stride, service, 1);
	kb_stride_charge(&class->stride, service, class->spec.weight);
}

static void begin_service(kb_fair_queue_t *queue, kb_fair_entry_t *entry)
{
	kb_fair_flow_t *flow = entry->flow;
	kb_fair_class_t *class = &queue->classes[flow->class_index];

	kb_fair_queue_remove(queue, entry);
	flow->running++;
	class->running++;
	kb_stride_advance(&queue->class_clock, &class->stride);
	kb_stride_advance(&class->flow_clock, &flow->stride);
	entry->charged =
		class->mean_service ? class->mean_service : KB_NS_PER_MS;
	charge(queue, flow, entry->charged);
}

kb_fair_entry_t *kb_fair_queue_pop(kb_fair_queue_t *queue,
				   const kb_fair_filter_t *filter)
{
	kb_fair_entry_t *best = NULL;

	for (size_t i = 0; queue->queued && i < KB_FAIR_MAX_FLOWS; i++) {
		const kb_fair_flow_t *flow = &queue->flows[i];
		kb_fair_entry_t *head;

		if (!flow->queued ||
		    (best && !comes_before(queue, flow, best->flow)))
			continue;
		if (queue->classes[flow->class_index].spec.bulk &&
		    !filter->allow_bulk)
			continue;
		head = flow_head(flow, filter);
		if (head)
			best = head;
	}
	if (best)
		begin_service(queue, best);
	return best;
}

static void end_service(kb_fair_queue_t *queue, kb_fair_entry_t *entry,
			kb_time_t service)
{
	kb_fair_flow_t *flow = entry->flow;

	flow->running--;
	queue->classes[flow->class_index].running--;
	charge(queue, flow, service - entry->charged);
}

void kb_fair_queue_refund(kb_fair_queue_t *queue, kb_fair_entry_t *entry)
{
	end_service(queue, entry, 0);
}

void kb_fair_queue_complete(kb_fair_queue_t *queue, kb_fair_entry_t *entry,
			    kb_time_t service)
{
	kb_fair_class_t *class = &queue->classes[entry->flow->class_index];

	end_service(queue, entry, service);
	if (!class->mean_service)
		class->mean_service = service;
	else
		class->mean_service +=
			(service - class->mean_service) / SERVICE_MEAN_DIVISOR;
}

kb_fair_entry_t *kb_fair_queue_evictable(kb_fair_queue_t *queue,
					 size_t class_index,
					 const kb_name_t *caller)
{
	const kb_fair_flow_t *own = find_flow(queue, class_index, caller);
	unsigned most = (own ? own->queued : 0) + 1;
	const kb_fair_flow_t *longest = NULL;

	for (size_t i = 0; i < KB_FAIR_MAX_FLOWS; i++) {
		const kb_fair_flow_t *flow = &queue->flows[i];

		if (flow->class_index != class_index || flow->queued <= most)
			continue;
		most = flow->queued;
		longest = flow;
	}
	for (size_t priority = KB_FAIR_PRIORITIES;
	     longest && --priority > KB_FAIR_PRIORITY_IN_TRANSACTION;)
		if (longest->queues[priority].last)
			return longest->queues[priority].last;
	return NULL;
}

/* Returns the number of flows among which the class shares its slots. */
static unsigned competing_flows(const kb_fair_queue_t *queue,
				size_t class_index, const kb_fair_flow_t *own)
{
	unsigned count = 1;

	for (size_t i = 0; i < KB_FAIR_MAX_FLOWS; i++) {
		const kb_fair_flow_t *flow = &queue->flows[i];

		if (flow != own && flow->queued &&
		    flow->class_index == class_index)
			count++;
	}
	return count;
}

kb_time_t kb_fair_queue_expected_wait(const kb_fair_queue_t *queue,
				      size_t class_index,
				      const kb_name_t *caller, unsigned slots)
{
	const kb_fair_class_t *own = &queue->classes[class_index];
	const kb_fair_flow_t *flow = find_flow(queue, class_index, caller);
	unsigned weights = 0;
	kb_time_t running = 0, total = 0, share;

	if (!slots)
		return KB_TIME_NEVER;
	for (size_t i = 0; i < queue->class_count; i++) {
		const kb_fair_class_t *class = &queue->classes[i];

		running += class->running * class->mean_service;
		total += class->queued * class->mean_service;
		if (class->queued || class == own)
			weights += class->spec.weight;
	}
	share = kb_stride_expected(
		(flow ? flow->queued : 0) * own->mean_service, total,
		own->spec.weight,
		weights * competing_flows(queue, class_index, flow));
	/* On average, half of the running work is done. */
	return (running / 2 + share) / slots;
}

kb_time_t kb_fair_queue_expected_work(const kb_fair_queue_t *queue)
{
	kb_time_t work = 0;

	for (size_t i = 0; i < queue->class_count; i++) {
		const kb_fair_class_t *class = &queue->classes[i];

		work += (class->queued + class->running) * class->mean_service;
	}
	return work;
}

void kb_fair_queue_each(kb_fair_queue_t *queue,
			void (*visit)(void *ctx, kb_fair_entry_t *entry),
			void *ctx)
{
	for (size_t i = 0; i < KB_FAIR_MAX_FLOWS; i++) {
		for (size_t priority = 0; priority < KB_FAIR_PRIORITIES;
		     priority++) {
			kb_fair_entry_t *entry =
				queue->flows[i].queues[priority].first;

			while (entry) {
				kb_fair_entry_t *next = entry->next;

				visit(ctx, entry);
				entry = next;
			}
		}
	}
}

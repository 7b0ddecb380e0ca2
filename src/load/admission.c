#include "admission.h"

enum entry_state {
	ENTRY_NONE,
	ENTRY_QUEUED,
	ENTRY_QUEUED_END,
	ENTRY_RUNNING,
};

kb_admission_limits_t kb_admission_default_limits(unsigned slots,
						  unsigned connections)
{
	kb_admission_limits_t limits = { .slots = slots };

	limits.transactions = connections > slots ? connections - slots : 1;
	limits.caller_transactions = (limits.transactions + 1) / 2;
	return limits;
}

static void apply_limits(kb_admission_t *admission,
			 const kb_admission_limits_t *limits)
{
	admission->limits = *limits;
	admission->transactions.limit = limits->transactions;
	admission->transactions.caller_limit = limits->caller_transactions;
}

void kb_admission_init(kb_admission_t *admission, const kb_admission_ops_t *ops,
		       const kb_admission_limits_t *limits)
{
	memset(admission, 0, sizeof(*admission));
	admission->ops = ops;
	apply_limits(admission, limits);
	admission->drain_until = KB_TIME_NEVER;
	admission->next_deadline = KB_TIME_NEVER;
	kb_fair_queue_init(&admission->queue);
}

kb_result_t kb_admission_set_class(kb_admission_t *admission,
				   const kb_traffic_class_t *spec)
{
	return kb_fair_queue_set_class(&admission->queue, spec);
}

static int in_open_transaction(const kb_admission_entry_t *entry)
{
	return entry->transaction && entry->transaction->open;
}

static int is_bulk(const kb_admission_t *admission,
		   const kb_admission_entry_t *entry)
{
	return admission->queue.classes[entry->fair.flow->class_index]
		.spec.bulk;
}

/* Bulk work leaves one slot free if there are several. */
static int bulk_may_start(const kb_admission_t *admission)
{
	unsigned slots = admission->limits.slots;

	return admission->running_bulk < (slots > 1 ? slots - 1 : slots);
}

static int begin_may_start(void *ctx, const kb_name_t *caller)
{
	const kb_admission_t *admission = ctx;

	return kb_transaction_limit_allows(&admission->transactions, caller);
}

static void refuse(kb_admission_t *admission, kb_admission_entry_t *entry,
		   kb_result_t result, kb_time_t now)
{
	entry->state = ENTRY_NONE;
	admission->ops->refuse(admission, entry, result, now);
}

static kb_admission_entry_t *next_entry(kb_admission_t *admission)
{
	kb_fair_entry_t *entry = admission->ending.first;
	kb_fair_filter_t filter = {
		.allow_bulk = bulk_may_start(admission),
		.allow_begin = begin_may_start,
		.ctx = admission,
	};

	if (!entry)
		return (kb_admission_entry_t *)kb_fair_queue_pop(
			&admission->queue, &filter);
	kb_fair_list_remove(&admission->ending, entry);
	return (kb_admission_entry_t *)entry;
}

static void start(kb_admission_t *admission, kb_admission_entry_t *entry,
		  kb_time_t now)
{
	admission->running++;
	if (entry->fair.flow)
		admission->running_bulk += !!is_bulk(admission, entry);
	if (entry->fair.priority == KB_FAIR_PRIORITY_BEGIN)
		kb_transaction_limit_open(&admission->transactions,
					  entry->transaction, &entry->caller);
	entry->state = ENTRY_RUNNING;
	entry->started = now;
	admission->ops->start(admission, entry, now);
}

/* Returns the result that an expired queued entry is refused with, or KB_OK. */
static kb_result_t expiry(const kb_admission_t *admission,
			  const kb_admission_entry_t *entry, kb_time_t now)
{
	if (entry->fair.priority == KB_FAIR_PRIORITY_IN_TRANSACTION &&
	    !entry->transaction->open)
		return KB_ERR_ROLLED_BACK;
	if (now >= entry->deadline)
		return KB_ERR_DEADLINE;
	if (now >= admission->drain_until && !in_open_transaction(entry))
		return KB_ERR_DRAINING;
	return KB_OK;
}

static void start_or_refuse(kb_admission_t *admission,
			    kb_admission_entry_t *entry, kb_time_t now)
{
	kb_result_t expired = expiry(admission, entry, now);

	if (!expired) {
		start(admission, entry, now);
		return;
	}
	if (entry->fair.flow)
		kb_fair_queue_refund(&admission->queue, &entry->fair);
	refuse(admission, entry, expired, now);
}

static void dispatch(kb_admission_t *admission, kb_time_t now)
{
	if (admission->dispatching)
		return;
	admission->dispatching = 1;
	while (admission->running < admission->limits.slots) {
		kb_admission_entry_t *entry = next_entry(admission);

		if (!entry)
			break;
		start_or_refuse(admission, entry, now);
	}
	admission->dispatching = 0;
}

void kb_admission_set_limits(kb_admission_t *admission,
			     const kb_admission_limits_t *limits, kb_time_t now)
{
	apply_limits(admission, limits);
	dispatch(admission, now);
}

static void dequeue(kb_admission_t *admission, kb_admission_entry_t *entry)
{
	if (entry->state == ENTRY_QUEUED_END)
		kb_fair_list_remove(&admission->ending, &entry->fair);
	else
		kb_fair_queue_remove(&admission->queue, &entry->fair);
	entry->state = ENTRY_NONE;
}

/* Makes room in a full queue by refusing an entry of the longest flow. */
static kb_result_t evict(kb_admission_t *admission, size_t class_index,
			 const kb_name_t *caller, kb_time_t now)
{
	const kb_fair_class_t *class = &admission->queue.classes[class_index];
	kb_admission_entry_t *evicted;

	if (class->queued < class->spec.queue_limit)
		return KB_OK;
	evicted = (kb_admission_entry_t *)kb_fair_queue_evictable(
		&admission->queue, class_index, caller);
	if (!evicted)
		return KB_ERR_OVERLOADED;
	dequeue(admission, evicted);
	refuse(admission, evicted, KB_ERR_OVERLOADED, now);
	return KB_OK;
}

/* Returns the result with which a new entry is refused, or KB_OK. */
static kb_result_t check(kb_admission_t *admission,
			 const kb_admission_entry_t *entry, size_t class_index,
			 kb_time_t now)
{
	const kb_fair_queue_t *queue = &admission->queue;
	unsigned slots = admission->limits.slots;
	kb_time_t wait;

	if (class_index == queue->class_count)
		return KB_ERR_NOT_FOUND;
	if (now >= entry->deadline)
		return KB_ERR_DEADLINE;
	if (in_open_transaction(entry))
		return KB_OK;
	if (admission->draining)
		return KB_ERR_DRAINING;
	if (admission->running < slots && !queue->queued)
		return KB_OK;
	wait = kb_fair_queue_expected_wait(queue, class_index, &entry->caller,
					   slots);
	if (wait > entry->deadline - now)
		return KB_ERR_DEADLINE;
	return evict(admission, class_index, &entry->caller, now);
}

static kb_fair_priority_t priority_of(const kb_admission_entry_t *entry)
{
	if (!entry->transaction)
		return KB_FAIR_PRIORITY_STATEMENT;
	return in_open_transaction(entry) ? KB_FAIR_PRIORITY_IN_TRANSACTION
					  : KB_FAIR_PRIORITY_BEGIN;
}

static kb_result_t enqueue(kb_admission_t *admission,
			   kb_admission_entry_t *entry, size_t class_index)
{
	kb_result_t result;

	entry->fair.flow = NULL;
	entry->fair.priority = priority_of(entry);
	if (in_open_transaction(entry) && entry->ends_transaction) {
		entry->state = ENTRY_QUEUED_END;
		kb_fair_list_append(&admission->ending, &entry->fair);
		return KB_OK;
	}
	result =
		kb_fair_queue_push(&admission->queue, &entry->fair, class_index,
				   &entry->caller, priority_of(entry));
	if (!result)
		entry->state = ENTRY_QUEUED;
	return result;
}

void kb_admission_submit(kb_admission_t *admission, kb_admission_entry_t *entry,
			 kb_time_t now)
{
	size_t class_index = kb_fair_queue_find_class(
		&admission->queue, kb_name_str(&entry->traffic_class));
	kb_result_t result = check(admission, entry, class_index, now);

	if (!result)
		result = enqueue(admission, entry, class_index);
	if (result) {
		refuse(admission, entry, result, now);
		return;
	}
	if (entry->deadline < admission->next_deadline)
		admission->next_deadline = entry->deadline;
	dispatch(admission, now);
}

void kb_admission_done(kb_admission_t *admission, kb_admission_entry_t *entry,
		       kb_time_t now)
{
	if (entry->state != ENTRY_RUNNING)
		return;
	entry->state = ENTRY_NONE;
	admission->running--;
	if (entry->fair.flow) {
		admission->running_bulk -= !!is_bulk(admission, entry);
		kb_fair_queue_complete(&admission->queue, &entry->fair,
				       now - entry->started);
	}
	dispatch(admission, now);
}

kb_result_t kb_admission_cancel(kb_admission_t *admission,
				kb_admission_entry_t *entry)
{
	if (entry->state != ENTRY_QUEUED && entry->state != ENTRY_QUEUED_END)
		return KB_ERR_NOT_FOUND;
	dequeue(admission, entry);
	return KB_OK;
}

/* One pass over all queued entries that refuses some or all of them. */
typedef struct sweep {
	kb_admission_t *admission;
	kb_time_t now;
	/* Result for every entry, or KB_OK to refuse only expired ones. */
	kb_result_t result;
	kb_time_t next_deadline;
	kb_fair_list_t refused;
} sweep_t;

static kb_result_t sweep_result(const sweep_t *sweep,
				const kb_admission_entry_t *entry)
{
	if (sweep->result)
		return sweep->result;
	return expiry(sweep->admission, entry, sweep->now);
}

static void sweep_entry(void *ctx, kb_fair_entry_t *fair)
{
	kb_admission_entry_t *entry = (kb_admission_entry_t *)fair;
	sweep_t *sweep = ctx;

	if (sweep_result(sweep, entry)) {
		dequeue(sweep->admission, entry);
		kb_fair_list_append(&sweep->refused, fair);
	} else if (entry->deadline < sweep->next_deadline) {
		sweep->next_deadline = entry->deadline;
	}
}

static void sweep_queue(sweep_t *sweep)
{
	kb_admission_t *admission = sweep->admission;
	kb_fair_entry_t *entry, *next;

	sweep->next_deadline = KB_TIME_NEVER;
	kb_fair_queue_each(&admission->queue, sweep_entry, sweep);
	for (entry = admission->ending.first; entry; entry = next) {
		next = entry->next;
		sweep_entry(sweep, entry);
	}
	admission->next_deadline = sweep->next_deadline;
	while (sweep->refused.first) {
		kb_admission_entry_t *refused =
			(kb_admission_entry_t *)sweep->refused.first;

		kb_fair_list_remove(&sweep->refused, &refused->fair);
		refuse(admission, refused, sweep_result(sweep, refused),
		       sweep->now);
	}
}

void kb_admission_transaction_ended(kb_admission_t *admission,
				    kb_limited_transaction_t *transaction,
				    kb_time_t now)
{
	sweep_t sweep = { .admission = admission, .now = now };

	if (!kb_transaction_limit_close(&admission->transactions, transaction))
		return;
	/* Its queued statements must not run outside the transaction. */
	sweep_queue(&sweep);
	dispatch(admission, now);
}

void kb_admission_drain(kb_admission_t *admission, kb_time_t until,
			kb_time_t now)
{
	admission->draining = 1;
	admission->drain_until = until;
	kb_admission_on_timer(admission, now);
}

void kb_admission_resume(kb_admission_t *admission)
{
	admission->draining = 0;
	admission->drain_until = KB_TIME_NEVER;
}

void kb_admission_refuse_all(kb_admission_t *admission, kb_result_t result,
			     kb_time_t now)
{
	sweep_t sweep = { .admission = admission,
			  .now = now,
			  .result = result };

	sweep_queue(&sweep);
}

kb_time_t kb_admission_on_timer(kb_admission_t *admission, kb_time_t now)
{
	sweep_t sweep = { .admission = admission, .now = now };
	kb_time_t next;

	if (now >= admission->next_deadline || now >= admission->drain_until)
		sweep_queue(&sweep);
	dispatch(admission, now);
	next = admission->next_deadline;
	if (admission->queue.queued && admission->drain_until < next)
		next = admission->drain_until;
	return next;
}

int kb_admission_is_idle(const kb_admission_t *admission)
{
	return !admission->running && !admission->queue.queued &&
	       !admission->ending.first && !admission->transactions.open;
}

unsigned kb_admission_outstanding(const kb_admission_t *admission)
{
	return admission->running + admission->queue.queued;
}

kb_time_t kb_admission_expected_work(const kb_admission_t *admission)
{
	return kb_fair_queue_expected_work(&admission->queue);
}

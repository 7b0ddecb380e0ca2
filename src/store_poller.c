#include "store_poller.h"

#include "log.h"

#include <inttypes.h>

void kb_store_poller_init(kb_store_poller_t *poller, kb_store_t *store,
			  kb_mirror_t *mirror, kb_clock_t *clock, uint64_t seed)
{
	memset(poller, 0, sizeof(*poller));
	poller->store = store;
	poller->mirror = mirror;
	poller->clock = clock;
	poller->prefix = KB_STR("");
	poller->full_read = 1;
	kb_rng_init(&poller->rng, seed);
}

void kb_store_poller_finish(kb_store_poller_t *poller)
{
	if (poller->store)
		poller->store->ops->cancel(poller->store, poller);
	poller->enabled = 0;
}

void kb_store_poller_enable(kb_store_poller_t *poller, int enabled)
{
	if (poller->enabled == enabled)
		return;
	poller->enabled = enabled;
	kb_log(enabled ? KB_EVENT_CONFIG_RELAY_STARTED
		       : KB_EVENT_CONFIG_RELAY_STOPPED,
	       "revision=%" PRId64, poller->mirror->revision);
	if (!enabled) {
		poller->store->ops->cancel(poller->store, poller);
		poller->call_in_flight = 0;
	}
	poller->next_at = 0;
}

static void set_reached(kb_store_poller_t *poller, kb_result_t result)
{
	int reached = !result || result == KB_ERR_NOT_FOUND;

	if (reached == poller->reached)
		return;
	poller->reached = reached;
	kb_log(reached ? KB_EVENT_STORE_REGAINED : KB_EVENT_STORE_LOST,
	       "result=%s revision=%" PRId64, kb_result_name(result),
	       poller->mirror->revision);
}

/* Random, so that hosts do not all call the store at once after an outage. */
static kb_time_t backoff(kb_store_poller_t *poller)
{
	kb_time_t limit = KB_STORE_POLLER_BACKOFF_MIN_MS;

	if (poller->exponential_backoff) {
		limit <<= poller->failures;
		if (limit < KB_STORE_POLLER_BACKOFF_MAX_MS)
			poller->failures++;
	}
	return limit / 2 +
	       (kb_time_t)kb_rng_below(&poller->rng, (uint64_t)limit / 2);
}

static void on_answer(kb_store_poller_t *poller, kb_result_t result)
{
	kb_time_t now = kb_clock_monotonic(poller->clock);
	kb_time_t pause = KB_STORE_POLLER_INTERVAL_MS;

	poller->call_in_flight = 0;
	set_reached(poller, result);
	if (result == KB_ERR_NOT_FOUND)
		poller->full_read = 1;
	else if (result)
		pause = backoff(poller);
	if (!result)
		poller->failures = 0;
	poller->next_at = now + pause * KB_NS_PER_MS;
}

static void on_full_read(void *ctx, kb_result_t result,
			 const kb_store_range_t *range)
{
	kb_store_poller_t *poller = ctx;

	if (!result)
		result = kb_mirror_apply_snapshot(poller->mirror, range,
						  poller->sent_at);
	if (!result) {
		poller->full_read = 0;
		poller->full_read_at = poller->sent_at;
	}
	on_answer(poller, result);
}

static void on_changes(void *ctx, kb_result_t result,
		       const kb_store_range_t *range)
{
	kb_store_poller_t *poller = ctx;
	int is_empty = !result && !range->count;
	kb_time_t as_of = poller->sent_at;

	/* The store waits this long before it answers without a change. */
	if (is_empty)
		as_of += KB_STORE_POLLER_POLL_TIMEOUT_MS * KB_NS_PER_MS;
	if (!result)
		result = kb_mirror_apply_changes(poller->mirror, range, as_of);
	on_answer(poller, result);
	if (is_empty)
		poller->next_at = 0;
}

void kb_store_poller_tick(kb_store_poller_t *poller)
{
	kb_time_t now = kb_clock_monotonic(poller->clock);
	kb_store_keys_t keys = { .key = poller->prefix, .prefix = 1 };
	kb_result_t result;

	if (!poller->enabled || poller->call_in_flight || now < poller->next_at)
		return;
	poller->call_in_flight = 1;
	poller->sent_at = now;
	if (poller->full_read ||
	    now - poller->full_read_at >
		    KB_STORE_POLLER_FULL_READ_INTERVAL_S * KB_NS_PER_S)
		result = poller->store->ops->get(poller->store, &keys,
						 on_full_read, poller);
	else
		result = poller->store->ops->poll(
			poller->store, &keys, poller->mirror->revision,
			KB_STORE_POLLER_POLL_TIMEOUT_MS * KB_NS_PER_MS,
			on_changes, poller);
	if (result)
		on_answer(poller, result);
}

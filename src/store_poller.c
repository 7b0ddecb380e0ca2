#include "store_poller.h"

#include "log.h"

#include <inttypes.h>

void kb_store_poller_init(kb_store_poller_t *follower, kb_store_t *store,
			  kb_mirror_t *mirror, kb_clock_t *clock, uint64_t seed)
{
	memset(follower, 0, sizeof(*follower));
	follower->store = store;
	follower->mirror = mirror;
	follower->clock = clock;
	follower->prefix = KB_STR("");
	follower->whole = 1;
	kb_rng_init(&follower->rng, seed);
}

void kb_store_poller_finish(kb_store_poller_t *follower)
{
	if (follower->store)
		follower->store->ops->cancel(follower->store, follower);
	follower->enabled = 0;
}

void kb_store_poller_enable(kb_store_poller_t *follower, int enabled)
{
	if (follower->enabled == enabled)
		return;
	follower->enabled = enabled;
	kb_log(enabled ? KB_EVENT_CONFIG_RELAY_STARTED
		       : KB_EVENT_CONFIG_RELAY_STOPPED,
	       "revision=%" PRId64, follower->mirror->revision);
	if (!enabled) {
		follower->store->ops->cancel(follower->store, follower);
		follower->calling = 0;
	}
	follower->next_at = 0;
}

static void note_reached(kb_store_poller_t *follower, kb_result_t result)
{
	int reached = !result || result == KB_ERR_NOT_FOUND;

	if (reached == follower->reached)
		return;
	follower->reached = reached;
	kb_log(reached ? KB_EVENT_STORE_REGAINED : KB_EVENT_STORE_LOST,
	       "result=%s revision=%" PRId64, kb_result_name(result),
	       follower->mirror->revision);
}

/* Many hosts that wait for the store must not call it all at once. */
static kb_time_t retry_pause(kb_store_poller_t *follower)
{
	kb_time_t limit = KB_STORE_POLLER_BACKOFF_MIN_MS;

	if (follower->patient)
		limit <<= follower->failures;
	if (limit < KB_STORE_POLLER_BACKOFF_MAX_MS)
		follower->failures++;
	return limit / 2 +
	       (kb_time_t)kb_rng_below(&follower->rng, (uint64_t)limit / 2);
}

static void on_answer(kb_store_poller_t *follower, kb_result_t result)
{
	kb_time_t now = kb_clock_monotonic(follower->clock);
	kb_time_t pause = KB_STORE_POLLER_INTERVAL_MS;

	follower->calling = 0;
	note_reached(follower, result);
	if (result == KB_ERR_NOT_FOUND)
		follower->whole = 1;
	else if (result)
		pause = retry_pause(follower);
	if (!result)
		follower->failures = 0;
	follower->next_at = now + pause * KB_NS_PER_MS;
}

static void on_whole(void *ctx, kb_result_t result,
		     const kb_store_range_t *range)
{
	kb_store_poller_t *follower = ctx;

	if (!result)
		result = kb_mirror_apply_snapshot(follower->mirror, range,
						  follower->sent_at);
	if (!result) {
		follower->whole = 0;
		follower->whole_at = follower->sent_at;
	}
	on_answer(follower, result);
}

static void on_changes(void *ctx, kb_result_t result,
		       const kb_store_range_t *range)
{
	kb_store_poller_t *follower = ctx;
	int is_empty = !result && !range->count;

	if (!result)
		result = kb_mirror_apply_changes(follower->mirror, range,
						 follower->sent_at);
	on_answer(follower, result);
	if (is_empty)
		follower->next_at = 0;
}

void kb_store_poller_tick(kb_store_poller_t *follower)
{
	kb_time_t now = kb_clock_monotonic(follower->clock);
	kb_store_keys_t keys = { .key = follower->prefix, .prefix = 1 };
	kb_result_t result;

	if (!follower->enabled || follower->calling || now < follower->next_at)
		return;
	follower->calling = 1;
	follower->sent_at = now;
	if (follower->whole ||
	    now - follower->whole_at >
		    KB_STORE_POLLER_FULL_READ_INTERVAL_S * KB_NS_PER_S)
		result = follower->store->ops->get(follower->store, &keys,
						   on_whole, follower);
	else
		result = follower->store->ops->poll(
			follower->store, &keys, follower->mirror->revision,
			KB_STORE_POLLER_POLL_TIMEOUT_MS * KB_NS_PER_MS,
			on_changes, follower);
	if (result)
		on_answer(follower, result);
}

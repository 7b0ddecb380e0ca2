#include "proxy_internal.h"

#include "log.h"

#include <stdio.h>

enum {
	/* Interval of reads of the list; half of it is random. */
	READ_INTERVAL_MS = 400,
	/* A host that does not find itself in the list waits no longer. */
	TIMEOUT_MS = 2000,
	/* Time in which the hosts of a new fleet register. */
	FIRST_START_DELAY_MS = 800,
	PREFIX_MAX_BYTES = 160,
};

static void on_list(void *ctx, kb_result_t result,
		    const kb_store_range_t *range)
{
	kb_proxy_discovery_t *discovery = ctx;
	kb_proxy_t *proxy =
		(kb_proxy_t *)((char *)ctx - offsetof(kb_proxy_t, discovery));

	discovery->in_flight = 0;
	discovery->failed = result != KB_OK;
	for (size_t i = 0; !result && i < range->count; i++) {
		kb_host_info_t info;
		int leaving;

		if (kb_registration_parse(range->entries[i].value, &info,
					  &leaving))
			continue;
		if (kb_name_is(&info.name, kb_name_str(&proxy->self.name)))
			discovery->complete = 1;
		else if (!kb_hosts_find(&proxy->hosts,
					kb_name_str(&info.name)) &&
			 !leaving)
			kb_hosts_put(&proxy->hosts, &info);
	}
	kb_log(KB_EVENT_MEMBER_DISCOVERED, "result=%s hosts=%zu complete=%d",
	       kb_result_name(result), proxy->hosts.count, discovery->complete);
	kb_proxy_wake(proxy);
}

static void read_list(kb_proxy_t *proxy, kb_time_t now)
{
	kb_proxy_discovery_t *discovery = &proxy->discovery;
	kb_store_t *store = proxy->setup.store;
	kb_time_t half = READ_INTERVAL_MS * KB_NS_PER_MS / 2;
	char prefix[PREFIX_MAX_BYTES];
	kb_store_keys_t keys = { .prefix = 1, .stale = 1 };

	snprintf(prefix, sizeof(prefix), "%s%s/", KB_REGISTRATION_KEY_PREFIX,
		 proxy->self.data_centre.data);
	keys.key = kb_str_from(prefix);
	discovery->next_at =
		now + half +
		(kb_time_t)kb_rng_below(&proxy->rng, (uint64_t)half);
	discovery->in_flight =
		!store->ops->get(store, &keys, on_list, discovery);
}

void kb_proxy_discovery_tick(kb_proxy_t *proxy, kb_time_t now)
{
	const kb_proxy_discovery_t *discovery = &proxy->discovery;

	if (!proxy->mirror.revision && !discovery->in_flight &&
	    now >= discovery->next_at)
		read_list(proxy, now);
}

int kb_proxy_discovery_is_done(const kb_proxy_t *proxy, kb_time_t now)
{
	kb_time_t since = now - proxy->started_at;

	if (proxy->mirror.revision ||
	    since > TIMEOUT_MS * KB_NS_PER_MS + proxy->direct_read_delay)
		return 1;
	return proxy->discovery.complete &&
	       (!proxy->setup.settings->first_start ||
		since > FIRST_START_DELAY_MS * KB_NS_PER_MS);
}

#include "proxy_internal.h"

#include "log.h"
#include "proxy_keys.h"

#include <event2/event.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>

enum {
	/* Holders are asked for watermarks several times in this time. */
	ISOLATION_TIMEOUT_MS = 1500,
};

/* Applies a version of the configuration; older versions are ignored. */
static void apply_databases(kb_proxy_t *proxy, kb_databases_t *databases)
{
	if (!kb_databases_replace(&proxy->databases, databases))
		return;
	for (size_t i = 0; i < proxy->group_count; i++)
		proxy->groups[i]->configured = 0;
	for (size_t i = 0; i < proxy->databases.group_count; i++) {
		const kb_group_limits_t *limits = &proxy->databases.groups[i];
		kb_proxy_group_t *group =
			kb_proxy_group_get(proxy, kb_name_str(&limits->group));

		if (!group)
			continue;
		group->configured = 1;
		group->connections = limits->connections;
		group->monitor.durable = limits->durable;
	}
	kb_proxy_loans_on_configuration(proxy);
	kb_log(KB_EVENT_CONFIG_IN_FORCE,
	       "version=%" PRIu64
	       " databases=%zu groups=%zu teams=%zu revision=%" PRId64,
	       proxy->databases.version, proxy->databases.database_count,
	       proxy->databases.group_count, proxy->databases.teams.count,
	       proxy->mirror.revision);
	kb_proxy_keys_log_ignored(proxy);
}

static void remove_target(kb_proxy_t *proxy, kb_str_t target)
{
	const kb_target_entry_t *entry =
		kb_target_list_find(&proxy->targets, target);
	kb_proxy_group_t *group =
		entry ? kb_proxy_group_find(proxy,
					    kb_name_str(&entry->place.group))
		      : NULL;
	kb_time_t now = kb_clock_monotonic(proxy->clock);

	if (group)
		kb_proxy_vacancy_sync_targets(group, now);
	kb_target_list_remove(&proxy->targets, target);
	if (group)
		kb_proxy_vacancy_sync_targets(group, now);
}

static void apply_target(kb_proxy_t *proxy, kb_str_t key,
			 const kb_mirror_entry_t *entry)
{
	kb_platform_adapter_t *platform = proxy->setup.platform;
	kb_platform_item_t item;
	kb_name_t target;

	memset(&item, 0, sizeof(item));
	if (platform->ops->target(platform, key, &target)) {
		kb_log(KB_EVENT_STORE_ENTRY_MALFORMED,
		       "key=%.*s revision=%" PRId64, KB_STR_ARG(key),
		       entry ? entry->revision : 0);
		return;
	}
	if (!entry ||
	    platform->ops->decode(platform, entry->key, entry->value, &item)) {
		if (entry)
			kb_log(KB_EVENT_STORE_ENTRY_MALFORMED,
			       "key=%.*s revision=%" PRId64, KB_STR_ARG(key),
			       entry->revision);
		remove_target(proxy, kb_name_str(&target));
		return;
	}
	if (kb_target_list_put(&proxy->targets, &item.target))
		kb_log(KB_EVENT_STORE_ENTRY_MALFORMED, "key=%.*s memory=short",
		       KB_STR_ARG(key));
}

static void apply_configuration(kb_proxy_t *proxy,
				const kb_mirror_entry_t *entry)
{
	kb_platform_adapter_t *platform = proxy->setup.platform;
	kb_platform_item_t item;

	memset(&item, 0, sizeof(item));
	if (!entry)
		return;
	if (platform->ops->decode(platform, entry->key, entry->value, &item)) {
		kb_log(KB_EVENT_STORE_ENTRY_MALFORMED,
		       "key=%.*s revision=%" PRId64, KB_STR_ARG(entry->key),
		       entry->revision);
		return;
	}
	apply_databases(proxy, &item.databases);
}

static void on_mirror_changed(void *ctx, kb_str_t key,
			      const kb_mirror_entry_t *entry)
{
	kb_proxy_t *proxy = ctx;
	kb_platform_adapter_t *platform = proxy->setup.platform;

	/* The change is passed on at the next turn of the loop. */
	kb_proxy_wake(proxy);
	if (kb_str_extends(key, KB_STR(KB_REGISTRATION_KEY_PREFIX))) {
		kb_proxy_host_on_key(proxy, key, entry);
		return;
	}
	if (kb_str_extends(key, KB_STR(KB_PROXY_LEASE_KEY_PREFIX))) {
		kb_proxy_group_on_key(proxy, key, entry);
		return;
	}
	switch (platform->ops->kind(platform, key)) {
	case KB_PLATFORM_DATABASES:
		apply_configuration(proxy, entry);
		break;
	case KB_PLATFORM_TARGET:
		apply_target(proxy, key, entry);
		break;
	default:
		break;
	}
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct timeval interval = { 0, KB_PROXY_TICK_INTERVAL_MS * 1000 };
	kb_proxy_t *proxy = arg;
	kb_time_t now = kb_clock_monotonic(proxy->clock);

	(void)fd;
	(void)what;
	event_add(proxy->tick, &interval);
	kb_proxy_sync_tick(proxy, now);
	kb_proxy_check_restore(proxy, now);
	kb_registration_tick(&proxy->registration,
			     kb_proxy_is_registered(proxy));
	kb_proxy_hosts_tick(proxy, now);
	kb_proxy_groups_tick(proxy, now);
	kb_proxy_gates_tick(proxy, now);
	kb_proxy_loans_tick(proxy, now);
	kb_proxy_sessions_tick(proxy, now);
	kb_proxy_start_tick(proxy, now);
	kb_sync_feed_tick(&proxy->feed, now);
}

void kb_proxy_wake(kb_proxy_t *proxy)
{
	event_active(proxy->tick, 0, 0);
}

static kb_result_t add_seeds(kb_proxy_t *proxy, const kb_settings_t *settings)
{
	for (size_t i = 0; i < proxy->seed_count; i++)
		kb_rpc_peer_finish(&proxy->seeds[i].peer);
	proxy->seed_count = 0;
	for (size_t i = 0; i < settings->seed_count; i++) {
		const kb_endpoint_t *endpoint = &settings->seeds[i];
		kb_proxy_seed_t *seed = &proxy->seeds[proxy->seed_count];

		if (kb_endpoint_equal(endpoint, &proxy->self.endpoint))
			continue;
		seed->endpoint = *endpoint;
		if (kb_rpc_peer_init(&seed->peer, proxy->setup.loop,
				     kb_name_str(&endpoint->address),
				     endpoint->port, 8))
			return KB_ERR_NO_MEMORY;
		proxy->seed_count++;
	}
	return KB_OK;
}

void kb_proxy_reload(kb_proxy_t *proxy, const kb_settings_t *settings)
{
	if (add_seeds(proxy, settings))
		kb_log(KB_EVENT_SETTINGS_RELOADED, "seeds=0 memory=short");
}

static kb_result_t set_up(kb_proxy_t *proxy)
{
	const kb_settings_t *settings = proxy->setup.settings;
	uint64_t seed;
	kb_result_t result;

	randombytes_buf(&seed, sizeof(seed));
	kb_rng_init(&proxy->rng, seed);
	proxy->self.name = settings->host;
	proxy->self.endpoint = settings->listen_hosts;
	proxy->self.data_centre = settings->data_centre;
	proxy->self.region = settings->region;
	proxy->self.processor_share = settings->processor_share;
	proxy->self.link_mbps = settings->link_mbps;
	proxy->started_at = kb_clock_monotonic(proxy->clock);
	kb_start_phases_init(&proxy->start, proxy->started_at);
	proxy->mirror.changed = on_mirror_changed;
	proxy->mirror.ctx = proxy;
	kb_sync_feed_init(&proxy->feed, &proxy->mirror);
	result = kb_proxy_stats_init(&proxy->stats);
	if (!result)
		result = kb_hosts_init_at(&proxy->hosts, proxy->setup.loop,
					  &proxy->self);
	if (!result)
		result = kb_registration_init(&proxy->registration,
					      proxy->setup.store, proxy->clock,
					      &proxy->self);
	if (!result)
		result = add_seeds(proxy, settings);
	if (!result)
		result = kb_proxy_loans_init(proxy);
	if (!result)
		result = kb_proxy_serve(proxy);
	if (result)
		return result;
	kb_store_poller_init(&proxy->store_poller, proxy->setup.store,
			     &proxy->mirror, proxy->clock,
			     kb_rng_next(&proxy->rng));
	proxy->tick = evtimer_new(proxy->setup.loop, on_tick, proxy);
	if (!proxy->tick)
		return KB_ERR_NO_MEMORY;
	event_active(proxy->tick, 0, 0);
	return KB_OK;
}

kb_result_t kb_proxy_create(kb_proxy_t **out, const kb_proxy_setup_t *setup)
{
	kb_proxy_t *proxy = calloc(1, sizeof(*proxy));
	kb_result_t result;

	if (!proxy)
		return KB_ERR_NO_MEMORY;
	proxy->setup = *setup;
	proxy->clock = setup->clock;
	result = set_up(proxy);
	if (result) {
		kb_proxy_free(proxy);
		return result;
	}
	*out = proxy;
	return KB_OK;
}

void kb_proxy_free(kb_proxy_t *proxy)
{
	if (!proxy)
		return;
	if (proxy->tick)
		event_free(proxy->tick);
	kb_store_poller_finish(&proxy->store_poller);
	proxy->setup.store->ops->cancel(proxy->setup.store, &proxy->discovery);
	if (proxy->feed.mirror)
		kb_sync_feed_finish(&proxy->feed);
	kb_registration_finish(&proxy->registration);
	for (size_t i = 0; i < proxy->seed_count; i++)
		kb_rpc_peer_finish(&proxy->seeds[i].peer);
	for (size_t i = 0; i < proxy->hosts.count; i++)
		kb_rpc_peer_finish(&proxy->hosts.hosts[i]->peer);
	HASH_CLEAR(by_target, proxy->gates_by_target);
	for (size_t i = 0; i < proxy->gate_count; i++)
		kb_proxy_gate_free(proxy->gates[i]);
	HASH_CLEAR(by_name, proxy->groups_by_name);
	for (size_t i = 0; i < proxy->group_count; i++)
		kb_proxy_group_free(proxy->groups[i]);
	if (proxy->has_server)
		kb_rpc_server_finish(&proxy->server);
	kb_hosts_finish(&proxy->hosts);
	kb_proxy_loans_finish(proxy);
	free(proxy->gates);
	free(proxy->groups);
	kb_proxy_loads_finish(proxy);
	kb_databases_finish(&proxy->databases);
	kb_target_list_finish(&proxy->targets);
	kb_mirror_finish(&proxy->mirror);
	kb_proxy_stats_finish(&proxy->stats);
	free(proxy);
}

int kb_proxy_is_isolated(const kb_proxy_t *proxy)
{
	kb_time_t now = kb_clock_monotonic(proxy->clock);
	size_t configured = 0;

	for (size_t i = 0; i < proxy->group_count; i++) {
		const kb_proxy_group_t *group = proxy->groups[i];

		configured += (size_t)group->configured;
		if (group->configured &&
		    kb_proxy_group_watermark_age(group, now) <=
			    ISOLATION_TIMEOUT_MS * KB_NS_PER_MS)
			return 0;
	}
	return configured > 0;
}

int kb_proxy_is_ready(const kb_proxy_t *proxy)
{
	return !proxy->stopping && proxy->databases.version &&
	       proxy->targets.count && !kb_proxy_is_isolated(proxy);
}

void kb_proxy_stop(kb_proxy_t *proxy)
{
	if (proxy->stopping)
		return;
	proxy->stopping = 1;
	proxy->stop_started_at = kb_clock_monotonic(proxy->clock);
	proxy->hosts.self->leaving = 1;
	for (size_t i = 0; i < proxy->group_count; i++)
		proxy->groups[i]->held_at_stop =
			proxy->groups[i]->lease.role != KB_LEASE_NONE;
	kb_registration_set_leaving(&proxy->registration);
}

int kb_proxy_is_idle(const kb_proxy_t *proxy)
{
	for (size_t i = 0; i < proxy->gate_count; i++)
		if (kb_link_pool_active(&proxy->gates[i]->pool) ||
		    proxy->gates[i]->pool.jobs)
			return 0;
	for (size_t i = 0; i < proxy->group_count; i++)
		if (proxy->groups[i]->lease.role != KB_LEASE_NONE ||
		    kb_link_pool_active(&proxy->groups[i]->pool))
			return 0;
	return 1;
}

#include "configuration.h"

#include "gen/kumquat_rpc.h"
#include "log.h"

#include <inttypes.h>
#include <stdlib.h>

enum {
	GOSSIP_TIMEOUT_MS = 1000,
};

static kb_time_t now_of(const kb_configuration_t *configuration)
{
	return kb_clock_monotonic(configuration->clock);
}

/* Reschedules the timer, since an event may have changed its next time. */
static void reschedule(kb_configuration_t *configuration)
{
	kb_wakeup_schedule(&configuration->wakeup,
			   kb_config_gossip_next_wake(&configuration->gossip));
}

static void on_wakeup(void *ctx, kb_time_t now)
{
	kb_configuration_t *configuration = ctx;

	kb_wakeup_schedule(
		&configuration->wakeup,
		kb_config_gossip_on_timer(&configuration->gossip, now));
}

static void on_sent(void *ctx, kb_result_t result, void *res)
{
	(void)ctx;
	(void)result;
	(void)res;
}

static void send_message(kb_config_gossip_t *gossip, const kb_member_t *to,
			 const kb_config_gossip_message_t *message)
{
	kb_configuration_t *configuration = (kb_configuration_t *)gossip;
	kb_host_t *host =
		kb_hosts_find(configuration->hosts, kb_member_name(to));
	kbx_message body;
	kb_rpc_call_t call = {
		.procedure = KUMQUAT_SPREAD,
		.encode = (xdrproc_t)xdr_kbx_message,
		.args = &body,
		.decode = kb_rpc_frame_xdr_empty,
		.res_size = 1,
		.timeout = GOSSIP_TIMEOUT_MS * KB_NS_PER_MS,
		.done = on_sent,
		.ctx = configuration,
	};
	char *bytes;
	size_t len;

	if (!host || host->self ||
	    kb_config_gossip_wire_encode(message, &bytes, &len))
		return;
	body.data.data_val = bytes;
	body.data.data_len = (u_int)len;
	kb_rpc_peer_call(&host->peer, &call);
	free(bytes);
}

/* Converts an entry of the store; `change` borrows its strings. */
static kb_result_t to_change(const kb_store_entry_t *entry, kb_name_t *name,
			     kb_config_change_t *change)
{
	kb_kind_t kind;

	if (kb_resource_parse_key(entry->key, &kind, name)) {
		kb_log(KB_EVENT_CONFIG_MALFORMED, "key=%.*s",
		       KB_STR_ARG(entry->key));
		return KB_ERR_INVALID;
	}
	change->kind = kb_str_from(kb_spec_kind_name(kind));
	change->name = kb_name_str(name);
	change->revision = (uint64_t)entry->revision;
	change->deleted = entry->deleted;
	change->value = entry->value;
	return KB_OK;
}

static void start_watch(kb_configuration_t *configuration, uint64_t after);

static void on_snapshot(void *ctx, const kb_store_range_t *range)
{
	kb_configuration_t *configuration = ctx;
	kb_config_gossip_t *gossip = &configuration->gossip;
	uint64_t revision = (uint64_t)range->revision;

	if (!kb_config_gossip_on_load_begin(gossip, revision)) {
		start_watch(configuration, kb_config_gossip_revision(gossip));
		return;
	}
	for (size_t i = 0; i < range->count; i++) {
		kb_config_change_t change;
		kb_name_t name;

		if (!to_change(&range->entries[i], &name, &change))
			kb_config_gossip_on_load(gossip, &change, 1);
	}
	kb_config_gossip_on_load_end(gossip, revision, now_of(configuration));
	reschedule(configuration);
}

static void on_store_changed(void *ctx, const kb_store_entry_t *entry)
{
	kb_configuration_t *configuration = ctx;
	kb_config_change_t change;
	kb_name_t name;
	size_t count = !to_change(entry, &name, &change);

	kb_config_gossip_on_store_changes(&configuration->gossip, &change,
					  count, (uint64_t)entry->revision,
					  now_of(configuration));
	reschedule(configuration);
}

static void on_watch_state(void *ctx, kb_result_t result)
{
	(void)ctx;
	(void)result;
}

static const kb_store_watch_ops_t watch_ops = {
	.snapshot = on_snapshot,
	.changed = on_store_changed,
	.state = on_watch_state,
};

static void start_watch(kb_configuration_t *configuration, uint64_t after)
{
	kb_store_keys_t keys = { .key = KB_STR(KB_RESOURCE_PREFIX),
				 .prefix = 1 };
	kb_store_t *store = &configuration->etcd.store;

	store->ops->cancel(store, configuration);
	store->ops->watch(store, &keys, (int64_t)after, &watch_ops,
			  configuration);
}

static void watch(kb_config_gossip_t *gossip, uint64_t after)
{
	kb_configuration_t *configuration = (kb_configuration_t *)gossip;

	kb_log(KB_EVENT_CONFIG_RELAY_STARTED, "after=%llu",
	       (unsigned long long)after);
	if (configuration->has_store)
		start_watch(configuration, after);
}

static void unwatch(kb_config_gossip_t *gossip)
{
	kb_configuration_t *configuration = (kb_configuration_t *)gossip;
	kb_store_t *store = &configuration->etcd.store;

	kb_log(KB_EVENT_CONFIG_RELAY_STOPPED, "%s", "");
	if (configuration->has_store)
		store->ops->cancel(store, configuration);
}

static void put_resource(kb_configuration_t *configuration,
			 const kb_config_entry_t *entry, kb_kind_t kind)
{
	char key[KB_RESOURCE_KEY_BYTES];
	kb_str_t value = { entry->value, entry->value_len };
	kb_config_event_t event = {
		.kind = kind,
		.name = kb_config_entry_name(entry),
		.revision = (int64_t)entry->revision,
	};
	kb_resource_t resource;
	kb_fault_t fault;

	kb_resource_key(kind, event.name, key);
	if (kb_resource_parse(&resource, kb_str_from(key), value,
			      event.revision, &fault)) {
		kb_log(KB_EVENT_CONFIG_MALFORMED, "key=%s path=%s", key,
		       fault.path);
		return;
	}
	if (kb_catalog_put(configuration->catalog, &resource))
		return;
	event.resource =
		kb_catalog_find(configuration->catalog, kind, event.name);
	kb_config_listeners_changed(&configuration->listeners, &event);
}

static void in_force(kb_config_gossip_t *gossip, const kb_config_entry_t *entry)
{
	kb_configuration_t *configuration = (kb_configuration_t *)gossip;
	kb_config_event_t event = {
		.name = kb_config_entry_name(entry),
		.revision = (int64_t)entry->revision,
	};

	if (kb_spec_kind_parse(kb_config_entry_kind(entry), &event.kind))
		return;
	kb_log(KB_EVENT_CONFIG_IN_FORCE,
	       "resource=%s/%.*s revision=%" PRIu64 " deleted=%d",
	       kb_spec_kind_name(event.kind), KB_STR_ARG(event.name),
	       entry->revision, entry->deleted);
	if (!entry->deleted) {
		put_resource(configuration, entry, event.kind);
		return;
	}
	kb_catalog_remove(configuration->catalog, event.kind, event.name);
	kb_config_listeners_changed(&configuration->listeners, &event);
}

static const kb_config_gossip_ops_t gossip_ops = {
	.send = send_message,
	.watch = watch,
	.unwatch = unwatch,
	.in_force = in_force,
};

static kb_result_t open_store(kb_configuration_t *configuration,
			      const kb_configuration_setup_t *setup)
{
	kb_store_etcd_settings_t settings;
	kb_result_t result;

	if (!setup->store.port)
		return KB_OK;
	kb_store_etcd_defaults(&settings);
	settings.address = setup->store.address;
	settings.port = setup->store.port;
	settings.call_timeout = setup->store_deadline;
	settings.seed = setup->seed;
	result = kb_store_etcd_init(&configuration->etcd, setup->loop,
				    setup->clock, &settings);
	configuration->has_store = !result;
	return result;
}

kb_result_t kb_configuration_init(kb_configuration_t *configuration,
				  const kb_configuration_setup_t *setup)
{
	kb_result_t result;

	memset(configuration, 0, sizeof(*configuration));
	configuration->clock = setup->clock;
	configuration->catalog = setup->catalog;
	configuration->fleet = setup->fleet;
	configuration->hosts = setup->hosts;
	kb_config_listeners_init(&configuration->listeners);
	result = kb_wakeup_init(&configuration->wakeup, setup->loop,
				setup->clock, on_wakeup, configuration);
	if (result)
		return result;
	result = open_store(configuration, setup);
	if (result) {
		kb_wakeup_finish(&configuration->wakeup);
		return result;
	}
	kb_config_gossip_init(&configuration->gossip, &gossip_ops,
			      &setup->fleet->members, setup->seed,
			      now_of(configuration));
	reschedule(configuration);
	return KB_OK;
}

void kb_configuration_finish(kb_configuration_t *configuration)
{
	if (configuration->has_store)
		kb_store_etcd_finish(&configuration->etcd);
	kb_wakeup_finish(&configuration->wakeup);
	kb_config_gossip_finish(&configuration->gossip);
}

void kb_configuration_on_message(kb_configuration_t *configuration,
				 const char *data, size_t len)
{
	kb_config_gossip_message_t message;
	kb_result_t result = kb_config_gossip_wire_decode(&message, data, len);

	if (result) {
		kb_log(KB_EVENT_CONFIG_MALFORMED, "result=%s",
		       kb_result_name(result));
		return;
	}
	kb_config_gossip_on_message(&configuration->gossip, &message,
				    now_of(configuration));
	kb_config_gossip_message_finish(&message);
	reschedule(configuration);
}

void kb_configuration_on_member(kb_configuration_t *configuration,
				const kb_member_t *member)
{
	kb_config_gossip_on_member(&configuration->gossip, member,
				   now_of(configuration));
	reschedule(configuration);
}

kb_result_t kb_configuration_watch_status(kb_configuration_t *configuration)
{
	kb_result_t result = kb_config_gossip_watch_status(
		&configuration->gossip, true, now_of(configuration));

	reschedule(configuration);
	return result;
}

#include "registration.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

kb_result_t kb_registration_init(kb_registration_t *registration,
				 kb_store_t *store, kb_clock_t *clock,
				 const kb_host_info_t *info)
{
	char key[KB_NAME_MAX_BYTES + 1];

	memset(registration, 0, sizeof(*registration));
	registration->store = store;
	registration->clock = clock;
	registration->info = *info;
	if (snprintf(key, sizeof(key), "%s%s/%s", KB_REGISTRATION_KEY_PREFIX,
		     info->data_centre.data,
		     info->name.data) >= (int)sizeof(key))
		return KB_ERR_TOO_LARGE;
	return kb_name_set(&registration->key, kb_str_from(key));
}

void kb_registration_finish(kb_registration_t *registration)
{
	if (registration->store)
		registration->store->ops->cancel(registration->store,
						 registration);
}

static void schedule_call(kb_registration_t *registration, kb_time_t delay_ms)
{
	registration->call_pending = 0;
	/* Something changed while the call was in flight. */
	if (registration->call_due)
		return;
	registration->next_call_at = kb_clock_monotonic(registration->clock) +
				     delay_ms * KB_NS_PER_MS;
}

static void on_leased(void *ctx, kb_result_t result, int64_t lease,
		      kb_time_t ttl)
{
	kb_registration_t *registration = ctx;

	(void)ttl;
	if (!result) {
		registration->reached_at =
			kb_clock_monotonic(registration->clock);
		registration->lease = lease;
		registration->written = 0;
	}
	schedule_call(registration,
		      result ? KB_REGISTRATION_RETRY_INTERVAL_MS : 0);
}

static void on_kept_alive(void *ctx, kb_result_t result, int64_t lease,
			  kb_time_t ttl)
{
	kb_registration_t *registration = ctx;

	(void)lease;
	(void)ttl;
	if (result == KB_ERR_NOT_FOUND)
		registration->lease = 0;
	if (!result)
		registration->reached_at =
			kb_clock_monotonic(registration->clock);
	/* A new lease is requested at once. */
	if (!registration->lease)
		schedule_call(registration, 0);
	else
		schedule_call(registration,
			      result ? KB_REGISTRATION_RETRY_INTERVAL_MS
				     : KB_REGISTRATION_KEEPALIVE_INTERVAL_MS);
}

static void on_written(void *ctx, kb_result_t result,
		       const kb_store_written_t *written)
{
	kb_registration_t *registration = ctx;

	(void)written;
	if (result == KB_ERR_NOT_FOUND)
		registration->lease = 0;
	registration->written = !result && registration->written_leaving ==
						   registration->leaving;
	schedule_call(registration,
		      result ? KB_REGISTRATION_RETRY_INTERVAL_MS
			     : KB_REGISTRATION_KEEPALIVE_INTERVAL_MS);
}

static kb_result_t write_key(kb_registration_t *registration)
{
	const kb_host_info_t *info = &registration->info;
	json_t *json = json_pack(
		"{s:s,s:s,s:i,s:s,s:s,s:b,s:f,s:f}", "name", info->name.data,
		"address", info->endpoint.address.data, "port",
		info->endpoint.port, "dataCentre", info->data_centre.data,
		"region", info->region.data, "leaving", registration->leaving,
		"processorShare", info->processor_share, "linkMbps",
		info->link_mbps);
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	kb_store_write_t write = {
		.key = kb_name_str(&registration->key),
		.value = kb_str_from(text),
		.expected = KB_STORE_ANY,
		.lease = registration->lease,
	};
	kb_result_t result = KB_ERR_NO_MEMORY;

	registration->written_leaving = registration->leaving;
	if (text)
		result = registration->store->ops->put(
			registration->store, &write, on_written, registration);
	free(text);
	json_decref(json);
	return result;
}

void kb_registration_tick(kb_registration_t *registration, int listed)
{
	kb_store_t *store = registration->store;
	kb_time_t now = kb_clock_monotonic(registration->clock);
	kb_result_t result;

	if (registration->call_pending || now < registration->next_call_at)
		return;
	registration->call_pending = 1;
	registration->call_due = 0;
	if (!registration->lease)
		result = store->ops->lease_grant(
			store, KB_REGISTRATION_TTL_MS * KB_NS_PER_MS, on_leased,
			registration);
	else if (!registration->written || !listed)
		result = write_key(registration);
	else
		result = store->ops->lease_keep(store, registration->lease,
						on_kept_alive, registration);
	if (result)
		schedule_call(registration, KB_REGISTRATION_RETRY_INTERVAL_MS);
}

static void make_call_due(kb_registration_t *registration)
{
	registration->call_due = 1;
	registration->next_call_at = 0;
}

void kb_registration_refresh(kb_registration_t *registration)
{
	registration->lease = 0;
	make_call_due(registration);
}

void kb_registration_set_leaving(kb_registration_t *registration)
{
	registration->leaving = 1;
	registration->written = 0;
	make_call_due(registration);
}

kb_result_t kb_registration_parse(kb_str_t value, kb_host_info_t *info,
				  int *leaving)
{
	json_t *json = json_loadb(value.data, value.len, 0, NULL);
	const char *name;
	const char *address;
	const char *data_centre;
	const char *region;
	int port;
	kb_result_t result = KB_ERR_PROTOCOL;

	memset(info, 0, sizeof(*info));
	if (json &&
	    !json_unpack(json, "{s:s,s:s,s:i,s:s,s:s,s:b,s?F,s?F}", "name",
			 &name, "address", &address, "port", &port,
			 "dataCentre", &data_centre, "region", &region,
			 "leaving", leaving, "processorShare",
			 &info->processor_share, "linkMbps",
			 &info->link_mbps) &&
	    port > 0 && port <= UINT16_MAX &&
	    !kb_name_set(&info->name, kb_str_from(name)) &&
	    !kb_name_set(&info->endpoint.address, kb_str_from(address)) &&
	    !kb_name_set(&info->data_centre, kb_str_from(data_centre)) &&
	    !kb_name_set(&info->region, kb_str_from(region))) {
		info->endpoint.port = (uint16_t)port;
		result = KB_OK;
	}
	json_decref(json);
	return result;
}

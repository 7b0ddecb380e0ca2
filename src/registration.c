#include "registration.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

kb_result_t kb_registration_init(kb_registration_t *presence, kb_store_t *store,
				 kb_clock_t *clock, const kb_host_info_t *place)
{
	char key[KB_NAME_MAX_BYTES + 1];

	memset(presence, 0, sizeof(*presence));
	presence->store = store;
	presence->clock = clock;
	presence->place = *place;
	if (snprintf(key, sizeof(key), "%s%s", KB_REGISTRATION_KEY_PREFIX,
		     place->name.data) >= (int)sizeof(key))
		return KB_ERR_TOO_LARGE;
	return kb_name_set(&presence->key, kb_str_from(key));
}

void kb_registration_finish(kb_registration_t *presence)
{
	if (presence->store)
		presence->store->ops->cancel(presence->store, presence);
}

static void next_call(kb_registration_t *presence, kb_time_t pause_ms)
{
	presence->calling = 0;
	presence->next_at =
		kb_clock_monotonic(presence->clock) + pause_ms * KB_NS_PER_MS;
}

static void on_leased(void *ctx, kb_result_t result, int64_t lease,
		      kb_time_t ttl)
{
	kb_registration_t *presence = ctx;

	(void)ttl;
	if (!result) {
		presence->reached_at = kb_clock_monotonic(presence->clock);
		presence->lease = lease;
		presence->written = 0;
	}
	next_call(presence, result ? KB_REGISTRATION_RETRY_INTERVAL_MS : 0);
}

static void on_kept(void *ctx, kb_result_t result, int64_t lease, kb_time_t ttl)
{
	kb_registration_t *presence = ctx;

	(void)lease;
	(void)ttl;
	if (result == KB_ERR_NOT_FOUND)
		presence->lease = 0;
	if (!result)
		presence->reached_at = kb_clock_monotonic(presence->clock);
	next_call(presence, result ? KB_REGISTRATION_RETRY_INTERVAL_MS
				   : KB_REGISTRATION_KEEPALIVE_INTERVAL_MS);
}

static void on_written(void *ctx, kb_result_t result,
		       const kb_store_written_t *written)
{
	kb_registration_t *presence = ctx;

	(void)written;
	if (result == KB_ERR_NOT_FOUND)
		presence->lease = 0;
	presence->written =
		!result && presence->wrote_leaving == presence->leaving;
	next_call(presence, result ? KB_REGISTRATION_RETRY_INTERVAL_MS
				   : KB_REGISTRATION_KEEPALIVE_INTERVAL_MS);
}

static kb_result_t write_key(kb_registration_t *presence)
{
	const kb_host_info_t *place = &presence->place;
	json_t *json = json_pack(
		"{s:s,s:s,s:i,s:s,s:s,s:b}", "name", place->name.data,
		"address", place->endpoint.address.data, "port",
		place->endpoint.port, "dataCentre", place->data_centre.data,
		"region", place->region.data, "leaving", presence->leaving);
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	kb_store_write_t write = {
		.key = kb_name_str(&presence->key),
		.value = kb_str_from(text),
		.expected = KB_STORE_ANY,
		.lease = presence->lease,
	};
	kb_result_t result = KB_ERR_NO_MEMORY;

	presence->wrote_leaving = presence->leaving;
	if (text)
		result = presence->store->ops->put(presence->store, &write,
						   on_written, presence);
	free(text);
	json_decref(json);
	return result;
}

void kb_registration_tick(kb_registration_t *presence, int listed)
{
	kb_store_t *store = presence->store;
	kb_time_t now = kb_clock_monotonic(presence->clock);
	kb_result_t result;

	if (presence->calling || now < presence->next_at)
		return;
	presence->calling = 1;
	if (!presence->lease)
		result = store->ops->lease_grant(
			store, KB_REGISTRATION_TTL_MS * KB_NS_PER_MS, on_leased,
			presence);
	else if (!presence->written || !listed)
		result = write_key(presence);
	else
		result = store->ops->lease_keep(store, presence->lease, on_kept,
						presence);
	if (result)
		next_call(presence, KB_REGISTRATION_RETRY_INTERVAL_MS);
}

void kb_registration_set_leaving(kb_registration_t *presence)
{
	presence->leaving = 1;
	presence->written = 0;
	presence->next_at = 0;
}

kb_result_t kb_registration_parse(kb_str_t value, kb_host_info_t *place,
				  int *leaving)
{
	json_t *json = json_loadb(value.data, value.len, 0, NULL);
	const char *name;
	const char *address;
	const char *data_centre;
	const char *region;
	int port;
	kb_result_t result = KB_ERR_PROTOCOL;

	memset(place, 0, sizeof(*place));
	if (json &&
	    !json_unpack(json, "{s:s,s:s,s:i,s:s,s:s,s:b}", "name", &name,
			 "address", &address, "port", &port, "dataCentre",
			 &data_centre, "region", &region, "leaving", leaving) &&
	    port > 0 && port <= UINT16_MAX &&
	    !kb_name_set(&place->name, kb_str_from(name)) &&
	    !kb_name_set(&place->endpoint.address, kb_str_from(address)) &&
	    !kb_name_set(&place->data_centre, kb_str_from(data_centre)) &&
	    !kb_name_set(&place->region, kb_str_from(region))) {
		place->endpoint.port = (uint16_t)port;
		result = KB_OK;
	}
	json_decref(json);
	return result;
}

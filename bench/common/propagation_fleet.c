#include "propagation_fleet.h"

#include <stdio.h>
#include <stdlib.h>

enum {
	LOCAL_LATENCY_US = 250,
	DATA_CENTRE_LATENCY_US = 1000,
	REGION_LATENCY_US = 8000,
	/* Maximum extra delay of a message. */
	JITTER_US = 1000,
	START_SPREAD_MS = 500,
	DAEMON_PORT = 7100,
};

double propagation_fleet_random(propagation_fleet_t *fleet)
{
	return (double)(kb_rng_next(&fleet->rng) >> 11) /
	       (double)(UINT64_C(1) << 53);
}

static uint32_t data_centre_of(const propagation_fleet_t *fleet, uint32_t host)
{
	return host % fleet->params.data_centres;
}

static uint32_t region_of(const propagation_fleet_t *fleet, uint32_t host)
{
	return data_centre_of(fleet, host) % fleet->params.regions;
}

int propagation_fleet_crosses_regions(const propagation_fleet_t *fleet,
				      uint32_t a, uint32_t b)
{
	return region_of(fleet, a) != region_of(fleet, b);
}

int propagation_fleet_can_reach(const propagation_fleet_t *fleet, uint32_t a,
				uint32_t b)
{
	return !fleet->cut_region ||
	       (region_of(fleet, a) == 1) == (region_of(fleet, b) == 1);
}

kb_time_t propagation_fleet_latency(const propagation_fleet_t *fleet,
				    uint32_t a, uint32_t b)
{
	if (region_of(fleet, a) != region_of(fleet, b))
		return REGION_LATENCY_US * KB_NS_PER_US;
	if (data_centre_of(fleet, a) != data_centre_of(fleet, b))
		return DATA_CENTRE_LATENCY_US * KB_NS_PER_US;
	return LOCAL_LATENCY_US * KB_NS_PER_US;
}

kb_time_t propagation_fleet_jitter(propagation_fleet_t *fleet)
{
	double us = JITTER_US * propagation_fleet_random(fleet);

	return (kb_time_t)(us * (double)KB_NS_PER_US);
}

static void set_name(kb_name_t *name, const char *prefix, uint32_t number)
{
	char text[KB_NAME_MAX_BYTES];

	(void)snprintf(text, sizeof(text), "%s%u", prefix, number);
	kb_name_set(name, kb_str_from(text));
}

static kb_member_record_t record_of(const propagation_fleet_t *fleet,
				    uint32_t host, uint64_t instance)
{
	kb_member_record_t record = { 0 };
	char address[KB_NAME_MAX_BYTES];

	set_name(&record.name, "entry-", host);
	(void)snprintf(address, sizeof(address), "10.%u.%u.%u",
		       data_centre_of(fleet, host), host / 256, host % 256);
	kb_name_set(&record.address, kb_str_from(address));
	record.port = DAEMON_PORT;
	set_name(&record.data_centre, "centre-", data_centre_of(fleet, host));
	set_name(&record.region, "region-", region_of(fleet, host));
	record.instance = instance;
	return record;
}

kb_config_change_t propagation_fleet_change_of(const propagation_fleet_t *fleet,
					       uint64_t revision)
{
	return (kb_config_change_t){ KB_STR("group"),
				     KB_STR("race-1"),
				     revision,
				     false,
				     { fleet->value,
				       fleet->params.value_bytes } };
}

void propagation_fleet_run(propagation_fleet_t *fleet, int64_t ms)
{
	kb_time_t end = fleet->now + ms * KB_NS_PER_MS;

	kb_event_queue_run(&fleet->queue, end);
	fleet->now = end;
}

/*
 * Adds all other hosts to the member table of `host`; if `as_hint`, with
 * instance 0, as from the platform's host list.
 */
static void fill_table(propagation_fleet_t *fleet, propagation_host_t *host,
		       int as_hint)
{
	kb_member_table_t *table = &host->peers.members.table;
	uint32_t index;

	for (uint32_t i = 0; i < fleet->params.hosts; i++) {
		kb_member_record_t record = record_of(fleet, i, !as_hint);

		if (i != host->index &&
		    kb_member_table_add(table, &record, &index))
			exit(1);
	}
}

/* Starts the process of `host` with a new instance number. */
static void start(propagation_fleet_t *fleet, propagation_host_t *host,
		  int as_hint)
{
	uint64_t instance = host->generation + 1;
	kb_member_record_t self = record_of(fleet, host->index, instance);
	kb_time_t timer = fleet->now;

	if (kb_members_init(&host->peers.members, &propagation_member_ops,
			    &self, kb_rng_next(&fleet->rng), fleet->now))
		exit(1);
	fill_table(fleet, host, as_hint);
	kb_config_gossip_init(&host->gossip, &propagation_gossip_ops,
			      &host->peers.members, kb_rng_next(&fleet->rng),
			      fleet->now);
	host->running = 1;
	if (!as_hint)
		timer += (kb_time_t)(propagation_fleet_random(fleet) *
				     START_SPREAD_MS * (double)KB_NS_PER_MS);
	propagation_host_set_timers(host, timer);
}

void propagation_fleet_init(propagation_fleet_t *fleet,
			    const propagation_params_t *params)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->params = *params;
	kb_rng_init(&fleet->rng, params->seed);
	fleet->now = KB_NS_PER_S;
	kb_event_queue_init(&fleet->queue);
	fleet->hosts = calloc(params->hosts, sizeof(*fleet->hosts));
	fleet->value = calloc(1, params->value_bytes);
	if (!fleet->hosts || !fleet->value)
		exit(1);
	fleet->change_count = 1;
	for (uint32_t i = 0; i < params->hosts; i++) {
		propagation_host_t *host = &fleet->hosts[i];
		kb_config_change_t change =
			propagation_fleet_change_of(fleet, 1);

		host->fleet = fleet;
		host->index = i;
		host->peers.host = host;
		start(fleet, host, 0);
		if (kb_config_gossip_on_store_changes(&host->gossip, &change, 1,
						      1, fleet->now))
			exit(1);
		host->revision_seen = 1;
	}
}

static void finish(propagation_host_t *host)
{
	kb_config_gossip_finish(&host->gossip);
	kb_members_finish(&host->peers.members);
}

void propagation_fleet_finish(propagation_fleet_t *fleet)
{
	for (uint32_t i = 0; i < fleet->params.hosts; i++)
		finish(&fleet->hosts[i]);
	for (size_t i = 0; i < fleet->queue.count; i++)
		free(fleet->queue.heap[i].arg);
	kb_event_queue_finish(&fleet->queue);
	free(fleet->hosts);
	free(fleet->value);
}

void propagation_fleet_commit_change(propagation_fleet_t *fleet)
{
	propagation_change_t *change;

	if (fleet->change_count == PROPAGATION_CHANGES_MAX)
		exit(1);
	change = &fleet->changes[fleet->change_count++];
	change->accepted_at = fleet->now;
	for (uint32_t i = 0; i < fleet->params.hosts; i++)
		if (fleet->hosts[i].running && fleet->hosts[i].watching)
			propagation_host_schedule_watch(&fleet->hosts[i]);
}

void propagation_fleet_leave(propagation_fleet_t *fleet, uint32_t host)
{
	kb_members_set_leaving(&fleet->hosts[host].peers.members, true,
			       fleet->now);
}

void propagation_fleet_kill(propagation_fleet_t *fleet, uint32_t host)
{
	fleet->hosts[host].running = 0;
	fleet->hosts[host].watching = 0;
}

void propagation_fleet_restart(propagation_fleet_t *fleet, uint32_t index)
{
	propagation_host_t *host = &fleet->hosts[index];

	kb_members_announce_exit(&host->peers.members);
	propagation_fleet_kill(fleet, index);
	finish(host);
	host->generation++;
	start(fleet, host, 1);
}

void propagation_fleet_clear_traffic(propagation_fleet_t *fleet)
{
	for (uint32_t i = 0; i < fleet->params.hosts; i++)
		memset(&fleet->hosts[i].traffic, 0,
		       sizeof(fleet->hosts[i].traffic));
}

uint32_t propagation_fleet_watch_count(const propagation_fleet_t *fleet)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < fleet->params.hosts; i++)
		count += (uint32_t)fleet->hosts[i].watching;
	return count;
}

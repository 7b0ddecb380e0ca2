/*
 * Measures the memory, processor time and transferred bytes that each resource,
 * target, group and data centre costs a host.
 */
#include "common/event_queue.h"
#include "gate_map.h"
#include "config_gossip.h"
#include "watchers.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

enum {
	HOSTS = 3600,
	DATA_CENTRES = 24,
	REGIONS = 7,
	TARGETS = 18300,
	GROUPS = 6100,
	VALUE_BYTES = 600,
	MEMBER_CHANGES = 200,
	/* Bytes of headers for a message, as in bench_propagation. */
	CALL_BYTES = 124,
};

static double cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6 +
	       (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

static double allocated(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd);
}

static void set_name(kb_name_t *name, const char *prefix, size_t number)
{
	char text[KB_NAME_MAX_BYTES];

	(void)snprintf(text, sizeof(text), "%s%zu", prefix, number);
	kb_name_set(name, kb_str_from(text));
}

static kb_member_record_t record_of(size_t host)
{
	kb_member_record_t record = { .port = 7100, .instance = 1 };

	set_name(&record.name, "entry-", host);
	set_name(&record.address, "10.1.0.", host);
	set_name(&record.data_centre, "centre-", host % DATA_CENTRES);
	set_name(&record.region, "region-", host % DATA_CENTRES % REGIONS);
	return record;
}

static void send_nothing(kb_members_t *members, const kb_member_t *to,
			 const kb_member_message_t *message)
{
	(void)members;
	(void)to;
	(void)message;
}

static void ignore_change(kb_members_t *members, const kb_member_t *member)
{
	(void)members;
	(void)member;
}

static void ignore_superseded(kb_members_t *members)
{
	(void)members;
}

static void init_members(kb_members_t *members, size_t self)
{
	static const kb_members_ops_t ops = { send_nothing, ignore_change,
					      ignore_superseded };
	kb_member_record_t record = record_of(self);
	uint32_t index;

	if (kb_members_init(members, &ops, &record, 1, 0))
		exit(1);
	for (size_t i = 0; i < HOSTS; i++) {
		record = record_of(i);
		if (i != self &&
		    kb_member_table_add(&members->table, &record, &index))
			exit(1);
	}
}

/* A host in a transfer; it sends messages straight to the inbox of `peer`. */
typedef struct transfer_host {
	kb_config_gossip_t gossip;
	struct transfer_host *peer;
	kb_members_t members;
	char *inbox;
	size_t inbox_len;
	double bytes;
	size_t messages;
} transfer_host_t;

static void send_transfer(kb_config_gossip_t *gossip, const kb_member_t *to,
			  const kb_config_gossip_message_t *message)
{
	transfer_host_t *host = (transfer_host_t *)gossip;
	transfer_host_t *peer = host->peer;

	(void)to;
	if (message->type != KB_CONFIG_GOSSIP_DIGEST &&
	    message->type != KB_CONFIG_GOSSIP_PULL &&
	    message->type != KB_CONFIG_GOSSIP_PAGE)
		return;
	free(peer->inbox);
	if (kb_config_gossip_wire_encode(message, &peer->inbox,
					 &peer->inbox_len))
		exit(1);
	host->bytes += (double)peer->inbox_len + CALL_BYTES;
	host->messages++;
}

static void watch_nothing(kb_config_gossip_t *gossip, uint64_t after)
{
	(void)gossip;
	(void)after;
}

static void unwatch_nothing(kb_config_gossip_t *gossip)
{
	(void)gossip;
}

static void apply_nothing(kb_config_gossip_t *gossip,
			  const kb_config_entry_t *entry)
{
	(void)gossip;
	(void)entry;
}

/* Handles the message in the inbox; returns 0 if there is none. */
static int receive_message(transfer_host_t *host)
{
	kb_config_gossip_message_t message;
	char *bytes = host->inbox;

	if (!bytes)
		return 0;
	host->inbox = NULL;
	if (kb_config_gossip_wire_decode(&message, bytes, host->inbox_len))
		exit(1);
	kb_config_gossip_on_message(&host->gossip, &message, KB_NS_PER_S);
	kb_config_gossip_message_finish(&message);
	free(bytes);
	return 1;
}

static void fill(transfer_host_t *host, size_t resources)
{
	char *value = kb_bench_alloc(1, VALUE_BYTES);

	for (size_t i = 0; i < resources; i++) {
		kb_config_change_t change = { .kind = KB_STR("group"),
					      .revision = i + 1,
					      .value = { value, VALUE_BYTES } };
		kb_name_t name;

		set_name(&name, "group-", i);
		change.name = kb_name_str(&name);
		if (kb_config_gossip_on_store_changes(&host->gossip, &change, 1,
						      i + 1, 0))
			exit(1);
	}
	free(value);
}

static void init_transfer(transfer_host_t *host, transfer_host_t *peer,
			  size_t self)
{
	static const kb_config_gossip_ops_t ops = {
		send_transfer, watch_nothing, unwatch_nothing, apply_nothing
	};

	host->peer = peer;
	init_members(&host->members, self);
	kb_config_gossip_init(&host->gossip, &ops, &host->members, 1, 0);
}

/* Measures a full transfer to a host without configuration. */
static void measure_transfer(void)
{
	transfer_host_t *hosts = kb_bench_alloc(2, sizeof(*hosts));
	double before;
	double memory;
	double cpu_time_us;

	init_transfer(&hosts[0], &hosts[1], 0);
	init_transfer(&hosts[1], &hosts[0], 1);
	before = allocated();
	fill(&hosts[0], GROUPS);
	memory = allocated() - before;
	hosts[0].bytes = 0;
	hosts[0].messages = 0;
	free(hosts[1].inbox);
	hosts[1].inbox = NULL;
	cpu_time_us = cpu_us();
	kb_config_gossip_on_timer(&hosts[1].gossip, 0);
	while (receive_message(&hosts[0]) || receive_message(&hosts[1]))
		;
	cpu_time_us = cpu_us() - cpu_time_us;
	printf("full transfer of %d resources of %d B: %.0f B in %zu pages, "
	       "%.0f us on both hosts, complete %s; %.0f B of memory each\n",
	       GROUPS, VALUE_BYTES, hosts[0].bytes, hosts[0].messages,
	       cpu_time_us,
	       kb_config_gossip_revision(&hosts[1].gossip) == GROUPS ? "yes"
								     : "NO",
	       memory / GROUPS);
	printf("{\"bench\": \"capacity\", \"resource_memory_bytes\": %.1f, "
	       "\"resource_transfer_bytes\": %.1f, "
	       "\"resource_transfer_cpu_us\": %.3f}\n",
	       memory / GROUPS, hosts[0].bytes / GROUPS, cpu_time_us / GROUPS);
	for (int i = 0; i < 2; i++) {
		free(hosts[i].inbox);
		kb_config_gossip_finish(&hosts[i].gossip);
		kb_members_finish(&hosts[i].members);
	}
	free(hosts);
}

static double encoded_bytes(const kb_config_gossip_message_t *message)
{
	char *bytes;
	size_t len;

	if (kb_config_gossip_wire_encode(message, &bytes, &len))
		exit(1);
	free(bytes);
	return (double)len + CALL_BYTES;
}

/* Measures the messages that report where a revision is in force. */
static void measure_status(void)
{
	kb_config_gossip_message_t message;
	double report;
	double request;
	double answer;

	kb_config_gossip_message_init(&message, KB_CONFIG_GOSSIP_REPORT);
	kb_name_set(&message.from, KB_STR("entry-1000"));
	report = encoded_bytes(&message);
	message.type = KB_CONFIG_GOSSIP_STATUS_REQUEST;
	request = encoded_bytes(&message);
	message.type = KB_CONFIG_GOSSIP_STATUS;
	for (size_t i = 0; i < KB_CONFIG_GOSSIP_LAGGING_MAX; i++) {
		set_name(&message.lagging[i].host, "entry-", 1000 + i);
		message.lagging[i].revision = i + 1;
	}
	message.lagging_count = KB_CONFIG_GOSSIP_LAGGING_MAX;
	answer = encoded_bytes(&message);
	printf("a report takes %.0f B, a status request %.0f B, its answer "
	       "with %d hosts named %.0f B\n",
	       report, request, KB_CONFIG_GOSSIP_LAGGING_MAX, answer);
	printf("{\"bench\": \"capacity\", \"report_bytes\": %.0f, "
	       "\"status_request_bytes\": %.0f, "
	       "\"status_answer_bytes\": %.0f, "
	       "\"status_memory_bytes\": %zu, "
	       "\"report_memory_bytes\": %zu}\n",
	       report, request, answer,
	       KB_CONFIG_GOSSIP_DATA_CENTRES_MAX *
		       sizeof(kb_config_gossip_data_centre_t),
	       sizeof(kb_config_gossip_report_t));
}

static size_t moves;

static void count_move(kb_gate_map_t *map, kb_gate_t *gate, uint32_t before)
{
	(void)map;
	(void)gate;
	(void)before;
	moves++;
}

static kb_target_spec_t target_of(size_t n)
{
	kb_target_spec_t target = { 0 };

	set_name(&target.name, "target-", n);
	set_name(&target.data_centre, "centre-", n % DATA_CENTRES);
	set_name(&target.region, "region-", n % DATA_CENTRES % REGIONS);
	return target;
}

/*
 * Marks one host after the other as dead and then as alive again; returns the
 * changed member.
 */
static const kb_member_t *toggle(kb_member_table_t *table, uint32_t step)
{
	uint32_t index = step / 2;
	kb_member_record_t record;

	kb_member_to_record(&table->members[index], &record);
	record.incarnation++;
	record.state = step % 2 ? KB_MEMBER_ALIVE : KB_MEMBER_DEAD;
	if (kb_member_table_update(table, index, &record))
		exit(1);
	return &table->members[index];
}

static void measure_gates(kb_member_table_t *table)
{
	static const kb_gate_map_ops_t ops = { count_move };
	kb_target_spec_t *targets = kb_bench_alloc(TARGETS, sizeof(*targets));
	kb_gate_t *gates = kb_bench_alloc(TARGETS, sizeof(*gates));
	kb_gate_map_t map;
	double place_us;
	double update_us;

	kb_gate_map_init(&map, &ops, table);
	place_us = cpu_us();
	for (size_t i = 0; i < TARGETS; i++) {
		targets[i] = target_of(i);
		kb_gate_map_add(&map, &gates[i], &targets[i]);
	}
	place_us = cpu_us() - place_us;
	moves = 0;
	update_us = cpu_us();
	for (uint32_t i = 0; i < MEMBER_CHANGES; i++)
		kb_gate_map_on_member(&map, toggle(table, i));
	update_us = cpu_us() - update_us;
	printf("%d gates over %d hosts: placed in %.0f us each, a change of "
	       "one host costs %.0f us and moves %.1f gates; %zu B each\n",
	       TARGETS, HOSTS, place_us / TARGETS, update_us / MEMBER_CHANGES,
	       (double)moves / MEMBER_CHANGES,
	       sizeof(kb_gate_t) + sizeof(kb_target_spec_t));
	printf("{\"bench\": \"capacity\", \"gate_place_cpu_us\": %.2f, "
	       "\"gate_change_cpu_us\": %.1f, \"gate_memory_bytes\": %zu, "
	       "\"gate_moves\": %.2f}\n",
	       place_us / TARGETS, update_us / MEMBER_CHANGES,
	       sizeof(kb_gate_t) + sizeof(kb_target_spec_t),
	       (double)moves / MEMBER_CHANGES);
	free(gates);
	free(targets);
}

static void measure_watchers(kb_member_table_t *table)
{
	kb_group_spec_t *groups = kb_bench_alloc(GROUPS, sizeof(*groups));
	kb_watchers_t *watchers = kb_bench_alloc(GROUPS, sizeof(*watchers));
	double update_us;

	for (size_t i = 0; i < GROUPS; i++) {
		set_name(&groups[i].name, "group-", i);
		groups[i].target_count = 3;
		for (size_t n = 0; n < 3; n++)
			groups[i].targets[n] = target_of(i + n);
		kb_watchers_choose(&watchers[i], table, &groups[i]);
	}
	update_us = cpu_us();
	for (uint32_t i = 0; i < MEMBER_CHANGES; i++) {
		const kb_member_t *member = toggle(table, i);

		for (size_t n = 0; n < GROUPS; n++)
			kb_watchers_on_member(&watchers[n], table, &groups[n],
					      member);
	}
	update_us = cpu_us() - update_us;
	printf("watchers of %d groups: a change of one host costs %.0f us; "
	       "%zu B each\n",
	       GROUPS, update_us / MEMBER_CHANGES, sizeof(kb_watchers_t));
	printf("{\"bench\": \"capacity\", \"watchers_change_cpu_us\": %.1f, "
	       "\"watchers_memory_bytes\": %zu, "
	       "\"group_spec_memory_bytes\": %zu}\n",
	       update_us / MEMBER_CHANGES, sizeof(kb_watchers_t),
	       sizeof(kb_group_spec_t));
	free(watchers);
	free(groups);
}

int main(void)
{
	kb_members_t *members = kb_bench_alloc(1, sizeof(*members));

	init_members(members, 0);
	measure_transfer();
	measure_status();
	measure_gates(&members->table);
	measure_watchers(&members->table);
	kb_members_finish(members);
	free(members);
	return 0;
}

#include "propagation_fleet.h"

#include <stdio.h>
#include <stdlib.h>

enum {
	/* Processing time of the store. */
	STORE_LATENCY_US = 2000,
	/* Time to the retransmission of a segment lost on a connection. */
	STORE_RETRANSMIT_US = 200000,
};

static void on_event(void *ctx, void *arg, kb_time_t now);

/* Schedules an event with a payload of `len` bytes, which the caller fills. */
static propagation_event_t *schedule(propagation_host_t *host,
				     propagation_event_kind_t kind,
				     kb_time_t time, size_t len)
{
	propagation_event_t *event = kb_bench_alloc(1, sizeof(*event) + len);

	event->kind = kind;
	event->generation = host->generation;
	event->len = len;
	kb_event_queue_add(&host->fleet->queue, time, on_event, host, event);
	return event;
}

static uint32_t index_of(const kb_member_t *member)
{
	kb_str_t digits = kb_member_name(member);
	uint64_t index = 0;

	digits.data += strlen("entry-");
	digits.len -= strlen("entry-");
	kb_str_to_u64(digits, &index);
	return (uint32_t)index;
}

/* Sends a message over the simulated network, which may drop it. */
static void send_message(propagation_host_t *from, const kb_member_t *to,
			 propagation_event_kind_t kind, const char *bytes,
			 size_t len, size_t header)
{
	propagation_fleet_t *fleet = from->fleet;
	uint32_t index = index_of(to);
	kb_time_t latency =
		propagation_fleet_latency(fleet, from->index, index);

	from->traffic.messages++;
	if (propagation_fleet_crosses_regions(fleet, from->index, index))
		from->traffic.region_bytes += len + header;
	if (propagation_fleet_random(fleet) < fleet->params.loss ||
	    !propagation_fleet_can_reach(fleet, from->index, index))
		return;
	latency += propagation_fleet_jitter(fleet);
	memcpy(schedule(&fleet->hosts[index], kind, fleet->now + latency, len)
		       ->bytes,
	       bytes, len);
}

static void send_member(kb_members_t *members, const kb_member_t *to,
			const kb_member_message_t *message)
{
	propagation_host_t *host = ((propagation_peers_t *)members)->host;
	char bytes[KB_MEMBER_MESSAGE_MAX_BYTES];
	size_t len;

	if (kb_member_wire_encode(message, bytes, sizeof(bytes), &len)) {
		fprintf(stderr, "cannot encode a membership message\n");
		exit(1);
	}
	host->traffic.member_bytes += len + PROPAGATION_DATAGRAM_BYTES;
	send_message(host, to, PROPAGATION_MEMBER_MESSAGE, bytes, len,
		     PROPAGATION_DATAGRAM_BYTES);
}

static void on_member_changed(kb_members_t *members, const kb_member_t *member)
{
	propagation_host_t *host = ((propagation_peers_t *)members)->host;

	kb_config_gossip_on_member(&host->gossip, member, host->fleet->now);
}

static void on_superseded(kb_members_t *members)
{
	(void)members;
}

static void send_gossip(kb_config_gossip_t *gossip, const kb_member_t *to,
			const kb_config_gossip_message_t *message)
{
	propagation_host_t *host = (propagation_host_t *)gossip;
	char *bytes;
	size_t len;

	if (kb_config_gossip_wire_encode(message, &bytes, &len)) {
		fprintf(stderr, "cannot encode a configuration message\n");
		exit(1);
	}
	host->traffic.gossip_bytes += len + PROPAGATION_CALL_BYTES;
	send_message(host, to, PROPAGATION_GOSSIP_MESSAGE, bytes, len,
		     PROPAGATION_CALL_BYTES);
	free(bytes);
}

void propagation_host_schedule_watch(propagation_host_t *host)
{
	propagation_fleet_t *fleet = host->fleet;
	kb_time_t delay = STORE_LATENCY_US * KB_NS_PER_US +
			  propagation_fleet_jitter(fleet) +
			  propagation_fleet_latency(fleet, 0, host->index);

	while (propagation_fleet_random(fleet) < fleet->params.loss)
		delay += STORE_RETRANSMIT_US * KB_NS_PER_US;
	schedule(host, PROPAGATION_WATCH, fleet->now + delay, 0);
}

static void watch(kb_config_gossip_t *gossip, uint64_t after)
{
	propagation_host_t *host = (propagation_host_t *)gossip;

	host->watching = 1;
	host->watch_after = after;
	host->fleet->store_calls++;
	if (after < host->fleet->change_count)
		propagation_host_schedule_watch(host);
}

static void unwatch(kb_config_gossip_t *gossip)
{
	((propagation_host_t *)gossip)->watching = 0;
}

static void in_force(kb_config_gossip_t *gossip, const kb_config_entry_t *entry)
{
	(void)gossip;
	(void)entry;
}

const kb_members_ops_t propagation_member_ops = { send_member,
						  on_member_changed,
						  on_superseded };
const kb_config_gossip_ops_t propagation_gossip_ops = { send_gossip, watch,
							unwatch, in_force };

/* Records the changes that have come into force at `host`. */
static void record_revision(propagation_fleet_t *fleet,
			    propagation_host_t *host)
{
	uint64_t revision = kb_config_gossip_revision(&host->gossip);

	for (; host->revision_seen < revision; host->revision_seen++) {
		propagation_change_t *change =
			&fleet->changes[host->revision_seen];

		change->in_force++;
		if (change->in_force == fleet->params.hosts)
			change->in_force_at = fleet->now;
	}
}

/* Delivers the newest revision of the resource by the watch. */
static void deliver_watch(propagation_fleet_t *fleet, propagation_host_t *host)
{
	kb_config_change_t change =
		propagation_fleet_change_of(fleet, fleet->change_count);

	if (!host->watching || host->watch_after >= fleet->change_count)
		return;
	host->watch_after = fleet->change_count;
	if (kb_config_gossip_on_store_changes(&host->gossip, &change, 1,
					      fleet->change_count, fleet->now))
		exit(1);
}

static void receive_member(propagation_fleet_t *fleet, propagation_host_t *host,
			   const propagation_event_t *event)
{
	kb_member_message_t message;

	host->traffic.received_bytes += event->len + PROPAGATION_DATAGRAM_BYTES;
	if (kb_member_wire_decode(&message, event->bytes, event->len))
		exit(1);
	kb_members_on_message(&host->peers.members, &message, fleet->now);
}

static void receive_gossip(propagation_fleet_t *fleet, propagation_host_t *host,
			   const propagation_event_t *event)
{
	kb_config_gossip_message_t message;

	host->traffic.received_bytes += event->len + PROPAGATION_CALL_BYTES;
	if (kb_config_gossip_wire_decode(&message, event->bytes, event->len))
		exit(1);
	kb_config_gossip_on_message(&host->gossip, &message, fleet->now);
	kb_config_gossip_message_finish(&message);
}

/* Arms the timers again if an event has changed their expiry. */
static void arm_timers(propagation_host_t *host)
{
	kb_time_t member_wake = kb_members_next_wake(&host->peers.members);
	kb_time_t gossip_wake = kb_config_gossip_next_wake(&host->gossip);

	if (member_wake != host->member_timer) {
		host->member_timer = member_wake;
		schedule(host, PROPAGATION_MEMBER_TIMER, member_wake, 0);
	}
	if (gossip_wake != host->gossip_timer) {
		host->gossip_timer = gossip_wake;
		schedule(host, PROPAGATION_GOSSIP_TIMER, gossip_wake, 0);
	}
}

void propagation_host_set_timers(propagation_host_t *host, kb_time_t at)
{
	host->member_timer = at;
	host->gossip_timer = at;
	schedule(host, PROPAGATION_MEMBER_TIMER, at, 0);
	schedule(host, PROPAGATION_GOSSIP_TIMER, at, 0);
}

static void dispatch(propagation_host_t *host, const propagation_event_t *event)
{
	propagation_fleet_t *fleet = host->fleet;

	/*
	 * Timers and watches belong to one start of the process. Messages go
	 * to its address and also reach a later start.
	 */
	if (!host->running ||
	    (!event->len && event->generation != host->generation))
		return;
	switch (event->kind) {
	case PROPAGATION_MEMBER_TIMER:
		if (fleet->now == host->member_timer)
			kb_members_on_timer(&host->peers.members, fleet->now);
		break;
	case PROPAGATION_GOSSIP_TIMER:
		if (fleet->now == host->gossip_timer)
			kb_config_gossip_on_timer(&host->gossip, fleet->now);
		break;
	case PROPAGATION_MEMBER_MESSAGE:
		receive_member(fleet, host, event);
		break;
	case PROPAGATION_GOSSIP_MESSAGE:
		receive_gossip(fleet, host, event);
		break;
	case PROPAGATION_WATCH:
		deliver_watch(fleet, host);
		break;
	}
	record_revision(fleet, host);
	arm_timers(host);
}

static void on_event(void *ctx, void *arg, kb_time_t now)
{
	propagation_host_t *host = ctx;

	host->fleet->now = now;
	dispatch(host, arg);
	free(arg);
}

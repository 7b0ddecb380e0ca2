#include "fleet.h"

#include "gen/kumquat_rpc.h"
#include "log.h"
#include "member_wire.h"

#include <sodium.h>

static kb_time_t fleet_now(const kb_fleet_t *fleet)
{
	return kb_clock_monotonic(fleet->clock);
}

/* Reschedules the timer, since an event may have changed its next time. */
static void reschedule(kb_fleet_t *fleet)
{
	kb_wakeup_schedule(&fleet->wakeup,
			   kb_members_next_wake(&fleet->members));
}

static void on_wakeup(void *ctx, kb_time_t now)
{
	kb_fleet_t *fleet = ctx;

	kb_wakeup_schedule(&fleet->wakeup,
			   kb_members_on_timer(&fleet->members, now));
}

void kb_fleet_host_info(const kb_member_t *member, kb_host_info_t *info)
{
	memset(info, 0, sizeof(*info));
	kb_name_set(&info->name, kb_member_name(member));
	kb_name_set(&info->endpoint.address, kb_member_address(member));
	info->endpoint.port = member->port;
	kb_name_set(&info->data_centre, kb_member_data_centre(member));
	kb_name_set(&info->region, kb_member_region(member));
}

static void send_message(kb_members_t *members, const kb_member_t *to,
			 const kb_member_message_t *message)
{
	kb_fleet_t *fleet = (kb_fleet_t *)members;
	char buffer[KB_MEMBER_MESSAGE_MAX_BYTES];
	kb_endpoint_t endpoint = { .port = to->port };
	size_t len;

	kb_name_set(&endpoint.address, kb_member_address(to));
	if (!kb_member_wire_encode(message, buffer, sizeof(buffer), &len))
		kb_datagram_send(&fleet->datagram, &endpoint, buffer, len);
}

static void log_state(kb_event_t event, const kb_host_t *host)
{
	kb_log(event, "peer=%s leaving=%d", host->name.data, host->leaving);
}

/* Updates a host from its membership record; `known` is zero for a new one. */
static void update_host(kb_host_t *host, int known, const kb_member_t *member)
{
	int was_live = known && host->live;
	int was_leaving = known && host->leaving;

	host->live = member->state != KB_MEMBER_DEAD;
	host->leaving = member->leaving || member->state == KB_MEMBER_LEAVING;
	if (host->live && !was_live)
		log_state(KB_EVENT_MEMBER_JOINED, host);
	if (!host->live && was_live)
		log_state(KB_EVENT_MEMBER_DEAD, host);
	if (host->live && host->leaving && !was_leaving)
		log_state(KB_EVENT_MEMBER_LEAVING, host);
	if (member->state == KB_MEMBER_SUSPECT)
		log_state(KB_EVENT_MEMBER_SUSPECTED, host);
}

static void on_changed(kb_members_t *members, const kb_member_t *member)
{
	kb_fleet_t *fleet = (kb_fleet_t *)members;
	kb_host_info_t info;
	kb_host_t *host;
	int known;

	kb_fleet_host_info(member, &info);
	if (info.endpoint.port &&
	    !kb_name_is(&fleet->hosts->self->name, kb_name_str(&info.name))) {
		known = kb_hosts_find(fleet->hosts, kb_name_str(&info.name)) !=
			NULL;
		host = kb_hosts_put(fleet->hosts, &info);
		if (host)
			update_host(host, known, member);
	}
	fleet->ops->changed(fleet, member);
}

static void on_superseded(kb_members_t *members)
{
	kb_fleet_t *fleet = (kb_fleet_t *)members;

	kb_log(KB_EVENT_MEMBER_SUPERSEDED, "host=%s",
	       fleet->hosts->self->name.data);
	fleet->ops->superseded(fleet);
}

static const kb_members_ops_t members_ops = {
	.send = send_message,
	.changed = on_changed,
	.superseded = on_superseded,
};

static void on_received(void *ctx, const char *data, size_t len)
{
	kb_fleet_t *fleet = ctx;
	kb_member_message_t message;
	kb_result_t result = kb_member_wire_decode(&message, data, len);

	if (result) {
		kb_log(KB_EVENT_MEMBER_MALFORMED, "result=%s",
		       kb_result_name(result));
		return;
	}
	kb_members_on_message(&fleet->members, &message, fleet_now(fleet));
	reschedule(fleet);
}

static void add_configured_peers(kb_fleet_t *fleet,
				 const kb_settings_t *settings)
{
	for (size_t i = 0; i < settings->peer_count; i++) {
		const kb_settings_peer_t *peer = &settings->peers[i];
		kb_member_record_t record = {
			.name = peer->name,
			.address = peer->endpoint.address,
			.port = peer->endpoint.port,
			.data_centre = peer->data_centre,
			.region = peer->region,
		};

		if (!kb_name_is(&peer->name, kb_name_str(&settings->host)))
			kb_members_on_hint(&fleet->members, &record,
					   fleet_now(fleet));
	}
}

kb_result_t kb_fleet_init(kb_fleet_t *fleet, const kb_fleet_ops_t *ops,
			  struct event_base *loop, kb_clock_t *clock,
			  const kb_settings_t *settings, kb_hosts_t *hosts)
{
	kb_member_record_t self = {
		.name = settings->host,
		.address = settings->listen_hosts.address,
		.port = settings->listen_hosts.port,
		.data_centre = settings->data_centre,
		.region = settings->region,
		.instance = (uint64_t)kb_clock_wall(clock),
	};
	uint64_t seed;
	kb_result_t result;

	memset(fleet, 0, sizeof(*fleet));
	fleet->datagram.fd = -1;
	fleet->ops = ops;
	fleet->clock = clock;
	fleet->hosts = hosts;
	randombytes_buf(&seed, sizeof(seed));
	result = kb_members_init(&fleet->members, &members_ops, &self, seed,
				 fleet_now(fleet));
	if (result)
		return result;
	result = kb_wakeup_init(&fleet->wakeup, loop, clock, on_wakeup, fleet);
	if (result)
		goto fail;
	result = kb_datagram_init(&fleet->datagram, loop,
				  &settings->listen_hosts, KUMQUAT_MEMBER);
	if (result)
		goto fail;
	fleet->datagram.received = on_received;
	fleet->datagram.ctx = fleet;
	add_configured_peers(fleet, settings);
	kb_wakeup_schedule(&fleet->wakeup, fleet_now(fleet));
	return KB_OK;

fail:
	kb_fleet_finish(fleet);
	return result;
}

void kb_fleet_finish(kb_fleet_t *fleet)
{
	kb_datagram_finish(&fleet->datagram);
	kb_wakeup_finish(&fleet->wakeup);
	kb_members_finish(&fleet->members);
}

void kb_fleet_call_failed(kb_fleet_t *fleet, kb_str_t host)
{
	kb_members_on_call_failed(&fleet->members, host, fleet_now(fleet));
	reschedule(fleet);
}

void kb_fleet_set_leaving(kb_fleet_t *fleet, int leaving)
{
	kb_members_set_leaving(&fleet->members, leaving, fleet_now(fleet));
	reschedule(fleet);
}

void kb_fleet_announce_exit(kb_fleet_t *fleet)
{
	kb_members_announce_exit(&fleet->members);
}

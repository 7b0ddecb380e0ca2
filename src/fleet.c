#include "fleet.h"

#include "gen/kumquat_rpc.h"
#include "log.h"
#include "member_wire.h"

#include <event2/event.h>
#include <sodium.h>

static kb_time_t fleet_now(const kb_fleet_t *fleet)
{
	return kb_clock_monotonic(fleet->clock);
}

static void schedule(kb_fleet_t *fleet, kb_time_t at)
{
	struct timeval timeout;
	kb_time_t delay;

	if (at >= fleet->wake)
		return;
	fleet->wake = at;
	delay = at - fleet_now(fleet);
	if (delay < 0)
		delay = 0;
	timeout.tv_sec = delay / KB_NS_PER_S;
	timeout.tv_usec = delay % KB_NS_PER_S / KB_NS_PER_US;
	event_add(fleet->timer, &timeout);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	kb_fleet_t *fleet = arg;

	(void)fd;
	(void)what;
	fleet->wake = KB_TIME_NEVER;
	schedule(fleet, kb_members_on_timer(&fleet->members, fleet_now(fleet)));
}

void kb_fleet_place(const kb_member_t *member, kb_host_place_t *place)
{
	memset(place, 0, sizeof(*place));
	kb_name_set(&place->name, kb_member_name(member));
	kb_name_set(&place->endpoint.address, kb_member_address(member));
	place->endpoint.port = member->port;
	kb_name_set(&place->data_centre, kb_member_data_centre(member));
	kb_name_set(&place->region, kb_member_region(member));
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

static void on_changed(kb_members_t *members, const kb_member_t *member)
{
	kb_fleet_t *fleet = (kb_fleet_t *)members;
	kb_host_place_t place;
	kb_host_t *host;

	kb_fleet_place(member, &place);
	if (place.endpoint.port &&
	    !kb_name_is(&fleet->hosts->self->name, kb_name_str(&place.name))) {
		host = kb_hosts_put(fleet->hosts, &place);
		if (host) {
			host->live = member->state != KB_MEMBER_DEAD;
			host->leaving = member->leaving ||
					member->state == KB_MEMBER_LEAVING;
		}
	}
	fleet->ops->changed(fleet, member);
}

static void on_superseded(kb_members_t *members)
{
	kb_fleet_t *fleet = (kb_fleet_t *)members;

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
	schedule(fleet, kb_members_next_wake(&fleet->members));
}

static void add_hints(kb_fleet_t *fleet, const kb_settings_t *settings)
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
	fleet->wake = KB_TIME_NEVER;
	randombytes_buf(&seed, sizeof(seed));
	result = kb_members_init(&fleet->members, &members_ops, &self, seed,
				 fleet_now(fleet));
	if (result)
		return result;
	fleet->timer = evtimer_new(loop, on_timer, fleet);
	if (!fleet->timer) {
		result = KB_ERR_NO_MEMORY;
		goto fail;
	}
	result = kb_datagram_init(&fleet->datagram, loop,
				  &settings->listen_hosts, KUMQUAT_MEMBER);
	if (result)
		goto fail;
	fleet->datagram.received = on_received;
	fleet->datagram.ctx = fleet;
	add_hints(fleet, settings);
	schedule(fleet, fleet_now(fleet));
	return KB_OK;

fail:
	kb_fleet_finish(fleet);
	return result;
}

void kb_fleet_finish(kb_fleet_t *fleet)
{
	kb_datagram_finish(&fleet->datagram);
	if (fleet->timer)
		event_free(fleet->timer);
	kb_members_finish(&fleet->members);
}

void kb_fleet_call_failed(kb_fleet_t *fleet, kb_str_t host)
{
	kb_members_on_call_failed(&fleet->members, host, fleet_now(fleet));
	schedule(fleet, kb_members_next_wake(&fleet->members));
}

void kb_fleet_set_leaving(kb_fleet_t *fleet, int leaving)
{
	kb_members_set_leaving(&fleet->members, leaving, fleet_now(fleet));
	schedule(fleet, kb_members_next_wake(&fleet->members));
}

void kb_fleet_announce_exit(kb_fleet_t *fleet)
{
	kb_members_announce_exit(&fleet->members);
}

#ifndef KB_FLEET_H
#define KB_FLEET_H

#include "datagram.h"
#include "hosts.h"
#include "member.h"
#include "wakeup.h"

KB_BEGIN_DECLS

typedef struct kb_fleet kb_fleet_t;

/* Callbacks of a fleet. */
typedef struct kb_fleet_ops {
	/* A host has joined, left, or changed its location or state. */
	void (*changed)(kb_fleet_t *fleet, const kb_member_t *member);
	/* A later process uses this host's name: this one must stop serving. */
	void (*superseded)(kb_fleet_t *fleet);
} kb_fleet_ops_t;

/* The membership protocol over datagrams, and the hosts that it discovers. */
struct kb_fleet {
	/* First member: the protocol's callbacks cast back from it. */
	kb_members_t members;
	const kb_fleet_ops_t *ops;
	kb_datagram_t datagram;
	kb_hosts_t *hosts;
	kb_clock_t *clock;
	kb_wakeup_t wakeup;
};

/* Joins the fleet through the peers of `settings`. */
kb_result_t kb_fleet_init(kb_fleet_t *fleet, const kb_fleet_ops_t *ops,
			  struct event_base *loop, kb_clock_t *clock,
			  const kb_settings_t *settings, kb_hosts_t *hosts);
void kb_fleet_finish(kb_fleet_t *fleet);

/* Reports that a call to a host failed. */
void kb_fleet_call_failed(kb_fleet_t *fleet, kb_str_t host);

/* Announces that this host is leaving, or that it stays. */
void kb_fleet_set_leaving(kb_fleet_t *fleet, int leaving);

/* Announces that this process is about to exit. */
void kb_fleet_announce_exit(kb_fleet_t *fleet);

/* Sets `info` to the name, endpoint and location of a member. */
void kb_fleet_host_info(const kb_member_t *member, kb_host_info_t *info);

KB_END_DECLS

#endif
